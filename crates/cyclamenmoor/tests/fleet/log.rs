//! A log service that loses answers, trims and goes down.

use std::sync::Arc;

use cyclamen_distribution::{LogBatch, LogReadError};
use cyclamen_ledger::LogRecord;
use cyclamen_types::Offset;

/// The records, and how the service fails.
#[derive(Default)]
pub struct FakeLog {
    pub records: Vec<LogRecord>,
    pub first: u64,
    pub down: bool,
    /// Answers of this many appends get lost after they took effect.
    pub lose_answers: u32,
    pub reads: u64,
}

impl FakeLog {
    /// Appends; `None` when no answer comes.
    pub fn append(&mut self, payload: Arc<str>) -> Option<Offset> {
        if self.down {
            return None;
        }
        let offset = self.next();
        self.records.push(LogRecord { offset, payload });
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
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

    /// Forgets all but the last `keep` records; it keeps the last snapshot if it has one.
    pub fn trim(&mut self, keep: usize) {
        let first = self.records.len().saturating_sub(keep) as u64;
        let first = self.last_snapshot().map_or(first, |snapshot| first.min(snapshot.0));
        self.first = self.first.max(first);
    }

    /// Where the last snapshot stands.
    pub fn last_snapshot(&self) -> Option<Offset> {
        let last = self.records.iter().rfind(|record| record.is_snapshot())?;
        Some(last.offset).filter(|offset| offset.0 >= self.first)
    }
}
