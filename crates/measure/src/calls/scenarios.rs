//! The scenarios: what is called, and what happens meanwhile.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_standins::{CallPlan, Fault, FaultEffect, RunRecord, Scope, Tally, Told};
use http::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::calls::figures::{ClassFigures, OverloadFigures, PathFigures};
use crate::calls::load::{self, Lane, Planned, Tallies};
use crate::calls::mesh::{Mesh, MeshOptions};
use crate::calls::{Args, Scenario};

/// Daemons of a mesh: two in each failure domain.
const DAEMONS: usize = 6;

/// Slots of a backend server.
const SLOTS: u32 = 15;

/// Slots of a backend server for the direct path.
const SPARE_SLOTS: u32 = 15;

/// Work of an ordinary call.
const SERVICE_TIME: Duration = Duration::from_millis(2);

/// The member whose server is slow; direct calls leave it out.
const SLOW_MEMBER: usize = 1;

/// How much longer the slow server takes.
const SLOWNESS: Duration = Duration::from_millis(50);

/// Sums drawn for the direct path of a chain.
const DRAWN_SUMS: usize = 5_000;

/// Calls below the first one, in a chain 7 deep.
const FURTHER_CALLS: u32 = 6;

/// Every so many calls one must not run twice.
const ONCE_EVERY: u64 = 4;

/// A caller's patience.
const PATIENCE: Duration = Duration::from_secs(5);

/// Load before the figures count, so that connections are open and averages known.
const WARM_UP: Duration = Duration::from_secs(2);

/// Daemons, slots and work of the overload scenario.
const OVERLOAD_DAEMONS: usize = 3;
const OVERLOAD_SLOTS: u32 = 6;
const OVERLOAD_WORK_MS: f64 = 20.0;
const OVERLOAD_BULK_MS: f64 = 60.0;

/// A caller's patience under overload.
const OVERLOAD_PATIENCE: Duration = Duration::from_millis(500);

/// Loads, as multiples of what the backend servers can carry.
const LOADS: [f64; 3] = [1.0, 2.0, 3.0];

/// Measures added latency and what callers are told.
pub(super) async fn paths(args: &Args) -> anyhow::Result<PathFigures> {
    let options = MeshOptions {
        daemons: DAEMONS,
        slots: SLOTS,
        spare_slots: SPARE_SLOTS,
        service_time: SERVICE_TIME,
        mode: args.mode(),
        order: args.order(),
        seed: args.seed,
    };
    let mut mesh = Mesh::start(&options).await?;
    let rate = match args.scenario {
        Scenario::Chain => args.rate * DAEMONS as f64 / f64::from(FURTHER_CALLS + 1),
        _ => args.rate * DAEMONS as f64,
    };
    let duration = Duration::from_secs(args.seconds);
    let targets = Targets::of(&mesh, args.scenario);
    load::run(rate, WARM_UP, args.seed, |number| targets.plan(number, "warm")).await;
    if args.scenario == Scenario::SlowOne {
        let effect = FaultEffect::Slow(SLOWNESS);
        mesh.members[SLOW_MEMBER]
            .server
            .set_faults(vec![Fault { scope: Scope::default(), effect }]);
    }
    let cpu = mesh.daemon_cpu();
    let before = mesh.counters();
    let started = Instant::now();
    let load = load::run(2.0 * rate, duration, args.seed, |number| targets.plan(number, "call"));
    let (tallies, ()) = tokio::join!(load, disturb(&mut mesh, args.scenario, duration / 3));
    let elapsed = started.elapsed();
    let cpu = mesh.daemon_cpu().saturating_sub(cpu);
    let depth = if args.scenario == Scenario::Chain { FURTHER_CALLS + 1 } else { 1 };
    let mut figures = path_figures(&tallies, &mesh.record, depth, args.seed);
    figures.scenario = format!("{:?}", args.scenario).to_lowercase();
    figures.baseline = args.baseline;
    figures.calls_per_second = figures.calls as f64 / elapsed.as_secs_f64();
    figures.daemon_cpu_us_per_call = cpu.as_secs_f64() * 1e6 / figures.calls.max(1) as f64;
    let counters = mesh.counters();
    figures.retries = counters.retries - before.retries;
    figures.ejections = counters.ejections - before.ejections;
    Ok(figures)
}

/// What happens during the load.
async fn disturb(mesh: &mut Mesh, scenario: Scenario, after: Duration) {
    tokio::time::sleep(after).await;
    match scenario {
        Scenario::Drain => {
            mesh.members[0].announce(true);
            tokio::time::sleep(after / 2).await;
            mesh.members[0].stop_daemon();
        }
        Scenario::Kill => mesh.members[0].kill_daemon(),
        Scenario::Steady | Scenario::Overload | Scenario::SlowOne | Scenario::Chain => {}
    }
}

/// Where calls go.
struct Targets {
    scenario: Scenario,
    calls: Vec<SocketAddr>,
    servers: Vec<SocketAddr>,
}

impl Targets {
    fn of(mesh: &Mesh, scenario: Scenario) -> Self {
        let calls = mesh.members.iter().map(|member| member.calls).collect();
        let servers = mesh.members.iter().map(|member| member.server.address()).collect();
        Self { scenario, calls, servers }
    }

    /// Every other call goes straight to the server beside the daemon of the one before.
    fn plan(&self, number: u64, name: &str) -> Planned {
        let pair = number / 2;
        let member = (pair % self.calls.len() as u64) as usize;
        let direct = number % 2 == 1;
        let once = (pair / self.calls.len() as u64).is_multiple_of(ONCE_EVERY);
        let plan = CallPlan {
            method: if once { Method::POST } else { Method::GET },
            host: "dvere".into(),
            path: self.path(once, direct).into(),
            key: format!("{name}-{number}").as_str().into(),
            body_bytes: if once { 400 } else { 0 },
            timeout: PATIENCE,
        };
        let doomed = member == 0 && self.scenario == Scenario::Kill;
        let lane = match (direct, doomed) {
            (true, _) => Lane::Direct,
            (false, true) => Lane::Doomed,
            (false, false) => Lane::Mesh,
        };
        let to = if direct { self.server(member) } else { self.calls[member] };
        Planned { lane, to, plan }
    }

    fn server(&self, member: usize) -> SocketAddr {
        let slow = self.scenario == Scenario::SlowOne && member == SLOW_MEMBER;
        self.servers[if slow { member + 1 } else { member }]
    }

    fn path(&self, once: bool, direct: bool) -> String {
        let path = if once { "/notices" } else { "/records" };
        match self.scenario == Scenario::Chain && !direct {
            true => format!("{path}?bytes=1000&chain={FURTHER_CALLS}"),
            false => format!("{path}?bytes=1000"),
        }
    }
}

/// The figures of both paths. Of a chain, `depth` direct calls in a row are the direct path, and
/// what is added counts for each level.
fn path_figures(tallies: &Tallies, record: &RunRecord, depth: u32, seed: u64) -> PathFigures {
    let empty = Tally::default();
    let lane = |lane| tallies.get(&lane).unwrap_or(&empty);
    let (mesh, direct, doomed) = (lane(Lane::Mesh), lane(Lane::Direct), lane(Lane::Doomed));
    let quantile = |tally: &Tally, q| tally.latency.value_at_quantile(q) as f64 / 1_000.0;
    let direct_quantiles = match depth {
        1 => (quantile(direct, 0.5), quantile(direct, 0.99)),
        _ => in_a_row(direct, depth, seed),
    };
    let mut figures = PathFigures {
        calls: mesh.calls() + doomed.calls(),
        mesh_p50_ms: quantile(mesh, 0.5),
        mesh_p99_ms: quantile(mesh, 0.99),
        direct_p50_ms: direct_quantiles.0,
        direct_p99_ms: direct_quantiles.1,
        answered: mesh.count(Told::Answered) + doomed.count(Told::Answered),
        not_run: mesh.count(Told::NotRun) + doomed.count(Told::NotRun),
        unknown: mesh.count(Told::Unknown) + doomed.count(Told::Unknown),
        failed: mesh.count(Told::Failed) + doomed.count(Told::Failed),
        doubled: mesh.doubled(record) + doomed.doubled(record),
        lost: mesh.lost(record) + doomed.lost(record),
        false_not_run: mesh.false_not_run(record) + doomed.false_not_run(record),
        cut: cut(mesh),
        ..PathFigures::default()
    };
    let levels = f64::from(depth);
    figures.added_p50_ms = (figures.mesh_p50_ms - figures.direct_p50_ms) / levels;
    figures.added_p99_ms = (figures.mesh_p99_ms - figures.direct_p99_ms) / levels;
    figures
}

/// Median and 99th percentile, in milliseconds, of `depth` calls in a row, drawn from those
/// measured.
fn in_a_row(tally: &Tally, depth: u32, seed: u64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut sums = Vec::new();
    for _ in 0..DRAWN_SUMS {
        let mut sum = 0;
        for _ in 0..depth {
            sum += tally.latency.value_at_quantile(rng.random_range(0.0..1.0));
        }
        sums.push(sum);
    }
    sums.sort_unstable();
    let at = |share: f64| sums[(DRAWN_SUMS as f64 * share) as usize] as f64 / 1_000.0;
    (at(0.5), at(0.99))
}

/// Calls that broke off under their callers.
fn cut(tally: &Tally) -> u64 {
    tally.count(Told::Cut) + tally.count(Told::NoAnswer)
}

/// Measures goodput by class at several loads.
pub(super) async fn overload(args: &Args) -> anyhow::Result<OverloadFigures> {
    let mut figures = OverloadFigures {
        scenario: "overload".into(),
        baseline: args.baseline,
        ..OverloadFigures::default()
    };
    for load in LOADS {
        let options = MeshOptions {
            daemons: OVERLOAD_DAEMONS,
            slots: OVERLOAD_SLOTS,
            spare_slots: 0,
            service_time: Duration::from_millis(OVERLOAD_WORK_MS as u64),
            mode: args.mode(),
            order: args.order(),
            seed: args.seed,
        };
        let mesh = Mesh::start(&options).await?;
        let rate = capacity() * load;
        let duration = Duration::from_secs(args.seconds);
        let calls: Vec<_> = mesh.members.iter().map(|member| member.calls).collect();
        let plan = |number: u64| Planned {
            to: calls[(number % calls.len() as u64) as usize],
            ..overload_plan(number)
        };
        let tallies = load::run(rate, duration, args.seed, plan).await;
        add_load(&mut figures, load, duration, &tallies, &mesh.record);
    }
    Ok(figures)
}

/// Calls per second that the backend servers can carry, by their slots and the mix of work.
fn capacity() -> f64 {
    let work_ms = 0.8 * OVERLOAD_WORK_MS + 0.2 * OVERLOAD_BULK_MS;
    f64::from(OVERLOAD_SLOTS) * OVERLOAD_DAEMONS as f64 * 1_000.0 / work_ms
}

/// Of five calls one is critical, three are ordinary and one is a long download.
fn overload_plan(number: u64) -> Planned {
    let (lane, method, path) = match (number / OVERLOAD_DAEMONS as u64) % 5 {
        0 => (Lane::Critical, Method::POST, "/notices".to_owned()),
        1 => (Lane::Bulk, Method::GET, format!("/packs?ms={OVERLOAD_BULK_MS}&bytes=100000")),
        _ => (Lane::Normal, Method::GET, "/records".to_owned()),
    };
    let plan = CallPlan {
        method,
        host: "dvere".into(),
        path: path.into(),
        key: format!("call-{number}").as_str().into(),
        body_bytes: 100,
        timeout: OVERLOAD_PATIENCE,
    };
    Planned { lane, to: ([127, 0, 0, 1], 0).into(), plan }
}

fn add_load(
    figures: &mut OverloadFigures,
    load: f64,
    duration: Duration,
    tallies: &Tallies,
    record: &RunRecord,
) {
    let seconds = duration.as_secs_f64();
    let mut goodput = 0.0;
    for (lane, tally) in tallies {
        let answered = tally.count(Told::Answered) as f64 / seconds;
        goodput += answered;
        figures.classes.push(ClassFigures {
            load,
            class: format!("{lane:?}").to_lowercase(),
            offered_per_second: tally.calls() as f64 / seconds,
            goodput_per_second: answered,
            p99_ms: tally.latency.value_at_quantile(0.99) as f64 / 1_000.0,
            not_run: tally.count(Told::NotRun),
            failed: tally.count(Told::Failed),
            timed_out: tally.count(Told::TimedOut) + tally.count(Told::Unknown),
        });
        figures.doubled += tally.doubled(record);
        figures.lost += tally.lost(record);
        figures.false_not_run += tally.false_not_run(record);
        figures.cut += cut(tally);
    }
    figures.goodput_per_second.push(goodput);
}
