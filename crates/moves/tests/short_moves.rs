//! Moves with less than a minute from start to deadline. The share must stay low until late, and
//! the new version must take all calls for a while before the move is done, so that a fault that
//! shows only under full load is rolled back and affects few calls.

mod common;

use common::{CallNames, SHORT_MOVE_MS, at_millis, daemon, even_slots, short_move_config};
use cyclamen_ledger::VerdictKind;
use cyclamen_moves::{Moves, MovesEffect};

const STEP_MS: u64 = 50;
const CALLS_PER_STEP: u64 = 10;

/// Minimum time for which the new version takes all calls before the move is done.
const MIN_FULL_SHARE_MS: u64 = 1_200;

/// When a move reached its states, in milliseconds from the start, and the calls it took.
#[derive(Debug, Default)]
struct Outcome {
    /// When all calls first went to the new version.
    full_share_at: Option<u64>,
    /// When the verdict done was appended.
    done_at: Option<u64>,
    /// When the verdict of a rollback was appended.
    rollback_at: Option<u64>,
    new_calls: u64,
    calls: u64,
}

/// Runs a move. Half of the calls of the new version fail while its share is at least `fails_from`
/// parts per million.
fn run(moves: &mut Moves, fails_from: u32) -> Outcome {
    let names = CallNames::new("lookup", 1);
    let mut outcome = Outcome::default();
    let mut out = Vec::new();
    moves.apply_config(at_millis(0), &short_move_config(), &mut out);
    for millis in (0..SHORT_MOVE_MS).step_by(STEP_MS as usize) {
        moves.tick(at_millis(millis), &even_slots, &mut out);
        for call in 0..CALLS_PER_STEP {
            let share = moves.splits().first().map_or(0, |split| split.share_ppm);
            if share == 1_000_000 {
                outcome.full_share_at.get_or_insert(millis);
            }
            let draw = (call * 20_011 + millis * 997) % 1_000 * 1_000;
            let new = draw < u64::from(share);
            let failed = new && share >= fails_from && call % 2 == 0;
            outcome.calls += 1;
            outcome.new_calls += u64::from(new);
            moves.record_call(at_millis(millis), &names.sample(new, failed), &mut out);
        }
        for effect in out.drain(..) {
            let MovesEffect::AppendVerdict(_, verdict) = effect else {
                continue;
            };
            match verdict.kind {
                VerdictKind::Done => outcome.done_at.get_or_insert(millis),
                VerdictKind::TakenBack => outcome.rollback_at.get_or_insert(millis),
            };
        }
    }
    outcome
}

#[test]
fn short_move_of_good_version_is_done_before_deadline() {
    for index in 0..20 {
        let outcome = run(&mut daemon(index, 1, at_millis(0)), u32::MAX);
        let (full_share_at, done_at) =
            (outcome.full_share_at.expect("all calls"), outcome.done_at.expect("done"));
        assert!(done_at >= full_share_at + MIN_FULL_SHARE_MS, "daemon {index}: {outcome:?}");
        assert!(done_at < SHORT_MOVE_MS, "daemon {index}: {outcome:?}");
    }
}

#[test]
fn short_move_failing_at_full_share_ends_in_rollback() {
    for index in 0..20 {
        let outcome = run(&mut daemon(index, 1, at_millis(0)), 900_000);
        assert_eq!(outcome.done_at, None, "daemon {index}: {outcome:?}");
        assert!(outcome.rollback_at.is_some(), "daemon {index}: {outcome:?}");
        assert!(outcome.new_calls * 10 <= outcome.calls, "daemon {index}: {outcome:?}");
    }
}
