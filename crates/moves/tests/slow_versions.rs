//! Short moves to a version that is slow from its first call on: how soon it is rolled back, and
//! that a good version on servers of uneven speed is not.

mod common;

use std::f64::consts::TAU;
use std::time::Duration;

use common::{CallNames, SHORT_MOVE_MS, at_millis, daemon, even_slots, short_move_config};
use cyclamen_ledger::VerdictKind;
use cyclamen_moves::{CallSample, MovesEffect};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time between two calls, in milliseconds.
const CALL_MS: u64 = 2;

/// Bad answers of a version after which it has to be rolled back within [`ROLLBACK_MS`].
const BAD_ANSWERS: u64 = 50;

/// Longest time from the last of [`BAD_ANSWERS`] to the rollback, in milliseconds. The users allow
/// 5 s, of which a report to other daemons may take one.
const ROLLBACK_MS: u64 = 4_000;

/// Servers of each version.
const SERVERS: u64 = 6;

/// Spread of the latencies at one server: the standard deviation of their logarithm.
const LATENCY_SPREAD: f64 = 0.6;

/// Median latency, in milliseconds, at the quickest servers.
const MEDIAN_MS: f64 = 75.0;

/// A new version, half of whose calls take `slowdown` times as long.
struct Version {
    slowdown: f64,
    seed: u64,
}

/// What became of the move, in milliseconds from its start.
#[derive(Debug, Default)]
struct Outcome {
    fiftieth_bad_at: Option<u64>,
    taken_back_at: Option<u64>,
    done: bool,
}

/// A latency at one server, in milliseconds. Every third server takes twice as long as the others.
fn latency_ms(rng: &mut SmallRng, server: u64) -> f64 {
    let (a, b): (f64, f64) = (rng.random_range(f64::EPSILON..1.0), rng.random());
    let normal = (-2.0 * a.ln()).sqrt() * (TAU * b).cos();
    let slowness = if server.is_multiple_of(3) { 2.0 } else { 1.0 };
    MEDIAN_MS * slowness * (normal * LATENCY_SPREAD).exp()
}

/// Runs the move at one daemon that hears of all calls.
fn run(version: &Version) -> Outcome {
    let names: Vec<CallNames> =
        (0..2 * SERVERS).map(|server| CallNames::new("lookup", server)).collect();
    let mut rng = SmallRng::seed_from_u64(version.seed);
    let mut moves = daemon(version.seed, 1, at_millis(0));
    let mut out = Vec::new();
    let mut outcome = Outcome::default();
    let mut bad = 0;
    moves.apply_config(at_millis(0), &short_move_config(), &mut out);
    for millis in (0..SHORT_MOVE_MS).step_by(CALL_MS as usize) {
        let now = at_millis(millis);
        moves.tick(now, &even_slots, &mut out);
        let share = moves.splits().first().map_or(0, |split| split.share_ppm);
        let new = rng.random_range(0..1_000_000) < share;
        let server = rng.random_range(0..SERVERS) + if new { SERVERS } else { 0 };
        let slowed = new && version.slowdown > 1.0 && rng.random_bool(0.5);
        let factor = if slowed { version.slowdown } else { 1.0 };
        let latency = Duration::from_secs_f64(latency_ms(&mut rng, server) * factor / 1e3);
        let names = &names[server as usize];
        moves.record_call(
            now,
            &CallSample { latency, warm: Some(true), ..names.sample(new, false) },
            &mut out,
        );
        bad += u64::from(slowed);
        if bad == BAD_ANSWERS {
            outcome.fiftieth_bad_at.get_or_insert(millis);
        }
        for effect in out.drain(..) {
            match effect {
                MovesEffect::AppendVerdict(_, verdict) if verdict.kind == VerdictKind::Done => {
                    outcome.done = true;
                }
                MovesEffect::AppendVerdict(..) => {
                    outcome.taken_back_at.get_or_insert(millis);
                }
                _ => {}
            }
        }
        if outcome.taken_back_at.is_some() {
            break;
        }
    }
    outcome
}

fn assert_rolls_back_in_time(slowdown: f64) {
    for seed in 0..10 {
        let outcome = run(&Version { slowdown, seed });
        let taken_back_at = outcome.taken_back_at.expect("a rollback");
        if let Some(fiftieth_bad_at) = outcome.fiftieth_bad_at {
            assert!(
                taken_back_at <= fiftieth_bad_at + ROLLBACK_MS,
                "{slowdown} times as slow, seed {seed}: {outcome:?}"
            );
        }
    }
}

#[test]
fn short_move_of_version_slow_from_the_start_rolls_back_in_time() {
    assert_rolls_back_in_time(4.0);
    assert_rolls_back_in_time(5.0);
}

#[test]
fn short_move_of_version_three_times_as_slow_rolls_back_in_time() {
    assert_rolls_back_in_time(3.0);
}

#[test]
fn short_move_of_good_version_on_uneven_servers_is_done() {
    for seed in 0..40 {
        let outcome = run(&Version { slowdown: 1.0, seed });
        assert!(outcome.done && outcome.taken_back_at.is_none(), "seed {seed}: {outcome:?}");
    }
}
