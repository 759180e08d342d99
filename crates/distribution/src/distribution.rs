//! When to read the log, and whom to ask.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_ledger::{Ledger, LogRecord};
use cyclamen_membership::Membership;
use cyclamen_types::{ConfigVersion, Mono, Now, Offset};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::fresh::Fresh;
use crate::gaps::Gaps;
use crate::log_reader::{Cause, LogReader};
use crate::messages::{PeerRequest, PeerResponse};
use crate::restore::Restore;
use crate::snapshots::Snapshots;

/// Pause between two looks at what may be due.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Bytes of records in one answer to a peer.
const RECORDS_BYTES: usize = 256 * 1024;

/// Longest wait of a read for a version that the log is known to have.
const EXPECTED_WAIT: Duration = Duration::from_secs(1);

/// Records of one read that are pushed to peers; a reader that is further behind lets them pull.
const PUSHED_RECORDS: usize = 16;

/// Shortest and longest time after which a refused peer comes back, in milliseconds.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u32> = 100..=1_000;

/// Where the configuration comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConfigSource {
    /// From the records of the log and from peers.
    #[default]
    Log,
    /// From a store that keeps it whole and hands each version to every daemon; there are no
    /// records to read, push or pull.
    Store,
}

/// Settings of distribution.
#[derive(Clone, Debug)]
pub struct DistributionSettings {
    /// Where the configuration comes from.
    pub source: ConfigSource,
    /// Longest time a read of the log may wait for a record.
    pub long_poll: Duration,
    /// Silence of the relays after which a daemon reads the log itself.
    pub relay_silence: Duration,
    /// Snapshots served at a time.
    pub snapshot_transfers: u32,
    /// Peers whose answers a fresh daemon waits for.
    pub fresh_peers: u32,
    /// Makes every daemon read the log this often, and none push or pull.
    pub log_poll_interval: Option<Duration>,
}

/// Something to fetch; the answer comes back with the same value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fetch {
    /// Read the log from an offset.
    Log {
        /// The first record wanted.
        from: Offset,
        /// How long the read may wait for it.
        wait: Duration,
    },
    /// Ask a peer.
    Peer {
        /// Its TCP address.
        to: SocketAddr,
        /// The request.
        request: PeerRequest,
    },
}

/// A successful read of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogBatch {
    /// Records in order; may be empty.
    pub records: Vec<LogRecord>,
    /// The oldest offset that the log keeps.
    pub first: Offset,
    /// The offset that the next append gets.
    pub next: Offset,
}

/// Why a read of the log failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LogReadError {
    /// The log does not answer.
    #[error("the log service does not answer: the daemon goes on with what it holds")]
    Down,
    /// The offset is no longer kept.
    #[error("the log keeps records from {first} on only: a snapshot is needed")]
    Trimmed {
        /// The oldest offset kept.
        first: Offset,
    },
}

/// Counters for the dump and the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DistributionCounters {
    /// Reads of the log.
    pub log_reads: u64,
    /// Requests to peers.
    pub peer_requests: u64,
    /// Snapshots served.
    pub snapshots_served: u64,
    /// Requests refused with a hint.
    pub refused_busy: u64,
    /// The offset that the next append to the log gets, as far as this daemon read.
    pub log_next: u64,
    /// Times that the store was found to have come back from an older copy.
    #[serde(default)]
    pub store_restores: u64,
    /// Records of the store and announcements of backend servers that could not be used.
    #[serde(default)]
    pub unreadable_entries: u64,
    /// Bytes of records and snapshots sent to peers.
    pub bytes_sent: u64,
    /// Bytes of records and snapshots received from peers and the log.
    pub bytes_received: u64,
}

/// Distribution at one daemon.
#[derive(Debug)]
pub struct Distribution {
    settings: DistributionSettings,
    rng: SmallRng,
    counters: DistributionCounters,
    log: LogReader,
    gaps: Gaps,
    fresh: Fresh,
    restore: Option<Restore>,
    snapshots: Snapshots,
    transfers: u32,
    relay: bool,
    relay_topology: Option<u64>,
    log_answered: bool,
    peers_hold: ConfigVersion,
    next: Mono,
}

impl Distribution {
    /// A daemon that holds nothing.
    pub fn new(settings: DistributionSettings, seed: u64, now: Now) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed.rotate_left(17));
        Self {
            snapshots: Snapshots::new(now, &mut rng),
            restore: None,
            rng,
            counters: DistributionCounters::default(),
            log: LogReader::new(),
            gaps: Gaps::default(),
            fresh: Fresh::new(settings.fresh_peers, now),
            transfers: 0,
            relay: false,
            relay_topology: None,
            log_answered: false,
            peers_hold: ConfigVersion::NONE,
            next: now.mono,
            settings,
        }
    }

    /// Does what is due; what to fetch goes to `out`.
    pub fn tick(&mut self, now: Now, ledger: &Ledger, m: &mut Membership, out: &mut Vec<Fetch>) {
        if self.settings.source == ConfigSource::Store {
            self.next = Mono::NEVER;
            return;
        }
        if std::mem::take(&mut self.log_answered) {
            m.record_log_contact(now);
        }
        if let Some(interval) = self.settings.log_poll_interval {
            self.poll_log(now, ledger, interval, out);
            return;
        }
        self.peers_hold = m.highest_version();
        self.find_role(now, m);
        self.read_log(now, ledger, m, out);
        self.ask_fresh(now, ledger, m, out);
        self.close_gap(now, ledger, m, out);
        self.fresh.judge(now, ledger.version());
        self.next = (now.mono + LOOK_EVERY).min(self.gaps.due());
        let log_due = self.log.due();
        if self.relay && log_due > now.mono {
            self.next = self.next.min(log_due);
        }
    }

    fn poll_log(&mut self, now: Now, ledger: &Ledger, interval: Duration, out: &mut Vec<Fetch>) {
        self.next = now.mono + interval;
        if self.log.cause(now, true, ledger.version()).is_none() {
            return;
        }
        self.log.begin();
        self.counters.log_reads += 1;
        out.push(Fetch::Log { from: ledger.version().next_offset(), wait: Duration::ZERO });
    }

    /// When [`Distribution::tick`] is due.
    pub fn next_tick(&self) -> Mono {
        self.next
    }

    /// Notes what peers are known to hold; a gap is closed soon unless the records come first.
    pub fn heard(&mut self, now: Now, ledger: &Ledger, m: &Membership) {
        let told_by_peers =
            self.settings.log_poll_interval.is_none() && self.settings.source == ConfigSource::Log;
        if m.highest_version() <= ledger.version() || !told_by_peers {
            return;
        }
        self.gaps.notice(now, &mut self.rng);
        self.next = self.next.min(self.gaps.due());
    }

    /// The store handed over a configuration: this daemon holds what is recent.
    pub fn stored(&mut self) {
        self.fresh.log_read();
    }

    /// Counts that the store has come back from an older copy.
    pub fn store_restored(&mut self) {
        self.counters.store_restores += 1;
    }

    /// Counts a record of the store, or an announcement, that cannot be used.
    pub fn unreadable_entry(&mut self) {
        self.counters.unreadable_entries += 1;
    }

    /// Notes a version that the log is known to have reached, so that this daemon soon holds it.
    pub fn expect(&mut self, now: Now, version: ConfigVersion) {
        self.log.expect(now, version);
        self.next = now.mono;
    }

    /// Takes the answer of the log and folds it; returns the records that peers may lack.
    pub fn on_log(
        &mut self,
        now: Now,
        answer: Result<LogBatch, LogReadError>,
        ledger: &mut Ledger,
    ) -> Vec<LogRecord> {
        if self.settings.log_poll_interval.is_none() {
            self.next = now.mono;
        }
        match answer {
            Err(LogReadError::Down) => {
                self.log.fail(now, &mut self.rng);
                Vec::new()
            }
            Err(LogReadError::Trimmed { first }) => {
                self.restore_from(now, first);
                Vec::new()
            }
            Ok(batch) => self.take_batch(now, batch, ledger),
        }
    }

    /// Folds records that other daemons pushed.
    pub fn on_records(&mut self, now: Now, records: &[LogRecord], ledger: &mut Ledger) {
        for record in records {
            if record.is_snapshot() {
                self.snapshots.seen(now, record.offset, &mut self.rng);
            }
            ledger.fold(record);
        }
    }

    /// Whether this daemon has to append a snapshot to the log now, as a relay does well before
    /// the last one may be trimmed.
    pub fn snapshot_due(&mut self, now: Now) -> bool {
        self.relay && self.fresh.ready() && self.snapshots.take_due(now, &mut self.rng)
    }

    fn take_batch(&mut self, now: Now, batch: LogBatch, ledger: &mut Ledger) -> Vec<LogRecord> {
        self.log.succeed(now, Duration::ZERO);
        self.log.forget_expected(batch.next);
        self.log_answered = true;
        self.counters.log_next = batch.next.0;
        self.counters.bytes_received += bytes_of(&batch.records);
        self.snapshots.log_keeps(now, batch.first, batch.next, &mut self.rng);
        if self.restore.is_some() {
            self.take_restored(now, batch, ledger);
            return Vec::new();
        }
        let wanted = ledger.version().next_offset();
        if batch.first > wanted {
            self.restore_from(now, batch.first);
            return Vec::new();
        }
        self.on_records(now, &batch.records, ledger);
        if ledger.version().next_offset() >= batch.next {
            self.fresh.log_read();
        }
        self.unknown_to_peers(batch.records)
    }

    fn restore_from(&mut self, now: Now, first: Offset) {
        self.log.succeed(now, Duration::ZERO);
        self.restore = Some(Restore::new(first));
    }

    fn take_restored(&mut self, now: Now, batch: LogBatch, ledger: &mut Ledger) {
        let Some(restore) = &mut self.restore else {
            return;
        };
        restore.gather(batch.records);
        let Some(records) = restore.whole(batch.next) else {
            return;
        };
        if ledger.restore_from_records(records) {
            self.fresh.log_read();
        } else {
            self.log.fail(now, &mut self.rng);
        }
        self.restore = None;
    }

    /// Takes the answer of a peer; folds or installs what it brings. `None` when it failed.
    pub fn on_peer(
        &mut self,
        now: Now,
        from: SocketAddr,
        answer: Option<PeerResponse>,
        ledger: &mut Ledger,
    ) -> Vec<LogRecord> {
        self.next = now.mono;
        match answer {
            None => {
                self.gaps.fail(now, from, &mut self.rng);
                self.fresh.forget(from);
            }
            Some(PeerResponse::Busy { retry_after_ms }) => {
                self.gaps.come_back(now, from, retry_after_ms, &mut self.rng);
                self.fresh.forget(from);
            }
            Some(PeerResponse::Records { records, held, ready }) => {
                self.counters.bytes_received += bytes_of(&records);
                self.on_records(now, &records, ledger);
                self.take_word(now, from, held, ready);
            }
            Some(PeerResponse::Snapshot { text, held, ready }) => {
                self.counters.bytes_received += text.len() as u64;
                ledger.install_snapshot(&text);
                self.take_word(now, from, held, ready);
            }
            // Only the reader of a store asks for what was read of it, and takes the answer itself.
            // The same holds for what a peer knows of departures.
            Some(PeerResponse::Stored { .. } | PeerResponse::Departures { .. }) => {
                self.fresh.forget(from);
            }
        }
        self.fresh.judge(now, ledger.version());
        Vec::new()
    }

    /// Answers a peer. Each answer that carries a snapshot holds a transfer until
    /// [`Distribution::served`].
    pub fn serve(&mut self, _now: Now, request: &PeerRequest, ledger: &Ledger) -> PeerResponse {
        let held = match request {
            PeerRequest::Catchup { held } => *held,
            // What was read of a store is kept by its reader, which answers by itself.
            PeerRequest::Stored { from } => {
                return PeerResponse::Stored { records: Vec::new(), next: *from };
            }
            // Departures are kept by the instance, which answers by itself.
            PeerRequest::Departures { .. } => {
                return PeerResponse::Departures { departures: Vec::new(), knew_before: false };
            }
        };
        let (mine, ready) = (ledger.version(), self.fresh.ready());
        if held >= mine {
            return PeerResponse::Records { records: Vec::new(), held: mine, ready };
        }
        if let Some(records) = ledger.records_from(held, RECORDS_BYTES) {
            self.counters.bytes_sent += bytes_of(&records);
            return PeerResponse::Records { records, held: mine, ready };
        }
        if self.transfers >= self.settings.snapshot_transfers {
            self.counters.refused_busy += 1;
            let retry_after_ms = self.rng.random_range(RETRY_AFTER_MS);
            return PeerResponse::Busy { retry_after_ms };
        }
        self.transfers += 1;
        self.counters.snapshots_served += 1;
        let text = ledger.snapshot();
        self.counters.bytes_sent += text.len() as u64;
        PeerResponse::Snapshot { text, held: mine, ready }
    }

    /// A snapshot was sent, or its connection broke.
    pub fn served(&mut self) {
        self.transfers = self.transfers.saturating_sub(1);
    }

    /// Whether this daemon holds a configuration that peers or the log confirmed as recent.
    pub fn ready(&self) -> bool {
        self.fresh.ready()
    }

    /// Counters so far.
    pub fn counters(&self) -> &DistributionCounters {
        &self.counters
    }

    fn find_role(&mut self, now: Now, m: &Membership) {
        if !m.is_settled(now) {
            self.relay = false;
            return;
        }
        if self.relay_topology == Some(m.topology_version()) {
            return;
        }
        self.relay_topology = Some(m.topology_version());
        let me = m.local_member();
        self.relay = m.relays(&me.domain).contains(&me.instance);
    }

    fn read_log(&mut self, now: Now, ledger: &Ledger, m: &Membership, out: &mut Vec<Fetch>) {
        let contact = m.last_log_contact().unwrap_or(self.fresh.started());
        let silent = now.mono.since(contact) >= self.silence(m);
        self.log.watch(now, silent, m.reachable_count(), &mut self.rng);
        let Some(cause) = self.log.cause(now, self.relay, ledger.version()) else {
            return;
        };
        let wait = match cause {
            Cause::Relay if self.fresh.ready() => self.settings.long_poll,
            Cause::Relay => Duration::ZERO,
            Cause::Expected => EXPECTED_WAIT,
            Cause::Silence => Duration::ZERO,
        };
        self.restore.take_if(|restore| restore.is_needless(ledger.version()));
        let restoring = self.restore.as_ref().map(Restore::next);
        let from = restoring.unwrap_or(ledger.version().next_offset());
        let wait = if restoring.is_some() { Duration::ZERO } else { wait };
        self.log.begin();
        self.counters.log_reads += 1;
        out.push(Fetch::Log { from, wait });
    }

    /// How long nobody may be known to have reached the log before this daemon tries.
    fn silence(&self, m: &Membership) -> Duration {
        if !self.fresh.ready() {
            return self.settings.relay_silence;
        }
        let hops = (m.reachable_count() + 1).ilog2();
        self.settings.long_poll + self.settings.relay_silence + m.gossip_period() * hops
    }

    fn ask_fresh(&mut self, now: Now, ledger: &Ledger, m: &Membership, out: &mut Vec<Fetch>) {
        while self.fresh.wants_more() && self.gaps.may_ask(now, self.settings.fresh_peers) {
            let (gaps, fresh) = (&self.gaps, &self.fresh);
            let suits = |peer: &cyclamen_membership::Peer<'_>| {
                !fresh.was_asked(&peer.address) && gaps.may_ask_peer(now, &peer.address)
            };
            let Some(to) = m.choose_peer(&mut self.rng, suits) else {
                return;
            };
            self.fresh.ask(to);
            self.ask(now, to, ledger, out);
        }
    }

    fn close_gap(&mut self, now: Now, ledger: &Ledger, m: &Membership, out: &mut Vec<Fetch>) {
        let held = ledger.version();
        if m.highest_version() <= held {
            self.gaps.closed();
            return;
        }
        self.gaps.notice(now, &mut self.rng);
        if now.mono < self.gaps.due() || !self.gaps.may_ask(now, 1) {
            return;
        }
        let gaps = &self.gaps;
        let suits = |peer: &cyclamen_membership::Peer<'_>| {
            peer.applied_config.is_some_and(|theirs| theirs.version > held)
                && gaps.may_ask_peer(now, &peer.address)
        };
        let Some(to) = m.choose_peer(&mut self.rng, suits) else {
            self.gaps.postpone(now);
            return;
        };
        self.ask(now, to, ledger, out);
    }

    fn ask(&mut self, now: Now, to: SocketAddr, ledger: &Ledger, out: &mut Vec<Fetch>) {
        self.gaps.ask(now, to);
        self.counters.peer_requests += 1;
        let request = PeerRequest::Catchup { held: ledger.version() };
        out.push(Fetch::Peer { to, request });
    }

    fn take_word(&mut self, now: Now, from: SocketAddr, held: ConfigVersion, ready: bool) {
        self.gaps.answered(now, from);
        if ready {
            self.fresh.confirm(from, held);
        } else {
            self.fresh.forget(from);
            self.gaps.rest(now, from);
        }
    }

    fn unknown_to_peers(&self, records: Vec<LogRecord>) -> Vec<LogRecord> {
        if records.len() > PUSHED_RECORDS || self.settings.log_poll_interval.is_some() {
            return Vec::new();
        }
        let known = self.peers_hold.next_offset();
        let mut unknown = records;
        unknown.retain(|record| record.offset >= known);
        unknown
    }
}

fn bytes_of(records: &[LogRecord]) -> u64 {
    records.iter().map(|record| record.payload.len() as u64).sum()
}
