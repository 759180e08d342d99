//! Settings of a daemon, and the settings file that they are read from.
//!
//! [`RawSettings`] holds the parsed YAML of a settings file. `TryFrom` converts it into checked
//! [`ProcessSettings`], or into [`SettingsFaults`] with every fault of the file. Programs that
//! embed a daemon fill in [`Settings`] themselves.

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

use crate::decision_log::DecisionLogSettings;

pub use fault::{SettingsFault, SettingsFaults};
pub use platform::PlatformSettings;
pub use process::{LoggingSettings, ProcessSettings};
pub use raw::RawSettings;

/// Everything a daemon needs to start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// The failure domain that the instance belongs to.
    pub domain: FailureDomain,
    /// The region that the instance belongs to.
    pub region: RegionName,
    /// Labels by which the proxy selectors of declarations match this instance.
    pub labels: Labels,
    /// Addresses to listen on; port 0 picks a free port.
    pub listen: Addresses,
    /// Addresses of the peers that the daemon contacts first to join the mesh.
    pub peers: Vec<SocketAddr>,
    /// HTTP address of the log service. Unused if `platform` is set; the conversion of
    /// [`RawSettings`] then sets it to the address of the store.
    pub log_service: SocketAddr,
    /// Addresses for running on the platform, where the configuration comes from the platform's
    /// store; `None` for a daemon that reads a log service.
    pub platform: Option<PlatformSettings>,
    /// The secret key shared by all daemons of the mesh.
    pub mesh_key: MeshKey,
    /// Operators' tokens that may publish changes.
    pub tokens: Vec<OperatorToken>,
    /// Limits on calls, gossip and shutdown.
    pub limits: LimitSettings,
    /// Address of the statsd receiver (UDP); `None` sends no metrics.
    pub statsd: Option<SocketAddr>,
    /// Address to serve metrics at as text over HTTP; `None` serves none.
    pub metrics_listen: Option<SocketAddr>,
    /// Decision log on standard output about calls and state changes; `None` writes none.
    pub decision_log: Option<DecisionLogSettings>,
    /// Seed of all random number generators; `None` takes one from the system.
    pub seed: Option<u64>,
}

impl Settings {
    /// Names of the headers of calls and their answers.
    pub(crate) fn call_headers(&self) -> CallHeaders {
        match self.platform {
            Some(_) => cyclamen_platform::call_headers(),
            None => CallHeaders::default(),
        }
    }

    /// Where the daemon reads its configuration from.
    pub(crate) fn config_source(&self) -> ConfigSource {
        match self.platform {
            Some(_) => ConfigSource::Store,
            None => ConfigSource::Log,
        }
    }
}

/// An operator's token, stored as a hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorToken {
    /// The team that changes published with the token belong to.
    pub team: TeamName,
    /// The hash of the token.
    pub hash: TokenHash,
}

/// BLAKE3 hash of a token; hidden in debug output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[debug("TokenHash(hidden)")]
pub struct TokenHash(pub [u8; 32]);

/// Limits of one daemon; the defaults apply to keys that the settings file omits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Maximum number of open connections from callers.
    pub caller_connections: u32,
    /// Maximum number of calls queued for one local backend server.
    pub queue: u32,
    /// Maximum time that a call waits in that queue.
    pub queue_wait: Duration,
    /// Maximum time that a stopping daemon waits for calls in flight to end, without
    /// [`LimitSettings::stop_within`].
    pub stop_grace: Duration,
    /// How long after the order to stop the process has to have ended; `None` bounds the stop by the
    /// other two times, one after the other.
    pub stop_within: Option<Duration>,
    /// How long a stopping daemon keeps accepting connections, for callers that do not know yet
    /// that it stops. `None` ends this as soon as no connection is open, and at the latest after
    /// 2 seconds or a quarter of `stop_grace`, whichever is shorter.
    pub stop_linger: Option<Duration>,
    /// How long a backend server goes on to be sent calls after it said that it leaves.
    pub drain_time: Duration,
    /// Interval of gossip rounds and of membership probes.
    pub gossip_period: Duration,
    /// Maximum rate of gossip sent, in bytes per second.
    pub gossip_bytes_per_second: u32,
    /// Time after which a backend server that has not renewed its announcement counts as gone.
    pub announcement_lease: Duration,
    /// Minimum time between two reports of evidence about one move. Reports of failed or slow calls
    /// of the new version may be sent earlier.
    pub evidence_period: Duration,
    /// Whether a backend server that slows down or sheds calls is given fewer concurrent calls
    /// than it has slots.
    pub adaptive_slots: bool,
    /// Factor on the calls per second that a cold backend server bears, by which they may be exceeded
    /// for a second.
    pub cold_overshoot: f64,
    /// The retry budget of this daemon.
    pub retries: RetryLimits,
    /// Interval at which the daemon reads the log itself, without exchanging records with its
    /// peers; `None` leaves reading to the relays, which pass records on. Not in the settings file.
    pub log_poll_interval: Option<Duration>,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            caller_connections: 2_000,
            queue: 32,
            queue_wait: Duration::from_millis(200),
            stop_grace: Duration::from_secs(30),
            stop_within: None,
            stop_linger: None,
            drain_time: Duration::from_secs(2),
            gossip_period: Duration::from_secs(1),
            gossip_bytes_per_second: 2_048,
            announcement_lease: Duration::from_secs(6),
            evidence_period: Duration::from_secs(2),
            adaptive_slots: true,
            cold_overshoot: 1.0,
            retries: RetryLimits::default(),
            log_poll_interval: None,
        }
    }
}
