//! What the owner of the moves gives and gets.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_ledger::{MoveId, MoveVerdict};
use cyclamen_types::{
    FailureDomain, Incarnation, InstanceName, RouteName, ServerName, ServiceName, VersionName,
};

/// Settings of the moves at one daemon.
#[derive(Clone, Debug)]
pub struct MovesSettings {
    /// This daemon, as reporter of evidence.
    pub instance: InstanceName,
    /// Which life of it.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Shortest time between two payloads of evidence about one move, failures apart.
    pub evidence_period: Duration,
}

/// The two versions of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// The version that has the traffic.
    Old,
    /// The version that gets it.
    New,
}

/// One finished call, as the daemon that the caller reached saw it.
#[derive(Clone, Debug)]
pub struct CallSample<'a> {
    /// The route.
    pub route: &'a RouteName,
    /// The service.
    pub service: &'a ServiceName,
    /// The version that ran it.
    pub version: &'a VersionName,
    /// The backend server that ran it.
    pub server: &'a ServerName,
    /// Whether the backend server failed it (5xx, reset, timeout); a caller's own fault is none.
    pub failed: bool,
    /// From the choice of the server to the head of the answer.
    pub latency: Duration,
    /// Whether the server was in slow start or had just opened a connection.
    pub cold: bool,
}

/// What backend servers announced, by service and version, in this daemon's failure domain.
pub type Capacity<'a> = &'a dyn Fn(&ServiceName, &VersionName) -> u32;

/// How a service's calls divide between the versions of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// The move.
    pub id: MoveId,
    /// The service.
    pub service: ServiceName,
    /// The version that has the traffic.
    pub from: VersionName,
    /// The version that gets it.
    pub to: VersionName,
    /// Share of `to`, in parts per million.
    pub share_ppm: u32,
}

/// What a move wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MovesEffect {
    /// Tell all daemons at once.
    Convict(Arc<[u8]>),
    /// Tell other daemons as bytes allow.
    Evidence(Arc<[u8]>),
    /// Append to the log, until the fold shows it.
    Append(MoveId, MoveVerdict),
    /// A share changed: the splits have to be read anew.
    SplitsChanged,
}
