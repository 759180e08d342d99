//! The log service's stand-in keeps its own promises.

use std::sync::Arc;

use cyclamen_standins::{LogOptions, LogStore, ReadError};
use cyclamen_types::{Mono, Offset};

const SECOND: Mono = Mono(1_000_000);

fn store(retention_records: usize, appends_per_second: u32) -> LogStore {
    LogStore::new(LogOptions { retention_records, appends_per_second })
}

fn payload(number: u64) -> Arc<str> {
    format!("record {number}").into()
}

#[test]
fn append_then_read() {
    let mut store = store(10, 100);
    for number in 0..3 {
        assert_eq!(store.append(Mono(0), payload(number)), Some(Offset(number)));
    }
    let records = store.read(Offset(1), 10).expect("offset 1 is kept");
    let offsets: Vec<Offset> = records.iter().map(|record| record.offset).collect();
    assert_eq!(offsets, [Offset(1), Offset(2)]);
    assert_eq!(records[0].payload, payload(1));
}

#[test]
fn append_over_rate() {
    let mut store = store(10, 2);
    assert!(store.append(Mono(0), payload(0)).is_some());
    assert!(store.append(Mono(0), payload(1)).is_some());
    assert_eq!(store.append(Mono(0), payload(2)), None);
    assert_eq!(store.append(SECOND, payload(2)), Some(Offset(2)));
}

#[test]
fn read_trimmed() {
    let mut store = store(2, 100);
    for number in 0..5 {
        store.append(Mono(0), payload(number));
    }
    assert_eq!(store.read(Offset(0), 10), Err(ReadError::Trimmed { first: Offset(3) }));
    assert_eq!(store.read(Offset(5), 10), Ok(Vec::new()));
}
