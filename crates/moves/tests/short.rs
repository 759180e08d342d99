//! Moves of less than a minute: little goes to the new version until late, and it takes all calls
//! for a while before it is done.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{CallNames, START_MS, config, daemon, even_slots, move_name};
use cyclamen_declarations::Move;
use cyclamen_ledger::{Config, VerdictKind};
use cyclamen_moves::{Moves, MovesEffect};
use cyclamen_types::{Mono, Now, Wall};

const SPAN_MS: u64 = 16_000;
const STEP_MS: u64 = 50;
const CALLS_PER_STEP: u64 = 10;

/// The least time for which the new version takes all calls before the move is done.
const ALONE_MS: u64 = 1_200;

fn at(millis: u64) -> Now {
    Now { mono: Mono(millis * 1_000), wall: Wall(START_MS + millis) }
}

fn short() -> Config {
    let mut config = config(None, None);
    let held = config.moves.get_mut(&move_name()).expect("the move");
    let declared = held.held.body.as_ref().clone();
    held.held.body = Arc::new(Move {
        deadline: Wall(START_MS + SPAN_MS),
        watch: Duration::from_millis(SPAN_MS),
        ..declared
    });
    config
}

/// What happened to a move.
#[derive(Debug, Default)]
struct Course {
    /// When all calls went to the new version, in milliseconds.
    alone: Option<u64>,
    /// When it was said to be done.
    done: Option<u64>,
    taken_back: Option<u64>,
    new_calls: u64,
    calls: u64,
}

/// Plays a move; half of the new version's calls fail while its share is at least `fails_from`.
fn play(moves: &mut Moves, fails_from: u32) -> Course {
    let names = CallNames::new("lookup", 1);
    let mut course = Course::default();
    let mut out = Vec::new();
    moves.adopt(at(0), &short(), &mut out);
    for millis in (0..SPAN_MS).step_by(STEP_MS as usize) {
        moves.tick(at(millis), &even_slots, &mut out);
        for call in 0..CALLS_PER_STEP {
            let share = moves.splits().first().map_or(0, |split| split.share_ppm);
            if share == 1_000_000 {
                course.alone.get_or_insert(millis);
            }
            let draw = (call * 20_011 + millis * 997) % 1_000 * 1_000;
            let new = draw < u64::from(share);
            let failed = new && share >= fails_from && call % 2 == 0;
            course.calls += 1;
            course.new_calls += u64::from(new);
            moves.record(at(millis), &names.sample(new, failed), &mut out);
        }
        for effect in out.drain(..) {
            let MovesEffect::Append(_, verdict) = effect else {
                continue;
            };
            match verdict.kind {
                VerdictKind::Done => course.done.get_or_insert(millis),
                VerdictKind::TakenBack => course.taken_back.get_or_insert(millis),
            };
        }
    }
    course
}

#[test]
fn short_good_is_done_in_time_and_not_at_once() {
    for index in 0..20 {
        let course = play(&mut daemon(index, 1, at(0)), u32::MAX);
        let (alone, done) = (course.alone.expect("all calls"), course.done.expect("done"));
        assert!(done >= alone + ALONE_MS, "daemon {index}: {course:?}");
        assert!(done < SPAN_MS, "daemon {index}: {course:?}");
    }
}

#[test]
fn short_bad_under_load_is_never_done() {
    for index in 0..20 {
        let course = play(&mut daemon(index, 1, at(0)), 900_000);
        assert_eq!(course.done, None, "daemon {index}: {course:?}");
        assert!(course.taken_back.is_some(), "daemon {index}: {course:?}");
        assert!(course.new_calls * 10 <= course.calls, "daemon {index}: {course:?}");
    }
}
