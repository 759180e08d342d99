//! Scripted moves: services at their real sizes, versions good and bad.

use std::time::Duration;

use derive_more::Display;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// What a version is like.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Fails every call.
    #[display("bad: fails all")]
    FailsAll,
    /// Fails a tenth of all calls.
    #[display("bad: fails 10%")]
    FailsTenth,
    /// Fails a fiftieth of one route's calls.
    #[display("bad: fails 2% of one route")]
    FailsOneRoute,
    /// Slows some of one route's calls, a fiftieth or more.
    #[display("bad: slow on one route")]
    SlowOneRoute,
    /// Fails from a later moment on, a tenth of all calls or more.
    #[display("bad: fails later")]
    FailsLater,
    /// Fails a fifth of all calls once it has much of the traffic.
    #[display("bad: fails under load")]
    FailsUnderLoad,
    /// Does as the old version does.
    #[display("good: plain")]
    Plain,
    /// Every backend server is slow at first.
    #[display("good: cold starts")]
    ColdStarts,
    /// Both versions fail in short bursts.
    #[display("good: noisy reference")]
    Noisy,
    /// One backend server of one version is slow.
    #[display("good: one slow server")]
    OneSlowServer,
    /// One failure domain is cut off from the others and from the log for a while.
    #[display("good: domain cut")]
    DomainCut,
    /// Both versions fail and slow down for a while.
    #[display("good: common trouble")]
    CommonTrouble,
}

/// All kinds, in the order of the table.
pub const KINDS: [Kind; 12] = [
    Kind::FailsAll,
    Kind::FailsTenth,
    Kind::FailsOneRoute,
    Kind::SlowOneRoute,
    Kind::FailsLater,
    Kind::FailsUnderLoad,
    Kind::Plain,
    Kind::ColdStarts,
    Kind::Noisy,
    Kind::OneSlowServer,
    Kind::DomainCut,
    Kind::CommonTrouble,
];

impl Kind {
    /// Whether a version of this kind has to be taken back.
    pub fn bad(self) -> bool {
        self <= Self::FailsUnderLoad
    }
}

/// A service as the users run it.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Its name.
    pub service: &'static str,
    /// Backend servers of each version.
    pub servers: usize,
    /// Slots of each.
    pub slots: u32,
    /// Its routes.
    pub routes: usize,
}

const SIZES: [Size; 6] = [
    Size { service: "dvere", servers: 6, slots: 15, routes: 6 },
    Size { service: "zavady", servers: 4, slots: 15, routes: 4 },
    Size { service: "zpravy", servers: 3, slots: 15, routes: 3 },
    Size { service: "archive", servers: 6, slots: 6, routes: 6 },
    Size { service: "bidding", servers: 4, slots: 6, routes: 4 },
    Size { service: "catalogue", servers: 3, slots: 6, routes: 3 },
];

/// A span of time, counted from the start of the move.
#[derive(Clone, Copy, Debug)]
pub struct Period {
    /// When it begins.
    pub from: Duration,
    /// When it ends.
    pub to: Duration,
}

impl Period {
    /// Whether it holds a moment.
    pub fn holds(&self, at: Duration) -> bool {
        self.from <= at && at < self.to
    }
}

/// One scripted move.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// What the new version is like.
    pub kind: Kind,
    /// Its service.
    pub size: Size,
    /// Calls a second over all daemons.
    pub calls_per_second: f64,
    /// Time from start to deadline.
    pub span: Duration,
    /// The watch.
    pub watch: Duration,
    /// Share of calls that both versions fail at the best of times.
    pub base_failures: f64,
    /// Share of the calls concerned that the fault hits.
    pub fault_share: f64,
    /// Factor on the latency of slow calls.
    pub slow_factor: f64,
    /// When the fault begins.
    pub onset: Duration,
    /// Share of traffic from which a fault under load shows.
    pub load_share: f64,
    /// Times of trouble common to both versions, or of a cut.
    pub troubles: Vec<Period>,
    /// Share of calls failed in times of trouble.
    pub trouble_share: f64,
    /// The seed of the run.
    pub seed: u64,
}

/// Calls that a move takes at least from start to deadline.
const SPAN_CALLS: f64 = 4_000.0;

/// Calls that a watch sees at least.
const WATCH_CALLS: f64 = 8_000.0;

/// Shortest time from start to deadline, in seconds.
const SHORTEST_SPAN_S: f64 = 300.0;

/// Shortest watch, in seconds.
const SHORTEST_WATCH_S: f64 = 120.0;

impl Scenario {
    /// The scenario of this number in the population of a seed; kinds take turns.
    pub fn draw(seed: u64, index: usize) -> Self {
        let seed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(index as u64);
        let mut rng = SmallRng::seed_from_u64(seed);
        let kind = KINDS[index % KINDS.len()];
        let size = SIZES[rng.random_range(0..SIZES.len())];
        let calls_per_second = log_uniform(&mut rng, 5.0, 500.0);
        let span = Duration::from_secs_f64((SPAN_CALLS / calls_per_second).max(SHORTEST_SPAN_S));
        let watch = Duration::from_secs_f64((WATCH_CALLS / calls_per_second).max(SHORTEST_WATCH_S));
        Self {
            kind,
            size,
            calls_per_second,
            span,
            watch,
            base_failures: log_uniform(&mut rng, 0.000_1, 0.005),
            fault_share: fault_share(&mut rng, kind),
            slow_factor: log_uniform(&mut rng, 4.0, 20.0),
            onset: onset(&mut rng, kind, span, watch),
            load_share: [0.15, 0.4, 0.9][rng.random_range(0..3)],
            troubles: troubles(&mut rng, kind, span, watch),
            trouble_share: rng.random_range(0.05..0.4),
            seed,
        }
    }
}

fn fault_share(rng: &mut SmallRng, kind: Kind) -> f64 {
    match kind {
        Kind::FailsAll => 1.0,
        Kind::FailsTenth => 0.1,
        Kind::FailsOneRoute => 0.02,
        Kind::SlowOneRoute => log_uniform(rng, 0.02, 1.0),
        Kind::FailsLater => log_uniform(rng, 0.1, 1.0),
        Kind::FailsUnderLoad => 0.2,
        _ => 0.0,
    }
}

fn onset(rng: &mut SmallRng, kind: Kind, span: Duration, watch: Duration) -> Duration {
    if kind != Kind::FailsLater {
        return Duration::ZERO;
    }
    let latest = span.as_secs_f64() + 0.6 * watch.as_secs_f64();
    Duration::from_secs_f64(rng.random_range(0.2 * span.as_secs_f64()..latest))
}

fn troubles(rng: &mut SmallRng, kind: Kind, span: Duration, watch: Duration) -> Vec<Period> {
    let all = (span + watch).as_secs_f64();
    let (count, shortest, longest) = match kind {
        Kind::Noisy => ((all / 60.0) as usize, 2.0, 15.0),
        Kind::DomainCut => (1, 30.0, 180.0),
        Kind::CommonTrouble => (3, 10.0, 60.0),
        _ => return Vec::new(),
    };
    let mut periods = Vec::new();
    for _ in 0..count {
        let from = rng.random_range(0.0..all);
        let to = from + rng.random_range(shortest..longest);
        periods
            .push(Period { from: Duration::from_secs_f64(from), to: Duration::from_secs_f64(to) });
    }
    periods
}

fn log_uniform(rng: &mut SmallRng, low: f64, high: f64) -> f64 {
    (rng.random_range(low.ln()..high.ln())).exp()
}
