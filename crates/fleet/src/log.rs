//! The fake log: the stand-in's store, its failures, and the reads that wait.

use std::time::Duration;

use cyclamen_distribution::{LogBatch, LogReadError};
use cyclamen_ledger::LogRecord;
use cyclamen_standins::{LogOptions, LogStore, ReadError};
use cyclamen_types::{Mono, Offset};
use cyclamenmoor::AppendError;
use std::sync::Arc;

/// Records in one answer.
const READ_LIMIT: usize = 1_000;

/// The fake log.
#[derive(Debug)]
pub struct FakeLog {
    /// Its records.
    pub store: LogStore,
    /// Whether it answers nothing and does nothing.
    pub down: bool,
    /// How long its answers take on top of the way.
    pub delay: Duration,
    /// Appends whose answers get lost after they took effect.
    pub lose_answers: u32,
}

impl FakeLog {
    pub(crate) fn new(options: LogOptions) -> Self {
        let store = LogStore::new(options);
        Self { store, down: false, delay: Duration::ZERO, lose_answers: 0 }
    }

    /// Appends at `now`; the record may be in the log though the answer is an error.
    pub(crate) fn append(&mut self, now: Mono, payload: Arc<str>) -> Result<Offset, AppendError> {
        if self.down {
            return Err(AppendError::Unanswered);
        }
        let offset = self.store.append(now, payload).ok_or(AppendError::Busy)?;
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return Err(AppendError::Unanswered);
        }
        Ok(offset)
    }

    /// Reads from an offset; `None` when there is nothing yet and the read may wait.
    pub(crate) fn read(&mut self, from: Offset) -> Option<Result<LogBatch, LogReadError>> {
        if self.down {
            return Some(Err(LogReadError::Down));
        }
        if from >= self.store.next() {
            return None;
        }
        Some(self.batch(from))
    }

    /// What a read gets whose wait is over.
    pub(crate) fn batch(&mut self, from: Offset) -> Result<LogBatch, LogReadError> {
        if self.down {
            return Err(LogReadError::Down);
        }
        let read = self.store.read(from, READ_LIMIT);
        let stored =
            read.map_err(|ReadError::Trimmed { first }| LogReadError::Trimmed { first })?;
        let mut records = Vec::with_capacity(stored.len());
        for record in stored {
            records.push(LogRecord { offset: record.offset, payload: record.payload });
        }
        Ok(LogBatch { records, first: self.store.first(), next: self.store.next() })
    }
}
