//! The retry budget of a service: a token bucket that bounds retries to a share of the calls, plus
//! a fixed number per second for services with few calls.
//!
//! Calls that a server makes while it runs a repeat reach the called service once more as well.
//! They draw on the budget of that service like retries, so that retries of several services in a
//! chain of calls do not multiply.

use std::time::Duration;

use cyclamen_types::Mono;

/// The time to which [`RetryLimits::mesh_reserve`] applies.
const RESERVE_PERIOD: Duration = Duration::from_secs(10);

/// Share of [`RetryLimits::mesh_reserve`] that the daemons divide among themselves. The rest covers
/// daemons that do not know all others.
const DIVIDED_SHARE: f64 = 0.75;

/// Smallest capacity of a budget, in retries; with less, no retry could ever be saved for.
const MIN_CAPACITY: f64 = 1.0;

/// Most retries by which repeats that are not made here may overdraw a budget, so that retries come
/// back soon after a lot of them.
const MAX_OVERDRAFT: f64 = 20.0;

/// Limits of the retries that one daemon makes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Capacity of the retry budget of each service, in retries. A new budget is half full.
    pub budget_capacity: f64,
    /// Retries per second that are added to the budget of each service regardless of its calls, so
    /// that services with few calls can retry too.
    pub refill_per_second: f64,
    /// Bound on what all daemons of the mesh together may save and be given by the two limits
    /// above, in retries of a service within 10 s. Each daemon may save at least one retry.
    pub mesh_reserve: f64,
    /// Additional attempts, beyond those of the route or service, for calls that were refused by
    /// the daemon that hosts the server, or whose server could not be connected. If above 0,
    /// retries draw on the budget only once an attempt has reached a server.
    pub extra_unsent_attempts: u32,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            budget_capacity: 20.0,
            refill_per_second: 1.0,
            mesh_reserve: 1_000.0,
            extra_unsent_attempts: 0,
        }
    }
}

impl RetryLimits {
    /// These limits, with capacity and refill reduced to the part of one of `daemons` daemons.
    pub(super) fn shared_among(self, daemons: usize) -> Self {
        let period = RESERVE_PERIOD.as_secs_f64();
        let wanted = self.budget_capacity + self.refill_per_second * period;
        let part = self.mesh_reserve * DIVIDED_SHARE / daemons.max(1) as f64;
        if part >= wanted {
            return self;
        }
        let capacity = (self.budget_capacity * part / wanted).max(MIN_CAPACITY);
        let budget_capacity = capacity.min(self.budget_capacity);
        let refill_per_second = (part - budget_capacity).max(0.0) / period;
        Self { budget_capacity, refill_per_second, ..self }
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

    /// Takes over other limits. What was saved beyond the new capacity is lost.
    pub(super) fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
        self.tokens = self.tokens.min(limits.budget_capacity);
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

    /// Takes a call out of the budget that is a repeat to the extent `repeat`, from 0 to 1, because
    /// a repeat made it. The call is made in any case, so the budget may be overdrawn.
    pub(super) fn charge(&mut self, repeat: f64) {
        self.tokens = (self.tokens - repeat).max(-MAX_OVERDRAFT);
    }

    /// Puts back a retry that was taken out and not made.
    pub(super) fn put_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.limits.budget_capacity);
    }
}
