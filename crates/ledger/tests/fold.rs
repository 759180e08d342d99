//! The fold: what is accepted, what is refused, what verdicts do.

mod common;

use common::{MESH, append, mesh, publish};
use cyclamen_ledger::{ChangeOutcome, FoldOutcome, Ledger};
use cyclamen_types::{ConfigVersion, Offset};

#[test]
fn fold_mesh() {
    let ledger = mesh();
    assert_eq!(ledger.version(), ConfigVersion(1));
    assert_eq!(ledger.config().routes.len(), 2);
    assert_eq!(
        ledger.outcome(&"mesh".parse().expect("an id")),
        Some(&ChangeOutcome::Accepted(Offset(0)))
    );
}

#[test]
fn fold_repeated() {
    let mut ledger = mesh();
    let hash = ledger.hash();
    assert_eq!(publish(&mut ledger, "mesh", MESH), FoldOutcome::Unchanged);
    assert_eq!(ledger.counters().repeated, 1);
    assert_eq!(ledger.hash(), hash);
}

#[test]
fn fold_route_to_undeclared_service() {
    let mut ledger = mesh();
    let yaml = "declarations: [{name: lost, route: {service: nowhere}}]";
    assert_eq!(publish(&mut ledger, "lost", yaml), FoldOutcome::Unchanged);
    let outcome = ledger.outcome(&"lost".parse().expect("an id"));
    let Some(ChangeOutcome::Refused(_, refusal)) = outcome else {
        panic!("accepted: {outcome:?}");
    };
    insta::assert_yaml_snapshot!(refusal.faults);
    assert!(!ledger.config().routes.contains_key("lost"));
}

#[test]
fn snapshot_round_trip() {
    let ledger = mesh();
    let mut other = Ledger::default();
    assert!(other.install_snapshot(&ledger.snapshot()));
    assert_eq!(other.config(), ledger.config());
    assert_eq!(other.hash(), ledger.hash());
    assert!(!other.install_snapshot(&ledger.snapshot()));
}

#[test]
fn restore_trimmed_log() {
    let mut ledger = mesh();
    for payload in ledger.snapshot_payloads(512) {
        append(&mut ledger, &payload);
    }
    publish(&mut ledger, "gone", "declarations: [{delete: {kind: route, name: doors}}]");
    let kept = ledger.records_from(ConfigVersion(1), usize::MAX).expect("kept records");
    let mut other = Ledger::default();
    assert!(other.restore_from_records(&kept));
    assert_eq!(other.config(), ledger.config());
    assert_eq!(other.hash(), ledger.hash());
    assert_eq!(ledger.counters().snapshots_ignored, 0);
}
