//! The messages that daemons exchange about moves, encoded with postcard. The order of fields and
//! variants is part of the format.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::{InstanceName, Wall};
use serde::{Deserialize, Serialize};

use crate::evidence::{CounterKey, Counts, Stratum};
use crate::keys::{DomainKey, MoveKey, ReporterKey, RouteKey, ServerKey};

/// Largest payload in bytes, so that it fits a datagram together with its headers.
pub const MAX_PAYLOAD_BYTES: usize = 1_000;

/// Largest encoded size of an entry with the latency limit of its route, in bytes.
const MAX_ENTRY_BYTES: usize = 38;

/// Largest encoded size of a packet without its entries, in bytes.
const MAX_PACKET_HEADER_BYTES: usize = 26;

/// A message to other daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Counters of one reporter.
    Evidence(EvidencePacket),
    /// A rollback of a move.
    Rollback(Rollback),
}

/// Counters of one reporter about one move in one stratum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidencePacket {
    /// The publication of the move.
    pub id: MoveKey,
    /// The incarnation of the daemon that counted the calls.
    pub reporter: ReporterKey,
    /// The failure domain of the reporter.
    pub domain: DomainKey,
    /// The stratum in which the calls were counted.
    pub stratum: Stratum,
    /// The counters; several packets are sent if they do not fit one.
    pub entries: Vec<Entry>,
    /// Latency limits as the reporter estimates them, for the routes with calls of the old
    /// version in `entries`.
    pub limits: Vec<RouteLimit>,
}

/// The latency above which a call of a route is slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteLimit {
    /// The route.
    pub route: RouteKey,
    /// The limit in microseconds; `u32::MAX` if it is larger.
    pub limit_us: u32,
}

/// One counter of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The route.
    pub route: RouteKey,
    /// The backend server, or [`ServerKey::OLD`].
    pub server: ServerKey,
    /// All calls that the reporter has counted so far, not the increase since the last packet.
    pub counts: Counts,
}

/// The decision to roll a move back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollback {
    /// The publication of the move.
    pub id: MoveKey,
    /// When it was decided, by the wall clock of the daemon that decided.
    pub at: Wall,
    /// The daemon that decided.
    pub by: InstanceName,
    /// The reason, in one sentence.
    pub reason: Arc<str>,
    /// Zero at first, larger when the rollback is sent again, so that the payload is not
    /// dropped as a duplicate.
    pub repeat: u64,
}

impl Rollback {
    /// The order of rollbacks of one move. All daemons keep the least one.
    pub fn precedence(&self) -> (Wall, &InstanceName, &str) {
        (self.at, &self.by, &self.reason)
    }
}

impl Payload {
    /// The encoded payload.
    pub fn encode(&self) -> Arc<[u8]> {
        // Encoding cannot fail: postcard rejects only sequences of unknown length, and a payload
        // has none.
        postcard::to_stdvec(self).unwrap_or_default().into()
    }

    /// Decodes a payload; `None` if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// Divides counters of one reporter into packets that fit a datagram, one stratum each. Consecutive
/// counters of the same stratum share a packet.
pub fn evidence_packets(
    id: MoveKey,
    reporter: ReporterKey,
    domain: DomainKey,
    counters: &[(CounterKey, Counts)],
    limit_of: impl Fn(RouteKey) -> Option<Duration>,
) -> Vec<EvidencePacket> {
    let max_entries = (MAX_PAYLOAD_BYTES - MAX_PACKET_HEADER_BYTES) / MAX_ENTRY_BYTES;
    let mut packets: Vec<EvidencePacket> = Vec::new();
    for (key, counts) in counters {
        let entry = Entry { route: key.route, server: key.server, counts: *counts };
        let fits = |packet: &&mut EvidencePacket| {
            packet.stratum == key.stratum && packet.entries.len() < max_entries
        };
        if let Some(packet) = packets.last_mut().filter(fits) {
            packet.entries.push(entry);
            continue;
        }
        let (stratum, entries) = (key.stratum, vec![entry]);
        packets.push(EvidencePacket { id, reporter, domain, stratum, entries, limits: Vec::new() });
    }
    for packet in &mut packets {
        packet.limits = limits(&packet.entries, &limit_of);
    }
    packets
}

/// Latency limits of the routes that have an entry of the old version.
fn limits(entries: &[Entry], limit_of: &impl Fn(RouteKey) -> Option<Duration>) -> Vec<RouteLimit> {
    let mut limits = Vec::new();
    for entry in entries {
        if entry.server != ServerKey::OLD {
            continue;
        }
        let Some(limit) = limit_of(entry.route) else {
            continue;
        };
        let limit_us = u32::try_from(limit.as_micros()).unwrap_or(u32::MAX);
        limits.push(RouteLimit { route: entry.route, limit_us });
    }
    limits
}

#[cfg(test)]
mod tests;
