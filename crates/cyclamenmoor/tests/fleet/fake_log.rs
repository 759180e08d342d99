//! In-memory log service that can lose acknowledgements, be trimmed and be down.

use std::sync::Arc;

use cyclamen_distribution::{LogBatch, LogReadError};
use cyclamen_ledger::LogRecord;
use cyclamen_types::Offset;

/// The records of the log, and the faults to inject.
#[derive(Default)]
pub struct FakeLog {
    pub records: Vec<LogRecord>,
    /// Offset of the oldest record that reads return; older ones count as trimmed.
    pub first: u64,
    /// Whether appends and reads fail without effect.
    pub down: bool,
    /// Number of further appends that take effect but are not acknowledged.
    pub acks_to_lose: u32,
    /// Number of reads so far, failed ones included.
    pub reads: u64,
}

impl FakeLog {
    /// Appends a record. Returns `None` if the log is down or loses the acknowledgement.
    pub fn append(&mut self, payload: Arc<str>) -> Option<Offset> {
        if self.down {
            return None;
        }
        let offset = self.next();
        self.records.push(LogRecord { offset, payload });
        if self.acks_to_lose > 0 {
            self.acks_to_lose -= 1;
            return None;
        }
        Some(offset)
    }

    pub fn read(&mut self, from: Offset) -> Result<LogBatch, LogReadError> {
        self.reads += 1;
        if self.down {
            return Err(LogReadError::Down);
        }
        let first = Offset(self.first);
        if from < first {
            return Err(LogReadError::Trimmed { first });
        }
        let start = usize::try_from(from.0).unwrap().min(self.records.len());
        let records = self.records[start..].iter().take(100).cloned().collect();
        Ok(LogBatch { records, first, next: self.next() })
    }

    pub fn next(&self) -> Offset {
        Offset(self.records.len() as u64)
    }

    /// Trims all but the last `keep` records, but never the last snapshot.
    pub fn trim(&mut self, keep: usize) {
        let first = self.records.len().saturating_sub(keep) as u64;
        let first = self.last_snapshot().map_or(first, |snapshot| first.min(snapshot.0));
        self.first = self.first.max(first);
    }

    /// Offset of the last snapshot record that is not trimmed.
    pub fn last_snapshot(&self) -> Option<Offset> {
        let last = self.records.iter().rfind(|record| record.is_snapshot())?;
        Some(last.offset).filter(|offset| offset.0 >= self.first)
    }
}
