//! Which routes carry calls that backend servers make while they run a call themselves.
//!
//! Such a call holds a slot elsewhere for as long as it waits, so it goes before new work: refused,
//! it wastes what was already done for the call around it. Callers send their calls to daemons
//! beside servers of all services; a route whose calls all begin beside servers of one service, at
//! a backend server that other routes reach from several, is called by those servers.

use cyclamen_types::{FastMap, RouteName, ServiceName};

/// Calls of a route after which it can be told.
const MIN_CALLS_TO_CLASSIFY: u32 = 40;

/// Calls after which older ones count half.
const HALVE_AT_CALLS: u32 = 400;

/// Routes kept at most.
const MAX_ROUTES: usize = 4_096;

/// Where the calls of a route began.
#[derive(Debug, Default)]
struct CallOrigins {
    services: FastMap<ServiceName, u32>,
    calls: u32,
}

/// Where the calls of all routes at one backend server began.
#[derive(Debug, Default)]
pub(super) struct NestedRoutes {
    routes: FastMap<RouteName, CallOrigins>,
    /// Routes whose calls began beside servers of several services.
    mixed_routes: u32,
}

impl NestedRoutes {
    /// A call of a route came that began beside a server of `service`; tells whether the route is
    /// one of nested calls.
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
        let nested = !is_mixed && origins.calls >= MIN_CALLS_TO_CLASSIFY;
        match (was_mixed, is_mixed) {
            (false, true) => self.mixed_routes += 1,
            (true, false) => self.mixed_routes -= 1,
            (true, true) | (false, false) => {}
        }
        nested && self.mixed_routes > 0
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
