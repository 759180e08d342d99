//! What callers are told when no backend server answered.

use std::time::Duration;

use cyclamen_types::{ServiceName, VersionName};

use crate::call::{Outcome, Refusal, RefusalKind};

/// When to come back where nothing better is known.
const COME_BACK: Duration = Duration::from_secs(1);

fn refusal(kind: RefusalKind, reason: &str, retry_after: Option<Duration>) -> Refusal {
    Refusal { kind, reason: reason.into(), retry_after }
}

pub(super) fn no_route() -> Refusal {
    let reason = "no route takes this call: publish one, or check host and path";
    refusal(RefusalKind::NoRoute, reason, None)
}

pub(super) fn no_configuration() -> Refusal {
    let reason = "this daemon holds no configuration yet; the call was not run: come back later";
    refusal(RefusalKind::Unavailable, reason, Some(COME_BACK))
}

pub(super) fn expired() -> Refusal {
    let reason = "the deadline passed before the call was run: send it again with more time";
    refusal(RefusalKind::Expired, reason, Some(COME_BACK))
}

pub(super) fn unavailable(service: &ServiceName, version: &VersionName, tried: bool) -> Refusal {
    let which = if tried { "other backend server" } else { "backend server" };
    let reason = format!("no {which} of `{service}/{version}` takes calls: come back later");
    refusal(RefusalKind::Unavailable, &reason, Some(COME_BACK))
}

pub(super) fn cancelled() -> Refusal {
    refusal(RefusalKind::OutcomeUnknown, "the caller went away before the answer", None)
}

/// The answer to a caller whose attempt has ended already.
pub(super) fn ended() -> Refusal {
    let reason = "the answer came after the call had ended: look up whether it was run";
    refusal(RefusalKind::OutcomeUnknown, reason, None)
}

pub(super) fn unknown(outcome: Outcome) -> Refusal {
    let reason = match outcome {
        Outcome::TimedOut => {
            "no answer came in time; the call may have run: look up whether it did"
        }
        _ => {
            "the connection broke before the answer; the call may have run: look up whether it did"
        }
    };
    refusal(RefusalKind::OutcomeUnknown, reason, None)
}

/// The refusal after an attempt that is not tried again.
pub(super) fn after(outcome: Outcome) -> Refusal {
    match outcome {
        Outcome::NotRun { retry_after } | Outcome::Shed { retry_after } => {
            let reason = "the backend servers are full; the call was not run: come back later";
            refusal(RefusalKind::Overloaded, reason, Some(retry_after))
        }
        Outcome::NotConnected => {
            let reason =
                "no backend server could be reached; the call was not run: come back later";
            refusal(RefusalKind::Unavailable, reason, Some(COME_BACK))
        }
        _ => unknown(outcome),
    }
}

/// The refusal when a retry would come after the deadline.
pub(super) fn after_deadline(outcome: Outcome) -> Refusal {
    match outcome {
        _ if outcome.not_run() => expired(),
        _ => unknown(outcome),
    }
}
