//! The payloads in which daemons exchange records: a tag and a list, encoded with postcard. The
//! order of fields is part of the format.

use std::sync::Arc;

use crate::digest::CallKey;
use crate::record::Record;

/// First byte of a payload. Payloads of moves, which travel the same way, begin with 0 or 1; a
/// release that does not know this tag ignores the payload.
const PAYLOAD_TAG: u8 = 2;

/// Largest payload in bytes, so that it fits a datagram together with its headers.
const MAX_PAYLOAD_BYTES: usize = 1_000;

/// Whether a payload holds records.
pub fn is_payload(payload: &[u8]) -> bool {
    payload.first() == Some(&PAYLOAD_TAG)
}

/// Divides records into payloads that fit a datagram.
pub(crate) fn encode(records: &[(CallKey, Record)]) -> Vec<Arc<[u8]>> {
    let mut payloads = Vec::new();
    let mut buf = Vec::new();
    for record in records {
        // Encoding cannot fail: postcard rejects only sequences of unknown length, and a record has
        // none.
        let encoded = postcard::to_stdvec(record).unwrap_or_default();
        if !buf.is_empty() && buf.len() + encoded.len() > MAX_PAYLOAD_BYTES {
            payloads.push(std::mem::take(&mut buf).into());
        }
        if buf.is_empty() {
            buf.push(PAYLOAD_TAG);
        }
        buf.extend(encoded);
    }
    if !buf.is_empty() {
        payloads.push(buf.into());
    }
    payloads
}

/// The records of a payload, up to the first that is malformed.
pub(crate) fn decode(payload: &[u8]) -> Vec<(CallKey, Record)> {
    let mut records = Vec::new();
    let Some((&PAYLOAD_TAG, mut rest)) = payload.split_first() else {
        return records;
    };
    while !rest.is_empty() {
        let Ok((record, after)) = postcard::take_from_bytes(rest) else {
            return records;
        };
        records.push(record);
        rest = after;
    }
    records
}
