//! Log lines follow changes of state, and nothing else.

use cyclamen_decisions::Belief;
use cyclamen_ledger::MoveId;
use cyclamen_moves::{MoveStage, MoveStatus};
use cyclamen_types::{ConfigVersion, Offset};

use super::{Glance, Seen};

fn glance(version: u64, moves: Vec<MoveStatus>) -> Glance {
    let (members, servers) = (Vec::new(), Vec::new());
    Glance { ready: true, relay: false, version: ConfigVersion(version), moves, members, servers }
}

/// The lines of these beliefs.
fn text(beliefs: &[Belief]) -> String {
    let lines: Vec<String> = beliefs.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

fn status(declared: u64, stage: MoveStage, share_ppm: u32) -> MoveStatus {
    MoveStatus {
        id: MoveId { name: "dvere-v2".parse().expect("a name"), declared: Offset(declared) },
        service: "dvere".parse().expect("a name"),
        from: "v1".parse().expect("a name"),
        to: "v2".parse().expect("a name"),
        stage,
        share_ppm,
        late: false,
        reason: "as scheduled".into(),
        evidence: Vec::new(),
    }
}

#[test]
fn changes_first_sample() {
    let mut seen = Seen::default();
    let lines = seen.changes(&Glance { relay: true, ..glance(3, Vec::new()) });
    insta::assert_snapshot!(text(&lines));
}

#[test]
fn changes_none_for_new_share() {
    let mut seen = Seen::default();
    seen.changes(&glance(3, vec![status(2, MoveStage::Moving, 10_000)]));
    let lines = seen.changes(&glance(3, vec![status(2, MoveStage::Moving, 20_000)]));
    assert!(lines.is_empty(), "a share is no state: {lines:?}");
}

#[test]
fn changes_reports_each_change() {
    let mut seen = Seen::default();
    seen.changes(&glance(3, vec![status(2, MoveStage::Moving, 10_000)]));
    let mut lines = seen.changes(&glance(3, vec![status(2, MoveStage::TakenBack, 0)]));
    lines.extend(seen.changes(&glance(4, vec![status(3, MoveStage::TakenBack, 0)])));
    lines.extend(seen.changes(&Glance { ready: false, ..glance(4, Vec::new()) }));
    insta::assert_snapshot!(text(&lines));
}
