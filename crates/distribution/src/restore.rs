//! Starts from a log whose oldest records are gone: gathers what it keeps, from its oldest record
//! to its end, for the ledger to find a snapshot in.

use cyclamen_ledger::LogRecord;
use cyclamen_types::{ConfigVersion, Offset};

/// The records gathered so far.
#[derive(Debug)]
pub(crate) struct Restore {
    first: Offset,
    next: Offset,
    records: Vec<LogRecord>,
}

impl Restore {
    pub(crate) fn new(first: Offset) -> Self {
        Self { first, next: first, records: Vec::new() }
    }

    /// The record to read next.
    pub(crate) fn next(&self) -> Offset {
        self.next
    }

    /// Whether a daemon that holds `version` can read on by itself.
    pub(crate) fn is_needless(&self, version: ConfigVersion) -> bool {
        version.next_offset() >= self.first
    }

    /// Adds what was read.
    pub(crate) fn gather(&mut self, records: Vec<LogRecord>) {
        for record in records {
            if record.offset != self.next {
                continue;
            }
            self.next = record.offset.version_after().next_offset();
            self.records.push(record);
        }
    }

    /// The records, once they reach the end of the log.
    pub(crate) fn whole(&self, end: Offset) -> Option<&[LogRecord]> {
        (self.next >= end).then_some(&self.records)
    }
}
