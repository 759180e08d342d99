//! What the platform's store holds for the mesh.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_declarations::{ClientAccount, ColdLimit, Route, Service};
use cyclamen_types::{FailureDomain, Incarnation, InstanceName, Offset, ServiceName, VersionName};

/// The newest configuration, whole.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredConfig {
    /// The operator's own number of it.
    pub number: u64,
    /// All services.
    pub services: Vec<Service>,
    /// Connections that a backend server of each service takes.
    pub connections: Vec<(ServiceName, u32)>,
    /// All routes.
    pub routes: Vec<Route>,
    /// What backend servers of a service bear while they are cold, where that is bounded.
    pub cold_limits: Vec<(ServiceName, ColdLimit)>,
    /// All client accounts; empty where calls need no key.
    pub accounts: Vec<ClientAccount>,
    /// Parts of client accounts that could not be read and are left out: where and why.
    pub left_out: Vec<String>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Largest head of a call, in bytes.
    pub head_bytes: usize,
    /// Largest body of a call, in bytes.
    pub body_bytes: u64,
    /// Longest time for a head to arrive.
    pub head_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

/// An operator's order to move a service to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredOrder {
    /// The service.
    pub service: ServiceName,
    /// The version that gets its calls.
    pub to: VersionName,
    /// Time for the whole move.
    pub within: Duration,
    /// Where the order stands in the store; a later one replaces it.
    pub offset: Offset,
}

/// An operator's order to empty a failure domain, or to take it back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredEmptying {
    /// The failure domain.
    pub domain: FailureDomain,
    /// Whether its backend servers get no calls; false once it is taken back.
    pub emptied: bool,
    /// Where the order stands in the store; a later one replaces it.
    pub offset: Offset,
}

/// How far a move has come, as operators read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveState {
    /// Under way.
    Running,
    /// Done: the old version's backend servers stop.
    Done,
    /// Taken back.
    TakenBack,
}

/// The state of a move as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedMove {
    /// The service.
    pub service: ServiceName,
    /// The version that was to get its calls.
    pub to: VersionName,
    /// The order that it answers, where its writer said so.
    pub order: Option<Offset>,
    /// How far it has come.
    pub state: MoveState,
}

/// A daemon as it wrote itself into the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredMember {
    /// Its name.
    pub instance: InstanceName,
    /// Which life of the instance wrote it.
    pub incarnation: Incarnation,
    /// Where it hears other daemons.
    pub peer: SocketAddr,
}
