//! The records of the log service's stand-in.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::{Mono, Offset};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Limits of the log service.
#[derive(Clone, Copy, Debug)]
pub struct LogOptions {
    /// Records kept; older ones are trimmed.
    pub retention_records: usize,
    /// Appends taken per second.
    pub appends_per_second: u32,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self { retention_records: 100_000, appends_per_second: 300 }
    }
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Its position.
    pub offset: Offset,
    /// Its text.
    pub payload: Arc<str>,
}

/// Why a read failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The offset was trimmed.
    #[error("records before {first} are trimmed: read from there")]
    Trimmed {
        /// The oldest offset kept.
        first: Offset,
    },
}

/// What the log service was asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogCounters {
    /// Reads answered.
    pub reads: u64,
    /// Appends that took effect.
    pub appends: u64,
    /// Appends refused for their rate.
    pub appends_refused: u64,
    /// Bytes of payload read.
    pub bytes_read: u64,
}

/// The records, without sockets and clocks.
#[derive(Debug)]
pub struct LogStore {
    options: LogOptions,
    records: VecDeque<StoredRecord>,
    next: Offset,
    allowance: f64,
    refilled: Mono,
    /// What was asked so far.
    pub counters: LogCounters,
}

impl LogStore {
    /// An empty log.
    pub fn new(options: LogOptions) -> Self {
        Self {
            options,
            records: VecDeque::new(),
            next: Offset(0),
            allowance: f64::from(options.appends_per_second),
            refilled: Mono(0),
            counters: LogCounters::default(),
        }
    }

    /// Appends a record; `None` when the rate is exceeded.
    pub fn append(&mut self, now: Mono, payload: Arc<str>) -> Option<Offset> {
        self.refill(now);
        if self.allowance < 1.0 {
            self.counters.appends_refused += 1;
            return None;
        }
        self.allowance -= 1.0;
        self.counters.appends += 1;
        let offset = self.next;
        self.next = Offset(offset.0 + 1);
        self.records.push_back(StoredRecord { offset, payload });
        if self.records.len() > self.options.retention_records {
            self.records.pop_front();
        }
        Some(offset)
    }

    /// Reads up to `limit` records from an offset.
    ///
    /// # Errors
    /// The offset was trimmed.
    pub fn read(&mut self, from: Offset, limit: usize) -> Result<Vec<StoredRecord>, ReadError> {
        let first = self.first();
        if from < first {
            return Err(ReadError::Trimmed { first });
        }
        let skip = usize::try_from(from.0 - first.0).unwrap_or(usize::MAX);
        let mut records = Vec::new();
        for record in self.records.iter().skip(skip).take(limit) {
            self.counters.bytes_read += record.payload.len() as u64;
            records.push(record.clone());
        }
        self.counters.reads += 1;
        Ok(records)
    }

    /// The oldest offset kept.
    pub fn first(&self) -> Offset {
        self.records.front().map_or(self.next, |record| record.offset)
    }

    /// The offset of the next append.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Trims all records before `first`.
    pub fn trim(&mut self, first: Offset) {
        while self.records.front().is_some_and(|record| record.offset < first) {
            self.records.pop_front();
        }
    }

    fn refill(&mut self, now: Mono) {
        let rate = f64::from(self.options.appends_per_second);
        let passed: Duration = now.since(self.refilled);
        self.allowance = (self.allowance + rate * passed.as_secs_f64()).min(rate);
        self.refilled = now;
    }
}
