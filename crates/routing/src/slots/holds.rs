//! How long calls hold their slots.

use std::time::Duration;

use cyclamen_declarations::Criticality;
use cyclamen_types::{FastMap, RouteName};

use crate::router::RouteHold;
use crate::slots::queue::{CLASSES, rank};

/// Weight of a new hold time in the moving averages.
const GAIN: f64 = 0.1;

/// Moving averages of hold times, by class, by route and over all.
#[derive(Debug, Default)]
pub(super) struct HoldTimes {
    classes: [Average; CLASSES.len()],
    routes: FastMap<RouteName, Average>,
    all: Average,
}

/// Routes whose hold times are kept at most.
const ROUTES_KEPT: usize = 4_096;

#[derive(Clone, Copy, Debug, Default)]
struct Average {
    seconds: Option<f64>,
    /// Calls learned from, up to those that still have a say.
    calls: f64,
}

impl HoldTimes {
    pub(super) fn learn(
        &mut self,
        criticality: Criticality,
        route: Option<&RouteName>,
        held: Duration,
    ) {
        self.classes[rank(criticality)].learn(held);
        self.all.learn(held);
        let Some(route) = route else {
            return;
        };
        if self.routes.len() >= ROUTES_KEPT && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        self.routes.entry(route.clone()).or_default().learn(held);
    }

    /// That of a route where one is known, else of a class; zero while none is known.
    pub(super) fn of(&self, criticality: Criticality, route: Option<&RouteName>) -> Duration {
        let known = route.and_then(|route| self.routes.get(route));
        known.unwrap_or(&self.classes[rank(criticality)]).get()
    }

    /// Those of all routes.
    pub(super) fn by_route(&self) -> impl Iterator<Item = RouteHold<'_>> {
        self.routes.iter().map(|(route, average)| RouteHold {
            route,
            seconds: average.seconds.unwrap_or_default(),
            calls: average.calls,
        })
    }

    /// That of all calls; zero while none is known.
    pub(super) fn of_all(&self) -> Duration {
        self.all.get()
    }
}

impl Average {
    fn learn(&mut self, held: Duration) {
        let sample = held.as_secs_f64();
        let before = self.seconds.unwrap_or(sample);
        self.seconds = Some(before + GAIN * (sample - before));
        self.calls = (self.calls + 1.0).min(1.0 / GAIN);
    }

    fn get(self) -> Duration {
        Duration::from_secs_f64(self.seconds.unwrap_or(0.0))
    }
}
