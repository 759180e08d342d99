//! Broadcasts of opaque payloads ([`Broadcast`]) on behalf of other crates.
//!
//! A payload is queued for gossip the first time that it is seen, whether it was broadcast by this
//! daemon or received from another one; later copies are ignored.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use cyclamen_types::{FastSet, InstanceName, Now};

use crate::budget::TrafficClass;
use crate::datagram::{Item, MemberId, Message};
use crate::membership::{Membership, Outgoing};
use crate::wire::{Broadcast, BroadcastKind};

/// Maximum number of broadcast ids kept for deduplication; the oldest are evicted first.
const MAX_SEEN_BROADCASTS: usize = 8_192;

/// Transmissions of an evidence report by each member. Few are enough, since the reporter's next
/// report makes up for one that is lost.
const EVIDENCE_TRANSMISSIONS: u32 = 3;

/// Transmissions of log records by each member. Members that the records do not reach learn of the
/// new version from datagram headers and pull the records.
const RECORD_TRANSMISSIONS: u32 = 2;

/// Bytes of a datagram reserved for everything but the payload (header, encoding of the item, MAC)
/// when checking whether a payload fits.
const HEADER_RESERVE_BYTES: usize = 128;

/// Ids of the most recently seen broadcasts, for deduplication.
#[derive(Debug, Default)]
pub(crate) struct SeenBroadcasts {
    ids: FastSet<u64>,
    order: VecDeque<u64>,
}

impl SeenBroadcasts {
    /// Records a broadcast id. Returns whether it was new.
    fn insert(&mut self, id: u64) -> bool {
        if !self.ids.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > MAX_SEEN_BROADCASTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
        true
    }
}

fn broadcast_id(broadcast: &Broadcast) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[broadcast.kind as u8]);
    hasher.update(&broadcast.payload);
    let mut id = [0; 8];
    id.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(id)
}

impl Membership {
    /// Broadcasts a payload to all members by gossip. If `urgent`, a few members are sent a
    /// datagram immediately; otherwise the payload waits for the next datagrams. `urgent` applies
    /// to this daemon only: members that receive the payload go by its kind.
    ///
    /// A payload that was seen before is ignored. One that is too large for a datagram is not sent:
    /// if it holds log records, members pull them once they learn of the higher version.
    pub fn broadcast(
        &mut self,
        now: Now,
        broadcast: Broadcast,
        urgent: bool,
        out: &mut Vec<Outgoing>,
    ) {
        self.budget.refill(now);
        if !self.accept_broadcast(broadcast) || !urgent {
            return;
        }
        self.push_due = true;
        self.push_if_due(now, out);
    }

    /// Sends a payload to one reachable member only. Returns whether it was sent: not if the member
    /// is unknown, or the limit on bytes sent does not allow it.
    pub fn send_direct(
        &mut self,
        now: Now,
        to: &InstanceName,
        payload: Arc<[u8]>,
        out: &mut Vec<Outgoing>,
    ) -> bool {
        self.budget.refill(now);
        let Some(to) = self.address_of(MemberId::of(to)) else {
            return false;
        };
        let item = Item::Broadcast(Broadcast { kind: BroadcastKind::Direct, payload });
        self.send(now, to, Message::Gossip, TrafficClass::Updates, &[item], out)
    }

    /// Replaces the payloads that members get when they join, since they have missed the gossip.
    pub fn set_join_broadcasts(&mut self, broadcasts: Vec<Broadcast>) {
        self.join_broadcasts = broadcasts;
    }

    /// Sends the payloads for joining members to one random member, which may have missed gossip.
    pub fn send_join_broadcasts(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        self.budget.refill(now);
        for id in self.choose_members(1, |_, _| true) {
            let Some(to) = self.address_of(id) else {
                continue;
            };
            self.send_join_broadcasts_to(now, to, TrafficClass::Repair, out);
        }
    }

    /// Sends the payloads for joining members, each in a datagram of its own.
    pub(crate) fn send_join_broadcasts_to(
        &mut self,
        now: Now,
        to: SocketAddr,
        class: TrafficClass,
        out: &mut Vec<Outgoing>,
    ) {
        for broadcast in self.join_broadcasts.clone() {
            let item = Item::Broadcast(broadcast);
            self.send(now, to, Message::Gossip, class, &[item], out);
        }
    }

    /// Queues a payload for gossip unless it was seen before. Returns whether it was new,
    /// even if it is too large to be queued.
    pub(crate) fn accept_broadcast(&mut self, broadcast: Broadcast) -> bool {
        if broadcast.kind == BroadcastKind::Direct {
            return true;
        }
        let id = broadcast_id(&broadcast);
        if !self.seen_broadcasts.insert(id) {
            return false;
        }
        if broadcast.payload.len() + HEADER_RESERVE_BYTES > self.settings.max_datagram_bytes {
            return true;
        }
        let limit = match broadcast.kind {
            BroadcastKind::Records => RECORD_TRANSMISSIONS,
            BroadcastKind::Urgent => self.transmission_limit(),
            BroadcastKind::Evidence | BroadcastKind::Direct => EVIDENCE_TRANSMISSIONS,
        };
        self.update_queue.add_broadcast(id, broadcast, limit);
        true
    }
}
