//! SWIM-style gossip membership: which daemons are in the mesh, which backend servers they host,
//! and which of them are reachable.
//!
//! [`Membership`] is a state machine without I/O. Its owner passes in received datagrams and the
//! current time, and sends the datagrams that it returns. It covers joining and leaving, failure
//! detection by probes, detection of partitioned failure domains, and anti-entropy repair.
//! Datagrams also carry [`Broadcast`]s: opaque payloads that other crates broadcast through
//! the mesh.

mod anti_entropy;
mod broadcasts;
mod budget;
mod crossing;
mod datagram;
mod failure_detection;
mod joining;
mod membership;
mod merging;
mod partitions;
mod peers;
mod records;
mod replay;
mod roster;
mod sending;
mod update_queue;
mod wire;

pub use membership::{Membership, MembershipCounters, MembershipSettings, Outgoing, Received};
pub use peers::Peer;
pub use records::{
    Addresses, Departure, DepartureState, MemberRecord, MemberState, MemberView, ServerRecord,
    ServerState, ServerView,
};
pub use wire::{AppliedConfig, Broadcast, BroadcastKind, DatagramError, MeshKey};
