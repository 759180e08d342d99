//! Detection of routes that carry nested calls: calls that backend servers make while they run a
//! call themselves.
//!
//! While a nested call waits, the call that made it holds a slot elsewhere, and refusing it wastes
//! the work that is done already. Nested calls are therefore handled as critical.
//!
//! Routes that carry nested calls are recognized by the origin of their calls: the service whose
//! server is hosted by the daemon at which a call enters the mesh. Callers send calls to daemons
//! that host servers of all services, while a backend server sends its nested calls to the daemon
//! that hosts it. A route counts as nested if all its recent calls, at least
//! [`MIN_CALLS_TO_CLASSIFY`], have one origin, and some other route at the same backend server has
//! calls of several origins.

use cyclamen_types::{FastMap, RouteName, ServiceName};

/// Recent calls of a route that are needed before it can count as nested.
const MIN_CALLS_TO_CLASSIFY: u32 = 40;

/// Recent calls of a route at which its counts are halved, so that they follow the traffic.
const HALVE_AT_CALLS: u32 = 400;

/// How many routes are tracked. Beyond it, the counts of all routes are dropped.
const MAX_ROUTES: usize = 4_096;

/// The recent calls of a route, by origin.
#[derive(Debug, Default)]
struct CallOrigins {
    services: FastMap<ServiceName, u32>,
    calls: u32,
}

/// The origins of the recent calls of all routes at one backend server.
#[derive(Debug, Default)]
pub(super) struct NestedRoutes {
    routes: FastMap<RouteName, CallOrigins>,
    /// Number of routes with calls of several origins.
    mixed_routes: u32,
}

impl NestedRoutes {
    /// Records a call of a route, whose origin is `service`. Returns whether the route carries
    /// nested calls.
    pub(super) fn observe(&mut self, route: &RouteName, service: &ServiceName) -> bool {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
            self.mixed_routes = 0;
        }
        let origins = self.routes.entry(route.clone()).or_default();
        let was_mixed = origins.services.len() > 1;
        *origins.services.entry(service.clone()).or_default() += 1;
        origins.calls += 1;
        if origins.calls >= HALVE_AT_CALLS {
            origins.halve();
        }
        let is_mixed = origins.services.len() > 1;
        match (was_mixed, is_mixed) {
            (false, true) => self.mixed_routes += 1,
            (true, false) => self.mixed_routes -= 1,
            (true, true) | (false, false) => {}
        }
        self.is_nested(route).unwrap_or(false)
    }

    /// Whether the route carries nested calls; `None` while the recorded calls do not tell.
    pub(super) fn is_nested(&self, route: &RouteName) -> Option<bool> {
        let origins = self.routes.get(route)?;
        if origins.services.len() > 1 {
            return Some(false);
        }
        let known = origins.calls >= MIN_CALLS_TO_CLASSIFY && self.mixed_routes > 0;
        known.then_some(true)
    }
}

impl CallOrigins {
    fn halve(&mut self) {
        for calls in self.services.values_mut() {
            *calls /= 2;
        }
        self.services.retain(|_, calls| *calls > 0);
        self.calls = self.services.values().sum();
    }
}
