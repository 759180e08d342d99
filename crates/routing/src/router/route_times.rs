//! Average time of attempts by route, from sending one to the head of the answer, measured at
//! this daemon over all servers.
//!
//! Where the routes of a service take very different times, a server that happened to get more of
//! the short calls appears faster than it is. To make servers comparable, [`RouteTimes`] relates
//! the hold times of a server to the average times of the same routes over all servers, and scales
//! the average time of all calls of the service by that ratio.

use std::time::Duration;

use cyclamen_types::{FastMap, RouteName, ServiceName};

/// Window of the moving average of a route's time, in calls.
const AVERAGING_CALLS: f64 = 50.0;

/// Recent calls of a route, or of all routes of a service, that are needed before their average is
/// used. The counts are halved at [`HALVE_AT_CALLS`].
const MIN_SAMPLES: f64 = 5.0;

/// Calls of all routes after which the call counts are halved, so that the traffic mix follows
/// recent calls.
const HALVE_AT_CALLS: f64 = 2_000.0;

/// The average hold time of the calls of one route at one server. The hold time of a call is the
/// time for which it occupies a slot.
#[derive(Clone, Copy, Debug)]
pub struct RouteHoldTime<'a> {
    /// Route of the calls.
    pub route: &'a RouteName,
    /// Moving average of the time for which a call held its slot, in seconds.
    pub seconds: f64,
    /// How many calls the average is based on.
    pub calls: f64,
}

/// The average time of the calls of one route.
#[derive(Clone, Debug)]
struct RouteTime {
    service: ServiceName,
    /// Moving average, in seconds.
    seconds: f64,
    /// Recent calls, halved from time to time.
    calls: f64,
}

/// The average times of all routes.
#[derive(Debug, Default)]
pub(super) struct RouteTimes {
    routes: FastMap<RouteName, RouteTime>,
    /// Recent calls of all routes.
    calls: f64,
}

impl RouteTimes {
    /// Records that a call of a route was answered after this time.
    pub(super) fn observe(&mut self, route: &RouteName, service: &ServiceName, seconds: f64) {
        let new_route = || RouteTime { service: service.clone(), seconds, calls: 0.0 };
        let time = self.routes.entry(route.clone()).or_insert_with(new_route);
        time.calls += 1.0;
        let gain = 1.0 / time.calls.min(AVERAGING_CALLS);
        time.seconds += gain * (seconds - time.seconds);
        self.calls += 1.0;
        if self.calls >= HALVE_AT_CALLS {
            self.halve();
        }
    }

    /// Average time of a call of a route; `None` below [`MIN_SAMPLES`] calls.
    pub(super) fn average(&self, route: &RouteName) -> Option<Duration> {
        let time = self.routes.get(route).filter(|time| time.calls >= MIN_SAMPLES)?;
        Duration::try_from_secs_f64(time.seconds).ok()
    }

    /// Average time of a call of a service, over all its routes; `None` below [`MIN_SAMPLES`] calls.
    pub(super) fn average_of_service(&self, service: &ServiceName) -> Option<Duration> {
        Duration::try_from_secs_f64(self.average_seconds_of_service(service)?).ok()
    }

    fn average_seconds_of_service(&self, service: &ServiceName) -> Option<f64> {
        let (mut seconds, mut calls) = (0.0, 0.0);
        for time in self.routes.values().filter(|time| time.service == *service) {
            seconds += time.calls * time.seconds;
            calls += time.calls;
        }
        (calls >= MIN_SAMPLES).then(|| seconds / calls)
    }

    /// Forgets all routes but those to `keep`.
    pub(super) fn retain(&mut self, keep: impl Fn(&RouteName) -> bool) {
        self.routes.retain(|route, _| keep(route));
    }

    /// Estimates the average hold time of a call of the service at a server, in seconds, from the
    /// hold times of the server by route. `None` while there are too few samples.
    pub(super) fn average_hold_seconds<'a>(
        &self,
        service: &ServiceName,
        hold_times: impl Iterator<Item = RouteHoldTime<'a>>,
    ) -> Option<f64> {
        let (mut measured, mut expected) = (0.0, 0.0);
        for hold in hold_times {
            let Some(time) = self.routes.get(hold.route).filter(|t| t.calls >= MIN_SAMPLES) else {
                continue;
            };
            measured += hold.calls * hold.seconds;
            expected += hold.calls * time.seconds;
        }
        let average = self.average_seconds_of_service(service)?;
        let known = measured > 0.0 && expected > 0.0;
        known.then(|| measured / expected * average)
    }

    fn halve(&mut self) {
        self.calls = 0.0;
        for time in self.routes.values_mut() {
            time.calls /= 2.0;
            self.calls += time.calls;
        }
    }
}
