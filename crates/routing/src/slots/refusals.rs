//! The refusals of calls that a server does not run now: kind, reason and retry hint.

use std::time::Duration;

use crate::call::{Refusal, RefusalKind};
use crate::slots::MIN_RETRY_AFTER;

/// When a call may come back that was refused because the failure domain of its server is emptied,
/// if no other server takes it meanwhile.
const EMPTIED_RETRY_AFTER: Duration = Duration::from_secs(1);

pub(super) fn overloaded(retry_after: Duration) -> Refusal {
    let reason = "the backend server is full; the call was not run: come back later".into();
    Refusal { kind: RefusalKind::Overloaded, reason, retry_after: Some(retry_after) }
}

pub(super) fn rate_limited(wait: Duration) -> Refusal {
    Refusal {
        kind: RefusalKind::Overloaded,
        reason: "the backend server takes fewer calls a second at present; the call was not run: \
                 come back later"
            .into(),
        retry_after: Some(wait),
    }
}

pub(super) fn cold(wait: Duration) -> Refusal {
    Refusal {
        kind: RefusalKind::Overloaded,
        reason: "the backend server is cold and bears few calls; the call was not run: come back \
                 later"
            .into(),
        retry_after: Some(wait.max(MIN_RETRY_AFTER)),
    }
}

pub(super) fn emptied() -> Refusal {
    Refusal {
        kind: RefusalKind::Overloaded,
        reason: "the failure domain of the backend server is emptied; the call was not run: try \
                 another"
            .into(),
        retry_after: Some(EMPTIED_RETRY_AFTER),
    }
}

pub(super) fn draining() -> Refusal {
    Refusal {
        kind: RefusalKind::Unavailable,
        reason: "the backend server is leaving; the call was not run: try another".into(),
        retry_after: None,
    }
}

pub(super) fn expired() -> Refusal {
    Refusal {
        kind: RefusalKind::Expired,
        reason: "the deadline passed before the call was run: send it again with more time".into(),
        retry_after: None,
    }
}
