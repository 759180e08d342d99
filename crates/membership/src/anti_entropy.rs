//! Anti-entropy: finds and repairs the differences between rosters that gossip has not resolved.
//!
//! Every datagram header carries a hash over the live members and servers in the sender's roster.
//! After a mismatch, a daemon sends a digest, which holds a short hash of each bucket. The other
//! side answers with the entries of the buckets that differ, in several pages, and requests the
//! same buckets in return.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_types::{Mono, Now};
use rand::Rng;

use crate::budget::TrafficClass;
use crate::datagram::{Item, MemberId, Message};
use crate::membership::{Membership, Outgoing};
use crate::roster::{BUCKET_COUNT, bucket_of};

/// Maximum number of pages sent in answer to one digest, or to one request for entries.
const MAX_PAGES: usize = 4;

/// After an exchange that brought something new, the next is allowed after the gossip period
/// divided by this.
const PRODUCTIVE_PAUSE_DIVISOR: u32 = 8;

/// Minimum pause between two exchanges, in gossip periods, once this daemon has been in sync with
/// another and its roster has not changed since the last exchange.
const IDLE_PAUSE_PERIODS: u32 = 2;

/// Gossip periods to wait after a mismatch, since gossip often resolves it without an exchange.
const MISMATCH_GRACE_PERIODS: u32 = 1;

/// Length of a bitmap with one bit per bucket.
const BITMAP_BYTES: usize = BUCKET_COUNT / 8;

/// Bytes of a page reserved for the header, which includes the bitmap, and the MAC.
const PAGE_HEADER_RESERVE_BYTES: usize = 96;

/// An answer gathers no further buckets once it has more entries than this, which is already more
/// than its pages can hold.
const GATHERED_ENTRIES_LIMIT: usize = 256;

/// State of anti-entropy.
#[derive(Debug)]
pub(crate) struct AntiEntropy {
    /// When the next exchange is due; [`Mono::NEVER`] if none is needed.
    due: Mono,
    /// The earliest time of the next exchange.
    earliest: Mono,
    /// The member with which to exchange next.
    peer: Option<MemberId>,
    /// Whether the last exchange brought something new, or none has taken place yet.
    productive: bool,
    /// Whether this daemon's roster ever had the same hash as that of another member.
    ever_in_sync: bool,
    /// Whether the member last heard from had the same roster hash.
    last_peer_in_sync: bool,
    /// Topology version of the roster at the last exchange.
    topology_version: u64,
}

impl AntiEntropy {
    pub(crate) fn new(now: Now) -> Self {
        Self {
            due: Mono::NEVER,
            earliest: now.mono,
            peer: None,
            productive: true,
            ever_in_sync: false,
            last_peer_in_sync: false,
            topology_version: 0,
        }
    }

    pub(crate) fn due(&self) -> Mono {
        self.due
    }

    /// Records that another member has the same roster hash.
    fn record_match(&mut self) {
        self.last_peer_in_sync = true;
        self.productive = false;
        self.ever_in_sync = true;
    }

    /// Whether this daemon's roster ever had the same hash as that of another member.
    pub(crate) fn was_ever_in_sync(&self) -> bool {
        self.ever_in_sync
    }

    /// Records that `id` has a different roster hash and schedules an exchange with it. The exchange
    /// waits for `grace`, unless the previous one was productive or this daemon was never in
    /// sync.
    fn record_mismatch(&mut self, now: Now, id: MemberId, grace: Duration) {
        self.last_peer_in_sync = false;
        self.peer = Some(id);
        if self.due == Mono::NEVER {
            let eager = self.productive || !self.ever_in_sync;
            let grace = if eager { Duration::ZERO } else { grace };
            self.due = self.earliest.max(now.mono + grace);
        }
    }

    /// Records that a page brought something new, so that the next exchange may follow after
    /// `pause`.
    fn record_progress(&mut self, now: Now, pause: Duration) {
        self.productive = true;
        self.earliest = self.earliest.min(now.mono + pause);
        if self.due != Mono::NEVER {
            self.due = self.due.min(self.earliest);
        }
    }
}

impl Membership {
    /// Compares the hash of this daemon's roster with the one in a received header.
    pub(crate) fn compare_root_hashes(&mut self, now: Now, id: MemberId, root_hash: u32) {
        if root_hash == self.roster.root_hash() {
            self.anti_entropy.record_match();
            return;
        }
        if !self.repairs_with(id) {
            return;
        }
        let grace = self.settings.gossip_period * MISMATCH_GRACE_PERIODS;
        self.anti_entropy.record_mismatch(now, id, grace);
    }

    /// Allows an early next exchange, because a page brought something new.
    pub(crate) fn record_productive_page(&mut self, now: Now) {
        self.anti_entropy
            .record_progress(now, self.settings.gossip_period / PRODUCTIVE_PAUSE_DIVISOR);
    }

    /// Sends a digest to the member whose roster hash differed last, if an exchange is due. Does not
    /// send it if the member heard from last had the same hash.
    pub(crate) fn sync_if_due(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        if now.mono < self.anti_entropy.due {
            return;
        }
        self.anti_entropy.due = Mono::NEVER;
        if self.anti_entropy.last_peer_in_sync {
            return;
        }
        self.anti_entropy.productive = false;
        self.anti_entropy.earliest = now.mono + self.sync_pause();
        let Some(to) = self.anti_entropy.peer.take().and_then(|id| self.address_of(id)) else {
            return;
        };
        let salt: u16 = self.rng.random();
        let buckets = self.short_bucket_hashes(salt);
        self.send(now, to, Message::Digest { salt, buckets }, TrafficClass::Repair, &[], out);
    }

    /// The minimum pause until the next exchange: half a gossip period before this daemon was first
    /// in sync or if its roster has changed since the last exchange, else [`IDLE_PAUSE_PERIODS`].
    /// Records the current topology version.
    fn sync_pause(&mut self) -> Duration {
        let topology_version = self.roster.topology_version();
        let changing = self.anti_entropy.topology_version != topology_version
            || !self.anti_entropy.ever_in_sync;
        self.anti_entropy.topology_version = topology_version;
        if changing {
            self.settings.gossip_period / 2
        } else {
            self.settings.gossip_period * IDLE_PAUSE_PERIODS
        }
    }

    /// Answers a digest with the entries of the buckets that differ, and requests the sender's
    /// entries of the same buckets.
    pub(crate) fn answer_digest(
        &mut self,
        now: Now,
        from: SocketAddr,
        salt: u16,
        buckets: &[u16],
        out: &mut Vec<Outgoing>,
    ) {
        let mine = self.short_bucket_hashes(salt);
        let mut differing = Vec::new();
        for (index, (mine, theirs)) in mine.iter().zip(buckets).enumerate() {
            if mine != theirs {
                differing.push(index);
            }
        }
        if differing.is_empty() {
            return;
        }
        self.send_pages(now, from, &differing, bitmap(&differing), out);
    }

    /// Sends the entries of the buckets that a page requested.
    pub(crate) fn answer_page_request(
        &mut self,
        now: Now,
        from: SocketAddr,
        requested: &[u8],
        out: &mut Vec<Outgoing>,
    ) {
        let mut wanted = Vec::new();
        for bucket in 0..BUCKET_COUNT {
            if requested.get(bucket / 8).is_some_and(|byte| byte & (1 << (bucket % 8)) != 0) {
                wanted.push(bucket);
            }
        }
        if !wanted.is_empty() {
            self.send_pages(now, from, &wanted, Vec::new(), out);
        }
    }

    fn send_pages(
        &mut self,
        now: Now,
        to: SocketAddr,
        buckets: &[usize],
        mut requested: Vec<u8>,
        out: &mut Vec<Outgoing>,
    ) {
        let mut entries = self.entries(buckets);
        let mut pages = 0;
        while pages < MAX_PAGES && (!entries.is_empty() || !requested.is_empty()) {
            let rest = entries.split_off(self.count_fitting(&entries));
            let message = Message::Page { requested: std::mem::take(&mut requested) };
            if !self.send(now, to, message, TrafficClass::Repair, &entries, out) {
                return;
            }
            entries = rest;
            pages += 1;
        }
    }

    /// How many of the first entries fit one datagram; at least one, so that pages make progress.
    fn count_fitting(&self, entries: &[Item]) -> usize {
        let limit = self.settings.max_datagram_bytes.saturating_sub(PAGE_HEADER_RESERVE_BYTES);
        let mut bytes = 0;
        for (count, entry) in entries.iter().enumerate() {
            bytes += postcard::to_stdvec(entry).map_or(0, |encoded| encoded.len());
            if bytes > limit {
                return count.max(1);
            }
        }
        entries.len()
    }

    /// The entries of `buckets`, from a random bucket on, so that every bucket is eventually sent
    /// when they do not all fit.
    fn entries(&mut self, buckets: &[usize]) -> Vec<Item> {
        let start = self.rng.random_range(0..buckets.len());
        let mut entries = Vec::new();
        for index in 0..buckets.len() {
            let bucket = buckets[(start + index) % buckets.len()];
            self.bucket_entries(bucket, &mut entries);
            if entries.len() > GATHERED_ENTRIES_LIMIT {
                break;
            }
        }
        entries
    }

    fn bucket_entries(&self, bucket: usize, entries: &mut Vec<Item>) {
        for (id, known) in self.roster.iter() {
            if bucket_of(id) != bucket {
                continue;
            }
            entries.extend(self.member_item(id));
            for server in known.servers.values() {
                entries.push(Item::Server { host: id, record: server.record.clone() });
            }
        }
    }

    /// 16 bits of each bucket's hash after multiplication by an odd salt. The salt differs for each
    /// digest, so that a collision does not hide a difference for ever.
    fn short_bucket_hashes(&mut self, salt: u16) -> Vec<u16> {
        let salt = u64::from(salt) << 1 | 1;
        let mut short = Vec::with_capacity(BUCKET_COUNT);
        for bucket in self.roster.bucket_hashes() {
            short.push((bucket.wrapping_mul(salt) >> 48) as u16);
        }
        short
    }
}

fn bitmap(buckets: &[usize]) -> Vec<u8> {
    let mut bits = vec![0; BITMAP_BYTES];
    for bucket in buckets {
        bits[bucket / 8] |= 1 << (bucket % 8);
    }
    bits
}
