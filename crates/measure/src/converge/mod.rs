//! How fast a change is in force everywhere, and what that costs.
//!
//! Real daemons run as tasks of this process, on loopback, beside the stand-in of the log service.
//! Changes are appended to the log; each daemon notes when it holds them.

mod figures;
mod fleet;
mod usage;

use std::time::{Duration, Instant};

use anyhow::Context;
use argh::{FromArgValue, FromArgs};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use figures::{Figures, Window};
use fleet::Fleet;

/// Threads that run the daemons.
const THREADS: usize = 4;

/// Longest wait until all daemons know all others.
const SETTLE_LIMIT: Duration = Duration::from_secs(180);

/// Longest wait until a change is in force everywhere.
const CHANGE_LIMIT: Duration = Duration::from_secs(60);

/// Pause between two looks at the fleet.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Who reads the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, FromArgValue)]
pub enum Mode {
    /// Two daemons of each failure domain.
    Relays,
    /// Every daemon, once a second: the baseline.
    Poll,
}

/// how fast a change is in force everywhere, and what that costs
#[derive(FromArgs)]
#[argh(subcommand, name = "converge")]
pub struct Args {
    /// seed of all randomness
    #[argh(option, default = "1")]
    seed: u64,
    /// daemons
    #[argh(option, default = "25")]
    daemons: usize,
    /// failure domains
    #[argh(option, default = "3")]
    domains: usize,
    /// changes published, one after the other
    #[argh(option, default = "20")]
    changes: usize,
    /// pause between two changes, in milliseconds
    #[argh(option, default = "500")]
    change_pause_ms: u64,
    /// bytes of each change, about
    #[argh(option, default = "600")]
    change_bytes: usize,
    /// daemons killed and started anew, per second, while changes are published
    #[argh(option, default = "0.0")]
    churn: f64,
    /// kill all daemons at the end, start them anew and wait until all are ready
    #[argh(switch)]
    restart_all: bool,
    /// who reads the log: relays or poll
    #[argh(option, default = "Mode::Relays")]
    mode: Mode,
    /// seconds at rest that are measured
    #[argh(option, default = "10")]
    rest_seconds: u64,
}

/// Runs the measurement.
///
/// # Errors
/// The measurement could not be set up, or the fleet did not settle.
pub fn run(args: &Args) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()
        .context("no runtime")?;
    let figures = runtime.block_on(measure(args))?;
    figures.print()
}

async fn measure(args: &Args) -> anyhow::Result<Figures> {
    let mut rng = SmallRng::seed_from_u64(args.seed);
    let mut fleet = Fleet::start(args).await?;
    let settled = wait(SETTLE_LIMIT, || fleet.is_settled()).await.context("the fleet to settle")?;
    let before = Window::open(&fleet);
    tokio::time::sleep(Duration::from_secs(args.rest_seconds)).await;
    let rest = before.close(&fleet);
    let before = Window::open(&fleet);
    let times = publish(args, &mut fleet, &mut rng).await?;
    let busy = before.close(&fleet);
    let restart = match args.restart_all {
        true => Some(restart_all(&mut fleet).await?),
        false => None,
    };
    let figures = Figures::new(args, settled, &rest, &busy, times, restart);
    fleet.stop().await;
    Ok(figures)
}

/// Publishes the changes; the time from each append to each daemon that held it.
async fn publish(
    args: &Args,
    fleet: &mut Fleet,
    rng: &mut SmallRng,
) -> anyhow::Result<Vec<Duration>> {
    let mut times = Vec::new();
    let pause = Duration::from_millis(args.change_pause_ms);
    for _ in 0..args.changes {
        let start = Instant::now();
        let version = fleet.append(args.change_bytes).await?;
        if rng.random_bool((args.churn * pause.as_secs_f64()).clamp(0.0, 1.0)) {
            let index = rng.random_range(0..args.daemons);
            fleet.restart(index).await?;
        }
        wait(CHANGE_LIMIT, || fleet.holds(version)).await.context("a change to be in force")?;
        times.extend(fleet.times(version, start));
        let left = pause.saturating_sub(start.elapsed());
        tokio::time::sleep(left.mul_f64(rng.random_range(0.5..=1.5))).await;
    }
    anyhow::ensure!(fleet.accepted_all(), "a change was refused");
    Ok(times)
}

async fn restart_all(fleet: &mut Fleet) -> anyhow::Result<Duration> {
    fleet.restart_all().await?;
    wait(SETTLE_LIMIT, || fleet.is_ready()).await.context("all daemons to be ready again")
}

async fn wait(limit: Duration, holds: impl Fn() -> bool) -> anyhow::Result<Duration> {
    let start = Instant::now();
    while !holds() {
        anyhow::ensure!(start.elapsed() < limit, "waited for {limit:?} in vain");
        tokio::time::sleep(LOOK_EVERY).await;
    }
    Ok(start.elapsed())
}
