//! Tests of what follows the crash of a backend server, and of calls that are blocked for crashes.

mod common;

use common::{OK, TWO_VERSIONS, at, head, router, three_servers};
use cyclamen_routing::{CallHead, Nesting, Next, Outcome, RefusalKind};

#[test]
fn finish_after_a_crash_retries_at_one_other_server() {
    let mut router = router(TWO_VERSIONS, &three_servers());
    let first = router.begin(at(0), &head("GET", "/")).expect("a server is picked");
    assert_eq!(first.crashed_server, None);
    let Next::Retry(second, _) = router.finish(at(1), first.id, Outcome::ServerCrashed) else {
        panic!("one crash may have any cause");
    };
    assert_ne!(first.server, second.server);
    assert_eq!(second.crashed_server, Some(first.server));
    let Next::Refuse(refusal) = router.finish(at(20), second.id, Outcome::ServerCrashed) else {
        panic!("two servers crashed under the call");
    };
    assert_eq!(refusal.kind, RefusalKind::OutcomeUnknown);
    assert_eq!(refusal.retry_after, None);
    assert!(refusal.reason.contains("crashed"), "{refusal:?}");
}

#[test]
fn finish_after_a_crash_answered_by_another_server() {
    let mut router = router(TWO_VERSIONS, &three_servers());
    let first = router.begin(at(0), &head("GET", "/")).expect("a server is picked");
    let Next::Retry(second, _) = router.finish(at(1), first.id, Outcome::ServerCrashed) else {
        panic!("one crash may have any cause");
    };
    assert_eq!(router.finish(at(20), second.id, OK), Next::Deliver);
}

#[test]
fn finish_after_a_crash_non_idempotent_is_unknown() {
    let mut router = router(TWO_VERSIONS, &three_servers());
    let first = router.begin(at(0), &head("POST", "/once")).expect("a server is picked");
    let Next::Refuse(refusal) = router.finish(at(1), first.id, Outcome::ServerCrashed) else {
        panic!("a call that may have run is not retried");
    };
    assert_eq!(refusal.kind, RefusalKind::OutcomeUnknown);
}

#[test]
fn finish_blocked_is_not_run_and_has_no_retry_hint() {
    let mut router = router(TWO_VERSIONS, &three_servers());
    let attempt = router.begin(at(0), &head("GET", "/")).expect("a server is picked");
    let Next::Refuse(refusal) = router.finish(at(1), attempt.id, Outcome::Blocked) else {
        panic!("a blocked call is not tried elsewhere");
    };
    assert_eq!(refusal.kind, RefusalKind::Blocked);
    assert_eq!(refusal.retry_after, None);
    assert_eq!(router.in_flight(), 0);
}

#[test]
fn finish_blocked_after_an_earlier_run_is_unknown() {
    let mut router = router(TWO_VERSIONS, &three_servers());
    let first = router.begin(at(0), &head("GET", "/")).expect("a server is picked");
    let Next::Retry(second, _) = router.finish(at(1), first.id, Outcome::ServerCrashed) else {
        panic!("one crash may have any cause");
    };
    let refusal = router.refuse_blocked(at(2), second.id);
    assert_eq!(refusal.kind, RefusalKind::OutcomeUnknown);
    assert!(refusal.reason.contains("crashed"), "{refusal:?}");
}

/// A run whose own call is blocked answers with an error; that is not tried again at another server.
#[test]
fn refuse_blocked_nested_call_is_the_cause_of_its_parents_error() {
    let mut router = router(TWO_VERSIONS, &three_servers());
    let nested = CallHead { nesting: Nesting::Nested { repeat: 0.0 }, ..head("GET", "/") };
    let attempt = router.begin(at(1), &nested).expect("a server is picked");
    assert!(!router.nested_call_failed_since(at(0).mono));
    assert_eq!(router.refuse_blocked(at(2), attempt.id).kind, RefusalKind::Blocked);
    assert!(router.nested_call_failed_since(at(0).mono));
}
