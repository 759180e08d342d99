//! What daemons tell each other about instances and backend servers.

use std::net::SocketAddr;

use cyclamen_declarations::Labels;
use cyclamen_types::{
    FailureDomain, Incarnation, InstanceName, RegionName, ServerName, ServiceName, VersionName,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Where a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Addresses {
    /// Calls, from callers and from other daemons (HTTP).
    pub calls: SocketAddr,
    /// Gossip (UDP) and requests of peers (TCP), on one port number.
    pub peer: SocketAddr,
    /// Administration (HTTP).
    pub admin: SocketAddr,
}

/// A daemon as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name.
    pub instance: InstanceName,
    /// Which life of the instance this is.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its region.
    pub region: RegionName,
    /// Where it listens.
    pub addresses: Addresses,
}

/// What a daemon thinks of another.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer; it may still refute.
    Suspect,
    /// It was suspect for too long.
    Dead,
    /// It said that it stops.
    Left,
}

/// A daemon as another one sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// What it said of itself.
    pub record: MemberRecord,
    /// What is thought of it.
    pub state: MemberState,
    /// Whether its whole failure domain is silent, so that its entries are kept.
    pub cut_off: bool,
}

/// The state of a backend server, as the daemon beside it tells.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum ServerState {
    /// It takes calls.
    Ready,
    /// It finishes what it has and gets nothing new.
    Draining,
    /// It is withdrawn, or its announcement was not renewed.
    Gone,
}

/// A backend server as the daemon beside it announces it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Its name; unique in the mesh.
    pub name: ServerName,
    /// The service it serves.
    pub service: ServiceName,
    /// The version it runs.
    pub version: VersionName,
    /// For selectors.
    pub labels: Labels,
    /// Calls it runs at a time.
    pub slots: u32,
    /// Connections it takes.
    pub connections: u32,
    /// Where it listens (HTTP); only the daemon beside it connects.
    pub address: SocketAddr,
    /// Its state.
    pub state: ServerState,
    /// Orders announcements of one server: incarnation of its daemon, then a count.
    pub sequence: (Incarnation, u64),
}

/// A backend server with the daemon beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// What was announced.
    pub record: ServerRecord,
    /// The instance of the daemon beside it.
    pub host: InstanceName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its region.
    pub region: RegionName,
    /// Where the daemon beside it takes calls.
    pub hop: SocketAddr,
    /// What is thought of that daemon.
    pub host_state: MemberState,
    /// Whether its whole failure domain is silent.
    pub cut_off: bool,
}
