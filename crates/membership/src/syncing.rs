//! Repair of missed news: short hashes of all buckets, then the entries of those that differ.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_types::{Mono, Now};
use rand::Rng;

use crate::budget::Spend;
use crate::datagram::{Item, Message, ShortId};
use crate::membership::{Membership, Outgoing};
use crate::roster::{BUCKETS, bucket_of};

/// Datagrams of entries that answer one digest.
const PAGES: usize = 4;

/// Pause between two exchanges while they bring something, in parts of a period.
const QUICK_PARTS: u32 = 8;

/// Pause between two exchanges otherwise, in periods.
const SLOW_PERIODS: u32 = 2;

/// How long news may take to arrive by itself before it is asked for, in periods.
const PATIENCE_PERIODS: u32 = 1;

/// Bytes of a bitmap of buckets.
const BITMAP_BYTES: usize = BUCKETS / 8;

/// Bytes of a page kept for its head.
const PAGE_HEAD_BYTES: usize = 96;

/// Entries gathered for one answer; more than fit its pages.
const ENTRIES_LIMIT: usize = 256;

/// State of repair.
#[derive(Debug)]
pub(crate) struct Syncing {
    due: Mono,
    allowed: Mono,
    peer: Option<ShortId>,
    quick: bool,
    agreed: bool,
    /// Whether the member heard last knew the same.
    latest_same: bool,
    topology: u64,
}

impl Syncing {
    pub(crate) fn new(now: Now) -> Self {
        Self {
            due: Mono::NEVER,
            allowed: now.mono,
            peer: None,
            quick: true,
            agreed: false,
            latest_same: false,
            topology: 0,
        }
    }

    pub(crate) fn due(&self) -> Mono {
        self.due
    }

    /// Notes that the other side knows the same.
    fn same(&mut self) {
        self.latest_same = true;
        self.quick = false;
        self.agreed = true;
    }

    /// Whether this daemon ever knew the same as another one.
    pub(crate) fn has_agreed(&self) -> bool {
        self.agreed
    }

    /// Notes that the other side knows something else: an exchange is due after `patience`.
    fn differs(&mut self, now: Now, id: ShortId, patience: Duration) {
        self.latest_same = false;
        self.peer = Some(id);
        if self.due == Mono::NEVER {
            let eager = self.quick || !self.agreed;
            let patience = if eager { Duration::ZERO } else { patience };
            self.due = self.allowed.max(now.mono + patience);
        }
    }

    /// Notes that a page brought something new.
    fn brought(&mut self, now: Now, pause: Duration) {
        self.quick = true;
        self.allowed = self.allowed.min(now.mono + pause);
        if self.due != Mono::NEVER {
            self.due = self.due.min(self.allowed);
        }
    }
}

impl Membership {
    /// Compares the short hash over everything with that of a member just heard.
    pub(crate) fn compare_roots(&mut self, now: Now, id: ShortId, root: u32) {
        if root == self.roster.root() {
            self.syncing.same();
            return;
        }
        let patience = self.settings.period * PATIENCE_PERIODS;
        self.syncing.differs(now, id, patience);
    }

    /// Notes that a page brought something new.
    pub(crate) fn page_brought_news(&mut self, now: Now) {
        self.syncing.brought(now, self.settings.period / QUICK_PARTS);
    }

    pub(crate) fn sync_if_due(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        if now.mono < self.syncing.due {
            return;
        }
        self.syncing.due = Mono::NEVER;
        if self.syncing.latest_same {
            return;
        }
        self.syncing.quick = false;
        self.syncing.allowed = now.mono + self.sync_pause();
        let Some(to) = self.syncing.peer.take().and_then(|id| self.address_of(id)) else {
            return;
        };
        let salt: u16 = self.rng.random();
        let buckets = self.short_buckets(salt);
        self.send(now, to, Message::Digest { salt, buckets }, Spend::Repair, &[], out);
    }

    /// Pause after an exchange: shorter while what is known still changes.
    fn sync_pause(&mut self) -> Duration {
        let topology = self.roster.topology();
        let changing = self.syncing.topology != topology || !self.syncing.agreed;
        self.syncing.topology = topology;
        if changing { self.settings.period / 2 } else { self.settings.period * SLOW_PERIODS }
    }

    /// Sends the entries of buckets that differ, and asks for those of the other side.
    pub(crate) fn answer_digest(
        &mut self,
        now: Now,
        from: SocketAddr,
        salt: u16,
        buckets: &[u16],
        out: &mut Vec<Outgoing>,
    ) {
        let mine = self.short_buckets(salt);
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

    /// Sends the entries that the other side asked for.
    pub(crate) fn answer_page(
        &mut self,
        now: Now,
        from: SocketAddr,
        want: &[u8],
        out: &mut Vec<Outgoing>,
    ) {
        let mut wanted = Vec::new();
        for bucket in 0..BUCKETS {
            if want.get(bucket / 8).is_some_and(|byte| byte & (1 << (bucket % 8)) != 0) {
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
        mut want: Vec<u8>,
        out: &mut Vec<Outgoing>,
    ) {
        let mut entries = self.entries(buckets);
        let mut pages = 0;
        while pages < PAGES && (!entries.is_empty() || !want.is_empty()) {
            let rest = entries.split_off(self.fitting(&entries));
            let message = Message::Page { want: std::mem::take(&mut want) };
            if !self.send(now, to, message, Spend::Repair, &entries, out) {
                return;
            }
            entries = rest;
            pages += 1;
        }
    }

    /// How many of the first entries fit one datagram.
    fn fitting(&self, entries: &[Item]) -> usize {
        let limit = self.settings.datagram_bytes.saturating_sub(PAGE_HEAD_BYTES);
        let mut bytes = 0;
        for (count, entry) in entries.iter().enumerate() {
            bytes += postcard::to_stdvec(entry).map_or(0, |encoded| encoded.len());
            if bytes > limit {
                return count.max(1);
            }
        }
        entries.len()
    }

    /// The entries of some buckets, beginning with one at random.
    fn entries(&mut self, buckets: &[usize]) -> Vec<Item> {
        let start = self.rng.random_range(0..buckets.len());
        let mut entries = Vec::new();
        for index in 0..buckets.len() {
            let bucket = buckets[(start + index) % buckets.len()];
            self.bucket_entries(bucket, &mut entries);
            if entries.len() > ENTRIES_LIMIT {
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

    fn short_buckets(&mut self, salt: u16) -> Vec<u16> {
        let salt = u64::from(salt) << 1 | 1;
        let mut short = Vec::with_capacity(BUCKETS);
        for bucket in self.roster.buckets() {
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
