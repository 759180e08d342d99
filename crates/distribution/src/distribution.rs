//! When to read the log, and whom to ask.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_ledger::{Ledger, LogRecord};
use cyclamen_membership::Membership;
use cyclamen_types::{Mono, Now, Offset};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::messages::{PeerRequest, PeerResponse};

/// Settings of distribution.
#[derive(Clone, Debug)]
pub struct DistributionSettings {
    /// Longest time a read of the log may wait for a record.
    pub long_poll: Duration,
    /// Silence of the relays after which a daemon reads the log itself.
    pub relay_silence: Duration,
    /// Snapshots served at a time.
    pub snapshot_transfers: u32,
    /// Peers whose answers a fresh daemon waits for.
    pub fresh_peers: u32,
}

/// Something to fetch; the answer comes back with the same value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fetch {
    /// Read the log from an offset.
    Log {
        /// The first record wanted.
        from: Offset,
        /// How long the read may wait for it.
        wait: Duration,
    },
    /// Ask a peer.
    Peer {
        /// Its TCP address.
        to: SocketAddr,
        /// The request.
        request: PeerRequest,
    },
}

/// A successful read of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogBatch {
    /// Records in order; may be empty.
    pub records: Vec<LogRecord>,
    /// The oldest offset that the log keeps.
    pub first: Offset,
    /// The offset that the next append gets.
    pub next: Offset,
}

/// Why a read of the log failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LogReadError {
    /// The log does not answer.
    #[error("the log service does not answer: the daemon goes on with what it holds")]
    Down,
    /// The offset is no longer kept.
    #[error("the log keeps records from {first} on only: a snapshot is needed")]
    Trimmed {
        /// The oldest offset kept.
        first: Offset,
    },
}

/// Counters for the dump and the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DistributionCounters {
    /// Reads of the log.
    pub log_reads: u64,
    /// Requests to peers.
    pub peer_requests: u64,
    /// Snapshots served.
    pub snapshots_served: u64,
    /// Requests refused with a hint.
    pub refused_busy: u64,
}

/// Distribution at one daemon.
#[derive(Debug)]
pub struct Distribution {
    counters: DistributionCounters,
    next: Mono,
    ready: bool,
}

impl Distribution {
    /// A daemon that holds nothing.
    pub fn new(_settings: DistributionSettings, _seed: u64, now: Now) -> Self {
        Self { counters: Default::default(), next: now.mono, ready: false }
    }

    /// Does what is due; what to fetch goes to `out`.
    pub fn tick(&mut self, _now: Now, _ledger: &Ledger, _m: &Membership, _out: &mut Vec<Fetch>) {
        self.next = Mono::NEVER;
    }

    /// When [`Distribution::tick`] is due.
    pub fn next_tick(&self) -> Mono {
        self.next
    }

    /// Takes the answer of the log; the caller folds the records returned, in order.
    pub fn on_log(
        &mut self,
        _now: Now,
        _answer: Result<LogBatch, LogReadError>,
        _ledger: &mut Ledger,
    ) -> Vec<LogRecord> {
        Vec::new()
    }

    /// Takes the answer of a peer; folds or installs what it brings. `None` when it failed.
    pub fn on_peer(
        &mut self,
        _now: Now,
        _from: SocketAddr,
        _answer: Option<PeerResponse>,
        _ledger: &mut Ledger,
    ) -> Vec<LogRecord> {
        Vec::new()
    }

    /// Answers a peer. Each answer that carries a snapshot holds a transfer until
    /// [`Distribution::served`].
    pub fn serve(&mut self, _now: Now, _request: &PeerRequest, _ledger: &Ledger) -> PeerResponse {
        PeerResponse::Busy { retry_after_ms: 0 }
    }

    /// A snapshot was sent, or its connection broke.
    pub fn served(&mut self) {}

    /// Whether this daemon holds a configuration that peers or the log confirmed as recent.
    pub fn ready(&self) -> bool {
        self.ready
    }

    /// Counters so far.
    pub fn counters(&self) -> &DistributionCounters {
        &self.counters
    }
}
