//! Turns finished calls into counts: which line, failed or not, slow or not.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::{FastMap, Mono, Now, RouteName, ServerName};

use crate::evidence::{Counts, LineKey, Stratum};
use crate::keys::{ReporterKey, RouteKey, ServerKey};
use crate::payload::RouteLimit;
use crate::reference::Reference;
use crate::types::{CallSample, Side};

/// Calls of a backend server, as this daemon counts them, that are never called slow.
const WARM_UP_CALLS: u32 = 10;

/// Time since the first call of a backend server in which none is called slow.
const WARM_UP: Duration = Duration::from_secs(10);

/// What this daemon knows of a route.
#[derive(Clone, Debug)]
struct RouteMemory {
    key: RouteKey,
    reference: Reference,
}

/// What this daemon knows of a backend server of the new version.
#[derive(Clone, Copy, Debug)]
struct ServerMemory {
    key: ServerKey,
    first: Mono,
    calls: u32,
}

/// A call as it is counted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Counted {
    /// On which line.
    pub(crate) key: LineKey,
    /// One call, with what was wrong.
    pub(crate) counts: Counts,
}

/// What a daemon remembers of the calls of one move.
#[derive(Debug, Default)]
pub(crate) struct Recorder {
    routes: FastMap<RouteName, RouteMemory>,
    /// Names of the service's routes.
    names: FastMap<RouteKey, RouteName>,
    /// Limits that reporters reported, by route.
    heard: FastMap<RouteKey, BTreeMap<ReporterKey, Duration>>,
    servers: FastMap<ServerName, ServerMemory>,
}

impl Recorder {
    /// Classifies a call made in a stratum.
    pub(crate) fn count(
        &mut self,
        now: Now,
        stratum: Stratum,
        side: Side,
        sample: &CallSample<'_>,
    ) -> Counted {
        let (server, warm) = match side {
            Side::Old => (ServerKey::OLD, true),
            Side::New => self.server(now, sample.server),
        };
        let limit = self.limit(sample.route.into());
        let route = self.route(sample.route);
        let mut slow = false;
        if !sample.failed && !sample.cold {
            if side == Side::Old {
                route.reference.add(sample.latency);
            }
            slow = warm && limit.is_some_and(|limit| sample.latency > limit);
        }
        let counts = Counts { calls: 1, failed: sample.failed.into(), slow: slow.into() };
        Counted { key: LineKey { stratum, route: route.key, server }, counts }
    }

    /// What the old version's calls here say a slow call of a route is, to be reported.
    pub(crate) fn limit_here(&self, key: RouteKey) -> Option<Duration> {
        self.routes.values().find(|memory| memory.key == key)?.reference.limit()
    }

    /// The latency above which a call of a route is slow: the median of what reporters, this one
    /// included, have reported; `None` while nobody has. Calls of both versions are held against
    /// the same reports, so that a limit that changes does not tell the versions apart.
    fn limit(&self, key: RouteKey) -> Option<Duration> {
        let mut limits: Vec<Duration> = self.heard.get(&key)?.values().copied().collect();
        limits.sort_unstable();
        limits.get(limits.len() / 2).copied()
    }

    /// Takes the limit that a reporter reported.
    pub(crate) fn hear_limit(&mut self, reporter: ReporterKey, limit: &RouteLimit) {
        let span = Duration::from_micros(u64::from(limit.limit_us));
        self.heard.entry(limit.route).or_default().insert(reporter, span);
    }

    /// Learns the name of a route that calls of the move may take.
    pub(crate) fn learn_name(&mut self, name: &RouteName) {
        self.names.insert(name.into(), name.clone());
    }

    /// The name of a route, while the configuration has it.
    pub(crate) fn route_name(&self, key: RouteKey) -> Option<&RouteName> {
        self.names.get(&key)
    }

    /// Whether this daemon had calls of the move.
    pub(crate) fn has_calls(&self) -> bool {
        !self.routes.is_empty()
    }

    fn route(&mut self, name: &RouteName) -> &mut RouteMemory {
        if !self.routes.contains_key(name) {
            let memory = RouteMemory { key: name.into(), reference: Reference::default() };
            self.learn_name(name);
            self.routes.insert(name.clone(), memory);
        }
        self.routes.get_mut(name).expect("inserted above")
    }

    /// The key of a backend server, and whether it is warm.
    fn server(&mut self, now: Now, name: &ServerName) -> (ServerKey, bool) {
        if !self.servers.contains_key(name) {
            let memory = ServerMemory { key: name.into(), first: now.mono, calls: 0 };
            self.servers.insert(name.clone(), memory);
        }
        let memory = self.servers.get_mut(name).expect("inserted above");
        memory.calls = memory.calls.saturating_add(1);
        let warm = memory.calls > WARM_UP_CALLS && now.mono.since(memory.first) >= WARM_UP;
        (memory.key, warm)
    }
}
