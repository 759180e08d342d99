//! Requests between daemons over TCP, encoded with postcard.

use cyclamen_ledger::LogRecord;
use cyclamen_membership::Departure;
use cyclamen_types::{ConfigVersion, Incarnation, InstanceName, Offset};
use serde::{Deserialize, Serialize};

/// What a daemon asks of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Records after the version held, or a snapshot where they are gone.
    Catchup {
        /// What the asking daemon holds.
        held: ConfigVersion,
    },
    /// What the peer read of the store, from an offset on.
    Stored {
        /// The first offset wanted.
        from: Offset,
    },
    /// Which servers of a daemon left or drain, as the peer was told before that daemon's start.
    Departures {
        /// The daemon that asks.
        host: InstanceName,
        /// Its incarnation at its start.
        incarnation: Incarnation,
    },
}

/// A record of the store as a daemon read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Its key.
    pub key: String,
    /// Its value, as the platform encodes it, compressed (deflate).
    pub packed: Vec<u8>,
    /// Where it stands.
    pub offset: Offset,
}

/// What the peer answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// Records in order, from the version asked; empty when the peer holds no more.
    Records {
        /// The records.
        records: Vec<LogRecord>,
        /// What the peer holds.
        held: ConfigVersion,
        /// Whether the peer is ready for callers; only then does its word for what is recent
        /// count.
        ready: bool,
    },
    /// The peer's whole state.
    Snapshot {
        /// Text for `Ledger::install_snapshot`.
        text: String,
        /// What the peer holds.
        held: ConfigVersion,
        /// Whether the peer is ready for callers.
        ready: bool,
    },
    /// The newest record of each key of the store that stands at the offset asked for or later.
    Stored {
        /// The records, in order.
        records: Vec<StoredRecord>,
        /// The offset after the last one that the peer read; nothing was read where it is not
        /// above the offset asked for.
        next: Offset,
    },
    /// Too many transfers; come back later.
    Busy {
        /// When to come back, in milliseconds.
        retry_after_ms: u32,
    },
    /// The departures of the servers of the daemon that asked.
    Departures {
        /// The departures, by name of the server.
        departures: Vec<Departure>,
        /// Whether the peer knew that daemon before its start.
        knew_before: bool,
    },
}
