//! Limits and retries of a service, with defaults where no policy sets them.

use std::time::Duration;

use cyclamen_declarations::Labels;
use cyclamen_ledger::Config;
use cyclamen_types::ServiceName;

/// Attempts of a call where no policy says otherwise, the first included.
const DEFAULT_ATTEMPTS: u32 = 3;

/// Retries as a share of calls where no policy says otherwise, in percent.
const DEFAULT_BUDGET_PERCENT: u32 = 10;

/// Limits of a service; `None` leaves the daemon's own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Calls that may wait for a slot.
    pub queue: Option<u32>,
    /// Longest wait for a slot.
    pub queue_wait: Option<Duration>,
    /// Largest body of a call, in bytes.
    pub body_bytes: Option<u64>,
}

/// Retries of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceRetries {
    /// Attempts in all, the first included.
    pub attempts: u32,
    /// Retries as a share of calls, in percent.
    pub budget_percent: u32,
}

impl Default for ServiceRetries {
    fn default() -> Self {
        Self { attempts: DEFAULT_ATTEMPTS, budget_percent: DEFAULT_BUDGET_PERCENT }
    }
}

/// What the policies in force say of a service on a proxy.
pub(super) fn effective_policies(
    config: &Config,
    service: &ServiceName,
    proxy: &Labels,
) -> (ServiceLimits, ServiceRetries) {
    let limits = config.limits_for(service, proxy);
    let retries = config.retries_for(service, proxy);
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
