//! When a daemon appends a verdict to the log. The daemons spread their appends over time, so that
//! a few of them append and the others see the verdict in the log first.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::Move;
use cyclamen_ledger::{MoveVerdict, VerdictKind};
use cyclamen_types::{Mono, Now};

use crate::active_move::{ActiveMove, Identity};
use crate::explanations;
use crate::stages;

/// Period over which the reporters spread their appends of one verdict. Here, reporters are the
/// daemons that had calls of the move and so report evidence on it. Every daemon has a reporter
/// key, whether it had calls or not.
const REPORTER_SPREAD: Duration = Duration::from_secs(10);

/// Period over which all other daemons spread their appends, after the reporters.
const NON_REPORTER_SPREAD: Duration = Duration::from_secs(600);

/// [`REPORTER_SPREAD`] for short moves.
const SHORT_MOVE_REPORTER_SPREAD: Duration = Duration::from_millis(600);

/// [`NON_REPORTER_SPREAD`] for short moves.
const SHORT_MOVE_NON_REPORTER_SPREAD: Duration = Duration::from_secs(6);

/// The progress of appending this daemon's verdict. What the log shows is known to this daemon from
/// the configuration that it applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum AppendState {
    /// There is no verdict to append, or the log shows it.
    #[default]
    Idle,
    /// Append at this time, unless the log shows a verdict before.
    Due(Mono),
    /// The verdict was handed to the owner of [`Moves`](crate::Moves), which retries the append
    /// until the configuration shows it.
    Submitted,
}

impl AppendState {
    /// When the append is due; [`Mono::NEVER`] if none is.
    pub(crate) fn due(self) -> Mono {
        match self {
            Self::Due(at) => at,
            Self::Idle | Self::Submitted => Mono::NEVER,
        }
    }
}

/// How long this daemon delays its append, so that the verdict of another daemon may appear in the
/// log before. The delay is derived from the reporter key, so daemons differ. With `has_calls`,
/// this daemon had calls of the move and is one of the reporters, which append before all others.
pub(crate) fn delay(identity: &Identity, declared: &Move, has_calls: bool) -> Duration {
    let hash = u64::from_le_bytes(identity.reporter.0);
    let within = |spread: Duration| Duration::from_millis(hash % spread.as_millis() as u64);
    let (reporters, others) = match stages::is_short(declared) {
        true => (SHORT_MOVE_REPORTER_SPREAD, SHORT_MOVE_NON_REPORTER_SPREAD),
        false => (REPORTER_SPREAD, NON_REPORTER_SPREAD),
    };
    if has_calls { within(reporters) } else { reporters + within(others) }
}

/// The verdict of this daemon: rolled back ([`VerdictKind::TakenBack`]) if it knows a rollback,
/// else done.
pub(crate) fn verdict(active: &ActiveMove, identity: &Identity, now: Now) -> MoveVerdict {
    match &active.rollback {
        Some(rollback) => MoveVerdict {
            kind: VerdictKind::TakenBack,
            reason: Arc::clone(&rollback.reason),
            by: rollback.by.clone(),
            at: rollback.at,
        },
        None => MoveVerdict {
            kind: VerdictKind::Done,
            reason: explanations::done_reason(active).into(),
            by: identity.instance.clone(),
            at: now.wall,
        },
    }
}
