//! Tests that each change of the readiness, the relay, the configuration version or the phase of a
//! move is reported once, and that a new share of a move alone is not reported.

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

/// The text of the reported changes, one [`Belief`] per line.
fn text(beliefs: &[Belief]) -> String {
    let lines: Vec<String> = beliefs.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// The status of the move `dvere-v2` that the record at `declared` published; another offset makes
/// it another move. The reason is the same in all phases, also if the move was taken back.
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

/// The first sample is compared with the default state.
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
    // The move with the same name that was published at offset 3 is another one.
    lines.extend(reported.changes(&sample(4, vec![status(3, MovePhase::TakenBack, 0)])));
    // The move is gone from this sample; a move that is no longer listed is not reported.
    lines.extend(reported.changes(&StateSample { ready: false, ..sample(4, Vec::new()) }));
    insta::assert_snapshot!(text(&lines));
}
