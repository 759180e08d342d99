//! Calls at a set rate, whether or not earlier ones have ended.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::caller::client::{CallPlan, Client};
use crate::caller::tally::Tally;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(1);

/// A load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Calls per second.
    pub calls_per_second: f64,
    /// How long calls are begun.
    pub duration: Duration,
    /// Daemons called, in turn.
    pub daemons: Vec<SocketAddr>,
}

/// A load that runs; it stops by itself.
#[derive(Debug)]
pub struct Load {
    tally: Arc<Mutex<Tally>>,
    tasks: JoinSet<()>,
}

impl Load {
    /// Starts a load; `plan` gives the call of each number, from 0.
    pub fn start<P>(options: LoadOptions, plan: P) -> Self
    where
        P: Fn(u64) -> CallPlan + Send + 'static,
    {
        let tally = Arc::new(Mutex::new(Tally::default()));
        let mut tasks = JoinSet::new();
        tasks.spawn(run(options, plan, Arc::clone(&tally)));
        Self { tally, tasks }
    }

    /// What was told so far.
    pub fn so_far(&self) -> Tally {
        lock(&self.tally).clone()
    }

    /// Waits until all calls have ended.
    pub async fn finish(mut self) -> Tally {
        while self.tasks.join_next().await.is_some() {}
        lock(&self.tally).clone()
    }

    /// Begins no more calls and cuts those under way.
    pub async fn stop(mut self) -> Tally {
        self.tasks.shutdown().await;
        lock(&self.tally).clone()
    }
}

async fn run<P>(options: LoadOptions, plan: P, tally: Arc<Mutex<Tally>>)
where
    P: Fn(u64) -> CallPlan + Send + 'static,
{
    let client = Client::default();
    let started = Instant::now();
    let mut calls = JoinSet::new();
    let mut begun = 0;
    let mut ticks = tokio::time::interval(TICK);
    while started.elapsed() < options.duration {
        ticks.tick().await;
        while due(&options, started, begun) {
            let daemon = options.daemons[daemon_of(begun, options.daemons.len())];
            calls.spawn(one_call(client.clone(), daemon, plan(begun), Arc::clone(&tally)));
            begun += 1;
        }
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
}

async fn one_call(client: Client, daemon: SocketAddr, plan: CallPlan, tally: Arc<Mutex<Tally>>) {
    let answer = client.call(daemon, &plan).await;
    lock(&tally).add(&plan, &answer);
}

fn due(options: &LoadOptions, started: Instant, begun: u64) -> bool {
    let elapsed = started.elapsed().min(options.duration).as_secs_f64();
    (begun as f64) < elapsed * options.calls_per_second
}

fn daemon_of(call: u64, daemons: usize) -> usize {
    usize::try_from(call).unwrap_or(0) % daemons
}

fn lock(tally: &Mutex<Tally>) -> MutexGuard<'_, Tally> {
    tally.lock().unwrap_or_else(PoisonError::into_inner)
}
