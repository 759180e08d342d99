//! The choice of version and backend server, ejection, retries.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{DOORS, at, head, router, server};
use cyclamen_routing::{
    CallHead, HeardLoad, Next, Outcome, RefusalKind, RouteHoldTime, Router, ServerInfo, ServerLoad,
    VersionSplit,
};
use cyclamen_types::{Mono, ServerName};

/// One service whose routes take different times.
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
        service: "dvere".try_into().expect("a name"),
        from: "v1".try_into().expect("a name"),
        to: "v2".try_into().expect("a name"),
        share_ppm,
    }
}

/// Calls by server, of `calls` calls made one after the other.
fn spread(router: &mut Router, start: u64, calls: u64) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for number in 0..calls {
        let now = at(start + number * 1_000);
        let attempt = router.begin(now, &head("GET", "/")).expect("a server");
        *counts.entry(attempt.server.to_string()).or_insert(0) += 1;
        assert_eq!(router.finish(now + Duration::from_micros(500), attempt.id, OK), Next::Deliver);
        router.end_body(now, attempt.id, true);
    }
    assert_eq!(router.in_flight(), 0);
    counts
}

fn three() -> Vec<ServerInfo> {
    vec![server("a", "v1", "praha-a"), server("b", "v1", "praha-a"), server("c", "v1", "kladno")]
}

#[test]
fn begin_same_domain_first() {
    let mut router = router(DOORS, &three());
    let counts = spread(&mut router, 0, 200);
    assert_eq!(counts.get("c"), None);
    assert!(counts["a"] > 50 && counts["b"] > 50, "{counts:?}");
}

#[test]
fn begin_other_domain_when_full() {
    let mut router = router(DOORS, &three());
    let full = ServerLoad { running: 15, waiting: 3, limit: 15, hold_us: 0 };
    for name in ["a", "b"] {
        router.observe_load(at(0), &ServerName::try_from(name).expect("a name"), full);
    }
    let attempt = router.begin(at(1), &head("GET", "/")).expect("a server");
    assert_eq!(attempt.server.as_str(), "c");
}

#[test]
fn begin_doubtful_last() {
    let mut servers = three();
    servers[0].doubtful = true;
    servers[1].doubtful = true;
    let mut router = router(DOORS, &servers);
    assert_eq!(spread(&mut router, 0, 20).get("c"), Some(&20));
}

#[test]
fn begin_cut_off_serves() {
    let mut servers = three();
    for server in &mut servers {
        server.doubtful = true;
    }
    let mut router = router(DOORS, &servers);
    assert_eq!(spread(&mut router, 0, 20).values().sum::<u64>(), 20);
}

#[test]
fn begin_draining_never() {
    let mut servers = three();
    servers[0].ready = false;
    let mut router = router(DOORS, &servers);
    assert_eq!(spread(&mut router, 0, 50).get("a"), None);
    router.set_servers(at(60_000), &[]);
    let refusal = router.begin(at(60_000), &head("GET", "/")).expect_err("no server");
    assert_eq!(refusal.kind, RefusalKind::Unavailable);
}

#[test]
fn begin_share_of_move() {
    let servers = [server("a", "v1", "praha-a"), server("b", "v2", "praha-a")];
    let mut router = router(DOORS, &servers);
    assert_eq!(spread(&mut router, 0, 100).get("b"), None);
    router.set_splits(&[split(250_000)]);
    let counts = spread(&mut router, 100_000, 4_000);
    assert!((900..1_100).contains(&counts["b"]), "{counts:?}");
    router.set_splits(&[split(0)]);
    assert_eq!(spread(&mut router, 5_000_000, 100).get("b"), None);
}

#[test]
fn begin_stand_in_of_move_only() {
    let old = [server("a", "v1", "praha-a")];
    let new = [server("b", "v2", "praha-a")];
    let mut router = router(DOORS, &old);
    router.set_splits(&[split(1_000_000)]);
    assert_eq!(spread(&mut router, 0, 10).get("a"), Some(&10));
    router.set_servers(at(20_000), &new);
    router.set_splits(&[split(1)]);
    assert_eq!(spread(&mut router, 20_000, 10).get("b"), Some(&10));
    router.set_splits(&[split(0)]);
    assert!(router.begin(at(40_000), &head("GET", "/")).is_err());
    router.set_splits(&[]);
    assert!(router.begin(at(40_000), &head("GET", "/")).is_err());
}

#[test]
fn begin_sticky_while_share_grows() {
    let servers = [server("a", "v1", "praha-a"), server("b", "v2", "praha-a")];
    let mut router = router(DOORS, &servers);
    let mut moved = [false; 200];
    for share in [0, 50_000, 300_000, 800_000, 1_000_000] {
        router.set_splits(&[split(share)]);
        for (number, moved) in moved.iter_mut().enumerate() {
            let key = format!("inspector-{number}");
            let header = |name: &str| (name == "x-inspector").then_some(key.as_str());
            let head = CallHead {
                method: "GET",
                host: "dvere",
                path: "/sticky",
                header: &header,
                deadline: Mono::NEVER,
            };
            let attempt = router.begin(at(0), &head).expect("a server");
            router.finish(at(1), attempt.id, Outcome::Cancelled);
            let new = attempt.version.as_str() == "v2";
            assert!(new || !*moved, "{key} went back at {share}");
            *moved = new;
        }
        let expected = 200 * share as usize / 1_000_000;
        let count = moved.iter().filter(|moved| **moved).count();
        assert!(count.abs_diff(expected) < 30, "{count} of 200 at {share}");
    }
}

#[test]
fn finish_slow_server_gets_less() {
    let servers = [server("a", "v1", "praha-a"), server("b", "v1", "praha-a")];
    let mut router = router(DOORS, &servers);
    let mut slow = 0;
    for number in 0..400 {
        let now = at(number * 5_000);
        let attempt = router.begin(now, &head("GET", "/")).expect("a server");
        let is_slow = attempt.server.as_str() == "a";
        slow += u64::from(is_slow);
        let latency = Duration::from_millis(if is_slow { 40 } else { 2 });
        router.finish(now + latency, attempt.id, OK);
        router.end_body(now + latency, attempt.id, true);
    }
    assert!(slow < 100, "{slow}");
}

#[test]
fn finish_ejects_and_lets_return() {
    let mut router = router(DOORS, &three());
    let mut now = at(0);
    let mut failed = 0;
    while router.counters().ejections == 0 {
        let attempt = router.begin(now, &head("POST", "/")).expect("a server");
        let broken = attempt.server.as_str() == "a";
        failed += u32::from(broken);
        router.finish(now, attempt.id, if broken { Outcome::Reset } else { OK });
        router.end_body(now, attempt.id, true);
        now = now + Duration::from_millis(1);
        assert!(failed < 10);
    }
    assert_eq!(spread(&mut router, now.mono.0, 1_000).get("a"), None);
    let later = now.mono.0 + 60_000_000;
    assert!(spread(&mut router, later, 1_000).contains_key("a"));
}

#[test]
fn finish_ejects_within_cap() {
    let servers = [
        server("a", "v1", "praha-a"),
        server("b", "v1", "praha-a"),
        server("c", "v1", "praha-a"),
        server("d", "v1", "praha-a"),
    ];
    let mut router = router(DOORS, &servers);
    for number in 0..200 {
        let attempt = router.begin(at(number), &head("POST", "/")).expect("a server");
        router.finish(at(number), attempt.id, Outcome::Reset);
    }
    assert_eq!(router.counters().ejections, 1);
}

#[test]
fn finish_retry_elsewhere() {
    let mut router = router(DOORS, &three());
    let first = router.begin(at(0), &head("POST", "/once")).expect("a server");
    let Next::Retry(second, _) = router.finish(at(1), first.id, Outcome::NotConnected) else {
        panic!("a call that was not run is tried elsewhere");
    };
    assert_ne!(first.server, second.server);
    let Next::Refuse(refusal) = router.finish(at(2), second.id, Outcome::Reset) else {
        panic!("a call that may have run is not tried again");
    };
    assert_eq!(refusal.kind, RefusalKind::OutcomeUnknown);
}

#[test]
fn finish_twice_ignored() {
    let mut router = router(DOORS, &three());
    let attempt = router.begin(at(0), &head("POST", "/once")).expect("a server");
    router.finish(at(1), attempt.id, Outcome::TimedOut);
    let late = router.finish(at(2), attempt.id, OK);
    assert!(matches!(late, Next::Refuse(_)), "a late answer is not passed on: {late:?}");
    assert_eq!(router.in_flight(), 0);
}

#[test]
fn finish_budget_bounds_retries() {
    let mut router = router(DOORS, &three());
    let calls = 2_000;
    for number in 0..calls {
        let now = at(number * 100);
        let mut attempt = router.begin(now, &head("GET", "/")).expect("a server");
        while let Next::Retry(next, _) = router.finish(now, attempt.id, Outcome::Reset) {
            attempt = next;
        }
    }
    let retries = router.counters().retries;
    assert!(retries <= calls / 10 + 25, "{retries}");
    assert!(router.counters().retries_refused > 0);
}

#[test]
fn install_only_upward() {
    let mut router = router(DOORS, &three());
    let held = router.table().version();
    assert!(held.0 > 0);
    assert!(!router.install(Default::default()));
    assert_eq!(router.table().version(), held);
}

#[test]
fn begin_expired() {
    let mut router = router(DOORS, &three());
    let call = CallHead { deadline: Mono(5), ..head("GET", "/") };
    let refusal = router.begin(at(6), &call).expect_err("the deadline has passed");
    assert_eq!(refusal.kind, RefusalKind::Expired);
}

/// A slow server that had short calls only does not pass for quicker than a quick one that had
/// long ones.
#[test]
fn usual_hold_by_route() {
    let mut router = router(TWO_ROUTES, &three());
    for number in 0..40 {
        let (path, took) = if number % 4 == 0 { ("/long", 300) } else { ("/short", 60) };
        let began = at(number * 1_000_000);
        let attempt = router.begin(began, &head("GET", path)).expect("a server");
        router.finish(began + Duration::from_millis(took), attempt.id, OK);
        router.end_body(began + Duration::from_millis(took), attempt.id, true);
    }
    let (long, short) = ("long".try_into().expect("a name"), "short".try_into().expect("a name"));
    let hold = |route, seconds| RouteHoldTime { route, seconds, calls: 10.0 };
    let service = "dvere".try_into().expect("a name");
    let slow = router.usual_hold(&service, [hold(&short, 0.09)].into_iter());
    let quick = router.usual_hold(&service, [hold(&long, 0.24), hold(&short, 0.05)].into_iter());
    let (slow, quick) = (slow.expect("known"), quick.expect("known"));
    assert!((0.17..0.19).contains(&slow), "120 ms for the mix, half as long again: {slow}");
    assert!((0.09..0.11).contains(&quick), "120 ms for the mix, a fifth less: {quick}");
}

/// Of a server that this router had no answer of, it learns by the answers of others.
#[test]
fn hear_loads_of_others() {
    let mut router = router(DOORS, &three());
    let full = ServerLoad { running: 15, waiting: 3, limit: 15, hold_us: 50_000 };
    let name = |name| ServerName::try_from(name).expect("a name");
    let age = Duration::from_millis(300);
    let heard = ["a", "b"].map(|server| HeardLoad { server: name(server), load: full, age });
    router.hear_loads(at(1_000_000), &heard);
    let attempt = router.begin(at(1_000_001), &head("GET", "/")).expect("a server");
    assert_eq!(attempt.server.as_str(), "c");
    let service = "dvere".try_into().expect("a name");
    let told = router.tell_loads(at(1_200_000), &service, &name("b"));
    let age = Duration::from_millis(500);
    assert_eq!(told, [HeardLoad { server: name("a"), load: full, age }]);
}

/// What was heard does not replace what is known from later.
#[test]
fn hear_loads_older() {
    let mut router = router(DOORS, &three());
    let full = ServerLoad { running: 15, waiting: 3, limit: 15, hold_us: 50_000 };
    let free = ServerLoad { running: 0, waiting: 0, limit: 15, hold_us: 50_000 };
    let name: ServerName = "a".try_into().expect("a name");
    router.observe_load(at(900_000), &name, free);
    let age = Duration::from_millis(300);
    router.hear_loads(at(1_000_000), &[HeardLoad { server: name.clone(), load: full, age }]);
    let service = "dvere".try_into().expect("a name");
    let told = router.tell_loads(at(1_000_000), &service, &"b".try_into().expect("a name"));
    assert_eq!(told[0].load, free);
}

/// A server that sheds calls though the daemon beside it found slots for them gets few more.
#[test]
fn begin_away_from_a_server_that_sheds() {
    let mut router = router(DOORS, &three()[..2]);
    let shed = Outcome::Shed { retry_after: Duration::from_millis(20) };
    let mut shed_by_a = 0;
    for number in 0..200 {
        let now = at(number * 25_000);
        let attempt = router.begin(now, &head("GET", "/")).expect("a server");
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

const FAILED: Outcome = Outcome::Answered { status: 500 };

/// A router that knows how long its calls take.
fn experienced() -> Router {
    let mut router = router(DOORS, &three());
    spread(&mut router, 0, 40);
    router
}

#[test]
fn finish_failed_idempotent_asks_another() {
    let mut router = experienced();
    let began = at(1_000_000);
    let first = router.begin(began, &head("GET", "/")).expect("a server");
    let Next::Retry(second, pause) = router.finish(began, first.id, FAILED) else {
        panic!("another server may do better");
    };
    assert!(second.server != first.server && pause.is_zero() && second.earlier == 1);
    assert_eq!(router.finish(began, second.id, OK), Next::Deliver);
    router.end_body(began, second.id, true);
    assert_eq!(router.in_flight(), 0);
}

#[test]
fn finish_failed_is_delivered() {
    let mut router = experienced();
    let began = at(1_000_000);
    let once = router.begin(began, &head("POST", "/once")).expect("a server");
    assert_eq!(router.finish(began, once.id, FAILED), Next::Deliver, "it may run once");
    let late = router.begin(began, &head("GET", "/")).expect("a server");
    let out_of_time = Outcome::Answered { status: 504 };
    assert_eq!(router.finish(began, late.id, out_of_time), Next::Deliver);
    router.set_splits(&[split(10_000)]);
    let moving = router.begin(began, &head("GET", "/")).expect("a server");
    assert_eq!(router.finish(began, moving.id, FAILED), Next::Deliver, "a move judges failures");
}

/// Servers that fail everything get a tenth more calls, not twice as many.
#[test]
fn finish_failed_within_the_budget() {
    let mut router = experienced();
    let mut repeats = 0;
    for number in 0..1_000 {
        let now = at(1_000_000 + number * 10);
        let attempt = router.begin(now, &head("GET", "/")).expect("a server");
        let mut next = router.finish(now, attempt.id, FAILED);
        let mut last = attempt.id;
        while let Next::Retry(again, _) = next {
            repeats += 1;
            last = again.id;
            next = router.finish(now, again.id, FAILED);
        }
        router.end_body(now, last, true);
    }
    assert!((90..=125).contains(&repeats), "{repeats} repeats of 1000 calls");
}
