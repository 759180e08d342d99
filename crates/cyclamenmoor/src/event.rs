//! What goes into an instance, and what comes out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::Labels;
use cyclamen_distribution::{Fetch, LogBatch, LogReadError, PeerResponse};
use cyclamen_ledger::{MoveId, MoveVerdict};
use cyclamen_membership::Outgoing;
use cyclamen_routing::CallId;
use cyclamen_types::{Offset, ServerName, ServiceName, VersionName};
use derive_more::{Display, From, Into};
use thiserror::Error;

/// Names an append under way.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Why an append failed. The record may be in the log all the same.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AppendError {
    /// No answer: the record may be in the log or not.
    #[error("the log service did not answer the append: it is tried again with the same id")]
    Unanswered,
    /// The log is over its rate.
    #[error("the log service takes no more appends for now: it is tried again later")]
    Busy,
}

/// A backend server as it announces itself to the daemon beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
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
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it drains.
    pub draining: bool,
    /// Orders it among the announcements from the same address; `None` where the last to arrive
    /// holds.
    pub order: Option<AnnouncementOrder>,
    /// How much longer it is slow after its start.
    pub cold: Duration,
}

/// Orders the announcements of backend servers that listen at one address, one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AnnouncementOrder {
    /// When this life of the server started, in Unix milliseconds.
    pub born: u64,
    /// Grows with each announcement of this life.
    pub sequence: u64,
}

/// Why an announcement was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AnnounceError {
    /// A server without slots takes no calls.
    #[error("backend server `{0}` announces no slots: announce at least 1")]
    NoSlots(ServerName),
    /// Nothing of this name is beside this daemon.
    #[error("backend server `{0}` is not announced at this daemon: announce it first")]
    Unknown(ServerName),
}

/// What happened to an instance.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time of [`crate::Instance::next_wakeup`] came.
    Wakeup,
    /// A datagram of another daemon.
    Datagram {
        /// Its sender.
        from: SocketAddr,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// The end of a [`Fetch::Log`].
    LogRead(Result<LogBatch, LogReadError>),
    /// The end of a [`Fetch::Peer`]; no response when it failed.
    PeerAnswer {
        /// The peer.
        from: SocketAddr,
        /// Its answer.
        response: Option<PeerResponse>,
    },
    /// The end of an [`Effect::Append`].
    Appended {
        /// Which append.
        ticket: Ticket,
        /// Where the record stands, or why nobody knows.
        result: Result<Offset, AppendError>,
    },
    /// The process is asked to stop: all servers drain and peers are told.
    Stop,
}

/// What an instance wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send(Outgoing),
    /// Fetch records and answer with [`Event::LogRead`] or [`Event::PeerAnswer`].
    Fetch(Fetch),
    /// Append a record and answer with [`Event::Appended`].
    Append {
        /// Names the append.
        ticket: Ticket,
        /// The record's payload.
        payload: Arc<str>,
    },
    /// Write a verdict into the store that keeps the configuration whole, unless it holds a
    /// verdict on this move already, and answer with [`Event::Appended`].
    Settle {
        /// Names the write.
        ticket: Ticket,
        /// The move.
        id: MoveId,
        /// The verdict.
        verdict: MoveVerdict,
    },
    /// Queued calls whose slot is free now.
    Run(Vec<CallId>),
    /// Queued calls that waited too long: refuse them as not run.
    Expire(Vec<CallId>),
    /// The configuration version grew, a move changed, or the daemon became ready or no longer is:
    /// wake whoever waits for any of it.
    Changed,
}

/// A buffer of effects, reused from event to event.
pub type Effects = Vec<Effect>;
