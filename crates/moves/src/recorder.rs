//! Classifies finished calls for evidence: which counter they belong to, whether they failed,
//! whether they were slow.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::Move;
use cyclamen_types::{FastMap, Mono, Now, RouteName, ServerName};

use crate::evidence::{CounterKey, Counts, Stratum};
use crate::keys::{ReporterKey, RouteKey, ServerKey};
use crate::latency_reference::LatencyReference;
use crate::payload::RouteLimit;
use crate::types::{CallSample, Side};

/// Number of first calls of a backend server of the new version at this daemon that are not counted
/// as slow, if the server does not say how long it takes to warm up.
const WARM_UP_CALLS: u32 = 10;

/// Time since the first call of such a server during which no call is counted as slow.
const WARM_UP_TIME: Duration = Duration::from_secs(10);

/// A route with calls at this daemon.
#[derive(Clone, Debug)]
struct RouteState {
    key: RouteKey,
    reference: LatencyReference,
}

/// A backend server of the new version with calls at this daemon.
#[derive(Clone, Copy, Debug)]
struct ServerState {
    key: ServerKey,
    first_call: Mono,
    calls: u32,
}

/// A call as it is counted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassifiedCall {
    /// The counter.
    pub(crate) key: CounterKey,
    /// One call, with its failure or slowness.
    pub(crate) counts: Counts,
}

/// Per-route and per-server state for the calls of one move.
#[derive(Debug)]
pub(crate) struct Recorder {
    declared: Arc<Move>,
    routes: FastMap<RouteName, RouteState>,
    /// Names of the routes of the service.
    route_names: FastMap<RouteKey, RouteName>,
    /// Latency limits by route and reporter, this daemon included.
    reported_limits: FastMap<RouteKey, BTreeMap<ReporterKey, Duration>>,
    servers: FastMap<ServerName, ServerState>,
}

impl Recorder {
    /// A recorder without calls.
    pub(crate) fn new(declared: &Arc<Move>) -> Self {
        Self {
            declared: Arc::clone(declared),
            routes: FastMap::default(),
            route_names: FastMap::default(),
            reported_limits: FastMap::default(),
            servers: FastMap::default(),
        }
    }

    /// Classifies a call and, if the old version ran it, adds its latency to the reference. Failed
    /// and cold calls are neither added nor counted as slow. Calls of a backend server of the new
    /// version that is warming up are not counted as slow.
    pub(crate) fn classify(
        &mut self,
        now: Now,
        stratum: Stratum,
        side: Side,
        sample: &CallSample<'_>,
    ) -> ClassifiedCall {
        let (server, warm) = match side {
            Side::Old => (ServerKey::OLD, true),
            Side::New => self.server(now, sample),
        };
        let limit = self.limit(sample.route.into());
        let route = self.route(sample.route);
        let mut slow = false;
        if !sample.failed && !sample.new_connection {
            if side == Side::Old {
                route.reference.add(sample.latency);
            }
            slow = warm && limit.is_some_and(|limit| sample.latency > limit);
        }
        let counts = Counts { calls: 1, failed: sample.failed.into(), slow: slow.into() };
        ClassifiedCall { key: CounterKey { stratum, route: route.key, server }, counts }
    }

    /// The latency limit of a route according to the calls of the old version at this daemon,
    /// to be reported to other daemons.
    pub(crate) fn local_limit(&self, key: RouteKey) -> Option<Duration> {
        self.routes.values().find(|state| state.key == key)?.reference.limit()
    }

    /// The latency above which a call of a route is slow: the median of the limits of all
    /// reporters, or `None` before the first one. Both versions are measured against the same
    /// limit, so that a change of the limit makes no difference between them.
    fn limit(&self, key: RouteKey) -> Option<Duration> {
        let mut limits: Vec<Duration> = self.reported_limits.get(&key)?.values().copied().collect();
        limits.sort_unstable();
        limits.get(limits.len() / 2).copied()
    }

    /// Stores the latency limit that a reporter sent.
    pub(crate) fn set_reported_limit(&mut self, reporter: ReporterKey, limit: &RouteLimit) {
        let span = Duration::from_micros(u64::from(limit.limit_us));
        self.reported_limits.entry(limit.route).or_default().insert(reporter, span);
    }

    /// Adds a route that calls of the move may take.
    pub(crate) fn add_route_name(&mut self, name: &RouteName) {
        self.route_names.insert(name.into(), name.clone());
    }

    /// The name of a route; `None` if neither the configuration nor a call at this daemon has
    /// named it.
    pub(crate) fn route_name(&self, key: RouteKey) -> Option<&RouteName> {
        self.route_names.get(&key)
    }

    /// Whether this daemon had calls of the move.
    pub(crate) fn has_calls(&self) -> bool {
        !self.routes.is_empty()
    }

    fn route(&mut self, name: &RouteName) -> &mut RouteState {
        if !self.routes.contains_key(name) {
            let reference = LatencyReference::new(&self.declared);
            let state = RouteState { key: name.into(), reference };
            self.add_route_name(name);
            self.routes.insert(name.clone(), state);
        }
        self.routes.get_mut(name).expect("inserted above")
    }

    /// The key of the backend server of the new version that ran a call, and whether it is past its
    /// warm-up.
    fn server(&mut self, now: Now, sample: &CallSample<'_>) -> (ServerKey, bool) {
        let name = sample.server;
        if !self.servers.contains_key(name) {
            let state = ServerState { key: name.into(), first_call: now.mono, calls: 0 };
            self.servers.insert(name.clone(), state);
        }
        let state = self.servers.get_mut(name).expect("inserted above");
        state.calls = state.calls.saturating_add(1);
        let seen_enough =
            state.calls > WARM_UP_CALLS && now.mono.since(state.first_call) >= WARM_UP_TIME;
        (state.key, sample.warm.unwrap_or(seen_enough))
    }
}
