//! The budget of retries of one service.

use cyclamen_types::Mono;

/// How one daemon spends retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries of a service that may be saved up.
    pub saved: f64,
    /// Retries that a quiet service may make per second, whatever its share.
    pub floor_per_second: f64,
    /// Attempts beyond those of the route that may follow an attempt which reached no backend
    /// server. Above zero, such attempts draw on no budget.
    pub unsent_beyond_attempts: u32,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self { saved: 20.0, floor_per_second: 1.0, unsent_beyond_attempts: 0 }
    }
}

/// Retries as a share of calls, with a floor for quiet services.
#[derive(Debug)]
pub(super) struct RetryBudget {
    limits: RetryLimits,
    saved: f64,
    refilled: Mono,
}

impl RetryBudget {
    pub(super) fn new(limits: RetryLimits, now: Mono) -> Self {
        Self { limits, saved: limits.saved / 2.0, refilled: now }
    }

    /// A call began.
    pub(super) fn deposit(&mut self, percent: u32) {
        self.saved = (self.saved + f64::from(percent) / 100.0).min(self.limits.saved);
    }

    /// Takes one retry, if one is left.
    pub(super) fn withdraw(&mut self, now: Mono) -> bool {
        let refill = now.since(self.refilled).as_secs_f64() * self.limits.floor_per_second;
        self.refilled = now;
        self.saved = (self.saved + refill).min(self.limits.saved);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
