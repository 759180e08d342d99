//! Snapshots: whole, in parts, broken; and records for peers.

mod common;

use common::{MESH, append, mesh, publish, verdict};
use cyclamen_ledger::{Ledger, LogRecord, VerdictKind};
use cyclamen_types::{ConfigVersion, Offset};

const MOVE: &str = "declarations: [{name: to-v2, move: {service: dvere, from: v1, to: v2, \
                    deadline: +10m}}, {name: p, policy: {limits: {queue: 3}}}]";

/// A ledger with every kind of declaration, an order and a verdict.
fn full() -> Ledger {
    let mut ledger = mesh();
    publish(&mut ledger, "move", MOVE);
    publish(&mut ledger, "order", "declarations: [{order: {move: to-v2, action: hasten}}]");
    verdict(&mut ledger, "to-v2", VerdictKind::Done);
    publish(&mut ledger, "refused", "declarations: [{name: x, route: {service: nowhere}}]");
    ledger
}

fn assert_same(a: &Ledger, b: &Ledger) {
    assert_eq!(a.config(), b.config());
    assert_eq!(a.hash(), b.hash());
    for id in ["mesh", "move", "order", "refused"] {
        let id = id.parse().expect("an id");
        assert_eq!(a.outcome(&id), b.outcome(&id));
    }
}

/// The log of a ledger with its own snapshot in it and two changes after that.
fn log_with_snapshot(ledger: &mut Ledger) -> Vec<LogRecord> {
    let mut records = Vec::new();
    for payload in ledger.snapshot_payloads(600) {
        assert!(payload.len() <= 600, "{} bytes", payload.len());
        records.push(LogRecord { offset: Offset(ledger.version().0), payload: payload.into() });
        ledger.fold(&records[records.len() - 1]);
    }
    for (id, kind) in [("one", "route"), ("two", "policy")] {
        let name = if kind == "route" { "doors" } else { "p" };
        let yaml = format!("declarations: [{{delete: {{kind: {kind}, name: {name}}}}}]");
        publish(ledger, id, &yaml);
        let last = ConfigVersion(ledger.version().0 - 1);
        records.extend(ledger.records_from(last, usize::MAX).expect("kept"));
    }
    records
}

#[test]
fn snapshot_round_trip() {
    let ledger = full();
    let mut other = Ledger::default();
    assert!(other.install_snapshot(&ledger.snapshot()));
    assert_same(&other, &ledger);
    assert_eq!(other.snapshot(), ledger.snapshot());
}

/// Guards against daemons that know format 1 only and drop the slash at the end of a path prefix:
/// they skip the snapshots that have one.
#[test]
fn snapshot_of_slash_prefix() {
    let route = "declarations: [{name: r, route: {service: dvere, match: {path_prefix: /r/}}}]";
    let mut ledger = full();
    assert!(ledger.snapshot().contains(r#""format":1"#), "{}", ledger.snapshot());
    publish(&mut ledger, "slash", route);
    assert!(ledger.snapshot().contains(r#""format":3"#), "{}", ledger.snapshot());
    let parts = ledger.snapshot_payloads(600);
    assert!(parts.iter().all(|part| part.contains(r#""format":3"#)));
    let mut other = Ledger::default();
    assert!(other.install_snapshot(&ledger.snapshot()));
    assert_same(&other, &ledger);
    assert_eq!(&*other.config().routes["r"].body.matches.path_prefix, "/r/");
}

#[test]
fn snapshot_not_newer() {
    let ledger = full();
    let mut other = full();
    let before = other.clone();
    assert!(!other.install_snapshot(&ledger.snapshot()));
    assert!(!other.install_snapshot(&mesh().snapshot()));
    assert_same(&other, &before);
}

#[test]
fn snapshot_broken() {
    let text = full().snapshot();
    let mut other = mesh();
    let hash = other.hash();
    let dangling = text.replace("\"service\":\"zavady\"", "\"service\":\"nowhere\"");
    let altered = text.replace("800ms", "900ms");
    for broken in ["", "{}", &text[1..], &text[..text.len() / 2], &dangling, &altered] {
        assert!(!other.install_snapshot(broken));
    }
    assert_eq!(other.counters().snapshots_broken, 6);
    assert_eq!(other.hash(), hash);
    assert!(other.install_snapshot(&text));
}

#[test]
fn restore_trimmed_log() {
    let mut ledger = full();
    let records = log_with_snapshot(&mut ledger);
    let mut other = Ledger::default();
    assert!(other.restore_from_records(&records));
    assert_same(&other, &ledger);
    assert_eq!(ledger.counters().snapshots_ignored, 0);
    assert!(!other.restore_from_records(&records));
}

#[test]
fn restore_doubled_parts() {
    let mut ledger = full();
    let parts = ledger.snapshot_payloads(600);
    let mut records = Vec::new();
    for payload in parts.iter().chain(&parts).chain(&parts[1..]) {
        records.push(LogRecord {
            offset: Offset(ledger.version().0),
            payload: payload.as_str().into(),
        });
        ledger.fold(&records[records.len() - 1]);
    }
    let mut other = Ledger::default();
    assert!(other.restore_from_records(&records));
    assert_same(&other, &ledger);
}

#[test]
fn restore_altered_copy() {
    let mut ledger = full();
    let mut records = log_with_snapshot(&mut ledger);
    let altered = records[0].payload.replace("tier", "rank");
    assert_ne!(*altered, *records[0].payload);
    append(&mut ledger, &altered);
    let offset = Offset(records[records.len() - 1].offset.0 + 1);
    records.push(LogRecord { offset, payload: altered.into() });
    let mut other = Ledger::default();
    assert!(other.restore_from_records(&records));
    assert_same(&other, &ledger);
}

#[test]
fn restore_part_missing() {
    let mut ledger = full();
    let mut records = log_with_snapshot(&mut ledger);
    records[1].payload = "{}".into();
    let mut other = Ledger::default();
    assert!(!other.restore_from_records(&records));
    assert!(!other.restore_from_records(&[]));
    assert_eq!(other.version(), ConfigVersion::NONE);
}

#[test]
fn restore_snapshot_older_than_log() {
    let mut ledger = full();
    let records = log_with_snapshot(&mut ledger);
    let mut later = records.clone();
    for record in &mut later {
        record.offset = Offset(record.offset.0 + 1);
    }
    assert!(!Ledger::default().restore_from_records(&later));
}

#[test]
fn snapshot_disagrees() {
    let mut ledger = full();
    let other = mesh();
    let payloads = other.snapshot_payloads(usize::MAX);
    let start = payloads[0].strip_suffix("1}").expect("the version at the end");
    let altered = format!("{start}2}}");
    let before = ledger.hash();
    append(&mut ledger, &altered);
    assert_eq!(ledger.counters().snapshots_ignored, 1);
    append(&mut ledger, &payloads[0]);
    assert_eq!(ledger.counters().snapshots_ignored, 1);
    assert_eq!(ledger.hash(), before);
}

#[test]
fn records_from_bounds() {
    let ledger = full();
    let all = ledger.records_from(ConfigVersion::NONE, usize::MAX).expect("kept");
    assert_eq!(all.len(), 5);
    assert_eq!(ledger.records_from(ConfigVersion(3), 1).expect("kept").len(), 1);
    assert!(ledger.records_from(ledger.version(), 1).expect("kept").is_empty());
    assert!(ledger.records_from(ConfigVersion(99), 1).expect("kept").is_empty());
    let mut installed = Ledger::default();
    installed.install_snapshot(&ledger.snapshot());
    assert_eq!(installed.records_from(ConfigVersion(2), usize::MAX), None);
}

#[test]
fn records_from_without_snapshot_text() {
    let mut ledger = full();
    let whole = log_with_snapshot(&mut ledger);
    let kept = ledger.records_from(ConfigVersion(5), usize::MAX).expect("kept");
    assert_eq!(kept.len(), whole.len());
    for (kept, whole) in kept.iter().zip(&whole) {
        assert_eq!(*kept, whole.for_peers());
    }
    assert!(kept[0].payload.len() < 50);
    let mut other = full();
    for record in &kept {
        other.fold(record);
    }
    assert_same(&other, &ledger);
}

#[test]
fn records_from_forgotten() {
    let mut ledger = mesh();
    for _ in 0..1_100 {
        append(&mut ledger, "{}");
    }
    assert_eq!(ledger.records_from(ConfigVersion::NONE, usize::MAX), None);
    assert_eq!(ledger.records_from(ConfigVersion(1_000), usize::MAX).expect("kept").len(), 101);
    assert!(publish(&mut ledger, "again", MESH) == cyclamen_ledger::FoldOutcome::Unchanged);
}
