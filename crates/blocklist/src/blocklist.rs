//! The state machine: runs at the local servers, crashes, verdicts, and the records of the mesh.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::{Mono, Now, ServerName};
use serde::{Deserialize, Serialize};

use crate::digest::{CallDigest, CallKey, ScopeDigest};
use crate::record::{Crash, ENTRY_PERIOD, Record};
use crate::suspects::{OpenCrash, Run, RunId, Runs, SETTLING_TIME, Suspect, Weight};
use crate::wire;

/// Most records kept. Those of calls that are not blocked make room first.
const MAX_RECORDS: usize = 4_096;

/// Crashes from which on suspects run one at a time at a server.
const CRASHES_UNTIL_ISOLATED: usize = 2;

/// How long the crash of a server is remembered to be compared with others.
const CRASH_MEMORY: Duration = Duration::from_secs(5);

/// With more crashes than this in [`CRASH_MEMORY`], suspects of their first crash are not sent to
/// other daemons: most of the crashes have another cause, and the suspects would be many.
const MAX_SENT_CRASHES: usize = 4;

/// Time before a run in which crashes of other servers count as simultaneous with one during it.
const UNREST_TIME: Duration = Duration::from_secs(1);

/// Most blocked calls in one summary.
const SUMMARY_RECORDS: usize = 32;

/// Largest difference expected between the wall clocks of two daemons.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(60);

/// Pause between two passes that drop outdated records.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// Why a call may not begin to run at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The call is blocked.
    Blocked,
    /// Another call that is as suspect runs there: if both ran, a crash would tell nothing.
    SuspectRuns,
}

/// Records to send to other daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The encoded records.
    pub payload: Arc<[u8]>,
    /// Whether they tell of crashes; others tell that calls are cleared.
    pub urgent: bool,
}

/// A blocked call, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockedCall {
    /// Digest of the content of the call, 16 hexadecimal digits.
    pub digest: Arc<str>,
    /// Method and target of the call; empty until this daemon has refused it.
    pub call: Arc<str>,
    /// The backend servers that crashed while they ran it.
    pub crashed_servers: Vec<ServerName>,
    /// When the last of them crashed, in Unix milliseconds.
    pub since_ms: u64,
    /// When the call is served again, unless it is lifted before, in Unix milliseconds.
    pub until_ms: u64,
    /// Calls that this daemon refused for it.
    pub refused: u64,
}

/// Counters since the start of the daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlocklistCounters {
    /// Crashes of local backend servers while they ran calls.
    pub server_crashes: u64,
    /// Calls refused because they are blocked.
    pub calls_refused: u64,
    /// Suspected calls that were cleared because a local backend server answered them.
    pub calls_cleared: u64,
}

#[derive(Debug, Default)]
struct Entry {
    record: Record,
    /// Whether other daemons may know the record.
    shared: bool,
    /// Method and target of the call, once it was refused here.
    example: Option<Arc<str>>,
    refused: u64,
}

/// A crash that this daemon knows of.
#[derive(Debug)]
struct KnownCrash {
    server: ServerName,
    /// When this daemon learned of it.
    known_at: Mono,
}

/// Records of suspected and blocked calls. See the crate documentation for how it is driven.
#[derive(Debug, Default)]
pub struct Blocklist {
    entries: BTreeMap<CallKey, Entry>,
    runs: Runs,
    known_crashes: VecDeque<KnownCrash>,
    open_crashes: Vec<OpenCrash>,
    /// Records to be sent, and whether they are urgent.
    unsent: BTreeMap<CallKey, bool>,
    next_expiry: Mono,
    counters: BlocklistCounters,
}

impl Blocklist {
    /// Registers a call that is about to run at a local backend server. `follows` is the server that
    /// crashed during the attempt before, if one did.
    ///
    /// # Errors
    /// The call must not run there now.
    pub fn begin_run(
        &mut self,
        now: Now,
        server: &ServerName,
        id: RunId,
        key: CallKey,
        follows: Option<ServerName>,
    ) -> Result<(), Denial> {
        if self.is_blocked(key) {
            return Err(Denial::Blocked);
        }
        let is_suspect = |key| self.crashes_of(key) >= CRASHES_UNTIL_ISOLATED;
        let running = self.runs.at(server);
        if is_suspect(key) && running.iter().any(|run| run.key != key && is_suspect(run.key)) {
            return Err(Denial::SuspectRuns);
        }
        let record = self.entries.get(&key).map(|entry| &entry.record);
        let rank = record.unwrap_or(&Record::default()).next_rank(follows.as_ref());
        self.runs.begin(server, Run { id, key, began: now.mono, follows, rank });
        Ok(())
    }

    /// Ends a run. `answered` is whether the server answered the call whole after it ran it, which
    /// clears the call.
    pub fn end_run(&mut self, now: Now, server: &ServerName, id: RunId, answered: bool) {
        let Some(run) = self.runs.end(server, id) else {
            return;
        };
        if !answered {
            return;
        }
        let Some(entry) = self.entries.get_mut(&run.key) else {
            return;
        };
        if entry.record.crashes.is_empty() {
            return;
        }
        entry.record.clear(now.wall);
        self.counters.calls_cleared += 1;
        if entry.shared {
            self.unsent.entry(run.key).or_insert(false);
        }
    }

    /// Records that a local backend server has crashed: all calls that run there become suspects.
    /// Returns how many they are.
    pub fn server_crashed(&mut self, now: Now, server: &ServerName) -> usize {
        let entries = &self.entries;
        let crashes_of =
            |key| entries.get(&key).map_or(0, |entry: &Entry| entry.record.crashes.len());
        let suspects = self.runs.take_suspects(server, crashes_of);
        if suspects.is_empty() {
            return 0;
        }
        self.counters.server_crashes += 1;
        self.note_crash(now, server);
        for suspect in &suspects {
            self.add_crash(now, suspect.run.key, &suspect.crash_of(server, 0));
        }
        let count = suspects.len();
        let judged_at = now.mono + SETTLING_TIME;
        self.open_crashes.push(OpenCrash { server: server.clone(), judged_at, suspects });
        count
    }

    /// Whether a call is blocked. It stays so for up to [`EXPIRY_INTERVAL`] beyond
    /// [`ENTRY_PERIOD`].
    pub fn is_blocked(&self, key: CallKey) -> bool {
        // The usual case: nothing is known of the call in any scope.
        let Some(entry) = self.entries.get(&key) else {
            return false;
        };
        entry.record.is_blocked(self.is_blocked_elsewhere(key))
    }

    /// Whether a call of the same content is blocked in another scope by its own crashes.
    fn is_blocked_elsewhere(&self, key: CallKey) -> bool {
        let mut others = self.scopes_of(key.call).filter(|(other, _)| **other != key);
        others.any(|(_, entry)| entry.record.is_blocked(false))
    }

    fn scopes_of(&self, call: CallDigest) -> impl Iterator<Item = (&CallKey, &Entry)> {
        let first = CallKey { call, scope: ScopeDigest(0) };
        let last = CallKey { call, scope: ScopeDigest(u64::MAX) };
        self.entries.range(first..=last)
    }

    /// Counts a call that was refused because it is blocked. `example` makes its method and target;
    /// it is called, and its result returned, the first time.
    pub fn record_refusal(
        &mut self,
        key: CallKey,
        example: impl FnOnce() -> Arc<str>,
    ) -> Option<Arc<str>> {
        self.counters.calls_refused += 1;
        let entry = self.entries.get_mut(&key)?;
        entry.refused += 1;
        if entry.example.is_some() {
            return None;
        }
        entry.example = Some(example());
        entry.example.clone()
    }

    /// Clears a call in all scopes, at the order of an operator. Returns whether any crash was
    /// known.
    pub fn lift(&mut self, now: Now, call: CallDigest) -> bool {
        let mut lifted = Vec::new();
        for (key, entry) in self.scopes_of(call) {
            if !entry.record.crashes.is_empty() {
                lifted.push(*key);
            }
        }
        for key in &lifted {
            if let Some(entry) = self.entries.get_mut(key) {
                entry.record.clear(now.wall);
            }
            self.unsent.insert(*key, true);
        }
        !lifted.is_empty()
    }

    /// Takes over the records in a payload of another daemon.
    pub fn merge(&mut self, now: Now, payload: &[u8]) {
        for (key, mut record) in wire::decode(payload) {
            // A clock that is far ahead must not keep a record for ever.
            record.changed_at = record.changed_at.min(now.wall + CLOCK_TOLERANCE);
            if !record.is_current(now.wall) {
                continue;
            }
            // A copy of what is known tells of no crash now.
            for crash in &record.crashes {
                let known = self.entries.get(&key);
                if known.is_none_or(|entry| !entry.record.has_crash(&crash.server)) {
                    self.note_crash(now, &crash.server);
                }
            }
            let entry = self.entries.entry(key).or_default();
            entry.shared = true;
            let outdated = record.generation < entry.record.generation;
            entry.record.merge(&record);
            if outdated {
                self.unsent.entry(key).or_insert(false);
            }
        }
        self.make_room();
    }

    /// Judges the crashes that are due, and drops outdated records.
    pub fn tick(&mut self, now: Now) {
        if now.mono >= self.next_expiry {
            self.next_expiry = now.mono + EXPIRY_INTERVAL;
            self.entries.retain(|_, entry| entry.record.is_current(now.wall));
        }
        let (due, open) =
            self.open_crashes.drain(..).partition(|crash| crash.judged_at <= now.mono);
        self.open_crashes = open;
        let due: Vec<OpenCrash> = due;
        for crash in &due {
            self.judge(now, crash);
        }
    }

    /// When [`Blocklist::tick`] is due.
    pub fn next_tick(&self) -> Mono {
        let expiry = if self.entries.is_empty() { Mono::NEVER } else { self.next_expiry };
        self.open_crashes.iter().map(|crash| crash.judged_at).fold(expiry, Mono::min)
    }

    /// The records that have changed here since the last call.
    pub fn take_updates(&mut self) -> Vec<Update> {
        let unsent = std::mem::take(&mut self.unsent);
        let mut updates = Vec::new();
        for urgent in [true, false] {
            let keys = unsent.iter().filter(|(_, is_urgent)| **is_urgent == urgent);
            let payloads = wire::encode(&self.records(keys.map(|(key, _)| *key)));
            updates.extend(payloads.into_iter().map(|payload| Update { payload, urgent }));
        }
        updates
    }

    /// Payloads with blocked calls, for a daemon that may have missed updates. If it knows that one
    /// of them was cleared, it answers with an update. At most [`SUMMARY_RECORDS`] are in one
    /// summary; those of as many rounds as it takes hold all.
    pub fn summary(&self, round: usize) -> Vec<Arc<[u8]>> {
        let blocked: Vec<CallKey> =
            self.entries.keys().copied().filter(|key| self.is_blocked(*key)).collect();
        let parts = blocked.len().div_ceil(SUMMARY_RECORDS).max(1);
        let part = blocked.chunks(SUMMARY_RECORDS).nth(round % parts).unwrap_or_default();
        wire::encode(&self.records(part.iter().copied()))
    }

    /// Whether no call is suspected, blocked or cleared.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The blocked calls, for operators.
    pub fn blocked_calls(&self) -> Vec<BlockedCall> {
        let mut calls = Vec::new();
        for (key, entry) in &self.entries {
            if !self.is_blocked(*key) {
                continue;
            }
            let since = entry.record.changed_at;
            let servers = entry.record.crashes.iter().map(|crash| crash.server.clone());
            calls.push(BlockedCall {
                digest: key.call.to_string().into(),
                call: entry.example.clone().unwrap_or_default(),
                crashed_servers: servers.collect(),
                since_ms: since.0,
                until_ms: (since + ENTRY_PERIOD).0,
                refused: entry.refused,
            });
        }
        calls
    }

    /// Counters since the start.
    pub fn counters(&self) -> &BlocklistCounters {
        &self.counters
    }

    fn crashes_of(&self, key: CallKey) -> usize {
        self.entries.get(&key).map_or(0, |entry| entry.record.crashes.len())
    }

    fn records(&self, keys: impl Iterator<Item = CallKey>) -> Vec<(CallKey, Record)> {
        let mut records = Vec::new();
        for key in keys {
            if let Some(entry) = self.entries.get(&key) {
                records.push((key, entry.record.clone()));
            }
        }
        records
    }

    /// Adds a crash to the record of a call, or raises its points. While many servers crash, the
    /// first crash of a call is not sent.
    fn add_crash(&mut self, now: Now, key: CallKey, crash: &Crash) {
        let entry = self.entries.entry(key).or_default();
        entry.record.add(now.wall, crash);
        let repeated = entry.record.crashes.len() > 1 || crash.follows.is_some();
        if repeated || self.known_crashes.len() <= MAX_SENT_CRASHES {
            entry.shared = true;
            self.unsent.insert(key, true);
        }
        self.make_room();
    }

    fn note_crash(&mut self, now: Now, server: &ServerName) {
        let oldest = now.mono - CRASH_MEMORY;
        self.known_crashes.retain(|crash| crash.known_at >= oldest);
        if self.known_crashes.iter().any(|crash| crash.server == *server) {
            return;
        }
        self.known_crashes.push_back(KnownCrash { server: server.clone(), known_at: now.mono });
    }

    /// Weighs a crash as evidence against each of its suspects.
    fn judge(&mut self, now: Now, crash: &OpenCrash) {
        for suspect in &crash.suspects {
            let alone = !self.others_crashed(crash, suspect);
            let points = Weight::of(suspect, alone).points();
            // A call that was cleared meanwhile has no such crash any more.
            let known = self.entries.get(&suspect.run.key);
            if points == 0 || known.is_none_or(|entry| !entry.record.has_crash(&crash.server)) {
                continue;
            }
            let judged = suspect.crash_of(&crash.server, points);
            self.add_crash(now, suspect.run.key, &judged);
        }
    }

    /// Whether other servers crashed about the same time without a connection to this suspect, by
    /// what this daemon knows.
    fn others_crashed(&self, crash: &OpenCrash, suspect: &Suspect) -> bool {
        let since = suspect.run.began - UNREST_TIME;
        let recent = |other: &&KnownCrash| other.server != crash.server && other.known_at > since;
        let mut others = self.known_crashes.iter().filter(recent);
        others.any(|other| {
            !self.is_connected(suspect, &crash.server, other) && !self.is_explained(&other.server)
        })
    }

    /// Whether another server crashed under this suspect too, before or after it ran at `server`.
    fn is_connected(&self, suspect: &Suspect, server: &ServerName, other: &KnownCrash) -> bool {
        if suspect.run.follows.as_ref() == Some(&other.server) {
            return true;
        }
        let Some(entry) = self.entries.get(&suspect.run.key) else {
            return false;
        };
        let mut crashes = entry.record.crashes.iter();
        let Some(known) = crashes.find(|crash| crash.server == other.server) else {
            return false;
        };
        other.known_at <= suspect.run.began || known.follows.as_ref() == Some(server)
    }

    /// Whether a blocked call explains the crash of a server.
    fn is_explained(&self, server: &ServerName) -> bool {
        let mut with_crash =
            self.entries.iter().filter(|(_, entry)| entry.record.has_crash(server));
        with_crash.any(|(key, _)| self.is_blocked(*key))
    }

    /// Drops records beyond [`MAX_RECORDS`]: first those of calls that are not blocked, by points
    /// and age.
    fn make_room(&mut self) {
        while self.entries.len() > MAX_RECORDS {
            let worth = |entry: &Entry| (entry.record.points(), entry.record.changed_at);
            let least = self.entries.iter().min_by_key(|(_, entry)| worth(entry));
            let Some(key) = least.map(|(key, _)| *key) else {
                return;
            };
            self.entries.remove(&key);
        }
    }
}
