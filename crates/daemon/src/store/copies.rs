//! What this daemon read of the store, kept for daemons that do not read it themselves.

use std::collections::BTreeMap;
use std::io::{Error, Read, Write};

use cyclamen_distribution::{PeerResponse, StoredRecord};
use cyclamen_platform::NewestRecord;
use cyclamen_types::Offset;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use log::warn;

/// Largest value taken from another daemon, in bytes.
const VALUE_BYTES: u64 = 8 * 1024 * 1024;

/// The newest record of each key of the operators' topic.
#[derive(Debug, Default)]
pub(crate) struct Copies {
    newest: BTreeMap<String, Copy>,
    next: Offset,
}

/// One record; it is compressed once, when it is first asked for.
#[derive(Debug)]
struct Copy {
    record: NewestRecord,
    packed: Option<Vec<u8>>,
}

impl Copies {
    /// Takes records as they were read; `next` is the offset after the last one read.
    pub(crate) fn take(&mut self, records: &[NewestRecord], next: Offset) {
        for record in records {
            let held = self.newest.get(&record.key);
            if held.is_some_and(|held| held.record.offset > record.offset) {
                continue;
            }
            let copy = Copy { record: record.clone(), packed: None };
            self.newest.insert(record.key.clone(), copy);
        }
        self.next = self.next.max(next);
    }

    /// The answer to a daemon that has read everything before `from`.
    pub(crate) fn since(&mut self, from: Offset) -> PeerResponse {
        let mut records = Vec::new();
        for copy in self.newest.values_mut() {
            if copy.record.offset < from {
                continue;
            }
            match copy.packed() {
                Ok(record) => records.push(record),
                Err(error) => {
                    warn!("a record is not passed on ({error}): the asking daemon reads the store");
                    return PeerResponse::Stored { records: Vec::new(), next: from };
                }
            }
        }
        records.sort_by_key(|record| record.offset);
        PeerResponse::Stored { records, next: self.next }
    }
}

impl Copy {
    fn packed(&mut self) -> Result<StoredRecord, Error> {
        let packed = match &self.packed {
            Some(packed) => packed.clone(),
            None => pack(&self.record.value)?,
        };
        self.packed = Some(packed.clone());
        Ok(StoredRecord { key: self.record.key.clone(), packed, offset: self.record.offset })
    }
}

/// The records that came from another daemon, as the store would have given them.
///
/// # Errors
/// One of them cannot be unpacked, so none is of use.
pub(crate) fn originals(copies: Vec<StoredRecord>) -> Result<Vec<NewestRecord>, Error> {
    let mut records = Vec::new();
    for copy in copies {
        let value = unpack(&copy.packed)?.into();
        records.push(NewestRecord { key: copy.key, value, offset: copy.offset });
    }
    Ok(records)
}

fn pack(value: &[u8]) -> Result<Vec<u8>, Error> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(value)?;
    encoder.finish()
}

fn unpack(packed: &[u8]) -> Result<Vec<u8>, Error> {
    let mut value = Vec::new();
    DeflateDecoder::new(packed).take(VALUE_BYTES).read_to_end(&mut value)?;
    Ok(value)
}

#[cfg(test)]
mod tests;
