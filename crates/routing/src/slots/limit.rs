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
    recent: f64,
    usual: f64,
    calls: u32,
    /// Whether the server shed a call since the last step.
    shed: bool,
    /// Whether all of the limit was in use since the last step.
    saturated: bool,
    stepped: Mono,
}

impl AdaptiveLimit {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            recent: 0.0,
            usual: 0.0,
            calls: 0,
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
            self.average(latency.as_secs_f64());
        }
        if now.since(self.stepped) >= STEP_PERIOD {
            self.step();
            self.stepped = now;
        }
    }

    fn average(&mut self, sample: f64) {
        self.calls = self.calls.saturating_add(1);
        if self.calls == 1 {
            self.recent = sample;
        }
        self.recent += RECENT_GAIN * (sample - self.recent);
        self.usual += usual_gain(self.calls) * (sample - self.usual);
    }

    fn step(&mut self) {
        let slow = self.calls > WARM_UP_CALLS && self.recent > self.usual * SLOW_FACTOR;
        if self.shed || (slow && self.saturated) {
            let lowest = (f64::from(self.slots) * LOWEST_SHARE).max(1.0);
            self.limit = (self.limit * STEP_DOWN).max(lowest);
        } else {
            self.limit = (self.limit + STEP_UP).min(f64::from(self.slots));
        }
        self.shed = false;
        self.saturated = false;
    }
}

/// The long average follows quickly at first, then slowly.
fn usual_gain(calls: u32) -> f64 {
    (1.0 / f64::from(calls)).max(USUAL_GAIN)
}
