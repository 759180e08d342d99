//! Everything at once for minutes, with the promises checked all the time.

mod episodes;

use std::time::{Duration, Instant};

use argh::FromArgs;
use cyclamen_daemon::LimitSettings;
use cyclamen_lab::{Broken, Deployment, Lab, LabOptions, Promise, Promises, Traffic};
use cyclamen_standins::{Load, LoadOptions, LogOptions, Targets, Told};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;

use crate::process;
use crate::report;
use crate::soak::episodes::{Episode, Soak};

/// Patience for the first declarations.
const PATIENCE: Duration = Duration::from_secs(20);

/// Bytes in a mebibyte.
const MIB: f64 = 1024.0 * 1024.0;

/// everything at once for minutes, with the promises checked all the time
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct Args {
    /// minutes to run
    #[argh(option, default = "3.0")]
    minutes: f64,
    /// calls per second
    #[argh(option, default = "400.0")]
    calls: f64,
    /// the served system: spolek or quillfield
    #[argh(option, default = "String::from(\"spolek\")")]
    deployment: String,
    /// seed of all randomness
    #[argh(option, default = "1")]
    seed: u64,
}

#[derive(Serialize)]
struct Figures {
    minutes: f64,
    seed: u64,
    episodes: u64,
    calls: u64,
    answered: u64,
    not_run: u64,
    outcome_unknown: u64,
    doubled: u64,
    lost: u64,
    false_not_run: u64,
    rss_first_mb: f64,
    rss_last_mb: f64,
    cpu_seconds: f64,
    broken: Vec<Broken>,
}

/// Runs the soak.
///
/// # Errors
/// The system could not be set up, or a promise was broken.
pub fn run(args: &Args) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let figures = runtime.block_on(soak(args))?;
    print_promises(&figures);
    report::last_line(&figures)?;
    anyhow::ensure!(figures.broken.is_empty(), "{} promises broken", figures.broken.len());
    Ok(())
}

async fn soak(args: &Args) -> anyhow::Result<Figures> {
    let Some(deployment) = Deployment::named(&args.deployment) else {
        anyhow::bail!("no deployment `{}`: use spolek or quillfield", args.deployment);
    };
    let options = LabOptions {
        deployment,
        limits: LimitSettings::default(),
        log: LogOptions::default(),
        seed: args.seed,
    };
    let mut lab = Lab::start(options).await?;
    let version = lab.publish(&deployment.declarations(), PATIENCE).await?;
    anyhow::ensure!(lab.converged(version, PATIENCE).await.is_some(), "no convergence");
    anyhow::ensure!(lab.assembled(PATIENCE).await.is_some(), "daemons do not know each other");
    let duration = Duration::from_secs_f64(args.minutes * 60.0);
    let targets = Targets::from(lab.call_addresses());
    let load = start_load(args, &deployment, duration, targets.clone());
    let rss_first_mb = process::rss_bytes() as f64 / MIB;
    let rng = StdRng::seed_from_u64(args.seed);
    let mut soak = Soak { lab, load, targets, rng, promises: Promises::default(), episodes: 0 };
    let started = Instant::now();
    while started.elapsed() < duration {
        let episode = Episode::draw(&mut soak.rng);
        println!("{:>6.1} s  {episode}", started.elapsed().as_secs_f64());
        soak.run(episode).await?;
    }
    let rss_last_mb = process::rss_bytes() as f64 / MIB;
    Ok(finish(args, soak, rss_first_mb, rss_last_mb).await)
}

fn start_load(args: &Args, deployment: &Deployment, time: Duration, targets: Targets) -> Load {
    let traffic = Traffic::new(deployment, args.seed, "soak");
    let options =
        LoadOptions { calls_per_second: args.calls, duration: time * 2, daemons: targets };
    Load::start(options, move |number| traffic.call(number))
}

async fn finish(args: &Args, soak: Soak, rss_first_mb: f64, rss_last_mb: f64) -> Figures {
    let Soak { lab, load, mut promises, episodes, .. } = soak;
    let tally = load.stop().await;
    promises.check_calls(&tally, &lab.record, true);
    let figures = Figures {
        minutes: args.minutes,
        seed: args.seed,
        episodes,
        calls: tally.calls(),
        answered: tally.count(Told::Answered),
        not_run: tally.count(Told::NotRun),
        outcome_unknown: tally.count(Told::Unknown),
        doubled: tally.doubled(&lab.record),
        lost: tally.lost(&lab.record),
        false_not_run: tally.false_not_run(&lab.record),
        rss_first_mb,
        rss_last_mb,
        cpu_seconds: process::cpu_time().as_secs_f64(),
        broken: promises.broken,
    };
    lab.stop().await;
    figures
}

fn print_promises(figures: &Figures) {
    let mut rows = Vec::new();
    for promise in Promise::ALL {
        let seen: Vec<&str> = figures
            .broken
            .iter()
            .filter(|broken| broken.promise == *promise)
            .map(|broken| broken.seen.as_str())
            .collect();
        let word = if seen.is_empty() { "held".into() } else { seen.join("; ") };
        rows.push(vec![promise.to_string(), word]);
    }
    report::table(&["promise", "seen"], &rows);
}
