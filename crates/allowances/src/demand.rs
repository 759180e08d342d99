//! How many calls of an account arrive at a daemon, admitted or not.

use std::time::Duration;

use cyclamen_types::Mono;

/// Times over which calls are averaged.
const SHORT_AVERAGE: Duration = Duration::from_millis(1_000);
const LONG_AVERAGE: Duration = Duration::from_millis(4_000);

/// Calls that would have come in a time without any, were there still callers.
const IDLE_CALLS: f64 = 3.0;

/// Shortest time over which the first calls are averaged.
const MIN_AVERAGE: Duration = Duration::from_millis(1_000);

/// The calls that arrived so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    short: Average,
    long: Average,
    since: Mono,
    last_call: Mono,
}

impl Demand {
    pub(crate) fn new(now: Mono) -> Self {
        let average = |time| Average { time, count: 0.0, counted: now };
        Self {
            short: average(SHORT_AVERAGE),
            long: average(LONG_AVERAGE),
            since: now,
            last_call: now,
        }
    }

    pub(crate) fn record(&mut self, now: Mono) {
        self.short.record(now);
        self.long.record(now);
        self.last_call = self.last_call.max(now);
    }

    /// Calls per second.
    pub(crate) fn rate(&self, now: Mono) -> f64 {
        let idle = self.idle(now).as_secs_f64();
        let most = IDLE_CALLS / idle.max(f64::MIN_POSITIVE);
        self.long.rate(now, self.age(now)).min(most)
    }

    /// Calls per second at the moment, or more: it rises at once and falls late, so that few calls
    /// that come at random do not look like none.
    pub(crate) fn peak(&self, now: Mono) -> f64 {
        self.short.rate(now, self.age(now)).max(self.rate(now))
    }

    fn age(&self, now: Mono) -> Duration {
        now.since(self.since).max(MIN_AVERAGE)
    }

    /// Time since the last call.
    pub(crate) fn idle(&self, now: Mono) -> Duration {
        now.since(self.last_call)
    }
}

/// A count that decays over a time.
#[derive(Clone, Copy, Debug)]
struct Average {
    time: Duration,
    count: f64,
    counted: Mono,
}

impl Average {
    fn record(&mut self, now: Mono) {
        self.count = self.decayed(now) + 1.0;
        self.counted = self.counted.max(now);
    }

    /// Calls per second, if they have been counted for `age`.
    fn rate(&self, now: Mono, age: Duration) -> f64 {
        let time = self.time.as_secs_f64();
        // The part of the averaging time that has been seen.
        let seen = 1.0 - (-age.as_secs_f64() / time).exp();
        self.decayed(now) / (time * seen)
    }

    fn decayed(&self, now: Mono) -> f64 {
        let passed = now.since(self.counted).as_secs_f64();
        self.count * (-passed / self.time.as_secs_f64()).exp()
    }
}
