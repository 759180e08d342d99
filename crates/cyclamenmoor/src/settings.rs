//! Settings of one instance, already checked.

use std::time::Duration;

use cyclamen_declarations::Labels;
use cyclamen_distribution::DistributionSettings;
use cyclamen_membership::{MemberRecord, MembershipSettings};
use cyclamen_routing::RetryLimits;

/// Settings of one instance.
#[derive(Clone, Debug)]
pub struct InstanceSettings {
    /// This daemon.
    pub me: MemberRecord,
    /// Labels of this proxy, for selectors. The instance adds `instance`, `failure-domain` and
    /// `region`.
    pub labels: Labels,
    /// Settings of membership.
    pub membership: MembershipSettings,
    /// Settings of distribution.
    pub distribution: DistributionSettings,
    /// A backend server that does not renew its announcement for this long is gone.
    pub announcement_lease: Duration,
    /// Longest time between two payloads of evidence.
    pub evidence_period: Duration,
    /// Calls that may wait beside one backend server where no policy says otherwise.
    pub queue: u32,
    /// Longest wait beside one backend server where no policy says otherwise.
    pub queue_wait: Duration,
    /// Whether a backend server that slows or sheds runs fewer calls than its slots.
    pub adaptive_slots: bool,
    /// How this daemon spends retries.
    pub retries: RetryLimits,
}
