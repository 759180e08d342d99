//! Inputs and outputs of an instance: the events that its owner passes in, the effects that it
//! requests in return, and announcements of backend servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::Labels;
use cyclamen_distribution::{Fetch, LogBatch, LogReadError, PeerResponse};
use cyclamen_ledger::{MoveId, MoveVerdict};
use cyclamen_membership::Outgoing;
use cyclamen_routing::{CallId, StopTimes};
use cyclamen_types::{Offset, ServerName, ServiceName, VersionName, Wall};
use derive_more::{Display, From, Into};
use thiserror::Error;

/// Identifies a pending append to the log or write to the store; unique within one instance.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AppendTicket(pub u64);

/// Why an append to the log or a write to the store failed. One that got no answer may still have
/// taken effect.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AppendError {
    /// The log service or the store did not answer, so the record may or may not have been written.
    #[error("the log service did not answer the append: it is tried again with the same id")]
    Unanswered,
    /// The log service is limiting its append rate.
    #[error("the log service takes no more appends for now: it is tried again later")]
    Busy,
}

/// Announcement of a backend server to its local daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the backend server; unique in the mesh.
    pub name: ServerName,
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Version of the service that it runs.
    pub version: VersionName,
    /// Labels that selectors match against.
    pub labels: Labels,
    /// Maximum number of calls that it runs concurrently; at least 1.
    pub slots: u32,
    /// Maximum number of connections that it accepts.
    pub connections: u32,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Whether it is draining and must get no new calls.
    pub draining: bool,
    /// Position among the announcements for the same name or address. With `None`, the
    /// announcement that arrives last wins.
    pub order: Option<AnnouncementOrder>,
    /// How much longer the server is slow because it has just started; `None` if it does not say.
    pub cold: Option<Duration>,
}

/// Orders the announcements of a backend server, and those of servers that listen on the same
/// address one after another: by start time first, then by sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AnnouncementOrder {
    /// When this process of the server started, in Unix milliseconds. It identifies the
    /// incarnation of the server.
    pub started_at_ms: u64,
    /// Increases with each announcement of this incarnation.
    pub sequence: u64,
}

/// Largest difference between the clocks of a daemon and its backend servers at which announcements
/// are believed.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(3_600);

/// Most slots that a backend server may announce.
pub(crate) const MAX_SLOTS: u32 = 65_536;

impl AnnouncementOrder {
    /// Whether a server may have announced itself like this by now: it has started, and announced
    /// itself no more than once a millisecond since then. An announcement that says more would make
    /// those of the server that follow look outdated.
    pub(crate) fn is_plausible(&self, now: Wall) -> bool {
        let latest = now + MAX_CLOCK_DIFFERENCE;
        self.started_at_ms <= latest.0 && self.sequence <= latest.0 - self.started_at_ms
    }
}

/// Why an announcement or a withdrawal was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AnnounceError {
    /// The announcement has zero slots, so the server could never run a call.
    #[error("backend server `{0}` announces no slots: announce at least 1")]
    NoSlots(ServerName),
    /// The announcement has more slots than any server.
    #[error("backend server `{0}` announces too many slots: announce {MAX_SLOTS} at most")]
    TooManySlots(ServerName),
    /// The start or the sequence number of the server cannot be.
    #[error(
        "backend server `{0}` names a start in the future, or a sequence number that it cannot have \
         reached: name the time of its start, and count from there"
    )]
    ImplausibleOrder(ServerName),
    /// This daemon knows no local backend server of this name.
    #[error("backend server `{0}` is not announced at this daemon: announce it first")]
    Unknown(ServerName),
}

/// An input of an instance.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time returned by [`crate::Instance::next_wakeup`] has been reached.
    Wakeup,
    /// A gossip datagram arrived.
    Datagram {
        /// Address of the sender.
        from: SocketAddr,
        /// Content, not yet authenticated.
        bytes: Vec<u8>,
    },
    /// The result of a [`Fetch::Log`].
    LogRead(Result<LogBatch, LogReadError>),
    /// The result of a [`Fetch::Peer`].
    PeerResponse {
        /// Address of the peer that was asked.
        from: SocketAddr,
        /// Response of the peer; `None` if the request failed.
        response: Option<PeerResponse>,
    },
    /// The result of an [`Effect::Append`] or an [`Effect::WriteVerdict`].
    Appended {
        /// The ticket from the effect.
        ticket: AppendTicket,
        /// Offset of the record, or for a write to the store that of the move's order; else why the
        /// append or write is not known to have succeeded.
        result: Result<Offset, AppendError>,
    },
    /// The process was asked to stop: all local backend servers drain, this daemon announces to its
    /// peers that it leaves, and takes only calls that can be answered before it ends.
    Stop(StopTimes),
}

/// Work that an instance asks its owner to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send(Outgoing),
    /// Fetch records or a snapshot, then pass in [`Event::LogRead`] or [`Event::PeerResponse`].
    Fetch(Fetch),
    /// Append a record to the log, then pass in [`Event::Appended`].
    Append {
        /// Ticket to return in the event.
        ticket: AppendTicket,
        /// Payload of the record.
        payload: Arc<str>,
    },
    /// Write a verdict to the configuration store, unless the store already holds a verdict on
    /// this move, then pass in [`Event::Appended`].
    WriteVerdict {
        /// Ticket to return in the event.
        ticket: AppendTicket,
        /// The move that the verdict decides.
        id: MoveId,
        /// The verdict to store.
        verdict: MoveVerdict,
    },
    /// Queued calls that got a slot: run them now.
    RunQueued(Vec<CallId>),
    /// Queued calls that were evicted or waited too long: refuse them as not run.
    RefuseQueued(Vec<CallId>),
    /// The configuration or a move changed, another daemon was found to hold a newer
    /// configuration, or the readiness of this daemon changed: wake the tasks that wait for any of
    /// these.
    Changed,
}

/// Buffer that collects effects; the owner reuses it between events.
pub type Effects = Vec<Effect>;
