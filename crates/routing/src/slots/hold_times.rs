//! Moving averages of the time for which calls hold their slots at one backend server.
//!
//! They are used to estimate how long a new call waits in the queue and how early it has to start,
//! and for load reports. For a server that says its pace, the averages are those at pace 100, and
//! each use names the pace that it asks for.

use std::time::Duration;

use cyclamen_declarations::Criticality;
use cyclamen_types::{FastMap, Mono, RouteName};

use crate::router::RouteHoldTime;
use crate::slots::pace::Pace;
use crate::slots::queue::{CLASSES, class_index};

/// Weight of a new sample in the moving averages.
const AVERAGING_GAIN: f64 = 0.1;

/// How many routes have an average of their own. Beyond it, the averages of all routes are dropped.
const MAX_ROUTES: usize = 4_096;

/// Moving averages of hold times by criticality class, by route, and over all calls.
#[derive(Debug, Default)]
pub(super) struct HoldTimes {
    classes: [MovingAverage; CLASSES.len()],
    routes: FastMap<RouteName, MovingAverage>,
    all: MovingAverage,
    /// `None` for a server that does not say its pace.
    pace: Option<Pace>,
}

#[derive(Clone, Copy, Debug, Default)]
struct MovingAverage {
    seconds: Option<f64>,
    /// Calls in the average, up to the number that it effectively covers (`1 / AVERAGING_GAIN`).
    calls: f64,
}

impl HoldTimes {
    pub(super) fn observe(
        &mut self,
        criticality: Criticality,
        route: Option<&RouteName>,
        hold_time: Duration,
    ) {
        let hold_time = match &self.pace {
            Some(pace) => hold_time.div_f64(pace.said()),
            None => hold_time,
        };
        self.classes[class_index(criticality)].observe(hold_time);
        self.all.observe(hold_time);
        let Some(route) = route else {
            return;
        };
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        self.routes.entry(route.clone()).or_default().observe(hold_time);
    }

    /// Takes over the pace that the server says, in percent; `None` if it says none (any more).
    pub(super) fn set_pace(&mut self, now: Mono, percent: Option<u16>) {
        match (&mut self.pace, percent) {
            (Some(pace), Some(percent)) => pace.observe(percent, now),
            (None, Some(percent)) => self.pace = Some(Pace::new(percent, now)),
            (_, None) => self.pace = None,
        }
    }

    /// Whether the server says its pace.
    pub(super) fn knows_pace(&self) -> bool {
        self.pace.is_some()
    }

    /// How long work takes now, in percent of the usual at this server; 0 if it does not say.
    pub(super) fn pace_percent(&self, now: Mono) -> u16 {
        let relative = |pace: &Pace| (pace.present(now) / pace.usual() * 100.0).round() as u16;
        self.pace.as_ref().map_or(0, |pace| relative(pace).max(1))
    }

    /// Average hold time of a route, else of a criticality class, at the present pace; zero without
    /// samples.
    pub(super) fn estimate(&self, criticality: Criticality, route: Option<&RouteName>) -> Duration {
        let known = route.and_then(|route| self.routes.get(route));
        let average = known.unwrap_or(&self.classes[class_index(criticality)]).get();
        self.at_present_pace(average)
    }

    /// Average hold time of a route, else of a criticality class, else of all calls, at the present
    /// pace; zero without samples.
    pub(super) fn expected(&self, criticality: Criticality, route: Option<&RouteName>) -> Duration {
        let known = self.estimate(criticality, route);
        if known.is_zero() { self.overall_now() } else { known }
    }

    /// Average hold times of all known routes, at the usual pace.
    pub(super) fn by_route(&self) -> impl Iterator<Item = RouteHoldTime<'_>> {
        let usual = self.pace.as_ref().map_or(1.0, Pace::usual);
        self.routes.iter().map(move |(route, average)| RouteHoldTime {
            route,
            seconds: average.seconds.unwrap_or_default() * usual,
            calls: average.calls,
        })
    }

    /// Average hold time over all calls, at the usual pace; zero without samples.
    pub(super) fn overall(&self) -> Duration {
        match &self.pace {
            Some(pace) => self.all.get().mul_f64(pace.usual()),
            None => self.all.get(),
        }
    }

    /// Average hold time over all calls, at the present pace; zero without samples.
    pub(super) fn overall_now(&self) -> Duration {
        self.at_present_pace(self.all.get())
    }

    /// The estimates are asked for while calls end all the time, each with a new figure.
    fn at_present_pace(&self, average: Duration) -> Duration {
        match &self.pace {
            Some(pace) => average.mul_f64(pace.said()),
            None => average,
        }
    }
}

impl MovingAverage {
    fn observe(&mut self, hold_time: Duration) {
        let sample = hold_time.as_secs_f64();
        let before = self.seconds.unwrap_or(sample);
        self.seconds = Some(before + AVERAGING_GAIN * (sample - before));
        self.calls = (self.calls + 1.0).min(1.0 / AVERAGING_GAIN);
    }

    fn get(self) -> Duration {
        Duration::from_secs_f64(self.seconds.unwrap_or(0.0))
    }
}
