//! The adaptive limit of a backend server: its announced slots, fewer while it slows or sheds.

use std::time::Duration;

use cyclamen_types::Mono;

/// Weight of a new latency in the recent average.
const RECENT_GAIN: f64 = 0.1;

/// Weight of a new latency in the long average.
const USUAL_GAIN: f64 = 0.002;

/// Calls before the averages say anything.
const WARM_UP_CALLS: u32 = 50;

/// The server is slow when the recent average is this many times the long one.
const SLOW_FACTOR: f64 = 2.0;

/// What is left of the limit after one step down.
const STEP_DOWN: f64 = 0.8;

/// Shortest time between two steps down.
const STEP_PAUSE: Duration = Duration::from_millis(200);

/// Lowest limit, as a share of the slots.
const LOWEST_SHARE: f64 = 0.25;

/// Calls that may run at a time.
#[derive(Debug)]
pub(super) struct AdaptiveLimit {
    slots: u32,
    limit: f64,
    recent: f64,
    usual: f64,
    calls: u32,
    stepped_down: Mono,
}

impl AdaptiveLimit {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            recent: 0.0,
            usual: 0.0,
            calls: 0,
            stepped_down: Mono(0),
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

    /// Learns from the latency of a call that brought an answer; `shed` when the server refused
    /// it for load.
    pub(super) fn learn(&mut self, now: Mono, latency: Duration, shed: bool, busy: bool) {
        let sample = latency.as_secs_f64();
        self.calls = self.calls.saturating_add(1);
        if self.calls == 1 {
            self.recent = sample;
            self.usual = sample;
        }
        self.recent += RECENT_GAIN * (sample - self.recent);
        self.usual += usual_gain(self.calls) * (sample - self.usual);
        let slow = self.calls > WARM_UP_CALLS && self.recent > self.usual * SLOW_FACTOR && busy;
        if shed || slow {
            self.step_down(now);
            return;
        }
        self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.slots));
    }

    fn step_down(&mut self, now: Mono) {
        if now.since(self.stepped_down) < STEP_PAUSE {
            return;
        }
        self.stepped_down = now;
        let lowest = (f64::from(self.slots) * LOWEST_SHARE).max(1.0);
        self.limit = (self.limit * STEP_DOWN).max(lowest);
    }
}

/// The long average follows quickly at first, then slowly.
fn usual_gain(calls: u32) -> f64 {
    (1.0 / f64::from(calls)).max(USUAL_GAIN)
}
