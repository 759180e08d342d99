//! The bound on bytes sent: a token bucket whose lower part is kept for what matters more.

use std::time::Duration;

use cyclamen_types::{Mono, Now};

/// Seconds of the rate that may be sent at once after a quiet time.
const BURST_SECONDS: u64 = 32;

/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;

/// What bytes are spent on, the most important first: each may empty the bucket down to its own
/// floor only, so that the later ones never starve the earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Spend {
    /// Probes and their answers.
    Probe,
    /// Convictions and backend servers that leave.
    Urgent,
    /// Repair of what was missed. It paces itself, and news could flow for ever.
    Repair,
    /// Other news of members and backend servers.
    News,
    /// Records, which peers can pull as well.
    Records,
    /// Messages that only carry reports, where nothing else goes out.
    Bulk,
}

impl Spend {
    /// Bytes left in the bucket, in quarters of what it gets in a second.
    fn floor_quarters(self) -> u64 {
        match self {
            Self::Probe => 0,
            Self::Urgent => 1,
            Self::Repair => 2,
            Self::News => 8,
            Self::Records => 12,
            Self::Bulk => 64,
        }
    }
}

/// A token bucket over bytes.
#[derive(Debug)]
pub(crate) struct Budget {
    rate: u64,
    burst: u64,
    tokens_us: u64,
    refilled: Mono,
}

impl Budget {
    pub(crate) fn new(bytes_per_second: u32, now: Now) -> Self {
        let rate = u64::from(bytes_per_second);
        let burst = rate * BURST_SECONDS;
        Self { rate, burst, tokens_us: burst * SECOND_US, refilled: now.mono }
    }

    /// Adds what became free since the last call.
    pub(crate) fn refill(&mut self, now: Now) {
        let passed = now.mono.since(self.refilled);
        self.refilled = self.refilled.max(now.mono);
        let passed_us = u64::try_from(passed.as_micros()).unwrap_or(u64::MAX);
        let free = passed_us.saturating_mul(self.rate);
        self.tokens_us = self.tokens_us.saturating_add(free).min(self.burst * SECOND_US);
    }

    /// Bytes that may be spent on `spend` now.
    pub(crate) fn left(&self, spend: Spend) -> usize {
        let floor = self.rate * spend.floor_quarters() / 4;
        let left = (self.tokens_us / SECOND_US).saturating_sub(floor);
        usize::try_from(left).unwrap_or(usize::MAX)
    }

    /// Spends `bytes` if the bucket holds them.
    pub(crate) fn spend(&mut self, bytes: usize) -> bool {
        let cost_us = (bytes as u64).saturating_mul(SECOND_US);
        if cost_us > self.tokens_us {
            return false;
        }
        self.tokens_us -= cost_us;
        true
    }

    /// Most bytes that may be sent within any window of `span`.
    pub(crate) fn bound(bytes_per_second: u32, span: Duration) -> u64 {
        let rate = u64::from(bytes_per_second);
        let span_us = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        rate * BURST_SECONDS + rate.saturating_mul(span_us) / SECOND_US + 1
    }
}
