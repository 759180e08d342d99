//! Tests of what follows an attempt without a usable answer: retries, the budget, and what callers
//! are told.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{OK, TWO_VERSIONS, at, calls_by_server, head, router, split, three_servers};
use cyclamen_routing::{
    CallHead, Nesting, Next, Outcome, RefusalKind, RetryLimits, Router, RouterSettings,
};
use cyclamen_types::Mono;

#[test]
fn finish_non_idempotent_retried_only_if_not_run() {
    let mut router = router(TWO_VERSIONS, &three_servers());
    let first = router.begin(at(0), &head("POST", "/once")).expect("a server is picked");
    let Next::Retry(second, _) = router.finish(at(1), first.id, Outcome::NotConnected) else {
        panic!("a call that was not run is retried on another server");
    };
    assert_ne!(first.server, second.server);
    let Next::Refuse(refusal) = router.finish(at(2), second.id, Outcome::Reset) else {
        panic!("a call that may have run is not retried");
    };
    assert_eq!(refusal.kind, RefusalKind::OutcomeUnknown);
}

#[test]
fn finish_twice_refused() {
    let mut router = router(TWO_VERSIONS, &three_servers());
    let attempt = router.begin(at(0), &head("POST", "/once")).expect("a server is picked");
    router.finish(at(1), attempt.id, Outcome::TimedOut);
    let late = router.finish(at(2), attempt.id, OK);
    assert!(matches!(late, Next::Refuse(_)), "a late answer must not be delivered: {late:?}");
    assert_eq!(router.in_flight(), 0);
}

#[test]
fn finish_retries_bounded_by_budget() {
    let mut router = router(TWO_VERSIONS, &three_servers());
    let calls = 2_000;
    for number in 0..calls {
        let now = at(number * 100);
        let mut attempt = router.begin(now, &head("GET", "/")).expect("a server is picked");
        while let Next::Retry(next, _) = router.finish(now, attempt.id, Outcome::Reset) {
            attempt = next;
        }
    }
    let retries = router.counters().retries;
    assert!(retries <= calls / 10 + 25, "{retries}");
    assert!(router.counters().retries_refused > 0);
}

const SERVER_ERROR: Outcome = Outcome::Answered { status: 500 };

/// A router with enough answered calls to know their average time, which retries of server errors
/// need.
fn router_with_measured_calls() -> Router {
    let mut router = router(TWO_VERSIONS, &three_servers());
    calls_by_server(&mut router, 0, 40);
    router
}

#[test]
fn finish_server_error_retried_on_another_server() {
    let mut router = router_with_measured_calls();
    let now = at(1_000_000);
    let first = router.begin(now, &head("GET", "/")).expect("a server is picked");
    let Next::Retry(second, delay) = router.finish(now, first.id, SERVER_ERROR) else {
        panic!("a server error is retried on another server");
    };
    assert!(second.server != first.server && delay.is_zero() && second.previous_attempts == 1);
    assert_eq!(router.finish(now, second.id, OK), Next::Deliver);
    router.end_body(now, second.id, true);
    assert_eq!(router.in_flight(), 0);
}

#[test]
fn finish_server_error_delivered_if_not_retryable() {
    let mut router = router_with_measured_calls();
    let now = at(1_000_000);
    let once = router.begin(now, &head("POST", "/once")).expect("a server is picked");
    assert_eq!(
        router.finish(now, once.id, SERVER_ERROR),
        Next::Deliver,
        "the call must not run twice"
    );
    let late = router.begin(now, &head("GET", "/")).expect("a server is picked");
    let out_of_time = Outcome::Answered { status: 504 };
    assert_eq!(router.finish(now, late.id, out_of_time), Next::Deliver);
    router.set_splits(&[split(10_000)]);
    let moving = router.begin(now, &head("GET", "/")).expect("a server is picked");
    assert_eq!(
        router.finish(now, moving.id, SERVER_ERROR),
        Next::Deliver,
        "no retries of server errors during a move"
    );
}

#[test]
fn finish_server_error_of_a_failed_nested_call_not_retried_again() {
    let mut hosting = router_with_measured_calls();
    let began = at(1_000_000);
    assert!(!hosting.nested_call_failed_since(began.mono));
    let call = CallHead { nesting: Nesting::Nested { repeat: 0.0 }, ..head("GET", "/") };
    let nested = hosting.begin(began, &call).expect("a server is picked");
    hosting.finish(at(1_000_005), nested.id, Outcome::Answered { status: 504 });
    assert!(hosting.nested_call_failed_since(began.mono));
    assert!(!hosting.nested_call_failed_since(Mono(1_000_006)));
    let mut first = router_with_measured_calls();
    let attempt = first.begin(began, &head("GET", "/")).expect("a server is picked");
    first.observe_nested_failure(attempt.id);
    assert_eq!(first.finish(at(1_000_010), attempt.id, SERVER_ERROR), Next::Deliver);
}

/// If all servers fail all calls, the budget limits retries to about a tenth of the calls.
#[test]
fn finish_server_error_retries_within_budget() {
    let mut router = router_with_measured_calls();
    let mut retries = 0;
    for number in 0..1_000 {
        let now = at(1_000_000 + number * 10);
        let attempt = router.begin(now, &head("GET", "/")).expect("a server is picked");
        let mut next = router.finish(now, attempt.id, SERVER_ERROR);
        let mut last = attempt.id;
        while let Next::Retry(again, _) = next {
            retries += 1;
            last = again.id;
            next = router.finish(now, again.id, SERVER_ERROR);
        }
        router.end_body(now, last, true);
    }
    assert!((90..=125).contains(&retries), "{retries} retries of 1000 calls");
}

/// Retries that no server was left for do not use up the budget.
#[test]
fn retry_without_another_server_stays_in_the_budget() {
    let settings = RouterSettings {
        retries: RetryLimits { budget_capacity: 2.0, refill_per_second: 0.0, ..Default::default() },
        domain: "praha-a".try_into().expect("valid name"),
        region: "cz-stred".try_into().expect("valid name"),
    };
    let mut router = Router::new(settings, 1);
    assert!(router.install(Arc::new(common::table(TWO_VERSIONS))));
    router.set_servers(at(0), &three_servers()[..1]);
    let fail = |router: &mut Router, now| {
        let attempt = router.begin(at(now), &head("GET", "/")).expect("a server is picked");
        router.finish(at(now + 1), attempt.id, Outcome::Reset)
    };
    for now in 0..4 {
        assert!(matches!(fail(&mut router, now), Next::Refuse(_)));
    }
    router.set_servers(at(10), &three_servers());
    assert!(matches!(fail(&mut router, 10), Next::Retry(..)));
}

/// Makes calls whose first two attempts are refused, so that the third one waits, and that are
/// answered 1 ms after that wait. Returns the last time in microseconds.
fn answer_after_waits(router: &mut Router) -> u64 {
    let refused = Outcome::RefusedByDaemon { retry_after: Duration::ZERO };
    let mut now = at(0);
    for _ in 0..20 {
        let mut attempt = router.begin(now, &head("GET", "/")).expect("a server is picked");
        for _ in 0..2 {
            let Next::Retry(next, pause) = router.finish(now, attempt.id, refused) else {
                panic!("a refused call is retried");
            };
            now = now + pause;
            attempt = next;
        }
        now = now + Duration::from_millis(1);
        assert_eq!(router.finish(now, attempt.id, OK), Next::Deliver);
        router.end_body(now, attempt.id, true);
    }
    now.mono.0
}

/// A call takes 1 ms, so 3 ms are enough for a retry.
#[test]
fn finish_pause_before_a_retry_is_no_time_of_the_route() {
    let mut router = router_with_extra_attempts();
    let now = at(answer_after_waits(&mut router));
    let deadline = now.mono + Duration::from_millis(3);
    let call = CallHead { deadline, ..head("GET", "/") };
    let attempt = router.begin(now, &call).expect("a server is picked");
    let next = router.finish(now, attempt.id, SERVER_ERROR);
    assert!(matches!(next, Next::Retry(..)), "{next:?}");
}

/// Each server answers 1 ms after a call is sent.
#[test]
fn finish_pause_before_a_retry_is_no_latency_of_its_server() {
    let mut router = router_with_extra_attempts();
    let now = at(answer_after_waits(&mut router));
    let attempt = router.begin(now, &head("GET", "/")).expect("a server is picked");
    assert!(attempt.selection.expected < Duration::from_millis(4), "{:?}", attempt.selection);
}

/// A router that makes two more attempts of calls that have not reached a server.
fn router_with_extra_attempts() -> Router {
    let settings = RouterSettings {
        retries: RetryLimits { extra_unsent_attempts: 2, ..Default::default() },
        domain: "praha-a".try_into().expect("valid name"),
        region: "cz-stred".try_into().expect("valid name"),
    };
    let mut router = Router::new(settings, 1);
    assert!(router.install(Arc::new(common::table(TWO_VERSIONS))));
    router.set_servers(at(0), &three_servers());
    router
}

/// The ends of attempts that are retried, and of which the call may have run.
const MAY_HAVE_RUN: [Outcome; 2] = [Outcome::Reset, Outcome::TimedOut];

fn surely_not_run() -> [Outcome; 3] {
    let retry_after = Duration::from_millis(20);
    [Outcome::NotConnected, Outcome::RefusedByDaemon { retry_after }, Outcome::Shed { retry_after }]
}

/// What a caller is told after attempts that end like this; the last one gets no retry, because
/// there is no fourth server.
fn refusal_after(outcomes: &[Outcome]) -> cyclamen_routing::Refusal {
    let mut router = router_with_extra_attempts();
    router.set_servers(at(0), &three_servers()[..outcomes.len()]);
    let mut now = at(0);
    let mut attempt = router.begin(now, &head("GET", "/")).expect("a server is picked");
    for (number, outcome) in outcomes.iter().enumerate() {
        now = now + Duration::from_millis(1);
        match router.finish(now, attempt.id, *outcome) {
            Next::Retry(next, pause) if number + 1 < outcomes.len() => {
                now = now + pause;
                attempt = next;
            }
            Next::Refuse(refusal) if number + 1 == outcomes.len() => return refusal,
            next => panic!("{next:?} after attempt {number} of {outcomes:?}"),
        }
    }
    unreachable!("the last attempt returns");
}

#[test]
fn finish_refusal_is_true_of_all_attempts() {
    let reason_of = |outcome| match outcome {
        Outcome::TimedOut => "no answer came in time",
        _ => "the connection broke before the answer",
    };
    for last in surely_not_run() {
        for earlier in surely_not_run() {
            let refusal = refusal_after(&[earlier, last]);
            assert_ne!(refusal.kind, RefusalKind::OutcomeUnknown, "{earlier:?}, {last:?}");
            assert!(refusal.reason.contains("the call was not run"), "{refusal:?}");
        }
        for earlier in MAY_HAVE_RUN {
            let refusal = refusal_after(&[earlier, last]);
            assert_eq!(refusal.kind, RefusalKind::OutcomeUnknown, "{earlier:?}, {last:?}");
            assert!(refusal.reason.starts_with(reason_of(earlier)), "{refusal:?}");
        }
    }
    for last in MAY_HAVE_RUN {
        for earlier in surely_not_run().into_iter().chain(MAY_HAVE_RUN) {
            let refusal = refusal_after(&[earlier, last]);
            assert_eq!(refusal.kind, RefusalKind::OutcomeUnknown, "{earlier:?}, {last:?}");
            assert!(refusal.reason.starts_with(reason_of(last)), "{refusal:?}");
        }
    }
    for earlier in surely_not_run().into_iter().chain(MAY_HAVE_RUN) {
        let refusal = refusal_after(&[earlier, Outcome::Cancelled]);
        assert_eq!(refusal.kind, RefusalKind::OutcomeUnknown);
        assert!(refusal.reason.starts_with("the caller went away"), "{refusal:?}");
    }
}

/// The answer to the first attempt, a server error, is not there any more when the retry ends.
#[test]
fn finish_refusal_names_an_earlier_server_error() {
    let mut router = router_with_measured_calls();
    let now = at(1_000_000);
    let first = router.begin(now, &head("GET", "/")).expect("a server is picked");
    let Next::Retry(second, _) = router.finish(now, first.id, SERVER_ERROR) else {
        panic!("a server error is retried on another server");
    };
    router.set_servers(now, &three_servers()[..1]);
    let Next::Refuse(refusal) = router.finish(now, second.id, Outcome::NotConnected) else {
        panic!("no server is left for another attempt");
    };
    assert_eq!(refusal.kind, RefusalKind::OutcomeUnknown);
    assert!(refusal.reason.starts_with("a backend server failed the call"), "{refusal:?}");
}
