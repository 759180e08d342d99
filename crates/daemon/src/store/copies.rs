//! What this daemon read of the store, kept for daemons that do not read it themselves.

use std::collections::BTreeMap;

use cyclamen_distribution::{PeerResponse, StoredRecord};
use cyclamen_platform::NewestRecord;
use cyclamen_types::Offset;

/// The newest record of each key of the operators' topic.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    newest: BTreeMap<String, StoredRecord>,
    next: Offset,
}

impl Copies {
    /// Takes records as they were read; `next` is the offset after the last one read.
    pub(crate) fn take(&mut self, records: &[NewestRecord], next: Offset) {
        for record in records {
            let held = self.newest.get(&record.key);
            if held.is_some_and(|held| held.offset > record.offset) {
                continue;
            }
            let (key, value) = (record.key.clone(), record.value.to_vec());
            let copy = StoredRecord { key, value, offset: record.offset };
            self.newest.insert(record.key.clone(), copy);
        }
        self.next = self.next.max(next);
    }

    /// The answer to a daemon that has read everything before `from`.
    pub(crate) fn since(&self, from: Offset) -> PeerResponse {
        let missing = self.newest.values().filter(|record| record.offset >= from);
        let mut records: Vec<StoredRecord> = missing.cloned().collect();
        records.sort_by_key(|record| record.offset);
        PeerResponse::Stored { records, next: self.next }
    }
}

/// A record that came from another daemon, as the store would have given it.
pub(crate) fn original(copy: StoredRecord) -> NewestRecord {
    NewestRecord { key: copy.key, value: copy.value.into(), offset: copy.offset }
}
