//! The state machine of membership: its state, what goes in, what is read from it.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_types::{ConfigVersion, FastMap, Incarnation, InstanceName, Mono, Now, ServerName};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::budget::Budget;
use crate::datagram::{Head, Item, Message, ShortId, open};
use crate::hot::Hot;
use crate::joining::Joining;
use crate::probing::Probing;
use crate::records::{MemberRecord, MemberState, MemberView, ServerRecord, ServerView};
use crate::replay::Window;
use crate::riders::Seen;
use crate::roster::{Known, Roster};
use crate::syncing::Syncing;
use crate::wire::{DatagramError, Held, MeshKey, Rider};

/// Senders whose datagrams are told from replays; more than a fleet has.
const SENDERS_LIMIT: usize = 16_384;

/// Settings of membership.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// One probe and one round of gossip per period.
    pub period: Duration,
    /// How long a suspect member may take to refute.
    pub suspicion: Duration,
    /// Largest datagram, in bytes.
    pub datagram_bytes: usize,
    /// Bound on bytes sent, per second.
    pub bytes_per_second: u32,
    /// Addresses to ask first.
    pub seeds: Vec<SocketAddr>,
    /// The key of the mesh.
    pub key: MeshKey,
}

impl MembershipSettings {
    /// Most bytes that a daemon sends within any window of `span`.
    pub fn bytes_bound(&self, span: Duration) -> u64 {
        Budget::bound(self.bytes_per_second, span)
    }
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Where to.
    pub to: SocketAddr,
    /// Its bytes, sealed.
    pub bytes: Vec<u8>,
}

/// What a datagram brought for others than membership.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Riders not seen before.
    pub riders: Vec<Rider>,
}

/// Counters for the dump and the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipCounters {
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Bytes received.
    pub bytes_received: u64,
    /// Datagrams with a wrong keyed hash.
    pub forged: u64,
    /// Datagrams seen before.
    pub replayed: u64,
    /// Datagrams that did not decode.
    pub malformed: u64,
    /// Datagrams held back by the bound on bytes.
    pub held_back: u64,
}

/// Membership of one daemon.
#[derive(Debug)]
pub struct Membership {
    pub(crate) me: MemberRecord,
    pub(crate) id: ShortId,
    pub(crate) life: Incarnation,
    pub(crate) settings: MembershipSettings,
    pub(crate) rng: SmallRng,
    pub(crate) roster: Roster,
    pub(crate) hot: Hot,
    pub(crate) budget: Budget,
    pub(crate) joining: Joining,
    pub(crate) probing: Probing,
    pub(crate) syncing: Syncing,
    pub(crate) seen: Seen,
    pub(crate) counters: MembershipCounters,
    pub(crate) held: Held,
    pub(crate) log_contact: Option<Mono>,
    pub(crate) best: ConfigVersion,
    pub(crate) push_due: bool,
    pub(crate) leaving: bool,
    pub(crate) telling: bool,
    windows: FastMap<ShortId, Window>,
    pub(crate) sequence: u64,
    next_period: Mono,
    pub(crate) started: Mono,
}

impl Membership {
    /// A daemon that knows only itself.
    pub fn new(me: MemberRecord, settings: MembershipSettings, seed: u64, now: Now) -> Self {
        let id = ShortId::of(&me.instance);
        let life = me.incarnation;
        let mut roster = Roster::default();
        roster.insert(id, Known::new(me.clone(), life, MemberState::Alive, now));
        Self {
            rng: SmallRng::seed_from_u64(seed ^ id.number()),
            budget: Budget::new(settings.bytes_per_second, now),
            joining: Joining::new(now),
            probing: Probing::default(),
            syncing: Syncing::new(now),
            seen: Seen::default(),
            hot: Hot::default(),
            counters: MembershipCounters::default(),
            held: Held::default(),
            log_contact: None,
            best: ConfigVersion::NONE,
            push_due: false,
            leaving: false,
            telling: true,
            windows: FastMap::default(),
            sequence: 0,
            next_period: now.mono,
            started: now.mono,
            me,
            id,
            life,
            settings,
            roster,
        }
    }

    /// This daemon.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// Does what is due; see [`Membership::next_tick`].
    pub fn tick(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        self.budget.refill(now);
        self.join_if_due(now, out);
        self.probe_indirectly_if_due(now, out);
        if now.mono >= self.next_period {
            self.next_period = now.mono + self.settings.period;
            self.end_period(now, out);
        }
        self.sync_if_due(now, out);
        self.push_news(now, out);
    }

    /// When [`Membership::tick`] is due.
    pub fn next_tick(&self) -> Mono {
        if self.push_due {
            return Mono::default();
        }
        let mut next = self.next_period.min(self.joining.due());
        next = next.min(self.probing.indirect_due());
        next.min(self.syncing.due())
    }

    /// Takes one datagram; answers go to `out`. Urgent news that it brought goes out with the next
    /// tick, which is due at once, so that the version held is stated as it is by then.
    ///
    /// # Errors
    /// A datagram that is forged, replayed or malformed is counted and dropped.
    pub fn on_datagram(
        &mut self,
        now: Now,
        from: SocketAddr,
        bytes: &[u8],
        out: &mut Vec<Outgoing>,
    ) -> Result<Received, DatagramError> {
        self.budget.refill(now);
        let result = self.check(bytes);
        match &result {
            Ok(_) => self.counters.bytes_received += bytes.len() as u64,
            Err(DatagramError::Forged) => self.counters.forged += 1,
            Err(DatagramError::Replayed) => self.counters.replayed += 1,
            Err(DatagramError::Malformed) => self.counters.malformed += 1,
        }
        let (head, items) = result?;
        let topology = self.roster.topology();
        let is_page = matches!(head.message, Message::Page { .. });
        let received = self.take_items(now, items, !is_page);
        if is_page && self.roster.topology() != topology {
            self.page_brought_news(now);
        }
        self.hear(now, &head);
        self.answer(now, from, &head, out);
        Ok(received)
    }

    fn check(&mut self, bytes: &[u8]) -> Result<(Head, Vec<Item>), DatagramError> {
        let (head, items) = open(bytes, &self.settings.key)?;
        if self.windows.len() >= SENDERS_LIMIT && !self.windows.contains_key(&head.from) {
            let roster = &self.roster;
            self.windows.retain(|id, _| roster.get(*id).is_some());
        }
        let window = self.windows.entry(head.from).or_default();
        if head.from == self.id || !window.take(head.life, head.sequence) {
            return Err(DatagramError::Replayed);
        }
        Ok((head, items))
    }

    fn hear(&mut self, now: Now, head: &Head) {
        self.best = self.best.max(head.held.version);
        self.hear_log_age(now, head.log_age);
        let Some(known) = self.roster.get(head.from) else {
            return;
        };
        if head.life < known.life {
            return;
        }
        let domain = known.cut_off.then(|| known.record.domain.clone());
        self.roster.note(head.from, |known| {
            known.heard = Some(now.mono);
            known.held = Some(head.held);
        });
        if let Some(domain) = domain {
            self.reconnect(now, &domain);
        }
        self.compare_roots(now, head.from, head.root);
    }

    fn answer(&mut self, now: Now, from: SocketAddr, head: &Head, out: &mut Vec<Outgoing>) {
        match &head.message {
            Message::Gossip => {}
            Message::Join => self.answer_join(now, from, out),
            Message::Welcome { others } => self.take_welcome(now, others),
            Message::Probe { nonce } => self.answer_probe(now, from, head.from, *nonce, out),
            Message::Ack { nonce, unknown } => {
                self.take_ack(now, from, *nonce, *unknown, out);
            }
            Message::Relay { nonce, target } => {
                self.relay_probe(now, from, *nonce, *target, out);
            }
            Message::RelayAck { nonce } => self.probing.take_relayed(*nonce),
            Message::Digest { salt, buckets } => {
                self.answer_digest(now, from, *salt, buckets, out);
            }
            Message::Page { want } => self.answer_page(now, from, want, out),
        }
        self.let_refute(now, from, head.from, out);
    }

    /// Announces or renews a backend server beside this daemon.
    pub fn put_server(&mut self, now: Now, record: ServerRecord) {
        self.announce_server(now, record);
    }

    /// States what configuration this daemon holds.
    pub fn set_held(&mut self, held: Held) {
        if held.version > self.held.version {
            self.push_due = true;
        }
        self.best = self.best.max(held.version);
        self.held = held;
        self.roster.note(self.id, |known| known.held = Some(held));
    }

    /// What a member is known to hold.
    pub fn held_by(&self, instance: &InstanceName) -> Option<Held> {
        self.roster.get(ShortId::of(instance))?.held
    }

    /// The highest version that any daemon was heard to hold.
    pub fn best_version(&self) -> ConfigVersion {
        self.best
    }

    /// Notes that this daemon read the log up to its end.
    pub fn log_answered(&mut self, now: Now) {
        self.log_contact = Some(now.mono);
    }

    /// When the log was last known to answer any daemon, this one included.
    pub fn log_contact(&self) -> Option<Mono> {
        self.log_contact
    }

    /// Adds addresses to ask first; they are asked at once while this daemon is alone.
    pub fn add_seeds(&mut self, now: Now, seeds: &[SocketAddr]) {
        for seed in seeds {
            let own = *seed == self.me.addresses.peer;
            if !own && !self.settings.seeds.contains(seed) {
                self.settings.seeds.push(*seed);
            }
        }
        self.join_soon(now);
    }

    /// Tells all that this daemon stops.
    pub fn leave(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        self.budget.refill(now);
        self.tell_leaving(now, out);
    }

    /// All members, this one included, in order of name.
    pub fn members(&self) -> Vec<MemberView> {
        self.roster.member_views()
    }

    /// All backend servers, in order of name.
    pub fn servers(&self) -> Vec<ServerView> {
        self.roster.server_views()
    }

    /// One backend server beside this daemon.
    pub fn own_server(&self, name: &ServerName) -> Option<&ServerRecord> {
        Some(&self.roster.get(self.id)?.servers.get(name)?.record)
    }

    /// Grows whenever [`Membership::members`] or [`Membership::servers`] would answer differently.
    pub fn topology(&self) -> u64 {
        self.roster.topology()
    }

    /// Counters so far.
    pub fn counters(&self) -> &MembershipCounters {
        &self.counters
    }
}
