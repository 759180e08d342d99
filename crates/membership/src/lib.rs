//! Which daemons and backend servers there are: announcements, failure detection, gossip.
//!
//! [`Membership`] is a pure state machine: datagrams and the time go in, datagrams come out. It
//! also carries riders, small payloads of other crates, which it spreads without reading them.

mod budget;
mod datagram;
mod domains;
mod hot;
mod items;
mod joining;
mod membership;
mod peers;
mod probing;
mod records;
mod replay;
mod riders;
mod roster;
mod sending;
mod syncing;
mod wire;

pub use membership::{Membership, MembershipCounters, MembershipSettings, Outgoing, Received};
pub use peers::Peer;
pub use records::{
    Addresses, MemberRecord, MemberState, MemberView, ServerRecord, ServerState, ServerView,
};
pub use wire::{DatagramError, Held, MeshKey, Rider, RiderKind};
