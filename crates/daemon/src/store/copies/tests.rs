//! What is passed on of the store, and what a daemon makes of it.

use cyclamen_distribution::PeerResponse;
use cyclamen_platform::NewestRecord;
use cyclamen_types::Offset;

use super::{Copies, originals};

fn record(key: &str, offset: u64, value: &str) -> NewestRecord {
    NewestRecord { key: key.into(), value: value.to_owned().into(), offset: Offset(offset) }
}

fn since(copies: &mut Copies, from: u64) -> (Vec<NewestRecord>, Offset) {
    match copies.since(Offset(from)) {
        PeerResponse::Stored { records, next } => (originals(records).expect("whole"), next),
        other => panic!("not what was asked for: {other:?}"),
    }
}

#[test]
fn since_newest_of_each_key() {
    let mut copies = Copies::default();
    let second = record("config", 2, "two");
    copies.take(&[record("config", 0, "one"), record("move", 1, "m"), second.clone()], Offset(3));
    copies.take(&[record("config", 0, "one")], Offset(1));
    assert_eq!(since(&mut copies, 0), (vec![record("move", 1, "m"), second.clone()], Offset(3)));
    assert_eq!(since(&mut copies, 2), (vec![second], Offset(3)));
    assert_eq!(since(&mut copies, 3), (Vec::new(), Offset(3)));
}

#[test]
fn originals_damaged() {
    let mut copies = Copies::default();
    copies.take(&[record("config", 0, &"doors ".repeat(500))], Offset(1));
    let PeerResponse::Stored { mut records, .. } = copies.since(Offset(0)) else {
        panic!("not what was asked for");
    };
    assert!(records[0].packed.len() < 300, "{} bytes", records[0].packed.len());
    let half = records[0].packed.len() / 2;
    records[0].packed.truncate(half);
    assert!(originals(records).is_err());
}
