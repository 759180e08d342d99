//! What a change may clash with in the configuration, and the report about it.

use std::fmt;
use std::sync::Arc;

use cyclamen_declarations::DeclarationKey;
use cyclamen_types::{ChangeId, MoveName, Offset, ServiceName, TeamName, VersionName};
use thiserror::Error;

/// Why a change cannot be accepted as it stands. The message says what to do.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Conflict {
    /// Another change came in between.
    #[error("{key} was last written by record {held}, not {base}: read it again and edit that")]
    StaleBase {
        /// The declaration.
        key: DeclarationKey,
        /// The base that the change names.
        base: Offset,
        /// The record that wrote it last.
        held: Offset,
    },
    /// The declaration that the base refers to is gone.
    #[error("{key} is no longer declared: leave out the base to declare it anew")]
    BaseGone {
        /// The declaration.
        key: DeclarationKey,
    },
    /// The declaration belongs to another team.
    #[error("{key} belongs to team `{owner}`: ask that team, or choose another name")]
    NotOwned {
        /// The declaration.
        key: DeclarationKey,
        /// Whose it is.
        owner: TeamName,
    },
    /// Nothing of this name is declared.
    #[error("{0} is not declared: check its name")]
    NotDeclared(DeclarationKey),
    /// Something that the declaration needs is not declared.
    #[error("{0} is not declared: declare it first, or in the same change")]
    Needs(DeclarationKey),
    /// Other declarations point at what would be deleted.
    #[error("{key} is in use by {}: change or delete these in the same change", list(users))]
    InUse {
        /// What would be deleted.
        key: DeclarationKey,
        /// What points at it.
        users: Vec<DeclarationKey>,
    },
    /// A service has another move already.
    #[error("service `{service}` has the running move `{other}`: wait for its verdict")]
    AlreadyMoving {
        /// The service.
        service: ServiceName,
        /// The other move.
        other: MoveName,
    },
    /// The version of a service would change beside a running move.
    #[error("the running move `{by}` decides the version of the service: keep `{held}` until then")]
    VersionMoving {
        /// The move.
        by: MoveName,
        /// The version in force.
        held: VersionName,
    },
    /// The version of a service would change back, past the verdict of a move.
    #[error(
        "move `{by}` put the service on `{held}`: keep that, or give `base: {base}` to change it at once"
    )]
    PastVerdict {
        /// The move.
        by: MoveName,
        /// The version in force.
        held: VersionName,
        /// The record that wrote the service last.
        base: Offset,
    },
    /// A move starts from a version that does not have the traffic.
    #[error("the traffic is on `{held}`: start the move from that version")]
    NotFrom {
        /// The version that has the traffic.
        held: VersionName,
    },
    /// The move has its verdict.
    #[error("move `{0}` has ended: declare it anew to run it again")]
    Ended(MoveName),
    /// The id of the change names another change.
    #[error("change id `{id}` names another change, of record {by}: publish under a new id")]
    IdTaken {
        /// The id.
        id: ChangeId,
        /// The record of the other change.
        by: Offset,
    },
    /// One change writes a declaration twice.
    #[error("{0} stands twice in the change: keep one")]
    Twice(DeclarationKey),
}

/// Something accepted that an operator may not have meant.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Caution {
    /// A selector that matches nothing at present.
    #[error("`{0}` matches nothing at present: check the selector if that is not meant")]
    MatchesNothing(String),
    /// The version of a service changes at once, without a move.
    #[error("all traffic goes from `{held}` to `{to}` at once: declare a move to do it in steps")]
    Jumps {
        /// The version in force.
        held: VersionName,
        /// The version declared.
        to: VersionName,
    },
    /// A move is deleted before its verdict.
    #[error("move `{0}` is running: its traffic goes back to the old version at once")]
    DeletesRunning(MoveName),
    /// A move that ended is declared once more, without any difference.
    #[error("move `{0}` has ended and stays so: give it new times to run it again")]
    EndedAlike(MoveName),
}

fn list(keys: &[DeclarationKey]) -> String {
    let mut text = String::new();
    for key in keys {
        if !text.is_empty() {
            text.push_str(", ");
        }
        text.push_str(&key.to_string());
    }
    text
}

/// A finding at a place such as `declarations[2].route.service`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding<T> {
    /// Where.
    pub place: Arc<str>,
    /// What.
    pub what: T,
}

impl<T: fmt::Display> fmt::Display for Finding<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.what)
    }
}

/// What the verifier found of a change against a configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Why the change is refused; empty when it is accepted.
    pub faults: Vec<Finding<Conflict>>,
    /// What is accepted but may not be meant.
    pub warnings: Vec<Finding<Caution>>,
}

impl Report {
    /// Whether the change is accepted.
    pub fn accepts(&self) -> bool {
        self.faults.is_empty()
    }

    /// Whether a fault is that another change came in between.
    pub fn stale_base(&self) -> bool {
        let stale =
            |c: &Conflict| matches!(c, Conflict::StaleBase { .. } | Conflict::BaseGone { .. });
        self.faults.iter().any(|fault| stale(&fault.what))
    }

    pub(crate) fn fault(&mut self, place: String, what: Conflict) {
        self.faults.push(Finding { place: place.into(), what });
    }

    pub(crate) fn warn(&mut self, place: String, what: Caution) {
        self.warnings.push(Finding { place: place.into(), what });
    }
}
