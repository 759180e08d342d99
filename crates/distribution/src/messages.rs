//! Requests between daemons over TCP, encoded with postcard.

use cyclamen_ledger::LogRecord;
use cyclamen_types::ConfigVersion;
use serde::{Deserialize, Serialize};

/// What a daemon asks of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Records after the version held, or a snapshot where they are gone.
    Catchup {
        /// What the asking daemon holds.
        held: ConfigVersion,
    },
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
    /// Too many transfers; come back later.
    Busy {
        /// When to come back, in milliseconds.
        retry_after_ms: u32,
    },
}
