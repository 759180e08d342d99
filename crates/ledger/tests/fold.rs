//! The fold: what counts, what is skipped, what verdicts do.

mod common;

use std::time::Duration;

use common::{MESH, NOW, append, change, change_of, mesh, publish, verdict, verdict_of};
use cyclamen_declarations::parse_change;
use cyclamen_ledger::{
    ChangeOutcome, ENDED_MOVES_KEPT, FoldOutcome, Ledger, LogRecord, MoveId, MoveVerdict,
    OUTCOMES_KEPT, VerdictKind,
};
use cyclamen_types::{ConfigVersion, Offset, Wall};
use proptest::prelude::*;

const MOVE: &str = "declarations: [{name: to-v2, move: {service: dvere, from: v1, to: v2, \
                    deadline: +10m}}]";

fn outcome<'a>(ledger: &'a Ledger, id: &str) -> Option<&'a ChangeOutcome> {
    ledger.outcome(&id.parse().expect("an id"))
}

fn version(ledger: &Ledger) -> &str {
    ledger.config().services["dvere"].body.version.as_str()
}

fn moving() -> Ledger {
    let mut ledger = mesh();
    assert_eq!(publish(&mut ledger, "move", MOVE), FoldOutcome::Changed);
    ledger
}

#[test]
fn fold_mesh() {
    let ledger = mesh();
    assert_eq!(ledger.version(), ConfigVersion(1));
    assert_eq!(ledger.config().routes.len(), 2);
    assert_eq!(outcome(&ledger, "mesh"), Some(&ChangeOutcome::Accepted(Offset(0))));
}

#[test]
fn fold_out_of_order() {
    let mut ledger = mesh();
    for offset in [Offset(0), Offset(2)] {
        let record = LogRecord { offset, payload: "".into() };
        assert_eq!(ledger.fold(&record), FoldOutcome::OutOfOrder { wanted: Offset(1) });
    }
    assert_eq!(ledger.version(), ConfigVersion(1));
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
fn fold_id_taken() {
    let mut ledger = mesh();
    let hash = ledger.hash();
    let other = change("mesh", "declarations: [{name: other, route: {service: dvere}}]");
    append(&mut ledger, &Ledger::change_payload(&other));
    assert_eq!((ledger.counters().repeated, ledger.counters().ids_taken), (0, 1));
    assert_eq!(ledger.hash(), hash);
    let Some(ChangeOutcome::Refused(_, refusal)) = ledger.outcome_of(&other) else {
        panic!("told that it is accepted");
    };
    insta::assert_yaml_snapshot!(refusal.faults);
    let theirs = change_of("mesh", "intruders", MESH);
    assert!(matches!(ledger.outcome_of(&theirs), Some(ChangeOutcome::Refused(..))));
}

#[test]
fn fold_repeated_with_later_times() {
    let ledger = moving();
    let id = "move".parse().expect("an id");
    let team = "doors".parse().expect("a team");
    let later = parse_change(MOVE, id, team, NOW + Duration::from_secs(60)).expect("a change");
    assert_eq!(ledger.outcome_of(&later), Some(ChangeOutcome::Accepted(Offset(1))));
    assert_eq!(ledger.outcome_of(&change("unheard", MESH)), None);
}

#[test]
fn fold_identical_put() {
    let mut ledger = mesh();
    assert_eq!(publish(&mut ledger, "again", MESH), FoldOutcome::Unchanged);
    assert_eq!(ledger.config().routes["doors"].offset, Offset(0));
    assert_eq!(outcome(&ledger, "again"), Some(&ChangeOutcome::Accepted(Offset(1))));
}

#[test]
fn fold_refused_whole() {
    let mut ledger = mesh();
    let yaml = "
declarations:
- {name: good, route: {service: dvere}}
- {name: lost, route: {service: nowhere}}";
    assert_eq!(publish(&mut ledger, "lost", yaml), FoldOutcome::Unchanged);
    let Some(ChangeOutcome::Refused(_, refusal)) = outcome(&ledger, "lost") else {
        panic!("accepted");
    };
    insta::assert_yaml_snapshot!(refusal.faults);
    assert_eq!(ledger.config().routes.len(), 2);
}

#[test]
fn fold_skipped() {
    let mut ledger = mesh();
    let hash = ledger.hash();
    for payload in ["", "null", "{}", "[1", r#"{"format":1}"#, r#"{"format":"x","kind":"change"}"#]
    {
        assert_eq!(append(&mut ledger, payload), FoldOutcome::Unchanged);
    }
    assert_eq!(ledger.counters().malformed, 6);
    for payload in [r#"{"format":2,"kind":"change"}"#, r#"{"format":1,"kind":"later","x":1}"#] {
        assert_eq!(append(&mut ledger, payload), FoldOutcome::Unchanged);
    }
    assert_eq!(ledger.counters().unknown, 2);
    assert_eq!(append(&mut ledger, r#"{"format":1,"kind":"peers"}"#), FoldOutcome::Unchanged);
    assert_eq!(ledger.version(), ConfigVersion(10));
    assert_eq!(ledger.hash(), hash);
}

#[test]
fn fold_bad_change_with_id() {
    let mut ledger = mesh();
    let payload = r#"{"format":1,"kind":"change","id":"odd","team":"doors","declarations":5}"#;
    append(&mut ledger, payload);
    assert!(matches!(outcome(&ledger, "odd"), Some(ChangeOutcome::Refused(..))));
}

#[test]
fn fold_outcomes_bounded() {
    let mut ledger = mesh();
    let yaml = "declarations: [{delete: {kind: route, name: absent}}]";
    for i in 0..OUTCOMES_KEPT {
        publish(&mut ledger, &format!("c{i}"), yaml);
    }
    assert_eq!(outcome(&ledger, "mesh"), None);
    let Some(ChangeOutcome::Refused(_, first)) = outcome(&ledger, "c0") else {
        panic!("forgotten too early");
    };
    assert!(first.faults.is_empty());
    let mut other = Ledger::default();
    assert!(other.install_snapshot(&ledger.snapshot()));
    assert_eq!(other.hash(), ledger.hash());
}

#[test]
fn verdict_done() {
    let mut ledger = moving();
    assert_eq!(verdict(&mut ledger, "to-v2", VerdictKind::Done), FoldOutcome::Changed);
    assert_eq!(version(&ledger), "v2");
    assert_eq!(ledger.config().services["dvere"].offset, Offset(2));
}

#[test]
fn verdict_taken_back_after_done() {
    let mut ledger = moving();
    verdict(&mut ledger, "to-v2", VerdictKind::Done);
    assert_eq!(verdict(&mut ledger, "to-v2", VerdictKind::TakenBack), FoldOutcome::Changed);
    assert_eq!(version(&ledger), "v1");
}

#[test]
fn verdict_done_after_taken_back() {
    let mut ledger = moving();
    verdict(&mut ledger, "to-v2", VerdictKind::TakenBack);
    assert_eq!(verdict(&mut ledger, "to-v2", VerdictKind::Done), FoldOutcome::Unchanged);
    assert_eq!(version(&ledger), "v1");
    let held = ledger.config().moves["to-v2"].verdict.as_ref().expect("a verdict");
    assert_eq!(held.kind, VerdictKind::TakenBack);
}

#[test]
fn verdict_of_older_publication() {
    let mut ledger = moving();
    let old = ledger.config().moves["to-v2"].id();
    let again = MOVE.replace("+10m", "+20m");
    assert_eq!(publish(&mut ledger, "anew", &again), FoldOutcome::Changed);
    let payload = Ledger::verdict_payload(&old, &verdict_of(VerdictKind::Done));
    assert_eq!(append(&mut ledger, &payload), FoldOutcome::Unchanged);
    assert_eq!(ledger.config().moves["to-v2"].verdict, None);
    assert_eq!(ledger.counters().verdicts_ignored, 1);
}

#[test]
fn verdict_of_unknown_move() {
    let mut ledger = mesh();
    let id = MoveId { name: "none".parse().expect("a name"), declared: Offset(0) };
    let payload = Ledger::verdict_payload(&id, &verdict_of(VerdictKind::Done));
    assert_eq!(append(&mut ledger, &payload), FoldOutcome::Unchanged);
}

#[test]
fn verdict_taken_back_after_next_move() {
    let mut ledger = moving();
    verdict(&mut ledger, "to-v2", VerdictKind::Done);
    let next = "
declarations:
- {name: dvere/v3, version: {}}
- {name: to-v3, move: {service: dvere, from: v2, to: v3, deadline: +20m}}";
    assert_eq!(publish(&mut ledger, "next", next), FoldOutcome::Changed);
    assert_eq!(verdict(&mut ledger, "to-v2", VerdictKind::TakenBack), FoldOutcome::Changed);
    assert_eq!(version(&ledger), "v2");
}

#[test]
fn verdict_reason_bounded() {
    let mut ledger = moving();
    let id = ledger.config().moves["to-v2"].id();
    let long = MoveVerdict { reason: "ř".repeat(5_000).into(), ..verdict_of(VerdictKind::Done) };
    append(&mut ledger, &Ledger::verdict_payload(&id, &long));
    let held = ledger.config().moves["to-v2"].verdict.as_ref().expect("a verdict");
    assert_eq!(held.reason.chars().count(), 1_000);
}

proptest! {
    /// No reason fails to encode, which would append an empty record.
    #[test]
    fn verdict_payload_any_reason(reason in any::<String>(), at in any::<u64>()) {
        let mut ledger = moving();
        let id = ledger.config().moves["to-v2"].id();
        let reason = reason.as_str().into();
        let verdict = MoveVerdict { reason, at: Wall(at), ..verdict_of(VerdictKind::Done) };
        append(&mut ledger, &Ledger::verdict_payload(&id, &verdict));
        prop_assert_eq!(ledger.config().moves["to-v2"].verdict.as_ref(), Some(&verdict));
    }
}

#[test]
fn moves_ended_bounded() {
    let mut ledger = mesh();
    let count = ENDED_MOVES_KEPT + 3;
    for i in 0..count {
        let (from, to) = if i % 2 == 0 { ("v1", "v2") } else { ("v2", "v1") };
        let yaml = format!(
            "declarations: [{{name: m{i}, move: {{service: dvere, from: {from}, to: {to}, \
             deadline: +10m}}}}]"
        );
        publish(&mut ledger, &format!("move-{i}"), &yaml);
        verdict(&mut ledger, &format!("m{i}"), VerdictKind::Done);
    }
    let held: Vec<&str> = ledger.config().moves.keys().map(|name| name.as_str()).collect();
    assert_eq!(held, ["m2", "m3", "m4", "m5", "m6"]);
    let mut other = Ledger::default();
    assert!(other.install_snapshot(&ledger.snapshot()));
    assert_eq!(other.hash(), ledger.hash());
}

#[test]
fn order_last_holds() {
    let mut ledger = moving();
    for (id, action) in [("p", "pause"), ("r", "resume")] {
        let yaml = format!("declarations: [{{order: {{move: to-v2, action: {action}}}}}]");
        assert_eq!(publish(&mut ledger, id, &yaml), FoldOutcome::Changed);
    }
    let order = ledger.config().moves["to-v2"].order.expect("an order");
    assert_eq!(order.to_string(), "resume");
    assert_eq!(ledger.config().moves["to-v2"].id().declared, Offset(1));
}

#[test]
fn payload_round_trip() {
    let mut ledger = mesh();
    let published = change("mesh-2", MESH);
    let payload = Ledger::change_payload(&published);
    append(&mut ledger, &payload);
    assert_eq!(ledger.records_from(ConfigVersion(1), 1).expect("kept")[0].payload, payload.into());
}
