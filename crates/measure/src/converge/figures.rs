//! The figures of one measurement.

use std::time::{Duration, Instant};

use serde::Serialize;

use super::fleet::Fleet;
use super::usage;
use super::{Args, Mode};
use crate::report;

/// The state of all counters at the beginning of a window.
pub struct Window {
    at: Instant,
    cpu: Duration,
    log_reads: u64,
    traffic: Vec<(u64, u64)>,
}

/// What one daemon used per second within a window.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Used {
    /// Mean over daemons of bytes sent.
    pub sent_mean: f64,
    /// 99th percentile over daemons of bytes sent.
    pub sent_p99: f64,
    /// Mean over daemons of bytes received.
    pub received_mean: f64,
    /// 99th percentile over daemons of bytes received.
    pub received_p99: f64,
    /// Reads of the log per second by all daemons.
    pub log_reads_per_second: f64,
    /// Share of one core per daemon, in percent.
    pub daemon_cpu_percent: f64,
}

/// What is printed.
#[derive(Debug, Serialize)]
pub struct Figures {
    mode: &'static str,
    daemons: usize,
    domains: usize,
    changes: usize,
    churn: f64,
    settled_ms: f64,
    convergence_p50_ms: f64,
    convergence_p99_ms: f64,
    convergence_max_ms: f64,
    control_bytes_per_daemon_per_second: Used,
    rest: Used,
    log_reads_per_second: f64,
    daemon_cpu_percent: f64,
    daemon_rss_mb: f64,
    restart_all_ready_ms: Option<f64>,
}

impl Window {
    pub fn open(fleet: &Fleet) -> Self {
        Self {
            at: Instant::now(),
            cpu: usage::cpu(),
            log_reads: fleet.log.counters().reads,
            traffic: fleet.traffic(),
        }
    }

    /// What was used since the window was opened.
    pub fn close(&self, fleet: &Fleet) -> Used {
        let seconds = self.at.elapsed().as_secs_f64();
        let (mut sent, mut received) = (Vec::new(), Vec::new());
        for (before, after) in self.traffic.iter().zip(fleet.traffic()) {
            sent.push(after.0.saturating_sub(before.0) as f64 / seconds);
            received.push(after.1.saturating_sub(before.1) as f64 / seconds);
        }
        let cpu = usage::cpu().saturating_sub(self.cpu).as_secs_f64();
        let reads = fleet.log.counters().reads - self.log_reads;
        Used {
            sent_mean: mean(&sent),
            sent_p99: percentile(&mut sent, 0.99),
            received_mean: mean(&received),
            received_p99: percentile(&mut received, 0.99),
            log_reads_per_second: reads as f64 / seconds,
            daemon_cpu_percent: 100.0 * cpu / seconds / self.traffic.len() as f64,
        }
    }
}

impl Figures {
    pub fn new(
        args: &Args,
        settled: Duration,
        rest: &Used,
        busy: &Used,
        times: Vec<Duration>,
        restart: Option<Duration>,
    ) -> Self {
        let mut times: Vec<f64> = times.into_iter().map(millis).collect();
        Self {
            mode: if args.mode == Mode::Poll { "poll" } else { "relays" },
            daemons: args.daemons,
            domains: args.domains,
            changes: args.changes,
            churn: args.churn,
            settled_ms: millis(settled),
            convergence_p50_ms: percentile(&mut times, 0.5),
            convergence_p99_ms: percentile(&mut times, 0.99),
            convergence_max_ms: percentile(&mut times, 1.0),
            control_bytes_per_daemon_per_second: *busy,
            rest: *rest,
            log_reads_per_second: busy.log_reads_per_second,
            daemon_cpu_percent: busy.daemon_cpu_percent,
            daemon_rss_mb: usage::rss_bytes() as f64 / 1e6 / args.daemons as f64,
            restart_all_ready_ms: restart.map(millis),
        }
    }

    pub fn print(&self) -> anyhow::Result<()> {
        let busy = &self.control_bytes_per_daemon_per_second;
        let row = |name: &str, rest: f64, busy: f64| {
            vec![name.to_owned(), format!("{rest:.2}"), format!("{busy:.2}")]
        };
        report::table(
            &["per daemon and second", "at rest", "changing"],
            &[
                row("bytes sent, mean", self.rest.sent_mean, busy.sent_mean),
                row("bytes sent, p99", self.rest.sent_p99, busy.sent_p99),
                row("bytes received, mean", self.rest.received_mean, busy.received_mean),
                row("bytes received, p99", self.rest.received_p99, busy.received_p99),
                row("core, percent", self.rest.daemon_cpu_percent, busy.daemon_cpu_percent),
                row("log reads, all", self.rest.log_reads_per_second, busy.log_reads_per_second),
            ],
        );
        println!();
        let p50 = format!("{:.1}", self.convergence_p50_ms);
        let p99 = format!("{:.1}", self.convergence_p99_ms);
        let max = format!("{:.1}", self.convergence_max_ms);
        report::table(
            &["convergence, ms", "p50", "p99", "max"],
            &[vec![String::new(), p50, p99, max]],
        );
        report::last_line(self)
    }
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// The value that a share of all values does not exceed.
fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (values.len() as f64 * share).ceil() as usize;
    values.get(rank.max(1) - 1).copied().unwrap_or_default()
}
