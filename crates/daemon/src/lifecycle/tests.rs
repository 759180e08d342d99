//! Tests that each state change is reported once, and nothing else.

use cyclamen_decisions::Belief;
use cyclamen_ledger::MoveId;
use cyclamen_moves::{MovePhase, MoveStatus};
use cyclamen_types::{ConfigVersion, Offset};

use super::{ReportedState, StateSample};

fn sample(version: u64, moves: Vec<MoveStatus>) -> StateSample {
    let (members, servers) = (Vec::new(), Vec::new());
    StateSample {
        ready: true,
        relay: false,
        version: ConfigVersion(version),
        moves,
        members,
        servers,
    }
}

/// The text of the reported lines.
fn text(beliefs: &[Belief]) -> String {
    let lines: Vec<String> = beliefs.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

fn status(declared: u64, phase: MovePhase, share_ppm: u32) -> MoveStatus {
    MoveStatus {
        id: MoveId { name: "dvere-v2".parse().expect("valid name"), declared: Offset(declared) },
        service: "dvere".parse().expect("valid name"),
        from: "v1".parse().expect("valid name"),
        to: "v2".parse().expect("valid name"),
        phase,
        share_ppm,
        late: false,
        reason: "as scheduled".into(),
        evidence: Vec::new(),
    }
}

#[test]
fn changes_first_sample() {
    let mut reported = ReportedState::default();
    let lines = reported.changes(&StateSample { relay: true, ..sample(3, Vec::new()) });
    insta::assert_snapshot!(text(&lines));
}

#[test]
fn changes_none_for_new_share() {
    let mut reported = ReportedState::default();
    reported.changes(&sample(3, vec![status(2, MovePhase::Moving, 10_000)]));
    let lines = reported.changes(&sample(3, vec![status(2, MovePhase::Moving, 20_000)]));
    assert!(lines.is_empty(), "a new share alone is not reported: {lines:?}");
}

#[test]
fn changes_reports_each_change() {
    let mut reported = ReportedState::default();
    reported.changes(&sample(3, vec![status(2, MovePhase::Moving, 10_000)]));
    let mut lines = reported.changes(&sample(3, vec![status(2, MovePhase::TakenBack, 0)]));
    lines.extend(reported.changes(&sample(4, vec![status(3, MovePhase::TakenBack, 0)])));
    lines.extend(reported.changes(&StateSample { ready: false, ..sample(4, Vec::new()) }));
    insta::assert_snapshot!(text(&lines));
}
