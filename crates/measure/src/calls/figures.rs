//! The figures of a measurement, and their tables.

use serde::Serialize;

use crate::report;

/// What one run over both paths gave.
#[derive(Debug, Default, Serialize)]
pub(super) struct PathFigures {
    pub(super) scenario: String,
    pub(super) baseline: bool,
    pub(super) calls: u64,
    pub(super) calls_per_second: f64,
    pub(super) mesh_p50_ms: f64,
    pub(super) mesh_p99_ms: f64,
    pub(super) direct_p50_ms: f64,
    pub(super) direct_p99_ms: f64,
    pub(super) added_p50_ms: f64,
    pub(super) added_p99_ms: f64,
    pub(super) daemon_cpu_us_per_call: f64,
    pub(super) answered: u64,
    pub(super) not_run: u64,
    pub(super) unknown: u64,
    pub(super) failed: u64,
    pub(super) retries: u64,
    pub(super) ejections: u64,
    pub(super) doubled: u64,
    pub(super) lost: u64,
    pub(super) false_not_run: u64,
    pub(super) cut: u64,
}

/// Goodput of one class at one load.
#[derive(Debug, Serialize)]
pub(super) struct ClassFigures {
    pub(super) load: f64,
    pub(super) class: String,
    pub(super) offered_per_second: f64,
    pub(super) goodput_per_second: f64,
    pub(super) p99_ms: f64,
    pub(super) not_run: u64,
    pub(super) failed: u64,
    pub(super) timed_out: u64,
}

/// What a run at several loads gave.
#[derive(Debug, Default, Serialize)]
pub(super) struct OverloadFigures {
    pub(super) scenario: String,
    pub(super) baseline: bool,
    pub(super) goodput_per_second: Vec<f64>,
    pub(super) classes: Vec<ClassFigures>,
    pub(super) doubled: u64,
    pub(super) lost: u64,
    pub(super) false_not_run: u64,
    pub(super) cut: u64,
}

/// Prints the table of a run over both paths.
pub(super) fn print_paths(figures: &PathFigures) {
    let millis = |value: f64| format!("{value:.3}");
    let rows = [
        vec!["mesh".into(), millis(figures.mesh_p50_ms), millis(figures.mesh_p99_ms)],
        vec!["direct".into(), millis(figures.direct_p50_ms), millis(figures.direct_p99_ms)],
        vec!["added".into(), millis(figures.added_p50_ms), millis(figures.added_p99_ms)],
    ];
    report::table(&["path", "p50 ms", "p99 ms"], &rows);
    let counts = [
        figures.answered,
        figures.not_run,
        figures.unknown,
        figures.failed,
        figures.cut,
        figures.doubled,
        figures.lost,
        figures.false_not_run,
    ];
    let names =
        ["answered", "not run", "unknown", "failed", "cut", "doubled", "lost", "false not run"];
    report::table(&names, &[counts.iter().map(u64::to_string).collect()]);
}

/// Prints the table of a run at several loads.
pub(super) fn print_overload(figures: &OverloadFigures) {
    let mut rows = Vec::new();
    for class in &figures.classes {
        rows.push(vec![
            format!("{}x", class.load),
            class.class.clone(),
            format!("{:.0}", class.offered_per_second),
            format!("{:.0}", class.goodput_per_second),
            format!("{:.1}", class.p99_ms),
            class.not_run.to_string(),
            class.failed.to_string(),
            class.timed_out.to_string(),
        ]);
    }
    let headings =
        ["load", "class", "offered/s", "goodput/s", "p99 ms", "not run", "failed", "timed out"];
    report::table(&headings, &rows);
}
