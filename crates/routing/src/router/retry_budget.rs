//! The retry budget of a service: a token bucket that bounds retries to a share of the calls, plus
//! a fixed number per second for services with few calls.

use cyclamen_types::Mono;

/// Limits of the retries that one daemon makes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Capacity of the retry budget of each service, in retries. A new budget is half full.
    pub budget_capacity: f64,
    /// Retries per second that are added to the budget of each service regardless of its calls, so
    /// that services with few calls can retry too.
    pub refill_per_second: f64,
    /// Additional attempts, beyond those of the route or service, for calls that were refused by
    /// the daemon that hosts the server, or whose server could not be connected. If above 0,
    /// retries draw on the budget only once an attempt has reached a server.
    pub extra_unsent_attempts: u32,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self { budget_capacity: 20.0, refill_per_second: 1.0, extra_unsent_attempts: 0 }
    }
}

/// A token bucket of retries, filled by calls and, at a low rate, by time.
#[derive(Debug)]
pub(super) struct RetryBudget {
    limits: RetryLimits,
    tokens: f64,
    last_refill: Mono,
}

impl RetryBudget {
    pub(super) fn new(limits: RetryLimits, now: Mono) -> Self {
        Self { limits, tokens: limits.budget_capacity / 2.0, last_refill: now }
    }

    /// Adds the share of a retry, in percent, that a new call of the service contributes.
    pub(super) fn deposit(&mut self, percent: u32) {
        self.tokens = (self.tokens + f64::from(percent) / 100.0).min(self.limits.budget_capacity);
    }

    /// Adds the refill since the last withdrawal, then takes one retry out of the budget; `false`
    /// if none is left.
    pub(super) fn try_withdraw(&mut self, now: Mono) -> bool {
        let refill = now.since(self.last_refill).as_secs_f64() * self.limits.refill_per_second;
        self.last_refill = now;
        self.tokens = (self.tokens + refill).min(self.limits.budget_capacity);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Puts back a retry that was taken out and not made.
    pub(super) fn put_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.limits.budget_capacity);
    }
}
