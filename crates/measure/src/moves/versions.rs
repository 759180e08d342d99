//! What a call to a version of a scenario comes to.

use std::f64::consts::TAU;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::moves::scenario::{Kind, Scenario};

/// Median latency of the first route; each later one takes half as long again.
const MEDIAN_MS: f64 = 4.0;

/// Spread of latencies: the standard deviation of their logarithm.
const SPREAD: f64 = 0.4;

/// Calls of a cold backend server that are slow.
const COLD_CALLS: u32 = 8;

/// Factor on the latency of a cold backend server.
const COLD_FACTOR: f64 = 12.0;

/// Factor on the latency of a slow backend server.
const SLOW_SERVER_FACTOR: f64 = 3.0;

/// Factor on all latencies in times of trouble.
const TROUBLE_FACTOR: f64 = 3.0;

/// A call on its way.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// When, from the start of the move.
    pub at: Duration,
    /// Whether the new version runs it.
    pub new: bool,
    /// The route.
    pub route: usize,
    /// The backend server.
    pub server: usize,
    /// Calls that the server had before.
    pub served: u32,
    /// Share of calls that the new version has.
    pub share: f64,
}

/// What it came to.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// Whether the backend server failed it.
    pub failed: bool,
    /// Its latency.
    pub latency: Duration,
    /// Whether the version's fault hit it.
    pub hit: bool,
}

/// Runs a call.
pub fn run(scenario: &Scenario, call: &Call, rng: &mut SmallRng) -> Ended {
    let hit = call.new && concerned(scenario, call) && rng.random_bool(scenario.fault_share);
    let trouble = in_trouble(scenario, call.at);
    let rate = if trouble { scenario.trouble_share } else { scenario.base_failures };
    let slows = scenario.kind == Kind::SlowOneRoute;
    let failed = (hit && !slows) || rng.random_bool(rate);
    let mut millis = MEDIAN_MS * 1.5_f64.powi(call.route as i32) * (SPREAD * normal(rng)).exp();
    if trouble && scenario.kind == Kind::CommonTrouble {
        millis *= TROUBLE_FACTOR;
    }
    if hit && slows {
        millis *= scenario.slow_factor;
    }
    if scenario.kind == Kind::ColdStarts && call.new && call.served < COLD_CALLS {
        millis *= COLD_FACTOR;
    }
    if slow_server(scenario, call) {
        millis *= SLOW_SERVER_FACTOR;
    }
    Ended { failed, latency: Duration::from_secs_f64(millis / 1_000.0), hit }
}

fn concerned(scenario: &Scenario, call: &Call) -> bool {
    match scenario.kind {
        Kind::FailsAll | Kind::FailsTenth => true,
        Kind::FailsOneRoute | Kind::SlowOneRoute => call.route == 0,
        Kind::FailsLater => call.at >= scenario.onset,
        Kind::FailsUnderLoad => call.share >= scenario.load_share,
        _ => false,
    }
}

fn in_trouble(scenario: &Scenario, at: Duration) -> bool {
    if !matches!(scenario.kind, Kind::Noisy | Kind::CommonTrouble) {
        return false;
    }
    scenario.troubles.iter().any(|period| period.holds(at))
}

fn slow_server(scenario: &Scenario, call: &Call) -> bool {
    let slow_side_new = !scenario.seed.is_multiple_of(3);
    scenario.kind == Kind::OneSlowServer && call.server == 0 && call.new == slow_side_new
}

fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * rng.random_range(f64::EPSILON..1.0).ln()).sqrt();
    radius * (TAU * rng.random::<f64>()).cos()
}
