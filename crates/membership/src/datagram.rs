//! The datagrams between daemons: a head, then items until the end, then the keyed hash.

use std::fmt::{self, Formatter};
use std::net::SocketAddr;

use cyclamen_types::{Incarnation, InstanceName};
use serde::{Deserialize, Serialize};

use crate::records::{MemberRecord, MemberState, ServerRecord};
use crate::wire::{DatagramError, Held, MeshKey, Rider};

/// Bytes of the keyed hash kept at the end of a datagram.
const SEAL_BYTES: usize = 16;

/// A member by the hash of its name.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct ShortId([u8; 8]);

impl ShortId {
    pub(crate) fn of(instance: &InstanceName) -> Self {
        let hash = blake3::hash(instance.as_str().as_bytes());
        let mut id = [0; 8];
        id.copy_from_slice(&hash.as_bytes()[..8]);
        Self(id)
    }

    /// The id as a number, spread evenly.
    pub(crate) fn number(self) -> u64 {
        u64::from_le_bytes(self.0)
    }
}

impl fmt::Debug for ShortId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.number())
    }
}

/// What every datagram begins with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// The sender.
    pub(crate) from: ShortId,
    /// The sender's incarnation at its start.
    pub(crate) life: Incarnation,
    /// Counts the sender's datagrams.
    pub(crate) sequence: u64,
    /// What the sender holds.
    pub(crate) held: Held,
    /// Time since the log was last known to answer, in tenths of a second; `u16::MAX` for never.
    pub(crate) log_age: u16,
    /// Short hash over all that the sender knows of members and servers.
    pub(crate) root: u32,
    /// What the datagram is for.
    pub(crate) message: Message,
}

/// What a datagram is for, beside the items that it carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Nothing but its head and items.
    Gossip,
    /// A daemon with few members or none asks to be let in.
    Join,
    /// Answers a join with other members to join by, so that the load of many spreads.
    Welcome { others: Vec<SocketAddr> },
    /// Asks for an [`Message::Ack`].
    Probe { nonce: u32 },
    /// Answers a probe; `unknown` asks for the record of who probed.
    Ack { nonce: u32, unknown: bool },
    /// Asks to probe another member.
    Relay { nonce: u32, target: ShortId },
    /// The other member answered.
    RelayAck { nonce: u32 },
    /// Short hashes of all buckets, mixed with a salt; asks for what differs.
    Digest { salt: u16, buckets: Vec<u16> },
    /// Entries of buckets that differ; `want` are those that the sender asks for in turn.
    Page { want: Vec<u8> },
}

/// A piece of news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Item {
    /// A member in full.
    Member { life: Incarnation, state: MemberState, record: MemberRecord },
    /// What is thought of a member.
    Claim { id: ShortId, incarnation: Incarnation, state: MemberState },
    /// A backend server beside a member.
    Server { host: ShortId, record: ServerRecord },
    /// A payload of another crate.
    Rider(Rider),
}

/// A datagram being written.
#[derive(Debug)]
pub(crate) struct Writer {
    buf: Vec<u8>,
    limit: usize,
}

impl Writer {
    /// Begins a datagram of at most `limit` bytes.
    pub(crate) fn new(head: &Head, limit: usize) -> Self {
        let buf = postcard::to_stdvec(head).unwrap_or_default();
        Self { buf, limit: limit.saturating_sub(SEAL_BYTES) }
    }

    /// Adds an item if it fits.
    pub(crate) fn push(&mut self, item: &Item) -> bool {
        self.push_within(item, usize::MAX)
    }

    /// Adds an item if it fits and the whole datagram stays within `bytes`.
    pub(crate) fn push_within(&mut self, item: &Item, bytes: usize) -> bool {
        let Ok(encoded) = postcard::to_stdvec(item) else {
            return false;
        };
        let len = self.buf.len() + encoded.len();
        if len > self.limit || len + SEAL_BYTES > bytes {
            return false;
        }
        self.buf.extend_from_slice(&encoded);
        true
    }

    /// Bytes of the whole datagram as it stands.
    pub(crate) fn len(&self) -> usize {
        self.buf.len() + SEAL_BYTES
    }

    /// Ends the datagram with its keyed hash.
    pub(crate) fn seal(mut self, key: &MeshKey) -> Vec<u8> {
        let hash = blake3::keyed_hash(&key.0, &self.buf);
        self.buf.extend_from_slice(&hash.as_bytes()[..SEAL_BYTES]);
        self.buf
    }
}

/// Checks the keyed hash and decodes.
pub(crate) fn open(bytes: &[u8], key: &MeshKey) -> Result<(Head, Vec<Item>), DatagramError> {
    let Some(len) = bytes.len().checked_sub(SEAL_BYTES) else {
        return Err(DatagramError::Malformed);
    };
    let (body, seal) = bytes.split_at(len);
    let mut given = *blake3::keyed_hash(&key.0, body).as_bytes();
    let wanted = given;
    given[..SEAL_BYTES].copy_from_slice(seal);
    if blake3::Hash::from(given) != blake3::Hash::from(wanted) {
        return Err(DatagramError::Forged);
    }
    decode(body).map_err(|_| DatagramError::Malformed)
}

fn decode(body: &[u8]) -> postcard::Result<(Head, Vec<Item>)> {
    let (head, mut rest) = postcard::take_from_bytes(body)?;
    let mut items = Vec::new();
    while !rest.is_empty() {
        let (item, after) = postcard::take_from_bytes(rest)?;
        items.push(item);
        rest = after;
    }
    Ok((head, items))
}
