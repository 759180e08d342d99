//! The adaptive limit of a backend server: its announced slots, fewer while it slows or sheds.
//!
//! Slowness is judged by the quickest call of each period: a call that waits for further calls of
//! its own says nothing about its server, but a server whose quickest call is slow is slow.

use std::time::Duration;

use cyclamen_types::Mono;

/// Weight of a period in the usual latency.
const USUAL_GAIN: f64 = 0.02;

/// Periods before the usual latency says anything.
const WARM_UP_PERIODS: u32 = 5;

/// The server is slow when its quickest call takes this many times the usual.
const SLOW_FACTOR: f64 = 2.0;

/// What is left of the limit after one step down.
const STEP_DOWN: f64 = 0.8;

/// What one step up adds, in calls.
const STEP_UP: f64 = 1.0;

/// Time between two steps.
const STEP_PERIOD: Duration = Duration::from_millis(100);

/// Lowest limit, as a share of the slots.
const LOWEST_SHARE: f64 = 0.25;

/// Calls that may run at a time.
#[derive(Debug)]
pub(super) struct AdaptiveLimit {
    slots: u32,
    limit: f64,
    /// The quickest call of this period, in seconds.
    quickest: Option<f64>,
    /// The quickest call of a usual period, in seconds.
    usual: f64,
    periods: u32,
    /// Whether the server shed a call in this period.
    shed: bool,
    /// Whether all of the limit was in use in this period.
    saturated: bool,
    stepped: Mono,
}

impl AdaptiveLimit {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            quickest: None,
            usual: 0.0,
            periods: 0,
            shed: false,
            saturated: false,
            stepped: Mono(0),
        }
    }

    /// Calls that may run at a time, now.
    pub(super) fn get(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots)
    }

    /// The slots were announced anew.
    pub(super) fn set_slots(&mut self, slots: u32) {
        if slots == self.slots {
            return;
        }
        self.slots = slots;
        self.limit = self.limit.min(f64::from(slots));
    }

    /// This many calls run now.
    pub(super) fn observe(&mut self, running: u32) {
        self.saturated |= running >= self.get();
    }

    /// Learns from the latency of a call that brought an answer; `shed` when the server refused
    /// it for load.
    pub(super) fn learn(&mut self, now: Mono, latency: Duration, shed: bool) {
        self.shed |= shed;
        if !shed {
            let sample = latency.as_secs_f64();
            self.quickest = Some(self.quickest.map_or(sample, |known| known.min(sample)));
        }
        if now.since(self.stepped) >= STEP_PERIOD {
            self.step();
            self.stepped = now;
        }
    }

    fn step(&mut self) {
        let slow = self.slow() && self.saturated;
        self.learn_usual();
        if self.shed || slow {
            let lowest = (f64::from(self.slots) * LOWEST_SHARE).max(1.0);
            self.limit = (self.limit * STEP_DOWN).max(lowest);
        } else {
            self.limit = (self.limit + STEP_UP).min(f64::from(self.slots));
        }
        self.shed = false;
        self.saturated = false;
    }

    fn slow(&self) -> bool {
        let known = self.periods >= WARM_UP_PERIODS;
        known && self.quickest.is_some_and(|quickest| quickest > self.usual * SLOW_FACTOR)
    }

    /// The usual latency follows quickly at first, then slowly.
    fn learn_usual(&mut self) {
        let Some(quickest) = self.quickest.take() else {
            return;
        };
        self.periods = self.periods.saturating_add(1);
        let gain = (1.0 / f64::from(self.periods)).max(USUAL_GAIN);
        self.usual += gain * (quickest - self.usual);
    }
}
