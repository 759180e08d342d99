//! The newest records, for peers that lack a few, with the hash after each.

use std::collections::VecDeque;

use cyclamen_types::ConfigVersion;

use crate::ledger::StateHash;
use crate::record::LogRecord;

/// Most records kept.
const MAX_RECORDS: usize = 1_024;

/// Most bytes of payload kept.
const MAX_BYTES: usize = 1024 * 1024;

#[derive(Clone, Debug)]
struct Kept {
    record: LogRecord,
    hash: StateHash,
}

/// The newest records.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    kept: VecDeque<Kept>,
    bytes: usize,
}

impl Window {
    pub(crate) fn push(&mut self, record: LogRecord, hash: StateHash) {
        self.bytes += record.payload.len();
        self.kept.push_back(Kept { record, hash });
        while self.kept.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let Some(oldest) = self.kept.pop_front() else {
                return;
            };
            self.bytes -= oldest.record.payload.len();
        }
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Records from `from` on, at least one where there is one; `None` when `from` is not kept.
    pub(crate) fn from(&self, from: ConfigVersion, max_bytes: usize) -> Option<Vec<LogRecord>> {
        let first = self.kept.front()?.record.offset;
        let skip = usize::try_from(from.0.checked_sub(first.0)?).ok()?;
        let mut records = Vec::new();
        let mut bytes = 0;
        for kept in self.kept.iter().skip(skip) {
            bytes += kept.record.payload.len();
            if bytes > max_bytes && !records.is_empty() {
                break;
            }
            records.push(kept.record.clone());
        }
        Some(records)
    }

    /// The hash of the state at a version, while that is kept.
    pub(crate) fn hash_at(&self, version: ConfigVersion) -> Option<StateHash> {
        let first = self.kept.front()?.record.offset.version_after();
        let index = usize::try_from(version.0.checked_sub(first.0)?).ok()?;
        self.kept.get(index).map(|kept| kept.hash)
    }
}
