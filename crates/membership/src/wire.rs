//! Public types that are carried by datagrams or concern them: the mesh key, the applied
//! configuration, broadcast payloads and the reasons for dropping a datagram.

use std::sync::Arc;

use cyclamen_types::ConfigVersion;
use derive_more::Debug;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The secret key that all daemons of a mesh share; it authenticates datagrams. Its `Debug` output
/// hides the key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[debug("MeshKey(hidden)")]
pub struct MeshKey(pub [u8; 32]);

/// The configuration that a daemon has applied; part of every datagram header.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedConfig {
    /// The version of the configuration: how far the log has been applied.
    pub version: ConfigVersion,
    /// Hash of the configuration state at that version.
    pub hash: u64,
}

/// What a broadcast payload contains. Payloads of earlier kinds come first within a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BroadcastKind {
    /// What every member has to know within seconds: the decision to roll a rollout back, and
    /// crashes of backend servers. Sent at once, with enough transmissions to reach all members.
    Urgent,
    /// New records of the log. Sent at once, but with few transmissions per member; members that
    /// they do not reach pull them.
    Records,
    /// Evidence that can wait, such as counters. Sent as the byte limit allows.
    Evidence,
    /// What only the receiver is to know. Sent once, and not passed on.
    Direct,
}

impl BroadcastKind {
    /// Whether a member that receives a new payload of this kind pushes it to a few others at once.
    pub fn is_urgent(self) -> bool {
        match self {
            Self::Urgent | Self::Records => true,
            Self::Evidence | Self::Direct => false,
        }
    }
}

/// An opaque payload that another crate broadcasts through the mesh. Payloads of the same kind
/// with equal bytes count as one broadcast.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Broadcast {
    /// What the payload contains.
    pub kind: BroadcastKind,
    /// The encoded payload; not sent if it does not fit one datagram.
    pub payload: Arc<[u8]>,
}

/// Why a datagram was dropped.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// Its keyed hash does not match.
    #[error("datagram authentication failed: all daemons must have the same mesh key")]
    Forged,
    /// It is a duplicate or replay, is too old to tell whether it is, or comes from this daemon
    /// itself.
    #[error("datagram is a duplicate or a replay")]
    Replayed,
    /// It is too short or does not decode.
    #[error("datagram does not decode: all daemons must run releases with the same wire format")]
    Malformed,
}
