//! The figures of a population.

use std::time::Duration;

use serde::Serialize;

use crate::moves::scenario::{KINDS, Kind};
use crate::moves::world::Outcome;
use crate::report;

/// The last line: shares are fractions from 0 to 1.
#[derive(Debug, Serialize)]
pub struct Figures {
    policy: &'static str,
    seed: u64,
    bad_moves: usize,
    good_moves: usize,
    bad_taken_back: f64,
    bad_calls_median: f64,
    bad_calls_p99: f64,
    detect_p50_s: f64,
    good_done_in_time: f64,
    good_taken_back: f64,
    evidence_bytes_per_daemon_per_second: f64,
    evidence_bytes_one_move: f64,
}

/// Prints the table by kind and returns the figures of all kinds.
pub fn summarise(
    policy: &'static str,
    seed: u64,
    outcomes: &[(Kind, Outcome)],
    ten_moves_rate: f64,
) -> Figures {
    print_kinds(outcomes);
    let bad: Vec<&Outcome> = select(outcomes, Kind::bad);
    let good: Vec<&Outcome> = select(outcomes, |kind| !kind.bad());
    let hits: Vec<f64> = bad.iter().map(|outcome| outcome.hit.iter().sum::<u64>() as f64).collect();
    let rates: f64 = outcomes.iter().map(|(_, outcome)| outcome.evidence_rate).sum();
    Figures {
        policy,
        seed,
        bad_moves: bad.len(),
        good_moves: good.len(),
        bad_taken_back: share(&bad, |outcome| outcome.taken_back),
        bad_calls_median: quantile(hits.clone(), 0.5),
        bad_calls_p99: quantile(hits, 0.99),
        detect_p50_s: quantile(detections(&bad), 0.5),
        good_done_in_time: share(&good, |outcome| outcome.done_in_time),
        good_taken_back: share(&good, |outcome| outcome.taken_back),
        evidence_bytes_per_daemon_per_second: ten_moves_rate,
        evidence_bytes_one_move: rates / outcomes.len().max(1) as f64,
    }
}

fn print_kinds(outcomes: &[(Kind, Outcome)]) {
    let headings = [
        "kind",
        "moves",
        "taken back",
        "in time",
        "hit p50",
        "hit p99",
        "domain p50",
        "detect p50 s",
    ];
    let mut rows = Vec::new();
    for kind in KINDS {
        let of_kind = select(outcomes, |other| other == kind);
        let hits = |count: fn(&Outcome) -> u64| -> Vec<f64> {
            of_kind.iter().map(|outcome| count(outcome) as f64).collect()
        };
        let all = hits(|outcome| outcome.hit.iter().sum());
        let worst = hits(|outcome| outcome.hit.iter().copied().max().unwrap_or(0));
        rows.push(vec![
            kind.to_string(),
            of_kind.len().to_string(),
            format!("{:.4}", share(&of_kind, |outcome| outcome.taken_back)),
            format!("{:.4}", share(&of_kind, |outcome| outcome.done_in_time)),
            format!("{:.0}", quantile(all.clone(), 0.5)),
            format!("{:.0}", quantile(all, 0.99)),
            format!("{:.0}", quantile(worst, 0.5)),
            format!("{:.1}", quantile(detections(&of_kind), 0.5)),
        ]);
    }
    report::table(&headings, &rows);
}

fn select(outcomes: &[(Kind, Outcome)], wanted: impl Fn(Kind) -> bool) -> Vec<&Outcome> {
    let mut selected = Vec::new();
    for (kind, outcome) in outcomes {
        if wanted(*kind) {
            selected.push(outcome);
        }
    }
    selected
}

fn detections(outcomes: &[&Outcome]) -> Vec<f64> {
    let detected = outcomes.iter().filter_map(|outcome| outcome.detected);
    detected.map(|after: Duration| after.as_secs_f64()).collect()
}

fn share(outcomes: &[&Outcome], holds: impl Fn(&Outcome) -> bool) -> f64 {
    let count = outcomes.iter().filter(|outcome| holds(outcome)).count();
    count as f64 / outcomes.len().max(1) as f64
}

fn quantile(mut values: Vec<f64>, q: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let rank = (q * (values.len() - 1) as f64).round() as usize;
    values[rank]
}
