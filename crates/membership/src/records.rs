//! Descriptions of daemons and backend servers: the records that daemons exchange, and the views
//! of them that [`Membership`](crate::Membership) returns.

use std::net::SocketAddr;

use cyclamen_declarations::Labels;
use cyclamen_types::{
    FailureDomain, Incarnation, InstanceName, RegionName, ServerName, ServiceName, VersionName,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The addresses that a daemon listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Addresses {
    /// Calls, from callers and from other daemons (HTTP).
    pub calls: SocketAddr,
    /// Gossip (UDP) and requests of peers (TCP), on one port number.
    pub peer: SocketAddr,
    /// Administration (HTTP).
    pub admin: SocketAddr,
}

/// A daemon's description of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its instance name, unique in the mesh.
    pub instance: InstanceName,
    /// Orders the records and states of one instance. Higher after each restart, and raised by the
    /// daemon to refute what others claim about it.
    pub incarnation: Incarnation,
    /// The failure domain that it runs in.
    pub domain: FailureDomain,
    /// The region that it runs in.
    pub region: RegionName,
    /// The addresses that it listens on.
    pub addresses: Addresses,
}

/// The state of a member. Of two states with the same incarnation, the later variant prevails.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum MemberState {
    /// It answers probes, or has not been probed yet.
    Alive,
    /// It did not answer a probe; it can still refute the suspicion. Members that are cut off are in
    /// this state too.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced that it is leaving.
    Left,
}

/// A member as this daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The member's own description.
    pub record: MemberRecord,
    /// The state that this daemon considers it to be in.
    pub state: MemberState,
    /// Whether it is considered cut off by a partition rather than dead, because most of its
    /// failure domain, or every other member, went silent. It and its backend servers are then
    /// kept.
    pub cut_off: bool,
}

/// The state of a backend server, as its host daemon announces it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum ServerState {
    /// It accepts calls.
    Ready,
    /// It finishes its running calls and gets no new ones.
    Draining,
    /// It was withdrawn, or its announcement expired.
    Gone,
}

/// A backend server as its host daemon announces it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Its name, unique in the mesh.
    pub name: ServerName,
    /// The service that it provides.
    pub service: ServiceName,
    /// The version of the service that it runs.
    pub version: VersionName,
    /// Labels that selectors match.
    pub labels: Labels,
    /// Maximum number of calls that it runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that it accepts.
    pub connections: u32,
    /// The address that it listens on (HTTP). Only its host daemon connects to it.
    pub address: SocketAddr,
    /// Its announced state.
    pub state: ServerState,
    /// Orders the announcements of one server: first by the host daemon's incarnation, then by a
    /// counter.
    pub sequence: (Incarnation, u64),
}

/// That a process of a backend server has left or drains, by an acknowledgement of its host daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The server.
    pub server: ServerName,
    /// The address that it listened on, if it was known when it left.
    pub address: Option<SocketAddr>,
    /// When the process started, in Unix milliseconds. Earlier ones are gone as well.
    pub started_at_ms: u64,
    /// Whether it drains or has left.
    pub state: DepartureState,
}

/// How far a backend server has departed. Of two states of the same process the later variant holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DepartureState {
    /// It gets no new calls.
    Draining {
        /// Sequence number of the announcement that said so first. Announcements before it are
        /// void.
        since: u64,
    },
    /// All its announcements are void.
    Left,
}

impl Departure {
    /// Whether it makes an announcement of the same server void, by the start of the process that
    /// made it, in Unix milliseconds, and its sequence number.
    pub fn covers(&self, started_at_ms: u64, sequence: u64) -> bool {
        if started_at_ms != self.started_at_ms {
            return started_at_ms < self.started_at_ms;
        }
        match self.state {
            DepartureState::Draining { since } => sequence < since,
            DepartureState::Left => true,
        }
    }
}

/// A backend server together with what this daemon knows of its host daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// The last announcement.
    pub record: ServerRecord,
    /// The instance name of the host daemon.
    pub host: InstanceName,
    /// The failure domain of the host daemon.
    pub domain: FailureDomain,
    /// The region of the host daemon.
    pub region: RegionName,
    /// The address at which the host daemon accepts calls for the server.
    pub host_calls_address: SocketAddr,
    /// The member state of the host daemon.
    pub host_state: MemberState,
    /// Whether the host daemon is considered cut off; see [`MemberView::cut_off`].
    pub cut_off: bool,
}
