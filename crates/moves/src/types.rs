//! Inputs and outputs of [`Moves`](crate::Moves): settings, call samples, splits and effects.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_ledger::{MoveId, MoveVerdict};
use cyclamen_types::{
    FailureDomain, Incarnation, InstanceName, RouteName, ServerName, ServiceName, VersionName,
};

/// Settings of [`Moves`](crate::Moves) at one daemon.
#[derive(Clone, Debug)]
pub struct MovesSettings {
    /// The instance name of this daemon, under which it reports evidence.
    pub instance: InstanceName,
    /// The incarnation of this daemon. Each one is a separate reporter, because counters
    /// restart at zero.
    pub incarnation: Incarnation,
    /// The failure domain of this daemon.
    pub failure_domain: FailureDomain,
    /// Minimum time between two reports of evidence about one move. Reports of failed or slow
    /// calls of the new version may be sent earlier.
    pub evidence_period: Duration,
}

/// One of the two versions of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// The version that traffic moves away from.
    Old,
    /// The version that traffic moves to.
    New,
}

/// A finished call, as observed by the daemon that received it from the caller.
#[derive(Clone, Debug)]
pub struct CallSample<'a> {
    /// The route that the call matched.
    pub route: &'a RouteName,
    /// The service that was called.
    pub service: &'a ServiceName,
    /// The version of the backend server that ran the call.
    pub version: &'a VersionName,
    /// The backend server that ran the call.
    pub server: &'a ServerName,
    /// Whether the backend server failed the call (5xx, reset, timeout). Errors of the caller
    /// do not count.
    pub failed: bool,
    /// Time from the choice of the backend server to the response head.
    pub latency: Duration,
    /// Whether a new connection had to be opened for the call. Such calls are not used for
    /// latency.
    pub new_connection: bool,
    /// Whether the backend server had warmed up after its start when the call began; `None` if it
    /// does not say how long that takes.
    pub warm: Option<bool>,
}

/// Returns the slots announced by the backend servers of a service and version in this daemon's
/// failure domain.
pub type AnnouncedSlotsLookup<'a> = &'a dyn Fn(&ServiceName, &VersionName) -> u32;

/// How the calls of a service are divided between the two versions of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveSplit {
    /// The move that sets the split.
    pub id: MoveId,
    /// The service whose calls are divided.
    pub service: ServiceName,
    /// The version that traffic moves away from.
    pub from: VersionName,
    /// The version that traffic moves to.
    pub to: VersionName,
    /// Share of calls that go to `to`, in parts per million.
    pub share_ppm: u32,
}

/// An action that the owner of [`Moves`](crate::Moves) has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MovesEffect {
    /// Send this payload, a rollback, to all daemons immediately.
    BroadcastRollback(Arc<[u8]>),
    /// Send this payload, evidence, to other daemons within the bandwidth limit of the sender.
    SendEvidence(Arc<[u8]>),
    /// Append this verdict to the log; retry until the configuration shows it.
    AppendVerdict(MoveId, MoveVerdict),
    /// A traffic share changed: read [`Moves::splits`](crate::Moves::splits) again.
    SplitsChanged,
}
