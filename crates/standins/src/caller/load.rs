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
    pub daemons: Targets,
}

/// The daemons that callers know; may change while a load runs.
#[derive(Clone, Debug, Default)]
pub struct Targets(Arc<Mutex<Vec<SocketAddr>>>);

impl From<Vec<SocketAddr>> for Targets {
    fn from(daemons: Vec<SocketAddr>) -> Self {
        Self(Arc::new(Mutex::new(daemons)))
    }
}

impl Targets {
    /// Replaces the daemons.
    pub fn set(&self, daemons: Vec<SocketAddr>) {
        *lock(&self.0) = daemons;
    }

    /// The daemon for a call; `None` when none is known.
    fn pick(&self, call: u64) -> Option<SocketAddr> {
        let daemons = lock(&self.0);
        if daemons.is_empty() {
            return None;
        }
        Some(daemons[usize::try_from(call).unwrap_or(0) % daemons.len()])
    }
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
            let call = begun;
            begun += 1;
            let Some(daemon) = options.daemons.pick(call) else {
                continue;
            };
            calls.spawn(one_call(client.clone(), daemon, plan(call), Arc::clone(&tally)));
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
