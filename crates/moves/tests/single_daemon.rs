//! A move at one daemon from start to end: a good version, a bad one, trouble common to both, a
//! fault that begins late, and a check.

mod common;

use std::time::Duration;

use common::{CallNames, at, config, daemon, even_slots, move_name};
use cyclamen_ledger::VerdictKind;
use cyclamen_moves::{MovePhase, Moves, MovesEffect};

const CALLS_PER_SECOND: u64 = 50;

/// Runs a daemon second by second. `fails` tells by the number of a call whether it fails at the
/// new version.
fn run(
    moves: &mut Moves,
    from: u64,
    to: u64,
    fails: impl Fn(u64) -> bool,
    out: &mut Vec<MovesEffect>,
) {
    let names = CallNames::new("lookup", 1);
    let mut serial = 0;
    for second in from..to {
        moves.tick(at(second), &even_slots, out);
        for call in 0..CALLS_PER_SECOND {
            serial += 1;
            let share = moves.splits().first().map_or(0, |split| split.share_ppm);
            let new = (call * 20_011 + second * 997) % 1_000 * 1_000 < u64::from(share);
            moves.record_call(at(second), &names.sample(new, new && fails(serial)), out);
        }
    }
}

/// The kinds of the appended verdicts, in order.
fn verdicts(out: &[MovesEffect]) -> Vec<VerdictKind> {
    let mut kinds = Vec::new();
    for effect in out {
        if let MovesEffect::AppendVerdict(_, verdict) = effect {
            kinds.push(verdict.kind);
        }
    }
    kinds
}

#[test]
fn good_version_is_done() {
    let mut moves = daemon(1, 1, at(0));
    let mut out = Vec::new();
    moves.apply_config(at(0), &config(None, None), &mut out);
    run(&mut moves, 0, 600, |_| false, &mut out);
    let status = moves.status(&move_name()).expect("adopted");
    assert_eq!(status.phase, MovePhase::Watched, "{status:?}");
    assert_eq!(status.share_ppm, 1_000_000);
    assert!(!status.late);
    assert_eq!(verdicts(&out), vec![VerdictKind::Done]);
    run(&mut moves, 600, 1_000, |_| false, &mut out);
    assert_eq!(moves.status(&move_name()).expect("adopted").phase, MovePhase::Done);
}

#[test]
fn bad_version_causes_rollback() {
    let mut moves = daemon(1, 1, at(0));
    let mut out = Vec::new();
    moves.apply_config(at(0), &config(None, None), &mut out);
    run(&mut moves, 0, 100, |_| true, &mut out);
    let status = moves.status(&move_name()).expect("adopted");
    assert_eq!(status.phase, MovePhase::TakenBack, "{status:?}");
    assert_eq!(status.share_ppm, 0);
    assert!(status.evidence[0].new_failed <= 5, "{status:?}");
    assert_eq!(verdicts(&out), vec![VerdictKind::TakenBack]);
    insta::assert_snapshot!(status.reason);
}

#[test]
fn common_trouble_causes_no_rollback() {
    let mut moves = daemon(1, 1, at(0));
    let mut out = Vec::new();
    moves.apply_config(at(0), &config(None, None), &mut out);
    let names = CallNames::new("lookup", 1);
    for call in 0..4_000_u64 {
        let now = at(call / 50);
        moves.tick(now, &even_slots, &mut out);
        moves.record_call(now, &names.sample(call % 10 == 0, call % 3 == 0), &mut out);
    }
    assert_eq!(moves.status(&move_name()).expect("adopted").phase, MovePhase::Moving);
}

#[test]
fn late_fault_causes_rollback() {
    let mut moves = daemon(1, 1, at(0));
    let mut out = Vec::new();
    moves.apply_config(at(0), &config(None, None), &mut out);
    run(&mut moves, 0, 600, |_| false, &mut out);
    assert_eq!(moves.status(&move_name()).expect("adopted").phase, MovePhase::Watched);
    run(&mut moves, 600, 700, |_| true, &mut out);
    let status = moves.status(&move_name()).expect("adopted");
    assert_eq!(status.phase, MovePhase::TakenBack, "{status:?}");
    assert!(status.evidence[0].new_failed <= 10, "{status:?}");
    assert_eq!(verdicts(&out), vec![VerdictKind::Done, VerdictKind::TakenBack]);
}

/// Calls that started before a check ran under another share. If they were counted in the check,
/// their failures would confirm the suspicion.
#[test]
fn check_ignores_calls_started_earlier() {
    let mut moves = daemon(1, 1, at(0));
    let mut out = Vec::new();
    moves.apply_config(at(0), &config(None, None), &mut out);
    run(&mut moves, 0, 600, |_| false, &mut out);
    let names = CallNames::new("lookup", 1);
    while moves.phase(&move_name()) == Some(MovePhase::Watched) {
        moves.record_call(at(600), &names.sample(true, true), &mut out);
    }
    assert_eq!(moves.phase(&move_name()), Some(MovePhase::Checking));
    for _ in 0..10 {
        let mut begun_before = names.sample(true, true);
        begun_before.latency = Duration::from_secs(3);
        moves.record_call(at(601), &begun_before, &mut out);
        for _ in 0..5 {
            moves.record_call(at(601), &names.sample(false, false), &mut out);
        }
    }
    assert_eq!(moves.phase(&move_name()), Some(MovePhase::Checking));
}
