//! How costs grow with the size of the fleet: real instances under a virtual clock.
//!
//! The fleet runs in this thread over a fake network, so that the stated size itself can be run.
//! Processor time is that of the instances and the fake together; sockets are not in it.

use std::time::Duration;

use argh::FromArgs;
use cyclamen_fleet::{Fleet, FleetOptions, NodeIndex};
use cyclamen_standins::LogOptions;
use cyclamen_types::{ConfigVersion, ServerName, ServiceName, VersionName};
use cyclamenmoor::Announcement;
use serde::Serialize;

use crate::process;
use crate::report;

/// Bytes in a kibibyte.
const KIB: f64 = 1024.0;

/// Virtual time that a fleet gets to assemble.
const SETTLE: Duration = Duration::from_secs(90);

/// Virtual time at rest that is measured.
const REST: Duration = Duration::from_secs(30);

/// Virtual time between two looks at whether a change is in force everywhere.
const LOOK: Duration = Duration::from_millis(20);

/// Longest virtual time waited for a change.
const PATIENCE: Duration = Duration::from_secs(30);

/// Changes published at each size.
const CHANGES: u32 = 10;

/// Pause after each change.
const PAUSE: Duration = Duration::from_secs(2);

/// Failure domains.
const DOMAINS: usize = 6;

/// Services.
const SERVICES: usize = 90;

/// how costs grow with the size of the fleet
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct Args {
    /// seed of all randomness
    #[argh(option, default = "1")]
    seed: u64,
    /// largest fleet
    #[argh(option, default = "910")]
    largest: usize,
}

/// The figures of one size; all per daemon unless said otherwise.
#[derive(Clone, Debug, Serialize)]
struct Point {
    daemons: usize,
    rest_sent_bytes_per_second: f64,
    rest_cpu_percent: f64,
    rest_log_reads_per_second_in_all: f64,
    change_sent_bytes: f64,
    change_cpu_micros: f64,
    convergence_p50_ms: f64,
    convergence_max_ms: f64,
    memory_kib: f64,
    all_servers_known: bool,
}

/// A line fitted by least squares.
#[derive(Clone, Debug, Serialize)]
struct Line {
    figure: &'static str,
    per_daemon: f64,
    at_zero: f64,
    largest_residual: f64,
}

#[derive(Serialize)]
struct Figures {
    seed: u64,
    points: Vec<Point>,
    lines: Vec<Line>,
}

/// Runs the measurement.
///
/// # Errors
/// The measurement could not be set up.
pub fn run(args: &Args) -> anyhow::Result<()> {
    let mut points = Vec::new();
    for daemons in sizes(args.largest) {
        eprintln!("{daemons} daemons");
        points.push(measure(daemons, args.seed)?);
    }
    let lines = vec![
        fit("bytes sent at rest", &points, |point| point.rest_sent_bytes_per_second),
        fit("processor at rest, percent", &points, |point| point.rest_cpu_percent),
        fit("bytes sent for a change", &points, |point| point.change_sent_bytes),
        fit("processor for a change, microseconds", &points, |point| point.change_cpu_micros),
        fit("memory, KiB", &points, |point| point.memory_kib),
    ];
    print(&points, &lines);
    report::last_line(&Figures { seed: args.seed, points, lines })
}

fn sizes(largest: usize) -> Vec<usize> {
    let mut sizes: Vec<usize> = [50, 100, 200, 400].into_iter().filter(|n| *n < largest).collect();
    sizes.push(largest);
    sizes
}

fn measure(daemons: usize, seed: u64) -> anyhow::Result<Point> {
    let memory_before = process::rss_bytes();
    let mut fleet = Fleet::new(options(seed));
    for number in 0..daemons {
        let node = fleet.add()?;
        fleet.announce(node, announcement(number)?);
    }
    fleet.run_for(SETTLE);
    fleet.publish(NodeIndex(0), &declarations())?;
    fleet.run_for(PAUSE);
    let count = daemons as f64;
    let rest = Window::open(&fleet);
    fleet.run_for(REST);
    let rested = rest.close(&fleet);
    let changes = Window::open(&fleet);
    let mut spans = Vec::new();
    for number in 0..CHANGES {
        spans.push(change(&mut fleet, number)?);
    }
    let changed = changes.close(&fleet);
    spans.sort_unstable();
    let seconds = REST.as_secs_f64();
    let changing = changed.span.as_secs_f64();
    let rest_sent = rested.sent / count / seconds;
    let rest_cpu = rested.cpu.as_secs_f64() / count / seconds;
    let memory = process::rss_bytes().saturating_sub(memory_before);
    let all_known = |index| {
        fleet.instance(index).is_some_and(|daemon| daemon.membership().servers().len() == daemons)
    };
    let change_sent = changed.sent / count - rest_sent * changing;
    let change_cpu = changed.cpu.as_secs_f64() / count - rest_cpu * changing;
    Ok(Point {
        daemons,
        rest_sent_bytes_per_second: rest_sent,
        rest_cpu_percent: rest_cpu * 100.0,
        rest_log_reads_per_second_in_all: rested.log_reads / seconds,
        change_sent_bytes: change_sent / f64::from(CHANGES),
        change_cpu_micros: change_cpu * 1e6 / f64::from(CHANGES),
        convergence_p50_ms: millis(spans[spans.len() / 2]),
        convergence_max_ms: millis(spans[spans.len() - 1]),
        memory_kib: memory as f64 / KIB / count,
        all_servers_known: fleet.indices().all(all_known),
    })
}

/// Publishes one change and waits until it is in force everywhere.
fn change(fleet: &mut Fleet, number: u32) -> anyhow::Result<Duration> {
    let before = ConfigVersion(fleet.log.store.next().0);
    let queue = number + 1;
    let yaml = format!(
        "declarations:\n  - name: limits\n    policy: {{ limits: {{ queue: {queue} }} }}\n"
    );
    let published = fleet.now();
    fleet.publish(NodeIndex(0), &yaml)?;
    let held = |fleet: &Fleet, index| {
        fleet.instance(index).is_none_or(|daemon| daemon.table().version() > before)
    };
    while !fleet.indices().all(|index| held(fleet, index)) {
        if fleet.now().since(published) > PATIENCE {
            anyhow::bail!("a change is not in force everywhere after {PATIENCE:?}");
        }
        fleet.run_for(LOOK);
    }
    let span = fleet.now().since(published);
    fleet.run_for(PAUSE);
    Ok(span)
}

fn options(seed: u64) -> FleetOptions {
    let mut domains = Vec::new();
    for number in 0..DOMAINS {
        domains.push(format!("domain-{number}"));
    }
    FleetOptions {
        domains,
        gossip_bytes_per_second: 2_048,
        gossip_period: Duration::from_secs(1),
        log: LogOptions::default(),
        seed,
    }
}

fn announcement(number: usize) -> anyhow::Result<Announcement> {
    Ok(Announcement {
        order: None,
        cold: None,
        name: ServerName::try_from(format!("server-{number}"))?,
        service: ServiceName::try_from(format!("service-{}", number % SERVICES))?,
        version: VersionName::try_from("v1")?,
        labels: Default::default(),
        slots: 15,
        connections: 130,
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 8_000)),
        draining: false,
    })
}

/// Every service with its version and three routes.
fn declarations() -> String {
    let mut yaml = String::from("declarations:\n");
    for number in 0..SERVICES {
        let name = format!("service-{number}");
        yaml.push_str(&format!("  - name: {name}\n    service: {{ version: v1 }}\n"));
        yaml.push_str(&format!("  - name: {name}/v1\n    version: {{}}\n"));
        for route in 0..3 {
            yaml.push_str(&format!(
                "  - name: {name}-r{route}\n    route: {{ match: {{ path_prefix: /{name}/r{route} \
                 }}, service: {name} }}\n"
            ));
        }
    }
    yaml
}

/// Counters at the beginning of a span.
struct Window {
    sent: u64,
    reads: u64,
    cpu: Duration,
    at: cyclamen_types::Mono,
}

/// What a span took, over all daemons.
struct Used {
    sent: f64,
    log_reads: f64,
    cpu: Duration,
    span: Duration,
}

impl Window {
    fn open(fleet: &Fleet) -> Self {
        let cpu = process::cpu_time();
        Self { sent: sent(fleet), reads: fleet.log.store.counters.reads, cpu, at: fleet.now() }
    }

    fn close(&self, fleet: &Fleet) -> Used {
        Used {
            sent: (sent(fleet) - self.sent) as f64,
            log_reads: (fleet.log.store.counters.reads - self.reads) as f64,
            cpu: process::cpu_time().saturating_sub(self.cpu),
            span: fleet.now().since(self.at),
        }
    }
}

fn sent(fleet: &Fleet) -> u64 {
    let bytes =
        |index| fleet.instance(index).map_or(0, |daemon| daemon.membership().counters().bytes_sent);
    fleet.indices().map(bytes).sum()
}

fn fit(figure: &'static str, points: &[Point], value: impl Fn(&Point) -> f64) -> Line {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.daemons as f64).sum::<f64>() / count;
    let mean_y = points.iter().map(&value).sum::<f64>() / count;
    let (mut over, mut under) = (0.0, 0.0);
    for point in points {
        let x = point.daemons as f64 - mean_x;
        over += x * (value(point) - mean_y);
        under += x * x;
    }
    let per_daemon = if under > 0.0 { over / under } else { 0.0 };
    let at_zero = mean_y - per_daemon * mean_x;
    let residual =
        |point: &Point| (value(point) - at_zero - per_daemon * point.daemons as f64).abs();
    let largest_residual = points.iter().map(residual).fold(0.0, f64::max);
    Line { figure, per_daemon, at_zero, largest_residual }
}

fn print(points: &[Point], lines: &[Line]) {
    let mut rows = Vec::new();
    for point in points {
        rows.push(vec![
            point.daemons.to_string(),
            format!("{:.0}", point.rest_sent_bytes_per_second),
            format!("{:.3}", point.rest_cpu_percent),
            format!("{:.1}", point.rest_log_reads_per_second_in_all),
            format!("{:.0}", point.change_sent_bytes),
            format!("{:.0}", point.change_cpu_micros),
            format!("{:.0}", point.convergence_p50_ms),
            format!("{:.0}", point.convergence_max_ms),
            format!("{:.0}", point.memory_kib),
            point.all_servers_known.to_string(),
        ]);
    }
    report::table(
        &[
            "daemons",
            "rest B/s",
            "rest cpu %",
            "log reads/s",
            "change B",
            "change cpu us",
            "p50 ms",
            "max ms",
            "KiB",
            "all known",
        ],
        &rows,
    );
    println!();
    let mut rows = Vec::new();
    for line in lines {
        rows.push(vec![
            line.figure.to_owned(),
            format!("{:.5}", line.per_daemon),
            format!("{:.3}", line.at_zero),
            format!("{:.3}", line.largest_residual),
        ]);
    }
    report::table(&["figure", "for each daemon", "at none", "largest residual"], &rows);
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
