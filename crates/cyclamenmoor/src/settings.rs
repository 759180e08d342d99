//! Settings of one instance. The owner of the instance has validated them.

use std::time::Duration;

use cyclamen_declarations::Labels;
use cyclamen_distribution::DistributionSettings;
use cyclamen_membership::{MemberRecord, MembershipSettings};
use cyclamen_routing::RetryLimits;

/// Settings of one instance, fixed for its lifetime.
#[derive(Clone, Debug)]
pub struct InstanceSettings {
    /// Identity, location and addresses of this daemon, as announced to other members.
    pub local_member: MemberRecord,
    /// Labels that route selectors match against. The instance adds the labels `instance`,
    /// `failure-domain` and `region` itself.
    pub labels: Labels,
    /// Gossip period, suspicion timeout, bandwidth, seed addresses and key.
    pub membership: MembershipSettings,
    /// Where the configuration comes from and how it is fetched.
    pub distribution: DistributionSettings,
    /// Time after which a backend server that has not renewed its announcement is marked gone.
    pub announcement_lease: Duration,
    /// Whether announcements of ready servers are held after the start until the store or another
    /// daemon has told which servers left before it.
    pub awaits_history: bool,
    /// Maximum time between two gossip payloads with the evidence about moves.
    pub evidence_period: Duration,
    /// Maximum number of calls queued for one local backend server, unless a policy sets another.
    pub default_queue_limit: u32,
    /// Maximum time that a call is queued for a local backend server, unless a policy sets another.
    pub default_queue_wait: Duration,
    /// How long a backend server goes on to be sent calls after it said that it leaves.
    pub drain_time: Duration,
    /// Whether the concurrency limit of a backend server is lowered below its announced slots
    /// while it responds slowly or sheds calls.
    pub adaptive_slots: bool,
    /// Factor on the calls per second that a cold backend server bears, by which they may be exceeded
    /// for a second.
    pub cold_overshoot: f64,
    /// Retry budget of this daemon.
    pub retry_limits: RetryLimits,
}
