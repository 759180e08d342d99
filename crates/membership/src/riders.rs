//! Riders: payloads of other crates, passed on without being read.

use std::collections::VecDeque;

use cyclamen_types::{FastSet, Now};

use crate::membership::{Membership, Outgoing};
use crate::wire::{Rider, RiderKind};

/// Riders remembered, so that each counts once.
const SEEN_LIMIT: usize = 8_192;

/// Tellings of a report of evidence by each member; the next report makes up for what it misses.
const EVIDENCE_TELLINGS: u32 = 3;

/// Tellings of a pushed record by each member; the others that it pushes to hear its version only
/// and pull what did not reach them.
const RECORD_TELLINGS: u32 = 2;

/// Bytes of a datagram kept for its head.
const HEAD_BYTES: usize = 128;

/// The riders seen.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    ids: FastSet<u64>,
    order: VecDeque<u64>,
}

impl Seen {
    /// Remembers a rider; whether it is new.
    fn insert(&mut self, id: u64) -> bool {
        if !self.ids.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > SEEN_LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
        true
    }
}

fn id_of(rider: &Rider) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[rider.kind as u8]);
    hasher.update(&rider.payload);
    let mut id = [0; 8];
    id.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(id)
}

impl Membership {
    /// Spreads a rider; `urgent` ones go out at once to a few members. A rider too large for a
    /// datagram is not sent: records are then pulled by who hears of a higher version.
    pub fn spread(&mut self, now: Now, rider: Rider, urgent: bool, out: &mut Vec<Outgoing>) {
        self.budget.refill(now);
        if !self.take_rider(rider) || !urgent {
            return;
        }
        self.push_due = true;
        self.push_news(now, out);
    }

    /// Takes a rider to be passed on; whether it is new.
    pub(crate) fn take_rider(&mut self, rider: Rider) -> bool {
        let id = id_of(&rider);
        if !self.seen.insert(id) {
            return false;
        }
        if rider.payload.len() + HEAD_BYTES > self.settings.datagram_bytes {
            return true;
        }
        let times = match rider.kind {
            RiderKind::Records => RECORD_TELLINGS,
            RiderKind::Conviction => self.retransmits(),
            RiderKind::Evidence => EVIDENCE_TELLINGS,
        };
        self.hot.add_rider(id, rider, times);
        true
    }
}
