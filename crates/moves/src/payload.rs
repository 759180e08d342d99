//! What daemons tell each other about moves, in postcard.

use std::sync::Arc;

use cyclamen_types::{InstanceName, Wall};
use serde::{Deserialize, Serialize};

use crate::evidence::{Counts, LineKey, Stratum};
use crate::keys::{DomainKey, MoveKey, ReporterKey, RouteKey, ServerKey};

/// Largest payload, in bytes: what a datagram holds beside its headers.
pub const PAYLOAD_BYTES: usize = 1_000;

/// Bytes that an entry of a packet takes at most.
const ENTRY_BYTES: usize = 28;

/// Bytes that a packet takes before its entries, at most.
const PACKET_HEADER_BYTES: usize = 26;

/// One payload.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Counters of one reporter.
    Evidence(Packet),
    /// A move was taken back.
    Conviction(Conviction),
}

/// Counters of one reporter about one move, for one stratum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The move.
    pub id: MoveKey,
    /// The reporter.
    pub reporter: ReporterKey,
    /// Its failure domain.
    pub domain: DomainKey,
    /// When the calls were made.
    pub stratum: Stratum,
    /// The counters.
    pub entries: Vec<Entry>,
}

/// One counter of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The route.
    pub route: RouteKey,
    /// The backend server.
    pub server: ServerKey,
    /// The counts so far.
    pub counts: Counts,
}

/// A move taken back, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conviction {
    /// The move.
    pub id: MoveKey,
    /// When, by the clock of the daemon that decided.
    pub at: Wall,
    /// That daemon.
    pub by: InstanceName,
    /// Why, in one sentence.
    pub reason: Arc<str>,
    /// Grows when the conviction is told again, so that it is not taken for the same payload.
    pub repeat: u64,
}

impl Conviction {
    /// Orders convictions of one move; the least is the one that all daemons keep.
    pub fn rank(&self) -> (Wall, &InstanceName, &str) {
        (self.at, &self.by, &self.reason)
    }
}

impl Payload {
    /// The bytes of this payload.
    pub fn encode(&self) -> Arc<[u8]> {
        postcard::to_stdvec(self).unwrap_or_default().into()
    }

    /// Reads a payload; `None` when the bytes are none.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// Divides changed lines of one reporter into packets that fit a datagram.
pub fn packets(
    id: MoveKey,
    reporter: ReporterKey,
    domain: DomainKey,
    lines: &[(LineKey, Counts)],
) -> Vec<Packet> {
    let room = (PAYLOAD_BYTES - PACKET_HEADER_BYTES) / ENTRY_BYTES;
    let mut packets: Vec<Packet> = Vec::new();
    for (key, counts) in lines {
        let entry = Entry { route: key.route, server: key.server, counts: *counts };
        let fits =
            |packet: &&mut Packet| packet.stratum == key.stratum && packet.entries.len() < room;
        if let Some(packet) = packets.last_mut().filter(fits) {
            packet.entries.push(entry);
            continue;
        }
        let entries = vec![entry];
        packets.push(Packet { id, reporter, domain, stratum: key.stratum, entries });
    }
    packets
}
