//! How long calls usually take, by route, as this daemon sees them over all servers.
//!
//! This answers the load of a service whose routes take very different times: a server that lately
//! had more of the short calls is not a quicker one, so what it held them for is set against what
//! calls of the same routes take elsewhere.

use std::time::Duration;

use cyclamen_types::{FastMap, RouteName, ServiceName};

/// Calls of a route after which an older one loses most of its say.
const MEMORY_CALLS: f64 = 50.0;

/// Calls of a route before its usual time is known.
const KNOWN_AFTER: f64 = 5.0;

/// Calls of all routes after which older ones count half in the mix.
const HALVED_AT: f64 = 2_000.0;

/// The hold times of one route at one server.
#[derive(Clone, Copy, Debug)]
pub struct RouteHold<'a> {
    /// The route.
    pub route: &'a RouteName,
    /// How long the server lately held a call of it, in seconds.
    pub seconds: f64,
    /// Calls that this was told from.
    pub calls: f64,
}

#[derive(Clone, Debug)]
struct Usual {
    service: ServiceName,
    seconds: f64,
    calls: f64,
}

/// The usual times of all routes.
#[derive(Debug, Default)]
pub(super) struct UsualTimes {
    routes: FastMap<RouteName, Usual>,
    calls: f64,
}

impl UsualTimes {
    /// A call of a route was answered after this time.
    pub(super) fn learn(&mut self, route: &RouteName, service: &ServiceName, seconds: f64) {
        let fresh = || Usual { service: service.clone(), seconds, calls: 0.0 };
        let usual = self.routes.entry(route.clone()).or_insert_with(fresh);
        usual.calls += 1.0;
        let gain = 1.0 / usual.calls.min(MEMORY_CALLS);
        usual.seconds += gain * (seconds - usual.seconds);
        self.calls += 1.0;
        if self.calls >= HALVED_AT {
            self.halve();
        }
    }

    /// How long a call of a route usually takes; `None` while too little is known.
    pub(super) fn of(&self, route: &RouteName) -> Option<Duration> {
        let usual = self.routes.get(route).filter(|usual| usual.calls >= KNOWN_AFTER)?;
        Duration::try_from_secs_f64(usual.seconds).ok()
    }

    /// Forgets routes that are gone.
    pub(super) fn retain(&mut self, stays: impl Fn(&RouteName) -> bool) {
        self.routes.retain(|route, _| stays(route));
    }

    /// How long a server holds a call of the usual mix of its service, in seconds, by the calls
    /// that it had; `None` while too little is known.
    pub(super) fn hold<'a>(
        &self,
        service: &ServiceName,
        holds: impl Iterator<Item = RouteHold<'a>>,
    ) -> Option<f64> {
        let (mut held, mut expected) = (0.0, 0.0);
        for hold in holds {
            let Some(usual) = self.routes.get(hold.route).filter(|u| u.calls >= KNOWN_AFTER) else {
                continue;
            };
            held += hold.calls * hold.seconds;
            expected += hold.calls * usual.seconds;
        }
        let (mut seconds, mut calls) = (0.0, 0.0);
        for usual in self.routes.values().filter(|usual| usual.service == *service) {
            seconds += usual.calls * usual.seconds;
            calls += usual.calls;
        }
        let known = held > 0.0 && expected > 0.0 && calls >= KNOWN_AFTER;
        known.then(|| held / expected * (seconds / calls))
    }

    fn halve(&mut self) {
        self.calls = 0.0;
        for usual in self.routes.values_mut() {
            usual.calls /= 2.0;
            self.calls += usual.calls;
        }
    }
}
