//! What the demonstration showed.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_standins::{RunRecord, Tally, Told};
use cyclamen_types::MoveName;
use serde::Serialize;

use crate::lab::Lab;
use crate::promises::{Broken, Promise};

/// The quantile of latency shown.
const SHOWN_QUANTILE: f64 = 0.99;

/// One move and its verdict.
#[derive(Clone, Debug, Serialize)]
pub struct MoveLine {
    /// Its name.
    pub name: MoveName,
    /// The verdict that it should get.
    pub wanted: &'static str,
    /// The verdict that an operator reads.
    pub told: String,
    /// Whether they agree.
    pub as_wanted: bool,
    /// Why, in one sentence.
    pub reason: Arc<str>,
}

/// Calls by what their callers were told.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CallFigures {
    /// All calls.
    pub calls: u64,
    /// Answered whole.
    pub answered: u64,
    /// Failed by a backend server.
    pub failed: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// Outcome unknown.
    pub unknown: u64,
    /// Broken off, timed out or without an answer.
    pub broken: u64,
    /// Calls that may not be repeated.
    pub once: u64,
    /// Of these, run more than once.
    pub doubled: u64,
    /// Of these, answered but not run.
    pub lost: u64,
    /// Of these, refused as not run, but run.
    pub false_not_run: u64,
    /// Latency that 99 in 100 answered calls stay under, in milliseconds.
    pub p99_ms: f64,
}

/// What the demonstration showed.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// The deployment.
    pub deployment: &'static str,
    /// Its calls.
    pub calls: CallFigures,
    /// Times from publishing a change to its being in force on every daemon.
    pub convergence: Vec<Duration>,
    /// Control bytes that a daemon sent, per second, on average over daemons.
    pub control_bytes_sent: f64,
    /// Control bytes that a daemon received, per second, on average over daemons.
    pub control_bytes_received: f64,
    /// The moves.
    pub moves: Vec<MoveLine>,
    /// Promises broken.
    pub broken: Vec<Broken>,
    /// How long it took.
    pub took: Duration,
}

impl Summary {
    pub(crate) fn new(deployment: &'static str) -> Self {
        Self {
            deployment,
            calls: CallFigures::default(),
            convergence: Vec::new(),
            control_bytes_sent: 0.0,
            control_bytes_received: 0.0,
            moves: Vec::new(),
            broken: Vec::new(),
            took: Duration::ZERO,
        }
    }

    /// Whether every promise held and every move ended as it should.
    pub fn good(&self) -> bool {
        self.broken.is_empty() && self.moves.iter().all(|line| line.as_wanted)
    }

    /// Prints the table.
    pub fn print(&self) {
        let calls = &self.calls;
        println!();
        row("calls", calls.calls);
        row("  answered", calls.answered);
        row("  failed by a backend server", calls.failed);
        row("  refused, not run", calls.not_run);
        row("  outcome unknown", calls.unknown);
        row("  broken off or unanswered", calls.broken);
        row("calls that may not be repeated", calls.once);
        row("  run more than once", calls.doubled);
        row("  answered but lost", calls.lost);
        row("  refused as not run, but run", calls.false_not_run);
        row("latency, 99 in 100 under", format!("{:.1} ms", calls.p99_ms));
        let slowest = self.convergence.iter().max().copied().unwrap_or_default();
        row("slowest change in force everywhere", format!("{:.0} ms", millis(slowest)));
        row("control bytes sent, a daemon", format!("{:.0} B/s", self.control_bytes_sent));
        row("control bytes received, a daemon", format!("{:.0} B/s", self.control_bytes_received));
        for line in &self.moves {
            row(&format!("move {}", line.name), format!("{} ({})", line.told, line.reason));
        }
        for promise in Promise::ALL {
            let held = !self.broken.iter().any(|broken| broken.promise == *promise);
            row(&promise.to_string(), if held { "held" } else { "BROKEN" });
        }
        for broken in &self.broken {
            println!("  {}: {}", broken.promise, broken.seen);
        }
        println!("took {:.1} s", self.took.as_secs_f64());
    }

    pub(crate) fn add_calls(&mut self, tally: &Tally, record: &RunRecord) {
        let silent = [Told::Cut, Told::NotConnected, Told::NoAnswer, Told::Wrong, Told::TimedOut];
        self.calls = CallFigures {
            calls: tally.calls(),
            answered: tally.count(Told::Answered),
            failed: tally.count(Told::Failed),
            not_run: tally.count(Told::NotRun),
            unknown: tally.count(Told::Unknown),
            broken: silent.iter().map(|told| tally.count(*told)).sum(),
            once: tally.once.len() as u64,
            doubled: tally.doubled(record),
            lost: tally.lost(record),
            false_not_run: tally.false_not_run(record),
            p99_ms: tally.latency.value_at_quantile(SHOWN_QUANTILE) as f64 / 1_000.0,
        };
    }

    pub(crate) fn add_control(&mut self, lab: &Lab, ran: Duration) {
        let (mut sent, mut received) = (0, 0);
        for node in &lab.nodes {
            let counters = node.daemon.shared.read(|instance| *instance.membership().counters());
            sent += counters.bytes_sent;
            received += counters.bytes_received;
        }
        let daemon_seconds = lab.nodes.len() as f64 * ran.as_secs_f64();
        self.control_bytes_sent = sent as f64 / daemon_seconds;
        self.control_bytes_received = received as f64 / daemon_seconds;
    }
}

fn row(name: &str, value: impl std::fmt::Display) {
    println!("{name:<50} {value}");
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
