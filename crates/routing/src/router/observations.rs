//! What the router learns of servers and routes: loads, outcomes, bytes and nested calls.

use std::time::Duration;

use cyclamen_types::{Mono, Now, RouteName, ServerName, ServiceName};
use rand::seq::IteratorRandom;

use crate::call::{AttemptId, Outcome};
use crate::router::server::EjectionAdvice;
use crate::router::{RouteHoldTime, Router, RouterMode, ServerLoad, SharedLoad, cold};

/// Largest number of load reports of other servers sent along with an answer to another daemon.
const MAX_SHARED_LOADS: usize = 4;

/// Load reports at least this old are not shared with other daemons.
const MAX_SHARED_LOAD_AGE: Duration = Duration::from_secs(3);

/// Weight of a new sample in the moving average of the bytes of a route's call and its answer.
const ROUTE_BYTES_GAIN: f64 = 0.1;

impl Router {
    /// Records the load that the daemon that hosts a backend server reported with an answer.
    pub fn observe_load(&mut self, now: Now, server: &ServerName, load: ServerLoad) {
        if let Some(server) = self.pool.find_mut(server) {
            server.observe_load(now.mono, load);
            cold::observe_report(now.mono, server, &self.table, self.daemons, &mut self.rng);
        }
    }

    /// A random sample of the recent load reports of a service's servers, leaving out `except`, to
    /// be sent to another daemon. Without shared reports, a daemon that spreads few calls over many
    /// servers would pick them by outdated loads.
    pub fn loads_to_share(
        &mut self,
        now: Now,
        service: &ServiceName,
        except: &ServerName,
    ) -> Vec<SharedLoad> {
        let others = self.pool.of_service(service).filter(|server| server.name() != except);
        let known = others.filter_map(|server| server.share_load(now.mono, MAX_SHARED_LOAD_AGE));
        known.choose_multiple(&mut self.rng, MAX_SHARED_LOADS)
    }

    /// Records the load reports that another daemon shared, where they are newer than those known.
    pub fn observe_shared_loads(&mut self, now: Now, loads: &[SharedLoad]) {
        for shared in loads {
            if let Some(server) = self.pool.find_mut(&shared.server) {
                server.observe_shared_load(now.mono, shared);
                cold::observe_report(now.mono, server, &self.table, self.daemons, &mut self.rng);
            }
        }
    }

    /// Estimates the average hold time of a call of the service at one server, in seconds. The hold
    /// time of a call is the time for which it occupies a slot; `hold_times` are those of the calls
    /// at that server, by route. `None` while there are too few samples.
    ///
    /// The plain average at a server depends on which routes its calls happened to be of. The
    /// estimate relates the hold times to the average times of the same routes over all servers, so
    /// that servers can be compared.
    pub fn average_hold_seconds<'a>(
        &self,
        service: &ServiceName,
        hold_times: impl Iterator<Item = RouteHoldTime<'a>>,
    ) -> Option<f64> {
        self.route_times.average_hold_seconds(service, hold_times)
    }

    /// Records the total bytes of a call of a route and its answer.
    pub fn observe_bytes(&mut self, route: &RouteName, bytes: u64) {
        let bytes = bytes as f64;
        match self.route_bytes.get_mut(route) {
            Some(average) => *average += ROUTE_BYTES_GAIN * (bytes - *average),
            None => {
                self.route_bytes.insert(route.clone(), bytes);
            }
        }
    }

    /// Records whether the daemon that hosts a server of this route takes its calls for nested
    /// ones, see [`Slots::is_nested_route`](crate::Slots::is_nested_route).
    pub fn observe_nested_route(&mut self, route: &RouteName, nested: bool) {
        self.nested_calls.observe_route(route, nested);
    }

    /// Whether a call that a local backend server made has failed since then, after all its
    /// attempts. A server error of a call that began at that time is then taken for a consequence:
    /// which of the running calls made the failed one is not known.
    pub fn nested_call_failed_since(&self, since: Mono) -> bool {
        self.nested_calls.failed_since(since)
    }

    /// Records, before [`Router::finish`], that the server error of an attempt is a consequence of a
    /// failed call that the server made, as the hosting daemon reports by
    /// [`Router::nested_call_failed_since`]. The attempt is not retried: the failed call was, as far
    /// as the retry budget of its service allows, and another server would make it again.
    pub fn observe_nested_failure(&mut self, attempt: AttemptId) {
        if let Some(call) = self.calls.get_mut(&attempt) {
            call.nested_failure = true;
        }
    }

    /// Records an outcome in the state of the server, and ejects the server if that state advises
    /// it. The first answer of an attempt also marks the call as answered and is added to the
    /// average time of the route.
    pub(super) fn observe_outcome(&mut self, now: Mono, attempt: AttemptId, outcome: Outcome) {
        let Some(call) = self.calls.get_mut(&attempt) else {
            return;
        };
        if let Outcome::Answered { .. } = outcome
            && !call.answered
        {
            call.answered = true;
            let took = now.since(call.attempt_started).as_secs_f64();
            self.route_times.observe(&call.attempt.route, &call.attempt.service, took);
        }
        let connect_trial = std::mem::take(&mut call.connect_trial);
        let name = &call.attempt.server;
        let Some(server) = self.pool.find_mut(name) else {
            return;
        };
        if connect_trial {
            server.end_trial();
        }
        let advice = server.observe_outcome(now, outcome, now.since(call.attempt_started));
        let taken_out = match advice {
            _ if self.mode == RouterMode::Baseline => false,
            EjectionAdvice::Keep => false,
            EjectionAdvice::Eject => self.pool.eject(now, name),
            EjectionAdvice::BackedOff => true,
        };
        self.counters.ejections += u64::from(taken_out);
    }
}
