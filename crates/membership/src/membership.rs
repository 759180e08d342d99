//! The membership state machine: its settings, its state and its public interface.
//!
//! The owner passes received datagrams to [`Membership::on_datagram`], calls [`Membership::tick`]
//! whenever [`Membership::next_tick`] is reached, and sends the [`Outgoing`] datagrams that both
//! produce.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_types::{ConfigVersion, FastMap, Incarnation, InstanceName, Mono, Now, ServerName};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::anti_entropy::AntiEntropy;
use crate::broadcasts::SeenBroadcasts;
use crate::budget::Budget;
use crate::datagram::{Header, Item, MemberId, Message, verify_and_decode};
use crate::failure_detection::FailureDetector;
use crate::joining::JoinState;
use crate::records::{MemberRecord, MemberState, MemberView, ServerRecord, ServerView};
use crate::replay::ReplayWindow;
use crate::roster::{MemberEntry, Roster};
use crate::update_queue::UpdateQueue;
use crate::wire::{AppliedConfig, Broadcast, DatagramError, MeshKey};

/// When there are at least this many replay windows and a datagram arrives from a sender without
/// one, the windows of all senders that are not members are dropped. Larger than the number of
/// members of any fleet.
const MAX_REPLAY_WINDOWS: usize = 16_384;

/// Settings of gossip and failure detection.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// The gossip period: each member probes another one, and gossips, once per period.
    pub gossip_period: Duration,
    /// How long a member stays suspect before it is declared dead or cut off.
    pub suspicion_timeout: Duration,
    /// Largest datagram, in bytes.
    pub max_datagram_bytes: usize,
    /// Average rate at which this daemon may send, in bytes per second; short bursts exceed it.
    pub bytes_per_second: u32,
    /// Addresses of members to join through.
    pub seeds: Vec<SocketAddr>,
    /// The key that authenticates datagrams.
    pub key: MeshKey,
}

impl MembershipSettings {
    /// The most bytes that a daemon sends within any window of length `span`, bursts included.
    pub fn max_bytes_within(&self, span: Duration) -> u64 {
        Budget::max_bytes(self.bytes_per_second, span)
    }
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver's gossip address.
    pub to: SocketAddr,
    /// The encoded and authenticated datagram.
    pub bytes: Vec<u8>,
}

/// The part of a datagram's contents that is left to the owner, because membership does not handle
/// it itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Broadcast payloads that this daemon had not seen before.
    pub broadcasts: Vec<Broadcast>,
}

/// Counters since the start of the daemon, for the state dump and the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipCounters {
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Bytes sent to members of other failure domains.
    #[serde(default)]
    pub bytes_sent_across: u64,
    /// Those of them that repaired differences.
    #[serde(default)]
    pub repair_bytes_across: u64,
    /// Bytes of the datagrams that were accepted.
    pub bytes_received: u64,
    /// Datagrams dropped because their keyed hash did not match.
    pub forged: u64,
    /// Datagrams dropped because they are duplicates or replays, are too old to tell whether they
    /// are, or come from this daemon itself.
    pub replayed: u64,
    /// Datagrams dropped because they did not decode.
    pub malformed: u64,
    /// Datagrams not sent because of the limit on bytes sent.
    pub held_back: u64,
}

/// One daemon's view of the mesh, and its part in the gossip protocol.
#[derive(Debug)]
pub struct Membership {
    pub(crate) local_member: MemberRecord,
    pub(crate) id: MemberId,
    /// The incarnation at the start of this daemon; that of `local_member` grows with each
    /// refutation.
    pub(crate) start_incarnation: Incarnation,
    pub(crate) settings: MembershipSettings,
    pub(crate) rng: SmallRng,
    pub(crate) roster: Roster,
    pub(crate) update_queue: UpdateQueue,
    pub(crate) budget: Budget,
    pub(crate) joining: JoinState,
    pub(crate) failure_detection: FailureDetector,
    pub(crate) anti_entropy: AntiEntropy,
    pub(crate) seen_broadcasts: SeenBroadcasts,
    /// Payloads for members that join.
    pub(crate) join_broadcasts: Vec<Broadcast>,
    pub(crate) counters: MembershipCounters,
    pub(crate) applied_config: AppliedConfig,
    /// When the source of the configuration, log or store, last answered any daemon.
    pub(crate) last_log_contact: Option<Mono>,
    /// The highest configuration version that any daemon has reported.
    pub(crate) highest_version: ConfigVersion,
    /// Whether urgent updates, or a newly applied version, are still to be pushed.
    pub(crate) push_due: bool,
    pub(crate) leaving: bool,
    /// Whether merged member and server updates are queued for gossip; false while an
    /// anti-entropy page is merged.
    pub(crate) forward_updates: bool,
    replay_windows: FastMap<MemberId, ReplayWindow>,
    /// Sequence number of the last datagram sent.
    pub(crate) last_sequence: u64,
    next_period: Mono,
    pub(crate) started: Mono,
}

impl Membership {
    /// Creates the membership of a daemon that knows only itself. `seed` seeds the random choices,
    /// together with the instance name.
    pub fn new(
        local_member: MemberRecord,
        settings: MembershipSettings,
        seed: u64,
        now: Now,
    ) -> Self {
        let id = MemberId::of(&local_member.instance);
        let start_incarnation = local_member.incarnation;
        let mut roster = Roster::default();
        roster.insert(
            id,
            MemberEntry::new(local_member.clone(), start_incarnation, MemberState::Alive, now),
        );
        Self {
            rng: SmallRng::seed_from_u64(seed ^ id.as_u64()),
            budget: Budget::new(settings.bytes_per_second, now),
            joining: JoinState::new(now),
            failure_detection: FailureDetector::default(),
            anti_entropy: AntiEntropy::new(now),
            seen_broadcasts: SeenBroadcasts::default(),
            join_broadcasts: Vec::new(),
            update_queue: UpdateQueue::default(),
            counters: MembershipCounters::default(),
            applied_config: AppliedConfig::default(),
            last_log_contact: None,
            highest_version: ConfigVersion::NONE,
            push_due: false,
            leaving: false,
            forward_updates: true,
            replay_windows: FastMap::default(),
            last_sequence: 0,
            next_period: now.mono,
            started: now.mono,
            local_member,
            id,
            start_incarnation,
            settings,
            roster,
        }
    }

    /// The record of this daemon.
    pub fn local_member(&self) -> &MemberRecord {
        &self.local_member
    }

    /// Does the work that is due: joining, probes, failure detection, anti-entropy and pushes.
    /// Datagrams to send are appended to `out`. A call before [`Membership::next_tick`] does
    /// nothing.
    pub fn tick(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        self.budget.refill(now);
        self.join_if_due(now, out);
        self.probe_indirectly_if_due(now, out);
        if now.mono >= self.next_period {
            self.next_period = now.mono + self.settings.gossip_period;
            self.start_period(now, out);
        }
        self.sync_if_due(now, out);
        self.push_if_due(now, out);
    }

    /// When [`Membership::tick`] is next due; a time in the past if it is due at once.
    pub fn next_tick(&self) -> Mono {
        if self.push_due {
            return Mono::default();
        }
        let mut next = self.next_period.min(self.joining.due());
        next = next.min(self.failure_detection.indirect_due());
        next.min(self.anti_entropy.due())
    }

    /// Handles a received datagram; answers are appended to `out`.
    ///
    /// Urgent updates in it are not forwarded here but by the next tick, which is then due at once.
    /// Before that tick, the owner can apply the log records among the returned
    /// [`Received::broadcasts`], so that the forwarded datagrams state the resulting configuration
    /// version.
    ///
    /// # Errors
    /// A forged, replayed or malformed datagram is counted and dropped.
    pub fn on_datagram(
        &mut self,
        now: Now,
        from: SocketAddr,
        bytes: &[u8],
        out: &mut Vec<Outgoing>,
    ) -> Result<Received, DatagramError> {
        self.budget.refill(now);
        let result = self.verify(bytes);
        match &result {
            Ok(_) => self.counters.bytes_received += bytes.len() as u64,
            Err(DatagramError::Forged) => self.counters.forged += 1,
            Err(DatagramError::Replayed) => self.counters.replayed += 1,
            Err(DatagramError::Malformed) => self.counters.malformed += 1,
        }
        let (header, items) = result?;
        let topology_version = self.roster.topology_version();
        let is_page = matches!(header.message, Message::Page { .. });
        // Only the updates of a page are not forwarded.
        let received = self.merge_items(now, items, !is_page);
        if is_page && self.roster.topology_version() != topology_version {
            self.record_productive_page(now);
        }
        self.process_header(now, &header);
        self.handle_message(now, from, &header, out);
        Ok(received)
    }

    fn verify(&mut self, bytes: &[u8]) -> Result<(Header, Vec<Item>), DatagramError> {
        let (header, items) = verify_and_decode(bytes, &self.settings.key)?;
        if self.replay_windows.len() >= MAX_REPLAY_WINDOWS
            && !self.replay_windows.contains_key(&header.from)
        {
            let roster = &self.roster;
            self.replay_windows.retain(|id, _| roster.get(*id).is_some());
        }
        let window = self.replay_windows.entry(header.from).or_default();
        if header.from == self.id || !window.accept(header.start_incarnation, header.sequence) {
            return Err(DatagramError::Replayed);
        }
        Ok((header, items))
    }

    fn process_header(&mut self, now: Now, header: &Header) {
        self.highest_version = self.highest_version.max(header.applied_config.version);
        self.merge_log_age(now, header.log_age);
        let Some(known) = self.roster.get(header.from) else {
            return;
        };
        // The sender has restarted since it sent this datagram: the roster knows its new process
        // from gossip, but the replay window has seen no datagram of that process. The highest
        // version and the log age are about all daemons, but the fields below are about the new
        // process. The message itself is still handled.
        if header.start_incarnation < known.start_incarnation {
            return;
        }
        // The domain to mark as reconnected: the sender was cut off and is now heard again.
        let domain = known.cut_off.then(|| known.record.domain.clone());
        self.roster.update_untracked(header.from, |known| {
            known.last_heard = Some(now.mono);
            known.applied_config = Some(header.applied_config);
        });
        if let Some(domain) = domain {
            self.mark_reconnected(now, &domain);
        }
        self.compare_root_hashes(now, header.from, header.root_hash);
    }

    fn handle_message(
        &mut self,
        now: Now,
        from: SocketAddr,
        header: &Header,
        out: &mut Vec<Outgoing>,
    ) {
        match &header.message {
            Message::Gossip => {}
            Message::Join => self.answer_join(now, from, out),
            Message::JoinReply { referrals } => self.handle_join_reply(now, referrals),
            Message::Probe { nonce } => self.answer_probe(now, from, header.from, *nonce, out),
            Message::Ack { nonce, unknown } => {
                self.handle_ack(now, from, *nonce, *unknown, out);
            }
            Message::IndirectProbe { nonce, target } => {
                self.probe_for(now, from, *nonce, *target, out);
            }
            Message::IndirectAck { nonce } => self.failure_detection.record_answer(*nonce),
            Message::Digest { salt, buckets } => {
                self.answer_digest(now, from, *salt, buckets, out);
            }
            Message::Page { requested } => self.answer_page_request(now, from, requested, out),
        }
        self.prompt_refutation(now, from, header.from, out);
    }

    /// Announces a backend server of this daemon, or a change of its state: enters `record` in the
    /// roster, with this daemon as host, and queues it for gossip. Ignored if it dates from before
    /// this daemon's start, is not newer than the last announcement of the server, or withdraws a
    /// server that is not known.
    pub fn put_server(&mut self, now: Now, record: ServerRecord) {
        self.announce_server(now, record);
    }

    /// Sets the configuration that this daemon reports as applied. A higher version is pushed to a
    /// few members by the next tick.
    pub fn set_applied_config(&mut self, applied_config: AppliedConfig) {
        if applied_config.version > self.applied_config.version {
            self.push_due = true;
        }
        self.highest_version = self.highest_version.max(applied_config.version);
        self.applied_config = applied_config;
        self.roster.update_untracked(self.id, |known| known.applied_config = Some(applied_config));
    }

    /// The configuration that a member last reported; `None` if it has reported none since its
    /// start.
    pub fn applied_config_of(&self, instance: &InstanceName) -> Option<AppliedConfig> {
        self.roster.get(MemberId::of(instance))?.applied_config
    }

    /// The incarnation in which this daemon first knew a member, at that member's start; `None` if it
    /// knows no such member.
    pub fn first_start_of(&self, instance: &InstanceName) -> Option<Incarnation> {
        Some(self.roster.get(MemberId::of(instance))?.first_start)
    }

    /// The highest configuration version that any daemon, this one included, has reported.
    pub fn highest_version(&self) -> ConfigVersion {
        self.highest_version
    }

    /// Records that the source of the configuration, log or store, has just answered this daemon.
    pub fn record_log_contact(&mut self, now: Now) {
        self.last_log_contact = Some(now.mono);
    }

    /// When the source of the configuration, log or store, last answered any daemon, as far as this
    /// one knows; `None` if never.
    pub fn last_log_contact(&self) -> Option<Mono> {
        self.last_log_contact
    }

    /// Adds seed addresses to join through and makes the next join attempt due at once. Known seeds
    /// and this daemon's own address are skipped.
    pub fn add_seeds(&mut self, now: Now, seeds: &[SocketAddr]) {
        for seed in seeds {
            let own = *seed == self.local_member.addresses.peer;
            if !own && !self.settings.seeds.contains(seed) {
                self.settings.seeds.push(*seed);
            }
        }
        self.expedite_join(now);
    }

    /// Announces to the mesh that this daemon is leaving; the datagrams that say so are appended to
    /// `out`.
    pub fn leave(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        self.budget.refill(now);
        self.announce_leave(now, out);
    }

    /// All known members, this daemon included, ordered by instance name. Dead and departed members
    /// are listed for some minutes.
    pub fn members(&self) -> Vec<MemberView> {
        self.roster.member_views()
    }

    /// All known backend servers, ordered by name, whatever their state.
    pub fn servers(&self) -> Vec<ServerView> {
        self.roster.server_views()
    }

    /// The last announcement of a backend server of this daemon.
    pub fn own_server(&self, name: &ServerName) -> Option<&ServerRecord> {
        Some(&self.roster.get(self.id)?.servers.get(name)?.record)
    }

    /// A version number that grows whenever [`Membership::members`] or [`Membership::servers`]
    /// change.
    pub fn topology_version(&self) -> u64 {
        self.roster.topology_version()
    }

    /// Counters since the start.
    pub fn counters(&self) -> &MembershipCounters {
        &self.counters
    }
}

#[cfg(test)]
mod tests;
