//! The budget of retries of one service.

use cyclamen_types::Mono;

/// Retries that a quiet service may make per second, whatever its share.
const FLOOR_PER_SECOND: f64 = 1.0;

/// Most retries saved up.
const SAVED_RETRIES: f64 = 20.0;

/// Retries as a share of calls, with a floor for quiet services.
#[derive(Debug)]
pub(super) struct RetryBudget {
    saved: f64,
    refilled: Mono,
}

impl RetryBudget {
    pub(super) fn new(now: Mono) -> Self {
        Self { saved: SAVED_RETRIES / 2.0, refilled: now }
    }

    /// A call began.
    pub(super) fn deposit(&mut self, percent: u32) {
        self.saved = (self.saved + f64::from(percent) / 100.0).min(SAVED_RETRIES);
    }

    /// Takes one retry, if one is left.
    pub(super) fn withdraw(&mut self, now: Mono) -> bool {
        let refill = now.since(self.refilled).as_secs_f64() * FLOOR_PER_SECOND;
        self.refilled = now;
        self.saved = (self.saved + refill).min(SAVED_RETRIES);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
