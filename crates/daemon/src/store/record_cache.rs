//! Cache of the records that this daemon read from the store.
//!
//! Daemons that do not read the store themselves request these records from one that does. Values
//! are sent compressed (deflate); [`decompress_records`] restores them on the requesting side.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};

use cyclamen_distribution::{PeerResponse, StoredRecord};
use cyclamen_platform::NewestRecord;
use cyclamen_platform::era::era_of;
use cyclamen_types::Offset;
use derive_more::{Display, Error};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use log::warn;

/// Largest decompressed value accepted from another daemon, in bytes.
const MAX_VALUE_BYTES: u64 = 8 * 1024 * 1024;

/// Why the records received from another daemon cannot be used.
#[derive(Debug, Display, Error)]
pub(crate) enum UnpackError {
    /// A value is not valid deflate data.
    #[display("the value of `{key}` cannot be decompressed: {source}")]
    Corrupt {
        /// The key of the record.
        key: String,
        /// What the decoder found.
        source: io::Error,
    },
    /// A value is larger than [`MAX_VALUE_BYTES`].
    #[display("the value of `{key}` is larger than {MAX_VALUE_BYTES} bytes")]
    TooLarge {
        /// The key of the record.
        key: String,
    },
}

/// The newest record of each key of the topic `Orders`, and the offset to read on from.
#[derive(Debug, Default)]
pub(crate) struct RecordCache {
    newest: BTreeMap<String, CachedRecord>,
    next_offset: Offset,
    /// Before that, records may have been dropped that this cache never held.
    complete_from: Offset,
}

/// A record whose compressed value is computed at the first request and then kept.
#[derive(Debug)]
struct CachedRecord {
    record: NewestRecord,
    compressed: Option<Vec<u8>>,
}

impl RecordCache {
    /// Adds records, in any order; `next_offset` is the offset after the last record read. A record
    /// older than the cached one of the same key is ignored. Records from before the store came
    /// back from an older copy are dropped, because it may not hold them any more.
    pub(crate) fn insert(&mut self, records: &[NewestRecord], next_offset: Offset) {
        if era_of(self.next_offset) < era_of(next_offset) {
            self.newest.clear();
        }
        for record in records {
            let current = self.newest.get(&record.key);
            if current.is_some_and(|current| current.record.offset > record.offset) {
                continue;
            }
            let cached = CachedRecord { record: record.clone(), compressed: None };
            self.newest.insert(record.key.clone(), cached);
        }
        self.next_offset = self.next_offset.max(next_offset);
    }

    /// Replaces all records by the newest of each key, which were read up to `end`. Which keys have
    /// been dropped before is not known from them.
    pub(crate) fn insert_all(&mut self, records: &[NewestRecord], end: Offset) {
        if end < self.next_offset {
            return;
        }
        self.newest.clear();
        self.insert(records, end);
        self.complete_from = end;
    }

    /// Builds the response to a daemon that has read all records before `from`: the newest record
    /// of each key from that offset on, by offset. If dropped records may be missing, or a value
    /// cannot be compressed, the response is empty and its `next` is `from`, which makes the requester
    /// read the store instead.
    pub(crate) fn response_since(&mut self, from: Offset) -> PeerResponse {
        if from < self.complete_from {
            return PeerResponse::Stored { records: Vec::new(), next: from };
        }
        let mut records = Vec::new();
        for cached in self.newest.values_mut() {
            if cached.record.offset < from {
                continue;
            }
            match cached.compressed() {
                Ok(record) => records.push(record),
                Err(error) => {
                    warn!("cannot compress a record for a peer ({error}); it will read the store");
                    return PeerResponse::Stored { records: Vec::new(), next: from };
                }
            }
        }
        records.sort_by_key(|record| record.offset);
        PeerResponse::Stored { records, next: self.next_offset }
    }
}

impl CachedRecord {
    fn compressed(&mut self) -> io::Result<StoredRecord> {
        let packed = match &self.compressed {
            Some(packed) => packed.clone(),
            None => compress(&self.record.value)?,
        };
        self.compressed = Some(packed.clone());
        Ok(StoredRecord { key: self.record.key.clone(), packed, offset: self.record.offset })
    }
}

/// Restores records received from another daemon to the form in which the store returns them.
///
/// # Errors
/// A value cannot be decompressed or is too large. No record is returned then, because skipping one
/// would leave a gap.
pub(crate) fn decompress_records(
    compressed: Vec<StoredRecord>,
) -> Result<Vec<NewestRecord>, UnpackError> {
    let mut records = Vec::new();
    for stored in compressed {
        let key = stored.key;
        let value = match decompress(&stored.packed) {
            Ok(value) => value,
            Err(source) => return Err(UnpackError::Corrupt { key, source }),
        };
        if value.len() as u64 > MAX_VALUE_BYTES {
            return Err(UnpackError::TooLarge { key });
        }
        records.push(NewestRecord { key, value: value.into(), offset: stored.offset });
    }
    Ok(records)
}

fn compress(value: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(value)?;
    encoder.finish()
}

/// Decompresses a value, but no more than one byte beyond [`MAX_VALUE_BYTES`], which shows that it
/// is too large.
fn decompress(packed: &[u8]) -> io::Result<Vec<u8>> {
    let mut value = Vec::new();
    DeflateDecoder::new(packed).take(MAX_VALUE_BYTES + 1).read_to_end(&mut value)?;
    Ok(value)
}

#[cfg(test)]
mod tests;
