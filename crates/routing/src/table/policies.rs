//! Limits and retries of a service, joined from the policies that bind it.

use std::time::Duration;

use cyclamen_declarations::{Labels, Policy, Service};
use cyclamen_ledger::Config;

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

/// The policies that bind a proxy, strongest first.
pub(super) fn by_strength<'a>(config: &'a Config, proxy: &Labels) -> Vec<&'a Policy> {
    let mut policies: Vec<&Policy> = Vec::new();
    for held in config.policies.values() {
        if held.body.proxies.matches(proxy) {
            policies.push(&held.body);
        }
    }
    policies.sort_by(|a, b| b.priority.cmp(&a.priority).then_with(|| a.name.cmp(&b.name)));
    policies
}

/// What `policies`, strongest first, say of a service.
pub(super) fn join(policies: &[&Policy], service: &Service) -> (ServiceLimits, ServiceRetries) {
    let mut limits = ServiceLimits::default();
    let mut attempts = None;
    let mut budget_percent = None;
    for policy in policies {
        if !policy.services.matches(&service.labels) {
            continue;
        }
        limits.queue = limits.queue.or(policy.limits.queue);
        limits.queue_wait = limits.queue_wait.or(policy.limits.queue_wait);
        limits.body_bytes = limits.body_bytes.or(policy.limits.body_bytes);
        attempts = attempts.or(policy.retries.attempts);
        budget_percent = budget_percent.or(policy.retries.budget_percent);
    }
    let retries = ServiceRetries {
        attempts: attempts.unwrap_or(DEFAULT_ATTEMPTS).max(1),
        budget_percent: budget_percent.unwrap_or(DEFAULT_BUDGET_PERCENT),
    };
    (limits, retries)
}
