//! The limits and retry settings of a service. Retry settings that no policy sets get defaults
//! here. Limits that no policy sets stay `None`, and the daemon's settings apply.

use std::time::Duration;

use cyclamen_declarations::Labels;
use cyclamen_ledger::Config;
use cyclamen_types::ServiceName;

/// Attempts of a call, including the first, where no policy sets them.
const DEFAULT_ATTEMPTS: u32 = 3;

/// [`ServiceRetries::budget_percent`] where no policy sets it.
const DEFAULT_BUDGET_PERCENT: u32 = 10;

/// Limits that policies set for a service; where one is `None`, the daemon's setting applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceLimits {
    /// How many calls may be queued for a slot.
    pub queue: Option<u32>,
    /// Longest time that a call may be queued for a slot.
    pub queue_wait: Option<Duration>,
    /// Largest request body, in bytes.
    pub body_bytes: Option<u64>,
}

/// Retry settings of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceRetries {
    /// Attempts of a call, including the first; at least 1. A route may set its own number.
    pub attempts: u32,
    /// Retry budget in percent of the calls: each call adds this many hundredths of a retry to the
    /// budget.
    pub budget_percent: u32,
}

impl Default for ServiceRetries {
    fn default() -> Self {
        Self { attempts: DEFAULT_ATTEMPTS, budget_percent: DEFAULT_BUDGET_PERCENT }
    }
}

/// The limits and retry settings of a service on an instance with the labels `instance`.
pub(super) fn effective_policies(
    config: &Config,
    service: &ServiceName,
    instance: &Labels,
) -> (ServiceLimits, ServiceRetries) {
    let limits = config.limits_for(service, instance);
    let retries = config.retries_for(service, instance);
    let limits = ServiceLimits {
        queue: limits.queue,
        queue_wait: limits.queue_wait,
        body_bytes: limits.body_bytes,
    };
    let retries = ServiceRetries {
        attempts: retries.attempts.unwrap_or(DEFAULT_ATTEMPTS).max(1),
        budget_percent: retries.budget_percent.unwrap_or(DEFAULT_BUDGET_PERCENT),
    };
    (limits, retries)
}
