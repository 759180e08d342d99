//! Evidence of ten moves at once through the same daemons.

use std::time::Duration;

use cyclamen_moves::CallSample;
use cyclamen_types::{Mono, RouteName, ServerName, ServiceName, VersionName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::moves::cores::{Cores, LEAD, service_name};
use crate::moves::scenario::{Kind, Scenario};

/// Moves at once.
const MOVES: usize = 10;

/// Calls a second of each service, over all daemons.
const CALLS_PER_SECOND: f64 = 100.0;

/// Time measured, from the start of the moves.
const MEASURED: Duration = Duration::from_secs(120);

/// Bytes of evidence per second of the daemon that sends most.
pub fn evidence_rate(seed: u64) -> f64 {
    let mut scenario = Scenario::draw(seed, 0);
    scenario.kind = Kind::Plain;
    let mut cores = Cores::new(&scenario, MOVES);
    let mut rng = SmallRng::seed_from_u64(seed);
    let services: Vec<ServiceName> =
        (0..MOVES).map(|index| service_name(&scenario, index)).collect();
    let route = |index| format!("route-{index}").try_into().expect("a name");
    let routes: Vec<RouteName> = (0..scenario.size.routes).map(route).collect();
    let server: ServerName = "v2-0".try_into().expect("a name");
    let versions: [VersionName; 2] =
        ["v1".try_into().expect("a name"), "v2".try_into().expect("a name")];
    let end = Mono(0) + LEAD + MEASURED;
    let mut at = Mono(0);
    while at < end {
        let draw: f64 = rng.random_range(f64::EPSILON..1.0);
        at = at + Duration::from_secs_f64(-draw.ln() / CALLS_PER_SECOND / MOVES as f64);
        cores.advance(at);
        let daemon = rng.random_range(0..cores.len());
        let new = rng.random_range(0..1_000_000) < cores.share_ppm(daemon);
        let sample = CallSample {
            route: &routes[rng.random_range(0..routes.len())],
            service: &services[rng.random_range(0..MOVES)],
            version: &versions[usize::from(new)],
            server: &server,
            failed: rng.random_bool(scenario.base_failures),
            latency: Duration::from_millis(rng.random_range(2..9)),
            new_connection: false,
            warm: None,
        };
        cores.record(daemon, at, &sample);
    }
    let most = cores.evidence_bytes.iter().copied().max().unwrap_or(0);
    most as f64 / MEASURED.as_secs_f64()
}
