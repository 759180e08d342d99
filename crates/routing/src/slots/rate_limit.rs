//! The limit of calls per second that a backend server names itself.

use std::time::Duration;

use cyclamen_types::Mono;

/// Calls that may start at once after a pause, as the time in which the limit allows them.
const BURST: Duration = Duration::from_millis(500);

/// Lowest rate of calls, per second. The server ends its limit with an answer, so it needs some
/// calls even if it asks for none.
const MIN_CALLS_PER_SECOND: f64 = 0.5;

/// A token bucket with one token for each call that may start.
#[derive(Debug)]
pub(super) struct RateLimit {
    calls_per_second: f64,
    tokens: f64,
    refilled_at: Mono,
}

impl RateLimit {
    /// A limit under which one call may start now.
    pub(super) fn new(calls_per_second: f64, now: Mono) -> Self {
        let calls_per_second = calls_per_second.max(MIN_CALLS_PER_SECOND);
        Self { calls_per_second, tokens: 1.0, refilled_at: now }
    }

    /// Takes over another rate.
    pub(super) fn set(&mut self, calls_per_second: f64, now: Mono) {
        self.refill(now);
        self.calls_per_second = calls_per_second.max(MIN_CALLS_PER_SECOND);
        self.tokens = self.tokens.min(self.burst());
    }

    pub(super) fn calls_per_second(&self) -> f64 {
        self.calls_per_second
    }

    /// Time until a call may start; zero if one may start now.
    pub(super) fn wait(&mut self, now: Mono) -> Duration {
        self.refill(now);
        Duration::from_secs_f64((1.0 - self.tokens).max(0.0) / self.calls_per_second)
    }

    /// Takes the token of a call that starts or is queued.
    pub(super) fn take(&mut self, now: Mono) {
        self.refill(now);
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    fn refill(&mut self, now: Mono) {
        let passed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + passed * self.calls_per_second).min(self.burst());
    }

    fn burst(&self) -> f64 {
        (self.calls_per_second * BURST.as_secs_f64()).max(1.0)
    }
}
