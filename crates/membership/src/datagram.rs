//! Encoding of the datagrams between daemons: a header, any number of items, and a message
//! authentication code (MAC) over both.
//!
//! [`DatagramWriter`] builds a datagram within a size limit, and [`verify_and_decode`] does the
//! reverse. Header and items are encoded with postcard, so the order of their fields and variants
//! is the wire format.

use std::fmt::{self, Formatter};
use std::net::SocketAddr;

use cyclamen_types::{Incarnation, InstanceName};
use serde::{Deserialize, Serialize};

use crate::records::{MemberRecord, MemberState, ServerRecord};
use crate::wire::{AppliedConfig, Broadcast, DatagramError, MeshKey};

/// Length of the MAC at the end of a datagram: a BLAKE3 keyed hash, truncated.
const MAC_BYTES: usize = 16;

/// Identifies a member: the first 8 bytes of the BLAKE3 hash of its instance name.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct MemberId([u8; 8]);

impl MemberId {
    pub(crate) fn of(instance: &InstanceName) -> Self {
        let hash = blake3::hash(instance.as_str().as_bytes());
        let mut id = [0; 8];
        id.copy_from_slice(&hash.as_bytes()[..8]);
        Self(id)
    }

    /// The id as a number, uniformly distributed over instance names.
    pub(crate) fn as_u64(self) -> u64 {
        u64::from_le_bytes(self.0)
    }
}

impl fmt::Debug for MemberId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.as_u64())
    }
}

/// The header of every datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Header {
    /// The sender.
    pub(crate) from: MemberId,
    /// The sender's incarnation when its process started; unlike the one in its record, it does not
    /// grow when the sender refutes a suspicion.
    pub(crate) start_incarnation: Incarnation,
    /// Sequence number of the datagram, from 1 at the sender's start.
    pub(crate) sequence: u64,
    /// The configuration that the sender has applied.
    pub(crate) applied_config: AppliedConfig,
    /// Time since the source of the configuration, log or store, last answered any daemon, as far
    /// as the sender knows, in tenths of a second; `u16::MAX` for never.
    pub(crate) log_age: u16,
    /// Hash over all live members that the sender knows and their servers that are not gone.
    pub(crate) root_hash: u32,
    /// The purpose of the datagram.
    pub(crate) message: Message,
}

/// The purpose of a datagram, apart from the items that it carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Only carries the header and items.
    Gossip,
    /// Asks to join. The items describe the sender and its backend servers.
    Join,
    /// Answers a join with the addresses of other members to join through, so that many joins at
    /// once do not all load the seeds.
    JoinReply { referrals: Vec<SocketAddr> },
    /// Asks for an [`Message::Ack`].
    Probe { nonce: u32 },
    /// Answers a probe. `unknown` asks the prober for its record, which the sender lacks.
    Ack { nonce: u32, unknown: bool },
    /// Asks the receiver to probe `target` on behalf of the sender.
    IndirectProbe { nonce: u32, target: MemberId },
    /// Reports that the target of an indirect probe answered.
    IndirectAck { nonce: u32 },
    /// Salted 16-bit hashes of all buckets; asks for the entries of those that differ.
    Digest { salt: u16, buckets: Vec<u16> },
    /// Carries entries of buckets as items. `requested` is a bitmap of the buckets whose entries
    /// the sender requests in return; empty for none.
    Page { requested: Vec<u8> },
}

/// An item of a datagram. Queued updates and the entries of anti-entropy pages are both sent as
/// items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Item {
    /// A member's full record and its state. `start_incarnation` is that of the member's last start;
    /// servers announced before it are dropped.
    Member { start_incarnation: Incarnation, state: MemberState, record: MemberRecord },
    /// A member's state only.
    StateUpdate { id: MemberId, incarnation: Incarnation, state: MemberState },
    /// A backend server and the member that hosts it.
    Server { host: MemberId, record: ServerRecord },
    /// An opaque payload that another crate broadcasts.
    Broadcast(Broadcast),
}

/// Builds a datagram of limited size.
#[derive(Debug)]
pub(crate) struct DatagramWriter {
    buf: Vec<u8>,
    limit: usize,
}

impl DatagramWriter {
    /// Starts a datagram of at most `limit` bytes, MAC included.
    pub(crate) fn new(header: &Header, limit: usize) -> Self {
        // Does not fail: a `Vec` grows as needed, and postcard encodes all types in the header.
        let buf = postcard::to_stdvec(header).unwrap_or_default();
        Self { buf, limit: limit.saturating_sub(MAC_BYTES) }
    }

    /// Appends an item if it fits. Returns whether it did.
    pub(crate) fn push(&mut self, item: &Item) -> bool {
        self.push_within(item, usize::MAX)
    }

    /// Appends an item if it fits and the datagram, MAC included, stays within `bytes`. Returns
    /// whether it did.
    pub(crate) fn push_within(&mut self, item: &Item, bytes: usize) -> bool {
        let Ok(encoded) = postcard::to_stdvec(item) else {
            return false;
        };
        let len = self.buf.len() + encoded.len();
        if len > self.limit || len + MAC_BYTES > bytes {
            return false;
        }
        self.buf.extend_from_slice(&encoded);
        true
    }

    /// Current size of the datagram in bytes, MAC included.
    pub(crate) fn len(&self) -> usize {
        self.buf.len() + MAC_BYTES
    }

    /// Appends the MAC and returns the finished datagram.
    pub(crate) fn finish(mut self, key: &MeshKey) -> Vec<u8> {
        let hash = blake3::keyed_hash(&key.0, &self.buf);
        self.buf.extend_from_slice(&hash.as_bytes()[..MAC_BYTES]);
        self.buf
    }
}

/// Verifies the MAC and decodes the datagram.
///
/// # Errors
/// `Forged` if the MAC does not match; `Malformed` if the datagram is too short or does not decode.
pub(crate) fn verify_and_decode(
    bytes: &[u8],
    key: &MeshKey,
) -> Result<(Header, Vec<Item>), DatagramError> {
    let Some(len) = bytes.len().checked_sub(MAC_BYTES) else {
        return Err(DatagramError::Malformed);
    };
    let (body, mac) = bytes.split_at(len);
    // `blake3::Hash` compares in constant time. The received MAC is truncated, so the remaining
    // bytes are filled with the expected ones.
    let expected = *blake3::keyed_hash(&key.0, body).as_bytes();
    let mut received = expected;
    received[..MAC_BYTES].copy_from_slice(mac);
    if blake3::Hash::from(received) != blake3::Hash::from(expected) {
        return Err(DatagramError::Forged);
    }
    decode(body).map_err(|_| DatagramError::Malformed)
}

fn decode(body: &[u8]) -> postcard::Result<(Header, Vec<Item>)> {
    let (header, mut rest) = postcard::take_from_bytes(body)?;
    let mut items = Vec::new();
    while !rest.is_empty() {
        let (item, after) = postcard::take_from_bytes(rest)?;
        items.push(item);
        rest = after;
    }
    Ok((header, items))
}
