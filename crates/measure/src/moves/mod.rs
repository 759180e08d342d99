//! How moves of good and bad versions end.
//!
//! Real cores decide over scripted, seeded populations in virtual time; a fixed threshold is the
//! baseline.

mod baseline;
mod cores;
mod plot;
mod scenario;
mod summary;
mod ten;
mod versions;
mod world;

use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use anyhow::{Context, bail};
use argh::FromArgs;

use crate::moves::scenario::{Kind, Scenario};
use crate::moves::world::{Outcome, Policy, World};
use crate::report;

/// how moves of good and bad versions end
#[derive(FromArgs)]
#[argh(subcommand, name = "moves")]
pub struct Args {
    /// seed of all randomness
    #[argh(option, default = "1")]
    seed: u64,
    /// moves in the population
    #[argh(option, default = "1200")]
    population: usize,
    /// who decides: moves or baseline
    #[argh(option, default = "String::from(\"moves\")")]
    policy: String,
    /// threads that share the population
    #[argh(option, default = "4")]
    threads: usize,
    /// file for a plot of a good and a bad move, as SVG
    #[argh(option)]
    plot: Option<PathBuf>,
    /// replay one move of the population and print its changes
    #[argh(option)]
    replay: Option<usize>,
    /// print every move that ended otherwise than it should
    #[argh(switch)]
    misses: bool,
}

/// Runs the measurement.
///
/// # Errors
/// The policy is unknown or the plot cannot be written.
pub fn run(args: &Args) -> anyhow::Result<()> {
    let (policy, name) = match args.policy.as_str() {
        "moves" => (Policy::Moves, "moves"),
        "baseline" => (Policy::Baseline, "baseline"),
        other => bail!("the policy `{other}` is not known: give `moves` or `baseline`"),
    };
    if let Some(index) = args.replay {
        let scenario = Scenario::draw(args.seed, index);
        println!("{scenario:?}");
        let outcome = World::new(&scenario, policy, true).run();
        print_course(&outcome);
        return Ok(());
    }
    let outcomes = run_population(args, policy)?;
    if args.misses {
        print_misses(args.seed, &outcomes);
    }
    let ten_moves_rate = match policy {
        Policy::Moves => ten::evidence_rate(args.seed),
        Policy::Baseline => 0.0,
    };
    let figures = summary::summarise(name, args.seed, &outcomes, ten_moves_rate);
    if let Some(path) = &args.plot {
        let good = course(args.seed, Kind::Plain, policy);
        let bad = course(args.seed, Kind::FailsLater, policy);
        plot::draw(path, &good.course, &bad.course)?;
    }
    report::last_line(&figures)
}

fn run_population(args: &Args, policy: Policy) -> anyhow::Result<Vec<(Kind, Outcome)>> {
    let next = AtomicUsize::new(0);
    let mut outcomes = Vec::new();
    thread::scope(|scope| {
        let mut handles = Vec::new();
        for _ in 0..args.threads.max(1) {
            handles.push(scope.spawn(|| run_part(args, policy, &next)));
        }
        for handle in handles {
            let part = handle.join().ok().context("a thread of the population panicked")?;
            outcomes.extend(part);
        }
        anyhow::Ok(())
    })?;
    outcomes.sort_by_key(|(index, _, _)| *index);
    Ok(outcomes.into_iter().map(|(_, kind, outcome)| (kind, outcome)).collect())
}

fn run_part(args: &Args, policy: Policy, next: &AtomicUsize) -> Vec<(usize, Kind, Outcome)> {
    let mut outcomes = Vec::new();
    loop {
        let index = next.fetch_add(1, Ordering::Relaxed);
        if index >= args.population {
            return outcomes;
        }
        let scenario = Scenario::draw(args.seed, index);
        let outcome = World::new(&scenario, policy, false).run();
        outcomes.push((index, scenario.kind, outcome));
    }
}

fn print_misses(seed: u64, outcomes: &[(Kind, Outcome)]) {
    for (index, (kind, outcome)) in outcomes.iter().enumerate() {
        let missed = match kind.bad() {
            true => !outcome.taken_back,
            false => outcome.taken_back || !outcome.done_in_time,
        };
        if !missed {
            continue;
        }
        let scenario = Scenario::draw(seed, index);
        println!(
            "{index}: {kind}, {} servers, {:.0} calls/s, share {:.3}, hit {:?}: {}",
            scenario.size.servers,
            scenario.calls_per_second,
            scenario.fault_share,
            outcome.hit,
            outcome.reason,
        );
    }
}

fn print_course(outcome: &Outcome) {
    let mut shown = -1.0;
    for point in &outcome.course {
        if point.share != shown {
            shown = point.share;
            println!("{:8.1} s: share {:.3}, failures {:.4}", point.at_s, shown, point.failures);
        }
    }
    println!("{}", outcome.reason);
}

/// The course of the first move of a kind.
fn course(seed: u64, kind: Kind, policy: Policy) -> Outcome {
    let mut index = 0;
    loop {
        let scenario = Scenario::draw(seed, index);
        index += 1;
        if scenario.kind == kind {
            return World::new(&scenario, policy, true).run();
        }
    }
}
