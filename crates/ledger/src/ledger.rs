//! The fold itself.

use std::sync::Arc;

use cyclamen_declarations::Change;
use cyclamen_types::{ChangeId, ConfigVersion, Offset};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::config::{Config, MoveId, MoveVerdict};
use crate::record::LogRecord;

/// A hash over the canonical form of a configuration.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct StateHash(pub u64);

/// Why the fold refused a change. The texts name the remedy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Every fault found, each with its place and remedy.
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
    /// Records whose change id was folded before.
    pub repeated: u64,
    /// Records of a kind this release does not know.
    pub unknown: u64,
    /// Snapshots that disagreed with our own fold.
    pub snapshots_ignored: u64,
}

/// The fold of the log.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    config: Arc<Config>,
    counters: LedgerCounters,
}

impl Ledger {
    /// Folds the next record.
    pub fn fold(&mut self, record: &LogRecord) -> FoldOutcome {
        let wanted = self.config.version.next_offset();
        if record.offset != wanted {
            return FoldOutcome::OutOfOrder { wanted };
        }
        Arc::make_mut(&mut self.config).version = record.offset.version_after();
        FoldOutcome::Unchanged
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// How much of the log is folded.
    pub fn version(&self) -> ConfigVersion {
        self.config.version
    }

    /// The hash of the configuration in force.
    pub fn hash(&self) -> StateHash {
        StateHash(0)
    }

    /// Counters so far.
    pub fn counters(&self) -> &LedgerCounters {
        &self.counters
    }

    /// What became of a change; `None` while its record is not folded, or long after.
    pub fn outcome(&self, _id: &ChangeId) -> Option<&ChangeOutcome> {
        None
    }

    /// The records from `from` on, up to `max_bytes` of payload; `None` when some of them are no
    /// longer kept, so that only a snapshot helps.
    pub fn records_from(&self, _from: ConfigVersion, _max_bytes: usize) -> Option<Vec<LogRecord>> {
        None
    }

    /// The whole state as text that [`Ledger::install_snapshot`] takes.
    pub fn snapshot(&self) -> String {
        String::new()
    }

    /// Takes over a snapshot if it is newer than what is held; returns whether it was. A broken
    /// or older one changes nothing.
    pub fn install_snapshot(&mut self, _text: &str) -> bool {
        false
    }

    /// The payload of a record that publishes `change`.
    pub fn change_payload(_change: &Change) -> String {
        String::new()
    }

    /// The payload of a record that states a verdict.
    pub fn verdict_payload(_id: &MoveId, _verdict: &MoveVerdict) -> String {
        String::new()
    }

    /// Payloads of the records that carry the present snapshot, each at most `max_bytes`.
    pub fn snapshot_payloads(&self, _max_bytes: usize) -> Vec<String> {
        Vec::new()
    }
}
