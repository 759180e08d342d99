//! When a daemon appends a verdict, so that a few daemons do it and not all.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::Move;
use cyclamen_ledger::{MoveVerdict, VerdictKind};
use cyclamen_types::{Mono, Now};

use crate::active::{ActiveMove, Identity};
use crate::ladder;
use crate::sentences;

/// Time over which daemons that report evidence spread their appends of one verdict.
const REPORTER_SPREAD: Duration = Duration::from_secs(10);

/// Time over which all other daemons spread theirs, after those.
const IDLE_SPREAD: Duration = Duration::from_secs(600);

/// The same spread for moves that have little time.
const SHORT_REPORTER_SPREAD: Duration = Duration::from_millis(600);

/// The spread of the other daemons for moves that have little time.
const SHORT_IDLE_SPREAD: Duration = Duration::from_secs(6);

/// Whether this daemon appends what it decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Append {
    /// Nothing to append.
    #[default]
    Nothing,
    /// At this time, unless the log shows a verdict before.
    Due(Mono),
    /// Handed over; whoever appends retries until the fold shows it.
    HandedOver,
}

impl Append {
    /// When something is due.
    pub(crate) fn due(self) -> Mono {
        match self {
            Self::Due(at) => at,
            Self::Nothing | Self::HandedOver => Mono::NEVER,
        }
    }
}

/// How long a daemon waits for another one's append: those that report evidence go first.
pub(crate) fn delay(me: &Identity, declared: &Move, reports: bool) -> Duration {
    let hash = u64::from_le_bytes(me.reporter.0);
    let within = |spread: Duration| Duration::from_millis(hash % spread.as_millis() as u64);
    let (reporters, others) = match ladder::is_short(declared) {
        true => (SHORT_REPORTER_SPREAD, SHORT_IDLE_SPREAD),
        false => (REPORTER_SPREAD, IDLE_SPREAD),
    };
    if reports { within(reporters) } else { reporters + within(others) }
}

/// The verdict that this daemon came to.
pub(crate) fn verdict(active: &ActiveMove, me: &Identity, now: Now) -> MoveVerdict {
    match &active.conviction {
        Some(conviction) => MoveVerdict {
            kind: VerdictKind::TakenBack,
            reason: Arc::clone(&conviction.reason),
            by: conviction.by.clone(),
            at: conviction.at,
        },
        None => MoveVerdict {
            kind: VerdictKind::Done,
            reason: sentences::done(active).into(),
            by: me.instance.clone(),
            at: now.wall,
        },
    }
}
