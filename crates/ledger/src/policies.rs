//! Which policies bind a service on a proxy.

use cyclamen_declarations::{Labels, Limits, Policy, Retries};
use cyclamen_types::ServiceName;

use crate::config::Config;
use crate::verify::selects;

impl Config {
    /// The limits of a service on a proxy. Each field comes from the policy of the highest
    /// priority that selects both and sets it; of equals, from the first by name.
    pub fn limits_for(&self, service: &ServiceName, proxy: &Labels) -> Limits {
        let mut limits = Limits::default();
        for policy in self.policies_for(service, proxy) {
            limits.queue = limits.queue.or(policy.limits.queue);
            limits.queue_wait = limits.queue_wait.or(policy.limits.queue_wait);
            limits.body_bytes = limits.body_bytes.or(policy.limits.body_bytes);
        }
        limits
    }

    /// The retries of a service on a proxy, by the same precedence as [`Config::limits_for`].
    pub fn retries_for(&self, service: &ServiceName, proxy: &Labels) -> Retries {
        let mut retries = Retries::default();
        for policy in self.policies_for(service, proxy) {
            retries.attempts = retries.attempts.or(policy.retries.attempts);
            retries.budget_percent = retries.budget_percent.or(policy.retries.budget_percent);
        }
        retries
    }

    /// The policies that bind a service on a proxy, the one that goes first at the front.
    pub fn policies_for(&self, service: &ServiceName, proxy: &Labels) -> Vec<&Policy> {
        let Some(service) = self.services.get(service) else {
            return Vec::new();
        };
        let mut policies: Vec<&Policy> = Vec::new();
        for held in self.policies.values() {
            let policy = held.body.as_ref();
            if policy.proxies.matches(proxy) && selects(&policy.services, &service.body) {
                policies.push(policy);
            }
        }
        policies.sort_by(|a, b| b.priority.cmp(&a.priority).then_with(|| a.name.cmp(&b.name)));
        policies
    }
}
