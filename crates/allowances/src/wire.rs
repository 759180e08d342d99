//! The payloads that holders and owners of shares exchange: a tag and a message, encoded with
//! postcard. The order of fields is part of the format.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::{AccountName, Incarnation, InstanceName};
use serde::{Deserialize, Serialize};

/// First byte of a payload. Other payloads, which travel the same way, begin with other bytes.
const PAYLOAD_TAG: u8 = 5;

/// Most entries of a message, so that it fits a datagram together with its headers.
pub(crate) const MAX_ENTRIES: usize = 12;

/// Whether a payload is a message of this crate.
pub fn is_payload(payload: &[u8]) -> bool {
    payload.first() == Some(&PAYLOAD_TAG)
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Packet {
    Report(Report),
    Reply(Reply),
}

/// What a holder says to the owner of some accounts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Report {
    pub(crate) holder: InstanceName,
    pub(crate) incarnation: Incarnation,
    /// Grows with each report of the holder. It takes only the reply to its last one.
    pub(crate) number: u64,
    pub(crate) entries: Vec<Need>,
}

/// A part of an allowance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Share {
    /// Fraction of the calls per second.
    pub(crate) rate: f32,
    /// Fraction of the tokens that all buckets together may hold.
    pub(crate) depth: f32,
}

impl Share {
    fn is_sound(&self) -> bool {
        (0.0..=1.0).contains(&self.rate) && (0.0..=1.0).contains(&self.depth)
    }
}

/// What a holder has and needs of one account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Need {
    pub(crate) account: AccountName,
    /// Calls per second that arrive.
    pub(crate) demand: f32,
    /// What it holds; nothing without a lease.
    pub(crate) held: Share,
    /// Tokens that it wants to be able to hold.
    pub(crate) room: f32,
    /// Tokens that it lacks at the moment.
    pub(crate) tokens: f32,
    /// Tokens that its share brought in since the last report and that it returns, because its
    /// bucket was full.
    pub(crate) surplus: f32,
}

/// The answer to a [`Report`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Reply {
    pub(crate) number: u64,
    pub(crate) incarnation: Incarnation,
    pub(crate) entries: Vec<(AccountName, Offer)>,
}

/// What an owner lends of one account.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Offer {
    /// The share from now on.
    pub(crate) share: Share,
    /// Tokens to use in addition, once.
    pub(crate) tokens: f32,
    /// How long the share is lent.
    pub(crate) lease_ms: u32,
    /// Time until the holder may ask again.
    pub(crate) pause_ms: u32,
}

impl Offer {
    pub(crate) fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms.into())
    }

    pub(crate) fn pause(&self) -> Duration {
        Duration::from_millis(self.pause_ms.into())
    }

    /// Whether the figures can be used.
    fn is_sound(&self) -> bool {
        self.share.is_sound() && self.tokens.is_finite() && self.tokens >= 0.0
    }
}

impl Need {
    /// Whether the figures can be used.
    fn is_sound(&self) -> bool {
        let figures = [self.demand, self.room, self.tokens, self.surplus];
        self.held.is_sound() && figures.iter().all(|figure| figure.is_finite() && *figure >= 0.0)
    }
}

pub(crate) fn encode(packet: &Packet) -> Arc<[u8]> {
    // Encoding cannot fail: postcard rejects only sequences of unknown length.
    let mut buf = postcard::to_stdvec(packet).unwrap_or_default();
    buf.insert(0, PAYLOAD_TAG);
    buf.into()
}

/// The message of a payload without the entries that cannot be used; `None` if it is malformed.
pub(crate) fn decode(payload: &[u8]) -> Option<Packet> {
    let (&PAYLOAD_TAG, rest) = payload.split_first()? else {
        return None;
    };
    let mut packet = postcard::from_bytes(rest).ok()?;
    match &mut packet {
        Packet::Report(report) => report.entries.retain(Need::is_sound),
        Packet::Reply(reply) => reply.entries.retain(|(_, offer)| offer.is_sound()),
    }
    Some(packet)
}
