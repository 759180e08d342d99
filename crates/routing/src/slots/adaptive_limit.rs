//! The adaptive concurrency limit of a backend server: its announced slots, or fewer while it
//! slows down or sheds calls.
//!
//! The limit is lowered by a factor and raised by a constant (AIMD), once per period. The latency
//! of a period is that of its fastest call: one slow call may simply have waited for nested calls
//! at other servers, but if even the fastest call is slow, the server itself is.

use std::time::Duration;

use cyclamen_types::Mono;

/// Minimum weight of a new period in the moving average that gives the typical latency. The nth
/// measured period has the weight 1/n until that falls below this value.
const TYPICAL_GAIN: f64 = 0.02;

/// Periods with answered calls before the typical latency is relied upon.
const WARM_UP_PERIODS: u32 = 5;

/// A server is slow when the fastest call of a period takes more than this many times the typical
/// latency.
const SLOW_FACTOR: f64 = 2.0;

/// Factor by which the limit is lowered.
const DECREASE_FACTOR: f64 = 0.8;

/// How many calls are added when the limit is raised.
const INCREASE_CALLS: f64 = 1.0;

/// Shortest time between two adjustments of the limit.
const ADJUST_PERIOD: Duration = Duration::from_millis(100);

/// Lowest limit, as a share of the announced slots.
const MIN_SLOT_SHARE: f64 = 0.25;

/// How many calls may run at a time, adjusted to the latency of the server.
#[derive(Debug)]
pub(super) struct AdaptiveLimit {
    slots: u32,
    limit: f64,
    /// Latency of the fastest call of this period, in seconds.
    fastest_seconds: Option<f64>,
    /// Moving average of the fastest latency of each period, in seconds.
    typical_seconds: f64,
    measured_periods: u32,
    /// Whether the server shed a call in this period.
    shed: bool,
    /// Whether the running calls reached the limit when a call started in this period. If they did
    /// not, slowness does not lower the limit.
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

    /// How many calls may run at the moment: at least one, at most all slots. Panics if `slots` is
    /// 0; [`SlotsSettings::slots`](super::SlotsSettings::slots) has to be at least 1.
    pub(super) fn get(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots)
    }

    /// Sets the number of announced slots.
    pub(super) fn set_slots(&mut self, slots: u32) {
        if slots == self.slots {
            return;
        }
        self.slots = slots;
        self.limit = self.limit.min(f64::from(slots));
    }

    /// Records the number of calls that are running.
    pub(super) fn observe_running(&mut self, running: u32) {
        self.saturated |= running >= self.get();
    }

    /// Records an answer of the server: its latency or, if `shed`, that the server refused the call
    /// because of its load; the latency of a refusal is ignored. Adjusts the limit at the end of a
    /// period.
    pub(super) fn observe_outcome(&mut self, now: Mono, latency: Duration, shed: bool) {
        self.shed |= shed;
        if !shed {
            let sample = latency.as_secs_f64();
            self.fastest_seconds =
                Some(self.fastest_seconds.map_or(sample, |fastest| fastest.min(sample)));
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

    /// Updates the typical latency from this period: a plain average over the first periods, then a
    /// moving average that follows slowly. Resets the fastest latency for the next period.
    fn update_typical(&mut self) {
        let Some(fastest_seconds) = self.fastest_seconds.take() else {
            return;
        };
        self.measured_periods = self.measured_periods.saturating_add(1);
        let gain = (1.0 / f64::from(self.measured_periods)).max(TYPICAL_GAIN);
        self.typical_seconds += gain * (fastest_seconds - self.typical_seconds);
    }
}
