//! The refusals that callers get when no backend server answers: kind, reason and retry hint.

use std::time::Duration;

use cyclamen_types::{ServiceName, VersionName};

use crate::call::{Outcome, Refusal, RefusalKind};

/// Suggested delay before a call is sent again, where no server names one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

fn refusal(kind: RefusalKind, reason: &str, retry_after: Option<Duration>) -> Refusal {
    Refusal { kind, reason: reason.into(), retry_after }
}

pub(super) fn no_route() -> Refusal {
    let reason = "no route takes this call: publish one, or check host and path";
    refusal(RefusalKind::NoRoute, reason, None)
}

pub(super) fn no_configuration() -> Refusal {
    let reason = "this daemon holds no configuration yet; the call was not run: come back later";
    refusal(RefusalKind::Unavailable, reason, Some(DEFAULT_RETRY_AFTER))
}

pub(super) fn no_account() -> Refusal {
    let reason = "the call carries no key of a client account: send one that is in force";
    refusal(RefusalKind::NoAccount, reason, None)
}

pub(super) fn expired() -> Refusal {
    let reason = "the deadline passed before the call was run: send it again with more time";
    refusal(RefusalKind::Expired, reason, Some(DEFAULT_RETRY_AFTER))
}

pub(super) fn unavailable(service: &ServiceName, version: &VersionName, tried: bool) -> Refusal {
    let qualifier = if tried { "other backend server" } else { "backend server" };
    let reason = format!("no {qualifier} of `{service}/{version}` takes calls: come back later");
    refusal(RefusalKind::Unavailable, &reason, Some(DEFAULT_RETRY_AFTER))
}

pub(super) fn cancelled() -> Refusal {
    refusal(RefusalKind::OutcomeUnknown, "the caller went away before the answer", None)
}

/// The refusal of a call that would probably get no answer before this daemon ends.
pub(super) fn stopping(retry_after: Duration) -> Refusal {
    let reason = "this daemon stops before the call could be answered; the call was not run: send it \
                  to another daemon";
    refusal(RefusalKind::Unavailable, reason, Some(retry_after))
}

/// The refusal of a call under which backend servers crashed. Without a retry hint, since it would
/// be refused again.
pub(super) fn blocked() -> Refusal {
    let reason = "backend servers crashed while they ran this call, so it is not run again; earlier \
                  it may have run: change it, or ask an operator to unblock it";
    refusal(RefusalKind::Blocked, reason, None)
}

/// The refusal for an answer of an attempt that has ended already.
pub(super) fn already_ended() -> Refusal {
    let reason = "the answer came after the call had ended: look up whether it was run";
    refusal(RefusalKind::OutcomeUnknown, reason, None)
}

impl Refusal {
    /// The refusal of a call that is under way when the daemon has to end.
    pub fn stopped() -> Self {
        let reason = "this daemon had to stop before the answer came; the call may have run: look up \
                      whether it did";
        refusal(RefusalKind::OutcomeUnknown, reason, None)
    }

    /// The refusal of a call that may have run in an attempt with this outcome, and that no answer
    /// is left of.
    pub fn outcome_unknown(outcome: Outcome) -> Self {
        let reason = match outcome {
            Outcome::TimedOut => {
                "no answer came in time; the call may have run: look up whether it did"
            }
            Outcome::ServerCrashed => {
                "the backend server crashed while it ran the call: look up what it did before you \
                 send it again"
            }
            Outcome::Answered { .. } => {
                "a backend server failed the call, and nothing is left of its answer; the call may \
                 have run: look up whether it did"
            }
            _ => {
                "the connection broke before the answer; the call may have run: look up whether \
                 it did"
            }
        };
        refusal(RefusalKind::OutcomeUnknown, reason, None)
    }
}

/// The refusal after an attempt that is not followed by another one.
pub(super) fn after_attempt(outcome: Outcome) -> Refusal {
    match outcome {
        Outcome::RefusedByDaemon { retry_after } | Outcome::Shed { retry_after } => {
            let reason = "the backend servers are full; the call was not run: come back later";
            refusal(RefusalKind::Overloaded, reason, Some(retry_after))
        }
        Outcome::NotConnected => {
            let reason =
                "no backend server could be reached; the call was not run: come back later";
            refusal(RefusalKind::Unavailable, reason, Some(DEFAULT_RETRY_AFTER))
        }
        Outcome::Blocked => blocked(),
        _ => Refusal::outcome_unknown(outcome),
    }
}

/// The refusal after an attempt whose retry could not start before the deadline.
pub(super) fn no_time_to_retry(outcome: Outcome) -> Refusal {
    match outcome {
        _ if outcome.not_run() => expired(),
        _ => Refusal::outcome_unknown(outcome),
    }
}
