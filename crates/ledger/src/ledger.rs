//! The fold itself.

use std::sync::Arc;

use cyclamen_declarations::generated::SnapshotRecord;
use cyclamen_declarations::{Change, Faults};
use cyclamen_types::{ChangeId, ConfigVersion, Offset};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::apply::{apply_change, apply_verdict};
use crate::config::{Config, MoveId, MoveVerdict};
use crate::conflict::Conflict;
use crate::hash::{self, Fingerprint};
use crate::outcomes::{Outcomes, Recorded};
use crate::payload::{self, Payload};
use crate::record::LogRecord;
use crate::snapshot::{self, Restored};
use crate::verify::verify_faults;
use crate::window::Window;

/// A hash over the canonical form of a configuration.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct StateHash(pub u64);

/// Why the fold refused a change. The texts name the remedy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The first faults found, each with its place and remedy; empty long after.
    pub faults: Vec<Arc<str>>,
    /// Whether another operator's change came in between.
    pub stale_base: bool,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// In force since the record at this offset.
    Accepted(Offset),
    /// Refused whole, at this offset.
    Refused(Offset, Refusal),
}

/// What folding one record did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoldOutcome {
    /// The configuration changed.
    Changed,
    /// The record was counted but changes nothing (refused, repeated, unknown, snapshot).
    Unchanged,
    /// The record is not the next one: older records are ignored, later ones show a gap.
    OutOfOrder {
        /// The offset wanted next.
        wanted: Offset,
    },
}

/// Counters for the dump and the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerCounters {
    /// Changes accepted.
    pub accepted: u64,
    /// Changes refused.
    pub refused: u64,
    /// Changes that were folded before.
    pub repeated: u64,
    /// Records of a kind this release does not know.
    pub unknown: u64,
    /// Changes whose id named another change; they count for nothing.
    pub ids_taken: u64,
    /// Records that are no record of any release: not JSON, or without format, kind or id.
    pub malformed: u64,
    /// Verdicts that counted.
    pub verdicts: u64,
    /// Verdicts outranked, repeated or of an older publication.
    pub verdicts_ignored: u64,
    /// Parts of snapshots in the log that disagreed with our own fold.
    pub snapshots_ignored: u64,
    /// Snapshots taken over.
    pub snapshots_installed: u64,
    /// Snapshots that were broken.
    pub snapshots_broken: u64,
}

/// The fold of the log.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    config: Arc<Config>,
    hash: StateHash,
    outcomes: Outcomes,
    window: Window,
    counters: LedgerCounters,
}

impl Ledger {
    /// Folds the next record.
    pub fn fold(&mut self, record: &LogRecord) -> FoldOutcome {
        let wanted = self.config.version.next_offset();
        if record.offset != wanted {
            return FoldOutcome::OutOfOrder { wanted };
        }
        let payload = payload::parse(&record.payload);
        let is_part = matches!(payload, Payload::Snapshot(_));
        let changed = self.fold_payload(payload, record);
        Arc::make_mut(&mut self.config).version = record.offset.version_after();
        let kept = if is_part { record.without_text() } else { record.clone() };
        self.window.push(kept, self.hash);
        if changed { FoldOutcome::Changed } else { FoldOutcome::Unchanged }
    }

    fn fold_payload(&mut self, payload: Payload, record: &LogRecord) -> bool {
        let offset = record.offset;
        match payload {
            Payload::Change(change) => return self.fold_change(change, offset),
            Payload::BadChange(id, faults) => self.refuse_malformed(id, &faults, record),
            Payload::Verdict(id, verdict) => return self.fold_verdict(&id, verdict, offset),
            Payload::Snapshot(part) => self.compare(&part),
            Payload::Unknown => self.counters.unknown += 1,
            Payload::Malformed => self.counters.malformed += 1,
            Payload::Peers => {}
        }
        false
    }

    fn fold_change(&mut self, change: Change, offset: Offset) -> bool {
        let id = change.id.clone();
        let print = Fingerprint::of_change(&change);
        if self.is_repeat(&id, print) {
            return false;
        }
        let report = verify_faults(&change, &self.config);
        if !report.accepts() {
            let faults = report.faults.iter().map(ToString::to_string);
            let refusal = Refusal::new(faults, report.stale_base());
            self.refuse(id, print, offset, refusal);
            return false;
        }
        let config = Arc::make_mut(&mut self.config);
        let changed = apply_change(config, &mut self.hash, change, offset);
        self.settle(id, Recorded { outcome: ChangeOutcome::Accepted(offset), print });
        self.counters.accepted += 1;
        changed
    }

    /// Refuses a change whose record has faults of its own, so that its publisher is told.
    fn refuse_malformed(&mut self, id: Option<ChangeId>, faults: &Faults, record: &LogRecord) {
        let Some(id) = id else {
            self.counters.malformed += 1;
            return;
        };
        let print = Fingerprint::of_text(&record.payload);
        if !self.is_repeat(&id, print) {
            let refusal = Refusal::new(faults.0.iter().map(ToString::to_string), false);
            self.refuse(id, print, record.offset, refusal);
        }
    }

    /// Whether the id is known; counts whether it names the same change.
    fn is_repeat(&mut self, id: &ChangeId, print: Fingerprint) -> bool {
        let Some(known) = self.outcomes.get(id) else {
            return false;
        };
        if known.print == print {
            self.counters.repeated += 1;
        } else {
            self.counters.ids_taken += 1;
        }
        true
    }

    fn refuse(&mut self, id: ChangeId, print: Fingerprint, offset: Offset, refusal: Refusal) {
        self.settle(id, Recorded { outcome: ChangeOutcome::Refused(offset, refusal), print });
        self.counters.refused += 1;
    }

    fn settle(&mut self, id: ChangeId, recorded: Recorded) {
        self.hash.add(hash::of_recorded(&id, &recorded));
        if let Some((id, recorded)) = self.outcomes.push(id, recorded) {
            self.hash.remove(hash::of_recorded(&id, &recorded));
        }
    }

    fn fold_verdict(&mut self, id: &MoveId, verdict: MoveVerdict, offset: Offset) -> bool {
        let config = Arc::make_mut(&mut self.config);
        let counts = apply_verdict(config, &mut self.hash, id, verdict, offset);
        if counts {
            self.counters.verdicts += 1;
        } else {
            self.counters.verdicts_ignored += 1;
        }
        counts
    }

    /// Counts a snapshot in the log that disagrees with the fold.
    fn compare(&mut self, part: &SnapshotRecord) {
        let Some(version) = part.version.map(ConfigVersion) else {
            return;
        };
        let own = match version == self.version() {
            true => Some(self.hash),
            false => self.window.hash_at(version),
        };
        let stated = part.hash.as_deref().unwrap_or_default();
        if own.is_some_and(|own| own.to_string() != stated) {
            self.counters.snapshots_ignored += 1;
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// How much of the log is folded.
    pub fn version(&self) -> ConfigVersion {
        self.config.version
    }

    /// The hash of the state: the configuration without its version, and the outcomes of recent
    /// changes. Ledgers of equal version that folded the same records have equal hashes.
    pub fn hash(&self) -> StateHash {
        self.hash
    }

    /// Counters so far.
    pub fn counters(&self) -> &LedgerCounters {
        &self.counters
    }

    /// What became of a change; `None` while its record is not folded, or once more than
    /// [`OUTCOMES_KEPT`](crate::OUTCOMES_KEPT) later changes are.
    pub fn outcome(&self, id: &ChangeId) -> Option<&ChangeOutcome> {
        self.outcomes.get(id).map(|recorded| &recorded.outcome)
    }

    /// What became of this very change, as [`Ledger::outcome`] has it by id. Where its id names
    /// another change already, it is refused, and counts for nothing when it is folded.
    pub fn outcome_of(&self, change: &Change) -> Option<ChangeOutcome> {
        let recorded = self.outcomes.get(&change.id)?;
        if recorded.print == Fingerprint::of_change(change) {
            return Some(recorded.outcome.clone());
        }
        let (ChangeOutcome::Accepted(offset) | ChangeOutcome::Refused(offset, _)) =
            recorded.outcome;
        let taken = Conflict::IdTaken { id: change.id.clone(), by: offset };
        let refusal = Refusal::new([taken.to_string()].into_iter(), false);
        Some(ChangeOutcome::Refused(offset, refusal))
    }

    /// The records from `from` on, up to `max_bytes` of payload but at least one where there is
    /// one; `None` when some of them are no longer kept, so that only a snapshot helps.
    pub fn records_from(&self, from: ConfigVersion, max_bytes: usize) -> Option<Vec<LogRecord>> {
        if from >= self.version() {
            return Some(Vec::new());
        }
        self.window.from(from, max_bytes)
    }

    /// The whole state as text that [`Ledger::install_snapshot`] takes.
    pub fn snapshot(&self) -> String {
        snapshot::write(&self.config, self.hash, &self.outcomes)
    }

    /// Takes over a snapshot if it is newer than what is held; returns whether it was. A broken
    /// or older one changes nothing.
    pub fn install_snapshot(&mut self, text: &str) -> bool {
        let Some(restored) = snapshot::read(text) else {
            self.counters.snapshots_broken += 1;
            return false;
        };
        self.install(restored)
    }

    /// Starts from a log whose oldest records are gone: takes over the newest whole snapshot in
    /// `records`, then folds the records after it. `records` are consecutive, from the oldest
    /// offset that the log keeps to its end. Returns whether a snapshot newer than what is held
    /// was found; nothing changes otherwise.
    pub fn restore_from_records(&mut self, records: &[LogRecord]) -> bool {
        let Some(restored) = snapshot::newest_in(records) else {
            return false;
        };
        if !self.install(restored) {
            return false;
        }
        for record in records {
            self.fold(record);
        }
        true
    }

    fn install(&mut self, restored: Restored) -> bool {
        if restored.config.version <= self.version() {
            return false;
        }
        self.config = Arc::new(restored.config);
        self.hash = restored.hash;
        self.outcomes = restored.outcomes;
        self.window.clear();
        self.counters.snapshots_installed += 1;
        true
    }

    /// Takes over a configuration that its source keeps whole, if its version is not lower than
    /// the one held; returns whether it was.
    pub fn adopt(&mut self, config: Config) -> bool {
        if config.version < self.version() {
            return false;
        }
        self.config = Arc::new(config);
        self.window.clear();
        true
    }

    /// The payload of a record that publishes `change`.
    pub fn change_payload(change: &Change) -> String {
        payload::change_text(change)
    }

    /// The payload of a record that states a verdict.
    pub fn verdict_payload(id: &MoveId, verdict: &MoveVerdict) -> String {
        payload::verdict_text(id, verdict)
    }

    /// Payloads of the records that carry the present snapshot, each at most `max_bytes`.
    pub fn snapshot_payloads(&self, max_bytes: usize) -> Vec<String> {
        snapshot::write_parts(&self.config, self.hash, &self.outcomes, max_bytes)
    }
}
