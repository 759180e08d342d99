//! Tests of which calls count as repeats, and simulations of the retries that all daemons of a mesh
//! make together.

mod common;

use std::sync::Arc;

use common::{TWO_VERSIONS, at, head, router, server, table};
use cyclamen_routing::{
    Attempt, CallHead, Nesting, Next, Outcome, RetryLimits, Router, RouterSettings, ServerInfo,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const US_PER_SECOND: u64 = 1_000_000;

/// Whole seconds in which all goes well, then those in which the repeats are counted.
const CALM_SECONDS: u64 = 60;
const COUNTED_SECONDS: u64 = 10;

/// The share of all calls to a service in [`COUNTED_SECONDS`] that may be repeats.
const ALLOWED_SHARE: f64 = 0.2;

/// A mesh, and the repeats at a service that all its daemons together may make in
/// [`COUNTED_SECONDS`] beyond [`ALLOWED_SHARE`].
#[derive(Clone, Copy, Debug)]
struct Mesh {
    daemons: f64,
    allowed_repeats: f64,
}

const MESHES: [Mesh; 3] = [
    Mesh { daemons: 13.0, allowed_repeats: 64.0 },
    Mesh { daemons: 72.0, allowed_repeats: 184.0 },
    Mesh { daemons: 295.0, allowed_repeats: 630.0 },
];

/// Calls of route `lookup` make calls of route `check`.
const TWO_SERVICES: &str = "
declarations:
- name: dvere
  service: {version: v1}
- name: dvere/v1
  version: {}
- name: zavady
  service: {version: v1}
- name: zavady/v1
  version: {}
- name: lookup
  route: {service: dvere, timeout: 6s, match: {path_prefix: /lookup}}
- name: check
  route: {service: zavady, timeout: 1200ms, match: {path_prefix: /check}}
";

/// A daemon of a mesh in which all have the same calls.
struct Daemon {
    router: Router,
    rng: SmallRng,
    /// Share of the arrivals at the called service that its servers shed or fail.
    shed_share: f64,
    /// Calls to that service, and arrivals there that are repeats.
    checks: u64,
    repeats: u64,
    /// Retries of calls to other services.
    retries_above_last: u64,
    /// Whether servers' errors are told apart from those that come of a failed call of theirs.
    reports_nested_failures: bool,
}

impl Daemon {
    fn new(mesh: Mesh) -> Self {
        Self::with_routes(mesh, TWO_SERVICES, &["dvere", "zavady"])
    }

    /// A daemon of a mesh with these declarations, and four servers of each service.
    fn with_routes(mesh: Mesh, yaml: &str, services: &[&str]) -> Self {
        let settings = RouterSettings {
            domain: "praha-a".try_into().expect("valid name"),
            region: "cz-stred".try_into().expect("valid name"),
            retries: limits(mesh),
        };
        let mut router = Router::new(settings, 1);
        assert!(router.install(Arc::new(table(yaml))));
        router.set_daemons(mesh.daemons as usize);
        let mut servers = Vec::new();
        for (service, number) in
            services.iter().flat_map(|service| (0..4).map(move |n| (service, n)))
        {
            let name = format!("{service}-{number}");
            let service = (*service).try_into().expect("valid name");
            servers.push(ServerInfo { service, ..server(&name, "v1", "praha-a") });
        }
        router.set_servers(at(0), &servers);
        let rng = SmallRng::seed_from_u64(7);
        Self {
            router,
            rng,
            shed_share: 0.0,
            checks: 0,
            repeats: 0,
            retries_above_last: 0,
            reports_nested_failures: false,
        }
    }

    /// A call to `zavady`; `parent` is the attempt whose run makes it. Returns whether it succeeds.
    fn check(&mut self, now: u64, parent: Option<&Attempt>) -> bool {
        let call = CallHead { nesting: nesting(parent), ..head("GET", "/check") };
        let mut attempt = self.router.begin(at(now), &call).expect("a server is picked");
        self.checks += 1;
        let in_repeat = parent.is_some_and(|parent| parent.previous_attempts > 0);
        loop {
            self.repeats += u64::from(in_repeat || attempt.previous_attempts > 0);
            let outcome = match self.rng.random_bool(self.shed_share) {
                true => Outcome::Shed { retry_after: Default::default() },
                false => Outcome::Answered { status: 200 },
            };
            match self.router.finish(at(now), attempt.id, outcome) {
                Next::Retry(next, _) => attempt = next,
                Next::Deliver => {
                    self.router.end_body(at(now), attempt.id, true);
                    return true;
                }
                Next::Refuse(_) => return false,
            }
        }
    }

    /// A call to `dvere`, whose run makes two calls to `zavady` and fails if one of them does.
    fn lookup(&mut self, now: u64) {
        let mut attempt =
            self.router.begin(at(now), &head("GET", "/lookup")).expect("a server is picked");
        loop {
            let checked = [self.check(now, Some(&attempt)), self.check(now, Some(&attempt))];
            let status = if checked == [true, true] { 200 } else { 500 };
            let outcome = Outcome::Answered { status };
            let Next::Retry(next, _) = self.router.finish(at(now), attempt.id, outcome) else {
                self.router.end_body(at(now), attempt.id, true);
                return;
            };
            attempt = next;
        }
    }

    /// Makes calls while all goes well, then while the called service does not serve 45% of the
    /// arrivals, of which the repeats are counted.
    fn run(&mut self, calls_per_second: u64, mut call: impl FnMut(&mut Self, u64)) {
        let calls = |seconds| seconds * calls_per_second;
        for number in 0..calls(CALM_SECONDS + COUNTED_SECONDS) {
            if number == calls(CALM_SECONDS) {
                (self.shed_share, self.checks, self.repeats) = (0.45, 0, 0);
            }
            call(self, number * US_PER_SECOND / calls_per_second);
        }
    }

    fn assert_allowed(&self, mesh: Mesh) {
        let (checks, repeats) = (self.checks as f64, self.repeats as f64);
        let allowed = checks * mesh.daemons * ALLOWED_SHARE + mesh.allowed_repeats;
        let made = repeats * mesh.daemons;
        assert!(made <= allowed, "{made} repeats, allowed {allowed}, {mesh:?}");
        assert!(repeats > 0.0, "no call was retried: {mesh:?}");
    }
}

fn limits(mesh: Mesh) -> RetryLimits {
    RetryLimits {
        budget_capacity: 4.0,
        refill_per_second: 0.1,
        mesh_reserve: mesh.allowed_repeats,
        extra_unsent_attempts: 2,
    }
}

fn nesting(parent: Option<&Attempt>) -> Nesting {
    parent.map_or(Nesting::NO_REPEATS, |parent| Nesting::Nested { repeat: parent.repeat })
}

/// Services each of whose runs calls the next one.
const CHAIN: &str = "
declarations:
- name: first
  service: {version: v1}
- name: first/v1
  version: {}
- name: second
  service: {version: v1}
- name: second/v1
  version: {}
- name: third
  service: {version: v1}
- name: third/v1
  version: {}
- name: last
  service: {version: v1}
- name: last/v1
  version: {}
- name: to-first
  route: {service: first, timeout: 6s, match: {path_prefix: /0}}
- name: to-second
  route: {service: second, timeout: 6s, match: {path_prefix: /1}}
- name: to-third
  route: {service: third, timeout: 6s, match: {path_prefix: /2}}
- name: to-last
  route: {service: last, timeout: 6s, match: {path_prefix: /3}}
";

const CHAIN_PATHS: [&str; 4] = ["/0", "/1", "/2", "/3"];

/// Makes a call to the service at this place of [`CHAIN`], whose runs call the next one. The last
/// service fails some calls. Returns whether the call succeeds.
fn call_chain(daemon: &mut Daemon, now: u64, place: usize, parent: Option<&Attempt>) -> bool {
    let call = CallHead { nesting: nesting(parent), ..head("GET", CHAIN_PATHS[place]) };
    let mut attempt = daemon.router.begin(at(now), &call).expect("a server is picked");
    let is_last = place + 1 == CHAIN_PATHS.len();
    daemon.checks += u64::from(is_last);
    loop {
        daemon.repeats += u64::from(is_last && attempt.repeat == 1.0);
        let answered = match is_last {
            true => !daemon.rng.random_bool(daemon.shed_share),
            false => call_chain(daemon, now, place + 1, Some(&attempt)),
        };
        if !answered && !is_last && daemon.reports_nested_failures {
            daemon.router.observe_nested_failure(attempt.id);
        }
        daemon.retries_above_last += u64::from(!is_last && attempt.previous_attempts > 0);
        let outcome = Outcome::Answered { status: if answered { 200 } else { 500 } };
        let Next::Retry(next, _) = daemon.router.finish(at(now), attempt.id, outcome) else {
            daemon.router.end_body(at(now), attempt.id, true);
            return answered;
        };
        attempt = next;
    }
}

#[test]
fn retries_of_each_service_in_a_chain() {
    for mesh in MESHES {
        let mut daemon = Daemon::with_routes(mesh, CHAIN, &["first", "second", "third", "last"]);
        daemon.run(10, |daemon, now| _ = call_chain(daemon, now, 0, None));
        daemon.assert_allowed(mesh);
    }
}

#[test]
fn retries_of_an_error_passed_up_a_chain_are_of_the_last_service() {
    let mut daemon = Daemon::with_routes(MESHES[0], CHAIN, &["first", "second", "third", "last"]);
    daemon.reports_nested_failures = true;
    daemon.run(10, |daemon, now| _ = call_chain(daemon, now, 0, None));
    assert_eq!(daemon.retries_above_last, 0);
    daemon.assert_allowed(MESHES[0]);
}

#[test]
fn retries_of_a_quiet_service_in_a_large_mesh() {
    for mesh in MESHES {
        let mut daemon = Daemon::new(mesh);
        daemon.run(1, |daemon, now| _ = daemon.check(now, None));
        daemon.assert_allowed(mesh);
    }
}

#[test]
fn retries_of_calls_whose_runs_call_again() {
    for mesh in MESHES {
        let mut daemon = Daemon::new(mesh);
        daemon.run(7, Daemon::lookup);
        daemon.assert_allowed(mesh);
    }
}

fn begin(router: &mut Router, nesting: Nesting) -> Attempt {
    let call = CallHead { nesting, ..head("GET", "/") };
    router.begin(at(0), &call).expect("a server is picked")
}

#[test]
fn begin_inherits_repeat_of_the_call_that_made_it() {
    let mut router = router(TWO_VERSIONS, &[server("a", "v1", "praha-a")]);
    assert_eq!(begin(&mut router, Nesting::Nested { repeat: 1.0 }).repeat, 1.0);
    let by_route = Nesting::ByRoute { running_repeats: 0.25 };
    assert_eq!(begin(&mut router, by_route).repeat, 0.0);
    let route = "doors".try_into().expect("valid name");
    router.observe_nested_route(&route, true);
    assert_eq!(begin(&mut router, by_route).repeat, 0.25);
    router.observe_nested_route(&route, false);
    assert_eq!(begin(&mut router, by_route).repeat, 0.0);
}

/// The repeat of the second attempt of a call whose first one ended like this.
fn repeat_after(outcome: Outcome) -> f64 {
    let servers = [server("a", "v1", "praha-a"), server("b", "v1", "praha-a")];
    let mut router = router(TWO_VERSIONS, &servers);
    let first = begin(&mut router, Nesting::NO_REPEATS);
    match router.finish(at(1), first.id, outcome) {
        Next::Retry(second, _) => second.repeat,
        other => panic!("not retried: {other:?}"),
    }
}

#[test]
fn finish_retry_is_a_repeat_once_a_server_was_reached() {
    assert_eq!(repeat_after(Outcome::NotConnected), 0.0);
    assert_eq!(repeat_after(Outcome::Reset), 1.0);
    assert_eq!(repeat_after(Outcome::Shed { retry_after: Default::default() }), 1.0);
}
