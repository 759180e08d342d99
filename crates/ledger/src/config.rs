//! The configuration that the fold reaches.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cyclamen_declarations::{
    ClientAccount, ColdLimit, Move, OrderAction, Policy, Route, Service, Version, VersionId,
};
use cyclamen_types::{
    AccountName, ConfigVersion, FailureDomain, InstanceName, MoveName, Offset, PolicyName,
    RouteName, ServiceName, TeamName, VersionName, Wall,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Everything that is in force after a prefix of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// How much of the log it was folded from.
    pub version: ConfigVersion,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Held<Service>>,
    /// Versions by service and name.
    pub versions: BTreeMap<VersionId, Held<Version>>,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, Held<Route>>,
    /// Policies by name.
    pub policies: BTreeMap<PolicyName, Held<Policy>>,
    /// Moves by name, with orders and verdicts.
    pub moves: BTreeMap<MoveName, HeldMove>,
    /// Under which version backend servers count whose own version is in no move; `None` where
    /// all versions are declared and each counts under its own.
    pub undeclared: Option<VersionName>,
    /// Versions that were taken back by moves that are no longer held.
    pub taken_back: BTreeSet<VersionId>,
    /// Client accounts by name. Where there are any, calls need a key of one, but for open routes.
    pub accounts: BTreeMap<AccountName, Arc<ClientAccount>>,
    /// What backend servers of a service bear while they are cold, where that is bounded.
    pub cold_limits: BTreeMap<ServiceName, ColdLimit>,
    /// Failure domains whose backend servers get no calls, by an operator's order.
    pub emptied_domains: BTreeSet<FailureDomain>,
}

impl Config {
    /// Under which version a backend server takes calls that announced `version`; `None` when it
    /// takes none, because a move put all calls of its service on another version.
    pub fn counted_version(
        &self,
        service: &ServiceName,
        version: &VersionName,
    ) -> Option<VersionName> {
        let Some(undeclared) = &self.undeclared else {
            return Some(version.clone());
        };
        let moves = self.moves.values().filter(|mv| mv.held.body.service == *service);
        for mv in moves {
            let done = mv.verdict.as_ref().is_some_and(|v| v.kind == VerdictKind::Done);
            match (mv.held.body.to == *version, done) {
                (true, true) => return Some(undeclared.clone()),
                (true, false) => return Some(version.clone()),
                (false, true) => return None,
                (false, false) => {}
            }
        }
        let id = VersionId { service: service.clone(), version: version.clone() };
        if self.taken_back.contains(&id) {
            return Some(id.version);
        }
        Some(undeclared.clone())
    }
}

/// A declaration with who wrote it and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Held<T> {
    /// The record that wrote it last; an edit names it as its base.
    pub offset: Offset,
    /// Whose it is.
    pub team: TeamName,
    /// The declaration.
    pub body: Arc<T>,
}

/// A move with what the log decided about it.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldMove {
    /// The declaration.
    pub held: Held<Move>,
    /// The last order of an operator.
    pub order: Option<OrderAction>,
    /// The verdict, once the log holds one.
    pub verdict: Option<MoveVerdict>,
    /// Offsets at which this publication was read before a store that came back from an older copy
    /// gave it another one; always empty for the log.
    pub earlier_offsets: Vec<Offset>,
}

/// Names one publication of a move: the same name published anew is another move.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{name}@{declared}")]
pub struct MoveId {
    /// Its name.
    pub name: MoveName,
    /// The record that declared it.
    pub declared: Offset,
}

impl HeldMove {
    /// The publication this is.
    pub fn id(&self) -> MoveId {
        MoveId { name: self.held.body.name.clone(), declared: self.held.offset }
    }
}

/// A verdict as the log holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveVerdict {
    /// Done or taken back.
    pub kind: VerdictKind,
    /// Why, in one sentence.
    pub reason: Arc<str>,
    /// The daemon that appended it.
    pub by: InstanceName,
    /// When that daemon decided, by its clock.
    pub at: Wall,
}

/// The verdicts, by rank: a later one outranks an earlier one.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum VerdictKind {
    /// All traffic is on the new version; the watch may go on.
    #[display("done")]
    Done,
    /// All traffic is back on the old version, for good.
    #[display("taken back")]
    TakenBack,
}
