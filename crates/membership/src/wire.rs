//! Datagrams between daemons: postcard under a keyed hash.

use std::sync::Arc;

use cyclamen_types::ConfigVersion;
use derive_more::Debug;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The key of the mesh; every daemon has the same. Never printed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[debug("MeshKey(hidden)")]
pub struct MeshKey(pub [u8; 32]);

/// What configuration a daemon holds; rides in every heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// How much of the log it folded.
    pub version: ConfigVersion,
    /// Its state hash.
    pub hash: u64,
}

/// What a rider is for; lower ones go first when bytes are short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RiderKind {
    /// A conviction: at once and to all.
    Conviction,
    /// New records of the log: at once and to all.
    Records,
    /// Evidence counters: as bytes allow.
    Evidence,
}

impl RiderKind {
    /// Whether riders of this kind go out at once to a few members of whoever hears them.
    pub fn is_urgent(self) -> bool {
        match self {
            Self::Conviction | Self::Records => true,
            Self::Evidence => false,
        }
    }
}

/// A payload of another crate. Equal bytes count as the same rider.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rider {
    /// What it is for.
    pub kind: RiderKind,
    /// Its bytes; at most what fits one datagram.
    pub payload: Arc<[u8]>,
}

/// Why a datagram was dropped.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// The keyed hash is wrong.
    #[error("the keyed hash is wrong: give all daemons the same mesh key")]
    Forged,
    /// Seen before.
    #[error("the datagram was seen before and is dropped")]
    Replayed,
    /// It does not decode.
    #[error("the datagram does not decode: run releases that share a wire format")]
    Malformed,
}
