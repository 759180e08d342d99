//! How often and how early a version is rolled back, over seeded runs of one daemon. A good version
//! must not be rolled back, neither at a steady failure rate nor in bursts common to both versions;
//! a bad one must be rolled back after few failed calls.

mod common;

use common::{CallNames, at, config, daemon, even_slots, move_name};
use cyclamen_moves::MovePhase;

/// Calls per run.
const CALLS: u64 = 6_000;

const CALLS_PER_SECOND: u64 = 40;

/// A xorshift generator.
struct Random(u64);

impl Random {
    /// A number in 0..1.
    fn fraction(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Returns the failed calls of the new version until its rollback, or `None` if it was not rolled
/// back.
fn run(seed: u64, old_rate: impl Fn(u64) -> f64, excess: f64) -> Option<u64> {
    let mut moves = daemon(1, 1, at(0));
    let mut out = Vec::new();
    moves.apply_config(at(0), &config(None, None), &mut out);
    let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let mut failures = 0;
    for call in 0..CALLS {
        let now = at(call / CALLS_PER_SECOND);
        if call % CALLS_PER_SECOND == 0 {
            out.clear();
            moves.tick(now, &even_slots, &mut out);
        }
        let share = f64::from(moves.splits()[0].share_ppm) / 1e6;
        let new = random.fraction() < share;
        let rate = old_rate(call) + if new { excess } else { 0.0 };
        let failed = random.fraction() < rate;
        failures += u64::from(new && failed);
        let route = if random.fraction() < 0.5 { "lookup" } else { "pack" };
        moves.record_call(now, &CallNames::new(route, call % 3).sample(new, failed), &mut out);
        if moves.phase(&move_name()) == Some(MovePhase::TakenBack) {
            return Some(failures);
        }
    }
    None
}

#[test]
fn no_rollback_at_steady_failure_rate() {
    for seed in 1..80 {
        assert_eq!(run(seed, |_| 0.004, 0.0), None, "seed {seed}");
    }
}

#[test]
fn no_rollback_during_failure_bursts() {
    let bursts = |call: u64| if call / 300 % 4 == 1 { 0.3 } else { 0.001 };
    for seed in 1..80 {
        assert_eq!(run(seed, bursts, 0.0), None, "seed {seed}");
    }
}

#[test]
fn rollback_within_few_failures() {
    let mut failures = Vec::new();
    for seed in 1..40 {
        failures.push(run(seed, |_| 0.002, 0.1).expect("a rollback"));
    }
    failures.sort_unstable();
    let median = failures[failures.len() / 2];
    assert!(median <= 10, "{failures:?}");
}

#[test]
fn rollback_when_all_calls_fail() {
    for seed in 1..40 {
        let failures = run(seed, |_| 0.002, 0.998).expect("a rollback");
        assert!(failures <= 5, "seed {seed}: {failures}");
    }
}
