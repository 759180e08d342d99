//! The adaptive limit of a backend server: its announced slots, fewer while it slows or sheds.
//!
//! Slowness is judged by the quickest call of each period: a call that waits for further calls of
//! its own says nothing about its server, but a server whose quickest call is slow is slow.

use std::time::Duration;

use cyclamen_types::Mono;

/// Weight of a period in the usual latency.
const TYPICAL_GAIN: f64 = 0.02;

/// Periods before the usual latency says anything.
const WARM_UP_PERIODS: u32 = 5;

/// The server is slow when its quickest call takes this many times the usual.
const SLOW_FACTOR: f64 = 2.0;

/// What is left of the limit after one step down.
const DECREASE_FACTOR: f64 = 0.8;

/// What one step up adds, in calls.
const INCREASE_CALLS: f64 = 1.0;

/// Time between two steps.
const ADJUST_PERIOD: Duration = Duration::from_millis(100);

/// Lowest limit, as a share of the slots.
const MIN_SLOT_SHARE: f64 = 0.25;

/// Calls that may run at a time.
#[derive(Debug)]
pub(super) struct AdaptiveLimit {
    slots: u32,
    limit: f64,
    /// The quickest call of this period, in seconds.
    fastest_seconds: Option<f64>,
    /// The quickest call of a usual period, in seconds.
    typical_seconds: f64,
    measured_periods: u32,
    /// Whether the server shed a call in this period.
    shed: bool,
    /// Whether all of the limit was in use in this period.
    saturated: bool,
    last_adjusted: Mono,
}

impl AdaptiveLimit {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            fastest_seconds: None,
            typical_seconds: 0.0,
            measured_periods: 0,
            shed: false,
            saturated: false,
            last_adjusted: Mono(0),
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
    pub(super) fn observe_running(&mut self, running: u32) {
        self.saturated |= running >= self.get();
    }

    /// Learns from the latency of a call that brought an answer; `shed` when the server refused
    /// it for load.
    pub(super) fn observe_outcome(&mut self, now: Mono, latency: Duration, shed: bool) {
        self.shed |= shed;
        if !shed {
            let sample = latency.as_secs_f64();
            self.fastest_seconds =
                Some(self.fastest_seconds.map_or(sample, |warmed_up| warmed_up.min(sample)));
        }
        if now.since(self.last_adjusted) >= ADJUST_PERIOD {
            self.adjust();
            self.last_adjusted = now;
        }
    }

    fn adjust(&mut self) {
        let slow = self.is_slow() && self.saturated;
        self.update_typical();
        if self.shed || slow {
            let min_limit = (f64::from(self.slots) * MIN_SLOT_SHARE).max(1.0);
            self.limit = (self.limit * DECREASE_FACTOR).max(min_limit);
        } else {
            self.limit = (self.limit + INCREASE_CALLS).min(f64::from(self.slots));
        }
        self.shed = false;
        self.saturated = false;
    }

    fn is_slow(&self) -> bool {
        let warmed_up = self.measured_periods >= WARM_UP_PERIODS;
        warmed_up
            && self
                .fastest_seconds
                .is_some_and(|fastest_seconds| fastest_seconds > self.typical_seconds * SLOW_FACTOR)
    }

    /// The usual latency follows quickly at first, then slowly.
    fn update_typical(&mut self) {
        let Some(fastest_seconds) = self.fastest_seconds.take() else {
            return;
        };
        self.measured_periods = self.measured_periods.saturating_add(1);
        let gain = (1.0 / f64::from(self.measured_periods)).max(TYPICAL_GAIN);
        self.typical_seconds += gain * (fastest_seconds - self.typical_seconds);
    }
}
