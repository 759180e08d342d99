//! Backend servers that cannot be connected to: how many calls are sent there, and when such a
//! server gets calls again. Played in virtual time.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{at, head, router, server};
use cyclamen_routing::{Attempt, AttemptId, Next, Outcome, RefusalKind, Router, ServerInfo};
use cyclamen_types::Incarnation;

const US_PER_MS: u64 = 1_000;
const US_PER_SECOND: u64 = 1_000_000;

/// Time until a connection is given up.
const CONNECT_TIMEOUT_US: u64 = 400 * US_PER_MS;

/// Time of a call at a server.
const CALL_US: u64 = 15 * US_PER_MS;

const ROUTES: &str = "
declarations:
- name: dvere
  service: {version: v1}
- name: dvere/v1
  version: {}
- name: lookup
  route: {service: dvere, timeout: 6s, target: 1200ms, match: {path_prefix: /}}
";

/// What happened at one server.
#[derive(Clone, Copy, Debug, Default)]
struct AtServer {
    attempts: u64,
    /// Attempts that began after the first failed connection.
    after_failure: u64,
    /// Largest number of attempts under way.
    most_under_way: usize,
}

/// Plays calls, some servers being out of reach at some times.
struct Play<F> {
    router: Router,
    interval_us: u64,
    reachable: F,
    /// Attempts under way by the time of their end, with whether they are answered.
    ends: BTreeMap<(u64, AttemptId), (Attempt, bool)>,
    /// When the first connection to each server failed.
    first_failure: BTreeMap<String, u64>,
    servers: BTreeMap<String, AtServer>,
    /// Largest number of attempts under way that will fail and began after the first failed
    /// connection to their servers.
    most_trials: usize,
    refused: u64,
}

impl<F: Fn(&str, u64) -> bool> Play<F> {
    fn new(servers: &[ServerInfo], interval_us: u64, reachable: F) -> Self {
        Self {
            router: router(ROUTES, servers),
            interval_us,
            reachable,
            ends: BTreeMap::new(),
            first_failure: BTreeMap::new(),
            servers: BTreeMap::new(),
            most_trials: 0,
            refused: 0,
        }
    }

    /// Makes calls from `start` to `end`, in seconds, and returns what happened in that time.
    fn play(&mut self, start: u64, end: u64) -> BTreeMap<String, AtServer> {
        self.servers.clear();
        let times = start * US_PER_SECOND..end * US_PER_SECOND;
        for now in times.step_by(self.interval_us as usize) {
            self.end_attempts(now);
            match self.router.begin(at(now), &head("GET", "/")) {
                Ok(attempt) => self.start(now, attempt),
                Err(_) => self.refused += 1,
            }
        }
        self.servers.clone()
    }

    fn start(&mut self, now: u64, attempt: Attempt) {
        let name = attempt.server.to_string();
        let connects = (self.reachable)(&name, now);
        let takes = if connects { CALL_US } else { CONNECT_TIMEOUT_US };
        let is_trial = self.is_after_failure(&name, now);
        self.ends.insert((now + takes, attempt.id), (attempt, connects));
        let under_way = self.ends.values().filter(|(other, _)| other.server.as_str() == name);
        let under_way = under_way.count();
        let server = self.servers.entry(name).or_default();
        server.attempts += 1;
        server.after_failure += u64::from(is_trial);
        server.most_under_way = server.most_under_way.max(under_way);
        let trials = self.ends.iter().filter(|((end, _), (attempt, connects))| {
            let began = end.saturating_sub(CONNECT_TIMEOUT_US);
            !connects && self.is_after_failure(attempt.server.as_str(), began)
        });
        self.most_trials = self.most_trials.max(trials.count());
    }

    fn is_after_failure(&self, server: &str, began: u64) -> bool {
        self.first_failure.get(server).is_some_and(|failed| *failed <= began)
    }

    fn end_attempts(&mut self, until: u64) {
        while let Some(entry) = self.ends.first_entry() {
            let (now, id) = *entry.key();
            if now > until {
                return;
            }
            let (attempt, connects) = entry.remove();
            if connects {
                let answered = Outcome::Answered { status: 200 };
                assert_eq!(self.router.finish(at(now), id, answered), Next::Deliver);
                self.router.end_body(at(now), id, true);
                continue;
            }
            self.first_failure.entry(attempt.server.to_string()).or_insert(now);
            match self.router.finish(at(now), id, Outcome::NotConnected) {
                Next::Retry(attempt, delay) => self.start(now + delay.as_micros() as u64, attempt),
                Next::Refuse(_) => self.refused += 1,
                Next::Deliver => panic!("there is no answer to deliver"),
            }
        }
    }
}

/// Half of the servers in the own domain, half in another one.
fn servers(count: usize) -> Vec<ServerInfo> {
    let domain = |index| if index % 2 == 0 { "praha-a" } else { "kladno" };
    (0..count).map(|index| server(&format!("s{index:02}"), "v1", domain(index))).collect()
}

fn index(name: &str) -> usize {
    name[1..].parse().expect("a number follows the first letter")
}

/// In 20 s and with waits that double from a second there are 5 trials of each server.
#[test]
fn finish_not_connected_keeps_calls_away() {
    for interval_ms in [100, 10, 2] {
        let own_domain_is_away = |name: &str, _| !index(name).is_multiple_of(2);
        let mut play = Play::new(&servers(12), interval_ms * US_PER_MS, own_domain_is_away);
        for (name, server) in play.play(0, 20) {
            let is_away = index(&name).is_multiple_of(2);
            let result = format!("{name}, a call each {interval_ms} ms: {server:?}");
            assert!(!is_away || server.after_failure <= 5, "{result}");
        }
    }
}

#[test]
fn finish_not_connected_refuses_nothing_once_known() {
    for interval_ms in [100, 10, 2] {
        let own_domain_is_away = |name: &str, _| !index(name).is_multiple_of(2);
        let mut play = Play::new(&servers(12), interval_ms * US_PER_MS, own_domain_is_away);
        play.play(0, 3);
        let refused = play.refused;
        play.play(3, 20);
        assert_eq!(play.refused, refused, "a call each {interval_ms} ms");
    }
}

#[test]
fn begin_makes_one_trial_at_a_time() {
    let mut play = Play::new(&servers(24), 2 * US_PER_MS, |name, _| index(name).is_multiple_of(3));
    play.play(0, 20);
    assert_eq!(play.most_trials, 1);
}

#[test]
fn begin_all_unreachable_still_tried() {
    let mut play = Play::new(&servers(6), 10 * US_PER_MS, |_, _| false);
    let attempts: u64 = play.play(0, 10).values().map(|server| server.attempts).sum();
    assert!(attempts >= 1_000, "{attempts} attempts for 1,000 calls");
}

/// The calls need two thirds of the slots, so that no server may be left out for long.
#[test]
fn begin_after_a_partition_spreads_calls_again() {
    let mut play = Play::new(&servers(6), 250, |_, now| now >= 3 * US_PER_SECOND);
    play.play(0, 6);
    let refused = play.refused;
    let after = play.play(6, 8);
    assert_eq!(play.refused, refused);
    assert_eq!(after.len(), 6, "{after:?}");
    assert!(after.values().all(|server| server.most_under_way <= 15), "{after:?}");
}

/// A router that failed to connect to `s00`, the only server of the own domain, and then made
/// calls.
fn router_after_failed_connection() -> Router {
    let mut router = router(ROUTES, &servers(2));
    let mut attempt = router.begin(at(0), &head("GET", "/")).expect("a server is picked");
    assert_eq!(attempt.server.as_str(), "s00", "of the own domain");
    if let Next::Retry(retry, _) = router.finish(at(1), attempt.id, Outcome::NotConnected) {
        attempt = retry;
        router.finish(at(2), attempt.id, Outcome::Answered { status: 200 });
        router.end_body(at(2), attempt.id, true);
    }
    assert_eq!(calls_at_s00(&mut router, 3), 0);
    router
}

/// How many of 100 calls within 10 ms go to server `s00`.
fn calls_at_s00(router: &mut Router, start: u64) -> usize {
    let mut calls = 0;
    for number in 0..100 {
        let now = at(start + number * 100);
        let attempt = router.begin(now, &head("GET", "/")).expect("a server is picked");
        calls += usize::from(attempt.server.as_str() == "s00");
        router.finish(now, attempt.id, Outcome::Answered { status: 200 });
        router.end_body(now, attempt.id, true);
    }
    calls
}

#[test]
fn set_servers_new_announcement_ends_backoff() {
    let mut servers = servers(2);
    for announcement in [(Incarnation(1), 2), (Incarnation(2), 1)] {
        let mut router = router_after_failed_connection();
        router.set_servers(at(200_000), &servers);
        assert_eq!(calls_at_s00(&mut router, 200_000), 0, "the same announcement tells nothing");
        servers[0].announcement = announcement;
        router.set_servers(at(400_000), &servers);
        assert!(calls_at_s00(&mut router, 400_000) > 50);
        servers[0].announcement = (Incarnation(1), 1);
    }
}

#[test]
fn set_servers_end_of_suspicion_ends_backoff() {
    let mut servers = servers(2);
    let mut router = router_after_failed_connection();
    servers[0].suspected_down = true;
    router.set_servers(at(200_000), &servers);
    assert_eq!(calls_at_s00(&mut router, 200_000), 0);
    servers[0].suspected_down = false;
    router.set_servers(at(400_000), &servers);
    assert!(calls_at_s00(&mut router, 400_000) > 50);
}

#[test]
fn finish_success_of_an_earlier_attempt_ends_backoff() {
    let mut router = router(ROUTES, &servers(2));
    let answered = router.begin(at(0), &head("GET", "/")).expect("a server is picked");
    let failed = router.begin(at(0), &head("GET", "/")).expect("a server is picked");
    assert_eq!((answered.server.as_str(), failed.server.as_str()), ("s00", "s00"));
    router.finish(at(1), failed.id, Outcome::NotConnected);
    assert_eq!(calls_at_s00(&mut router, 2), 0);
    router.finish(at(15_000), answered.id, Outcome::Answered { status: 200 });
    router.end_body(at(15_000), answered.id, true);
    assert!(calls_at_s00(&mut router, 15_000) > 50);
}

/// A full server is an answer, which a retry that waits for a connection in vain does not improve.
#[test]
fn finish_no_slot_not_retried_at_an_unreachable_server() {
    let mut router = router_after_failed_connection();
    let attempt = router.begin(at(20_000), &head("GET", "/")).expect("a server is picked");
    assert_eq!(attempt.server.as_str(), "s01");
    let full = Outcome::RefusedByDaemon { retry_after: Duration::from_millis(50) };
    let next = router.finish(at(21_000), attempt.id, full);
    let Next::Refuse(refusal) = next else {
        panic!("no server is left that can be connected to: {next:?}");
    };
    assert_eq!(refusal.kind, RefusalKind::Overloaded);
}
