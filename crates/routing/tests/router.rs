//! Tests of the router: choice of version and backend server, ejection, and retries.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::{TWO_VERSIONS, at, head, router, server};
use cyclamen_routing::{
    CallHead, Nesting, Next, Outcome, RefusalKind, RetryLimits, RouteHoldTime, Router,
    RouterSettings, ServerInfo, ServerLoad, SharedLoad, VersionSplit,
};
use cyclamen_types::{Mono, ServerName};

/// A service with two routes, for tests in which their calls take different times.
const TWO_ROUTES: &str = "
declarations:
- name: dvere
  service: {version: v1}
- name: dvere/v1
  version: {}
- name: long
  route: {service: dvere, timeout: 10s, match: {path_prefix: /long}}
- name: short
  route: {service: dvere, timeout: 10s, match: {path_prefix: /short}}
";

const OK: Outcome = Outcome::Answered { status: 200 };

fn split(share_ppm: u32) -> VersionSplit {
    VersionSplit {
        service: "dvere".try_into().expect("valid name"),
        from: "v1".try_into().expect("valid name"),
        to: "v2".try_into().expect("valid name"),
        share_ppm,
    }
}

/// Makes `calls` calls one after the other and counts them by server.
fn calls_by_server(router: &mut Router, start: u64, calls: u64) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for number in 0..calls {
        let now = at(start + number * 1_000);
        let attempt = router.begin(now, &head("GET", "/")).expect("a server is picked");
        *counts.entry(attempt.server.to_string()).or_insert(0) += 1;
        assert_eq!(router.finish(now + Duration::from_micros(500), attempt.id, OK), Next::Deliver);
        router.end_body(now, attempt.id, true);
    }
    assert_eq!(router.in_flight(), 0);
    counts
}

fn three_servers() -> Vec<ServerInfo> {
    vec![server("a", "v1", "praha-a"), server("b", "v1", "praha-a"), server("c", "v1", "kladno")]
}

#[test]
fn begin_prefers_same_domain() {
    let mut router = router(TWO_VERSIONS, &three_servers());
    let counts = calls_by_server(&mut router, 0, 200);
    assert_eq!(counts.get("c"), None);
    assert!(counts["a"] > 50 && counts["b"] > 50, "{counts:?}");
}

#[test]
fn begin_uses_other_domain_when_full() {
    let mut router = router(TWO_VERSIONS, &three_servers());
    let full = ServerLoad { running: 15, waiting: 3, limit: 15, hold_us: 0 };
    for name in ["a", "b"] {
        router.observe_load(at(0), &ServerName::try_from(name).expect("valid name"), full);
    }
    let attempt = router.begin(at(1), &head("GET", "/")).expect("a server is picked");
    assert_eq!(attempt.server.as_str(), "c");
}

/// The only calls that server `a` has run so far were short ones, and it is full of longer ones.
#[test]
fn begin_disbelieves_a_hold_time_far_below_the_others() {
    let mut router = router(TWO_VERSIONS, &three_servers());
    let full = ServerLoad { running: 15, waiting: 30, limit: 15, hold_us: 2_000 };
    let idle = ServerLoad { running: 0, waiting: 0, limit: 15, hold_us: 420_000 };
    for (name, load) in [("a", full), ("b", idle), ("c", idle)] {
        router.observe_load(at(0), &ServerName::try_from(name).expect("valid name"), load);
    }
    let counts = calls_by_server(&mut router, 1, 20);
    assert_eq!(counts.get("a"), None, "{counts:?}");
}

/// Two routes of one service: one wants an answer in 300 ms, the other says nothing.
const WITH_TARGET: &str = "
declarations:
- name: dvere
  service: {version: v1}
- name: dvere/v1
  version: {}
- name: lookup
  route: {service: dvere, timeout: 10s, target: 300ms, match: {path_prefix: /lookup}}
- name: report
  route: {service: dvere, timeout: 10s, match: {path_prefix: /report}}
";

/// The servers of the own domain hold a call for `own_ms`, that of the other domain for 40 ms.
fn picked_domain_is_own(path: &str, own_ms: u64) -> bool {
    let mut router = router(WITH_TARGET, &three_servers());
    for (name, hold_ms) in [("a", own_ms), ("b", own_ms), ("c", 40)] {
        let load = ServerLoad { running: 2, waiting: 0, limit: 15, hold_us: hold_ms * 1_000 };
        router.observe_load(at(0), &ServerName::try_from(name).expect("valid name"), load);
    }
    let attempt = router.begin(at(1), &head("GET", path)).expect("a server is picked");
    attempt.server.as_str() != "c"
}

#[test]
fn begin_stays_in_own_domain_where_comfortably_on_time() {
    assert!(picked_domain_is_own("/lookup", 90));
    assert!(!picked_domain_is_own("/lookup", 200));
}

#[test]
fn begin_goes_where_it_is_quicker_without_a_target() {
    assert!(!picked_domain_is_own("/report", 90));
}

#[test]
fn begin_avoids_suspected_servers() {
    let mut servers = three_servers();
    servers[0].suspected_down = true;
    servers[1].suspected_down = true;
    let mut router = router(TWO_VERSIONS, &servers);
    assert_eq!(calls_by_server(&mut router, 0, 20).get("c"), Some(&20));
}

#[test]
fn begin_all_suspected_still_served() {
    let mut servers = three_servers();
    for server in &mut servers {
        server.suspected_down = true;
    }
    let mut router = router(TWO_VERSIONS, &servers);
    assert_eq!(calls_by_server(&mut router, 0, 20).values().sum::<u64>(), 20);
}

#[test]
fn begin_skips_draining_server() {
    let mut servers = three_servers();
    servers[0].ready = false;
    let mut router = router(TWO_VERSIONS, &servers);
    assert_eq!(calls_by_server(&mut router, 0, 50).get("a"), None);
    router.set_servers(at(60_000), &[]);
    let refusal = router.begin(at(60_000), &head("GET", "/")).expect_err("no server accepts calls");
    assert_eq!(refusal.kind, RefusalKind::Unavailable);
}

#[test]
fn begin_follows_move_share() {
    let servers = [server("a", "v1", "praha-a"), server("b", "v2", "praha-a")];
    let mut router = router(TWO_VERSIONS, &servers);
    assert_eq!(calls_by_server(&mut router, 0, 100).get("b"), None);
    router.set_splits(&[split(250_000)]);
    let counts = calls_by_server(&mut router, 100_000, 4_000);
    assert!((900..1_100).contains(&counts["b"]), "{counts:?}");
    router.set_splits(&[split(0)]);
    assert_eq!(calls_by_server(&mut router, 5_000_000, 100).get("b"), None);
}

#[test]
fn begin_falls_back_only_during_move() {
    let old = [server("a", "v1", "praha-a")];
    let new = [server("b", "v2", "praha-a")];
    let mut router = router(TWO_VERSIONS, &old);
    router.set_splits(&[split(1_000_000)]);
    assert_eq!(calls_by_server(&mut router, 0, 10).get("a"), Some(&10));
    router.set_servers(at(20_000), &new);
    router.set_splits(&[split(1)]);
    assert_eq!(calls_by_server(&mut router, 20_000, 10).get("b"), Some(&10));
    router.set_splits(&[split(0)]);
    assert!(router.begin(at(40_000), &head("GET", "/")).is_err());
    router.set_splits(&[]);
    assert!(router.begin(at(40_000), &head("GET", "/")).is_err());
}

#[test]
fn begin_sticky_key_keeps_new_version() {
    let servers = [server("a", "v1", "praha-a"), server("b", "v2", "praha-a")];
    let mut router = router(TWO_VERSIONS, &servers);
    let mut on_new_version = [false; 200];
    for share in [0, 50_000, 300_000, 800_000, 1_000_000] {
        router.set_splits(&[split(share)]);
        for (number, on_new_version) in on_new_version.iter_mut().enumerate() {
            let key = format!("inspector-{number}");
            let header = |name: &str| (name == "x-inspector").then_some(key.as_str());
            let head = CallHead {
                method: "GET",
                host: "dvere",
                path: "/sticky",
                header: &header,
                deadline: Mono::NEVER,
                nesting: Nesting::NO_REPEATS,
            };
            let attempt = router.begin(at(0), &head).expect("a server is picked");
            router.finish(at(1), attempt.id, Outcome::Cancelled);
            let new = attempt.version.as_str() == "v2";
            assert!(new || !*on_new_version, "{key} went back to the old version at {share} ppm");
            *on_new_version = new;
        }
        let expected = 200 * share as usize / 1_000_000;
        let count = on_new_version.iter().filter(|on_new_version| **on_new_version).count();
        assert!(count.abs_diff(expected) < 30, "{count} of 200 on the new version at {share} ppm");
    }
}

#[test]
fn finish_slow_server_gets_fewer_calls() {
    let servers = [server("a", "v1", "praha-a"), server("b", "v1", "praha-a")];
    let mut router = router(TWO_VERSIONS, &servers);
    let mut slow = 0;
    for number in 0..400 {
        let now = at(number * 5_000);
        let attempt = router.begin(now, &head("GET", "/")).expect("a server is picked");
        let is_slow = attempt.server.as_str() == "a";
        slow += u64::from(is_slow);
        let latency = Duration::from_millis(if is_slow { 40 } else { 2 });
        router.finish(now + latency, attempt.id, OK);
        router.end_body(now + latency, attempt.id, true);
    }
    assert!(slow < 100, "{slow}");
}

#[test]
fn finish_ejected_server_returns() {
    let mut router = router(TWO_VERSIONS, &three_servers());
    let mut now = at(0);
    let mut failed = 0;
    while router.counters().ejections == 0 {
        let attempt = router.begin(now, &head("POST", "/")).expect("a server is picked");
        let broken = attempt.server.as_str() == "a";
        failed += u32::from(broken);
        router.finish(now, attempt.id, if broken { Outcome::Reset } else { OK });
        router.end_body(now, attempt.id, true);
        now = now + Duration::from_millis(1);
        assert!(failed < 10);
    }
    assert_eq!(calls_by_server(&mut router, now.mono.0, 1_000).get("a"), None);
    let later = now.mono.0 + 60_000_000;
    assert!(calls_by_server(&mut router, later, 1_000).contains_key("a"));
}

#[test]
fn finish_ejections_capped() {
    let servers = [
        server("a", "v1", "praha-a"),
        server("b", "v1", "praha-a"),
        server("c", "v1", "praha-a"),
        server("d", "v1", "praha-a"),
    ];
    let mut router = router(TWO_VERSIONS, &servers);
    for number in 0..200 {
        let attempt = router.begin(at(number), &head("POST", "/")).expect("a server is picked");
        router.finish(at(number), attempt.id, Outcome::Reset);
    }
    assert_eq!(router.counters().ejections, 1);
}

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

#[test]
fn install_refuses_older_version() {
    let mut router = router(TWO_VERSIONS, &three_servers());
    let current = router.table().version();
    assert!(current.0 > 0);
    assert!(!router.install(Default::default()));
    assert_eq!(router.table().version(), current);
}

#[test]
fn begin_refuses_expired_call() {
    let mut router = router(TWO_VERSIONS, &three_servers());
    let call = CallHead { deadline: Mono(5), ..head("GET", "/") };
    let refusal = router.begin(at(6), &call).expect_err("the deadline has passed");
    assert_eq!(refusal.kind, RefusalKind::Expired);
}

/// A slow server that got only short calls must not appear faster than a fast server that got long
/// ones.
#[test]
fn typical_hold_time_independent_of_route_mix() {
    let mut router = router(TWO_ROUTES, &three_servers());
    for number in 0..40 {
        let (path, took) = if number % 4 == 0 { ("/long", 300) } else { ("/short", 60) };
        let now = at(number * 1_000_000);
        let attempt = router.begin(now, &head("GET", path)).expect("a server is picked");
        router.finish(now + Duration::from_millis(took), attempt.id, OK);
        router.end_body(now + Duration::from_millis(took), attempt.id, true);
    }
    let (long, short) =
        ("long".try_into().expect("valid name"), "short".try_into().expect("valid name"));
    let hold = |route, seconds| RouteHoldTime { route, seconds, calls: 10.0 };
    let service = "dvere".try_into().expect("valid name");
    let slow = router.average_hold_seconds(&service, [hold(&short, 0.09)].into_iter());
    let quick =
        router.average_hold_seconds(&service, [hold(&long, 0.24), hold(&short, 0.05)].into_iter());
    let (slow, quick) = (slow.expect("enough samples"), quick.expect("enough samples"));
    assert!((0.17..0.19).contains(&slow), "1.5 times the 120 ms of an average call: {slow}");
    assert!((0.09..0.11).contains(&quick), "0.8 times the 120 ms of an average call: {quick}");
}

/// Loads shared by another daemon are used for servers that this router has not called, and are
/// shared further with their age.
#[test]
fn hear_loads_used_for_placement() {
    let mut router = router(TWO_VERSIONS, &three_servers());
    let full = ServerLoad { running: 15, waiting: 3, limit: 15, hold_us: 50_000 };
    let name = |name| ServerName::try_from(name).expect("valid name");
    let age = Duration::from_millis(300);
    let loads = ["a", "b"].map(|server| SharedLoad { server: name(server), load: full, age });
    router.observe_shared_loads(at(1_000_000), &loads);
    let attempt = router.begin(at(1_000_001), &head("GET", "/")).expect("a server is picked");
    assert_eq!(attempt.server.as_str(), "c");
    let service = "dvere".try_into().expect("valid name");
    let shared = router.loads_to_share(at(1_200_000), &service, &name("b"));
    let age = Duration::from_millis(500);
    assert_eq!(shared, [SharedLoad { server: name("a"), load: full, age }]);
}

/// A shared load does not replace a newer report of the same server.
#[test]
fn hear_loads_keeps_newer_report() {
    let mut router = router(TWO_VERSIONS, &three_servers());
    let full = ServerLoad { running: 15, waiting: 3, limit: 15, hold_us: 50_000 };
    let free = ServerLoad { running: 0, waiting: 0, limit: 15, hold_us: 50_000 };
    let name: ServerName = "a".try_into().expect("valid name");
    router.observe_load(at(900_000), &name, free);
    let age = Duration::from_millis(300);
    router.observe_shared_loads(
        at(1_000_000),
        &[SharedLoad { server: name.clone(), load: full, age }],
    );
    let service = "dvere".try_into().expect("valid name");
    let shared =
        router.loads_to_share(at(1_000_000), &service, &"b".try_into().expect("valid name"));
    assert_eq!(shared[0].load, free);
}

/// A server that slows down runs fewer calls than it has slots. Its daemon reports how many.
#[test]
fn begin_counts_the_reported_limit_as_slots() {
    let mut router = router(TWO_VERSIONS, &three_servers());
    let full = ServerLoad { running: 4, waiting: 2, limit: 4, hold_us: 50_000 };
    let free = ServerLoad { running: 4, waiting: 0, limit: 15, hold_us: 50_000 };
    for (name, load) in [("a", full), ("b", full), ("c", free)] {
        router.observe_load(at(0), &ServerName::try_from(name).expect("valid name"), load);
    }
    let counts = calls_by_server(&mut router, 1, 100);
    assert_eq!(counts.get("c"), Some(&100), "{counts:?}");
}

/// An old report says little of how many calls a server runs by now.
#[test]
fn begin_forgets_an_old_limit() {
    let mut router = router(TWO_VERSIONS, &three_servers()[..2]);
    let low = ServerLoad { running: 0, waiting: 0, limit: 1, hold_us: 50_000 };
    let usual = ServerLoad { running: 0, waiting: 0, limit: 15, hold_us: 50_000 };
    for (name, load) in [("a", low), ("b", usual)] {
        router.observe_load(at(0), &ServerName::try_from(name).expect("valid name"), load);
    }
    let counts = calls_by_server(&mut router, 30_000_000, 200);
    assert!(counts["a"] > 50, "{counts:?}");
}

/// A server that sheds calls although its daemon has free slots gets few calls.
#[test]
fn begin_avoids_shedding_server() {
    let mut router = router(TWO_VERSIONS, &three_servers()[..2]);
    let shed = Outcome::Shed { retry_after: Duration::from_millis(20) };
    let mut shed_by_a = 0;
    for number in 0..200 {
        let now = at(number * 25_000);
        let attempt = router.begin(now, &head("GET", "/")).expect("a server is picked");
        if attempt.server.as_str() == "a" {
            shed_by_a += 1;
            router.finish(now + Duration::from_millis(1), attempt.id, shed);
        } else {
            router.finish(now + Duration::from_millis(10), attempt.id, OK);
            router.end_body(now + Duration::from_millis(10), attempt.id, true);
        }
    }
    assert!(shed_by_a <= 20, "{shed_by_a} of 200 calls were shed");
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

/// Makes calls that their callers cancel after this time, until one goes to another domain; returns
/// how many stayed in the own one, at most 40.
fn cancelled_in_own_domain(after_ms: u64) -> u64 {
    let mut router = router(TWO_VERSIONS, &three_servers());
    for (name, hold_us) in [("a", 90_000), ("b", 90_000), ("c", 150_000)] {
        let load = ServerLoad { running: 1, waiting: 0, limit: 15, hold_us };
        router.observe_load(at(0), &ServerName::try_from(name).expect("valid name"), load);
    }
    for number in 0..40 {
        let began = number * 1_000;
        let attempt = router.begin(at(began), &head("GET", "/")).expect("a server is picked");
        if attempt.server.as_str() == "c" {
            return number;
        }
        router.finish(at(began + after_ms * 1_000), attempt.id, Outcome::Cancelled);
    }
    40
}

#[test]
fn cancelled_long_after_the_usual_time_counts_against_the_server() {
    assert!(cancelled_in_own_domain(800) < 10);
}

#[test]
fn cancelled_early_says_nothing_about_the_server() {
    assert_eq!(cancelled_in_own_domain(300), 40);
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
