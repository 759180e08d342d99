//! What callers of [`Router`](crate::Router) pass in, and its counters.

use cyclamen_types::{
    FailureDomain, Incarnation, RegionName, ServerName, ServiceName, VersionName,
};
use serde::{Deserialize, Serialize};

use crate::call::Hop;
use crate::router::RetryLimits;

/// Which algorithms a router uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouterMode {
    /// Load-aware choice of servers, ejection, and retries within a budget.
    #[default]
    Full,
    /// Uniformly random choice of servers, and no ejection. Every attempt without an answer is
    /// retried, even if the call may have run. The number of attempts is limited as usual, but
    /// retries need no budget. Benchmarks compare the full mode with this one; no setting of a
    /// daemon selects it.
    Baseline,
}

/// Settings of a [`Router`](crate::Router).
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Failure domain of this daemon; servers in it are preferred.
    pub domain: FailureDomain,
    /// Region of this daemon; its servers are preferred over those of other regions.
    pub region: RegionName,
    /// Limits of the retry budgets.
    pub retries: RetryLimits,
}

/// A backend server as it was announced to the mesh.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerInfo {
    /// Unique name of the server.
    pub name: ServerName,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Version of the service that the server runs.
    pub version: VersionName,
    /// Failure domain that the server is in.
    pub domain: FailureDomain,
    /// Region that the server is in.
    pub region: RegionName,
    /// Where to send calls for the server.
    pub hop: Hop,
    /// How many calls the server runs at a time.
    pub slots: u32,
    /// Whether the server accepts new calls.
    pub ready: bool,
    /// Whether the daemon that hosts the server is suspected to be down, or its whole failure
    /// domain unreachable. Such servers are used only when no others are left.
    pub suspected_down: bool,
    /// Identifies the server's announcement: the incarnation of the daemon that hosts it, and a
    /// counter. It differs from that of the announcement before, and only then.
    pub announcement: (Incarnation, u64),
}

/// How the calls of a service are divided between two versions while a move is under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionSplit {
    /// Service that is moved to another version.
    pub service: ServiceName,
    /// Version that the traffic is moved away from.
    pub from: VersionName,
    /// Version that the traffic is moved to.
    pub to: VersionName,
    /// Share of the calls that go to `to`, in parts per million.
    pub share_ppm: u32,
}

/// Counters since the start of the router, for the state dump and the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterCounters {
    /// Calls passed to [`Router::begin`](crate::Router::begin), including those that it refused.
    pub calls: u64,
    /// Attempts beyond the first of each call.
    pub retries: u64,
    /// The retries among them that followed an answer that was a server error.
    pub retries_of_errors: u64,
    /// Retries not made because the retry budget of the service was empty.
    pub retries_refused: u64,
    /// Calls that were refused and not run.
    pub refused: u64,
    /// Calls that ended with an unknown outcome, including those that the caller cancelled.
    pub unknown: u64,
    /// Times that a server was taken out of load balancing for a while, after failures or after a
    /// connection that could not be opened.
    pub ejections: u64,
}
