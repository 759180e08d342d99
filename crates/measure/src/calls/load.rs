//! Calls at random times, some over daemons and some straight to backend servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cyclamen_standins::{CallPlan, Client, Tally};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Names the tally that a call is added to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lane {
    /// Over a daemon.
    Mesh,
    /// Straight to the backend server.
    Direct,
    /// Over a daemon that is killed during the load.
    Doomed,
    /// A call that must not be lost.
    Critical,
    /// An ordinary call.
    Normal,
    /// A long download.
    Bulk,
}

/// A call and where it goes.
pub(super) struct Planned {
    pub(super) lane: Lane,
    pub(super) to: SocketAddr,
    pub(super) plan: CallPlan,
}

/// What callers were told, by lane.
pub(super) type Tallies = BTreeMap<Lane, Tally>;

/// Makes calls at exponential intervals for `duration`; `plan` gives the call of each number.
pub(super) async fn run<P>(
    calls_per_second: f64,
    duration: Duration,
    seed: u64,
    mut plan: P,
) -> Tallies
where
    P: FnMut(u64) -> Planned,
{
    let client = Client::default();
    let tallies: Arc<Mutex<Tallies>> = Arc::default();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut calls = JoinSet::new();
    let started = Instant::now();
    let mut due = started;
    let mut number = 0;
    while due < started + duration {
        tokio::time::sleep_until(due).await;
        let Planned { lane, to, plan } = plan(number);
        let (client, tallies) = (client.clone(), Arc::clone(&tallies));
        calls.spawn(async move {
            let answer = client.call(to, &plan).await;
            let mut tallies = tallies.lock().unwrap_or_else(PoisonError::into_inner);
            tallies.entry(lane).or_default().add(&plan, &answer);
        });
        while calls.try_join_next().is_some() {}
        number += 1;
        due += exponential(&mut rng, calls_per_second);
    }
    while calls.join_next().await.is_some() {}
    std::mem::take(&mut *tallies.lock().unwrap_or_else(PoisonError::into_inner))
}

fn exponential(rng: &mut SmallRng, per_second: f64) -> Duration {
    let draw: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-draw.ln() / per_second)
}
