//! Checked settings of one daemon.
//!
//! A settings file becomes [`RawSettings`], which holds its YAML tree, and that becomes
//! [`ProcessSettings`] by `TryFrom`, or [`SettingsFaults`] with every fault of the file. Programs
//! that embed a daemon fill in [`Settings`] themselves.

mod fault;
mod platform;
mod process;
mod raw;
mod section;
mod values;

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_declarations::Labels;
use cyclamen_distribution::ConfigSource;
use cyclamen_membership::{Addresses, MeshKey};
use cyclamen_port::CallHeaders;
use cyclamen_routing::RetryLimits;
use cyclamen_types::{FailureDomain, InstanceName, RegionName, TeamName};
use derive_more::Debug;

use crate::lines::LineSettings;

pub use fault::{SettingsFault, SettingsFaults};
pub use platform::PlatformSettings;
pub use process::{LoggingSettings, ProcessSettings};
pub use raw::RawSettings;

/// Everything a daemon needs to start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its region.
    pub region: RegionName,
    /// Labels of the proxy, for selectors.
    pub labels: Labels,
    /// Where to listen; port 0 takes a free port.
    pub listen: Addresses,
    /// Peer addresses to ask first.
    pub peers: Vec<SocketAddr>,
    /// Address of the platform's log service (HTTP). Not read where `platform` is set.
    pub log_service: SocketAddr,
    /// Where this daemon meets the platform; `None` where it reads a log service.
    pub platform: Option<PlatformSettings>,
    /// The key of the mesh.
    pub mesh_key: MeshKey,
    /// Tokens that may publish.
    pub tokens: Vec<OperatorToken>,
    /// Limits.
    pub limits: LimitSettings,
    /// Where metrics go (statsd over UDP); none by default.
    pub metrics: Option<SocketAddr>,
    /// Where metrics are served as text (HTTP); nowhere by default.
    pub metrics_text: Option<SocketAddr>,
    /// Structured lines on standard output about calls and beliefs; none by default.
    pub decisions: Option<LineSettings>,
    /// Seed of all randomness; from the system when absent.
    pub seed: Option<u64>,
}

impl Settings {
    /// Names of the headers of calls and answers.
    pub(crate) fn headers(&self) -> CallHeaders {
        match self.platform {
            Some(_) => cyclamen_platform::call_headers(),
            None => CallHeaders::default(),
        }
    }

    /// Where the configuration comes from.
    pub(crate) fn source(&self) -> ConfigSource {
        match self.platform {
            Some(_) => ConfigSource::Store,
            None => ConfigSource::Log,
        }
    }
}

/// A token of an operator, as a hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorToken {
    /// The team it belongs to.
    pub team: TeamName,
    /// Its hash.
    pub hash: TokenHash,
}

/// BLAKE3 hash of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[debug("TokenHash(hidden)")]
pub struct TokenHash(pub [u8; 32]);

/// Limits of one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Connections of callers at a time.
    pub caller_connections: u32,
    /// Calls that may wait beside one backend server.
    pub queue: u32,
    /// Longest wait beside one backend server.
    pub queue_wait: Duration,
    /// Longest time for calls in flight to end when the daemon stops.
    pub stop_grace: Duration,
    /// How long a daemon that stops goes on taking connections, for callers who have not heard of
    /// it; `None` ends that as soon as nobody is connected, and within a quarter of the grace.
    pub stop_linger: Option<Duration>,
    /// One gossip round and one probe per period.
    pub gossip_period: Duration,
    /// Bound on gossip sent, in bytes per second.
    pub gossip_bytes_per_second: u32,
    /// A backend server that does not renew its announcement for this long is gone.
    pub announcement_lease: Duration,
    /// Longest time between two payloads of evidence.
    pub evidence_period: Duration,
    /// Whether a backend server that slows or sheds runs fewer calls than its slots.
    pub adaptive_slots: bool,
    /// How this daemon spends retries.
    pub retries: RetryLimits,
    /// Makes every daemon read the log this often, instead of the relays only.
    pub poll_log: Option<Duration>,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            caller_connections: 2_000,
            queue: 32,
            queue_wait: Duration::from_millis(200),
            stop_grace: Duration::from_secs(30),
            stop_linger: None,
            gossip_period: Duration::from_secs(1),
            gossip_bytes_per_second: 2_048,
            announcement_lease: Duration::from_secs(6),
            evidence_period: Duration::from_secs(2),
            adaptive_slots: true,
            retries: RetryLimits::default(),
            poll_log: None,
        }
    }
}
