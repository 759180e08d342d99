//! A daemon that stops takes the calls that it can answer, and refuses the others as not run.

mod common;

use std::time::Duration;

use common::{OK, TWO_VERSIONS, at, head, router, three_servers};
use cyclamen_routing::{CallHead, Next, Outcome, RefusalKind, Router, StopDecision, StopTimes};
use cyclamen_types::Mono;
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);

fn ms(millis: u64) -> Mono {
    Mono(millis * 1_000)
}

/// A stop that begins at 0.
fn stop(callers_leave_by: u64, calls_end: u64) -> StopTimes {
    StopTimes { callers_leave_by: ms(callers_leave_by), calls_end: ms(calls_end) }
}

/// Guards against calls that are cut by a stop, and against refusals of calls that would be
/// answered: plays the time from the order to stop on.
#[test]
fn decide_over_a_stop() {
    let stop = stop(2_500, 5_700);
    let decide = |at: u64, limit: u64, average: Option<u32>| {
        stop.decide(ms(at), ms(at + limit), average.map(|millis| millis * MS))
    };
    // Short limits are no matter until near the end.
    for at in [0, 1_000, 2_500, 3_000] {
        assert_eq!(decide(at, 1_200, None), StopDecision::Make(ms(at + 1_200)));
    }
    // A long limit, and a server that answers soon: the server is told of the end.
    for at in [0, 1_000, 2_500, 3_000] {
        assert_eq!(decide(at, 6_000, Some(500)), StopDecision::Make(ms(5_600)));
    }
    // The same with a server that takes long, or about which nothing is known: refused at once.
    assert_eq!(decide(0, 6_000, Some(5_500)), StopDecision::Refuse(2_500 * MS));
    assert_eq!(decide(0, 6_000, None), StopDecision::Refuse(2_500 * MS));
    assert_eq!(decide(2_400, 6_000, Some(1_500)), StopDecision::Refuse(100 * MS));
    assert_eq!(decide(2_900, 3_000, Some(2_850)), StopDecision::Refuse(20 * MS));
    assert_eq!(decide(2_500, 3_000, Some(2_850)), StopDecision::Make(ms(5_500)), "in any case");
}

proptest! {
    /// No attempt outlasts the calls, none gets more time than its call has, and more time left never
    /// means a refusal.
    #[test]
    fn decide_bounds_every_attempt(
        now in 0..12_000_u64,
        limit in 1..12_000_u64,
        average in prop::option::of(1..8_000_u32),
        calls_end in 0..10_000_u64,
    ) {
        let average = average.map(|millis| millis * MS);
        let decide = |calls_end| stop(2_500, calls_end).decide(ms(now), ms(now + limit), average);
        match decide(calls_end) {
            StopDecision::Make(deadline) => {
                prop_assert!(deadline <= ms(now + limit));
                prop_assert!(deadline < ms(calls_end));
                prop_assert!(matches!(decide(calls_end + 1_000), StopDecision::Make(_)));
            }
            StopDecision::Refuse(retry_after) => prop_assert!(retry_after > Duration::ZERO),
        }
    }
}

/// Calls that take 200 ms each, so that the router knows.
fn learn(router: &mut Router, start: u64) {
    for number in 0..10 {
        let begun = start + number * 300_000;
        let attempt = router.begin(at(begun), &head("GET", "/")).expect("a server is picked");
        assert_eq!(router.finish(at(begun + 200_000), attempt.id, OK), Next::Deliver);
        router.end_body(at(begun + 200_000), attempt.id, true);
    }
}

/// Guards against calls that are cut by a stop: the route's time is longer than what is left.
#[test]
fn begin_while_the_daemon_stops() {
    let mut router = router(TWO_VERSIONS, &three_servers());
    router.stop(stop(2_500, 5_700));
    let refusal = router.begin(at(0), &head("GET", "/")).expect_err("nothing is known of it");
    assert_eq!(refusal.kind, RefusalKind::Unavailable);
    assert_eq!(refusal.retry_after, Some(2_500 * MS));

    let mut router = common::router(TWO_VERSIONS, &three_servers());
    learn(&mut router, 0);
    router.stop(stop(5_500, 8_700));
    // Of another route of the service.
    let attempt = router.begin(at(4_000_000), &head("POST", "/once")).expect("it answers soon");
    assert_eq!(attempt.deadline, ms(8_600));
    let deadline = ms(5_000);
    let short = CallHead { deadline, ..head("POST", "/once") };
    assert_eq!(router.begin(at(4_000_000), &short).expect("in time").deadline, deadline);
    let refusal = router.begin(at(8_100_000), &head("GET", "/")).expect_err("too late");
    assert_eq!(refusal.kind, RefusalKind::Unavailable);
}

/// Guards against retries that a stop cuts, of calls that began before it.
#[test]
fn retry_while_the_daemon_stops() {
    let mut router = router(TWO_VERSIONS, &three_servers());
    learn(&mut router, 0);
    let first = router.begin(at(4_000_000), &head("GET", "/")).expect("a server is picked");
    assert_eq!(first.deadline, ms(14_000));
    router.stop(stop(6_500, 9_700));
    let Next::Retry(second, _) = router.finish(at(4_100_000), first.id, Outcome::NotConnected)
    else {
        panic!("no retry");
    };
    assert_eq!(second.deadline, ms(9_600));
    let next = router.finish(at(9_500_000), second.id, Outcome::NotConnected);
    let Next::Refuse(refusal) = next else {
        panic!("{next:?}");
    };
    assert_eq!(refusal.kind, RefusalKind::Unavailable, "not run");
}
