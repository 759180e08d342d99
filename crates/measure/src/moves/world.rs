//! One scenario from before its start to its verdict, call by call in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use cyclamen_moves::{CallSample, MovePhase};
use cyclamen_types::{Mono, RouteName, ServerName, ServiceName, VersionName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::moves::baseline::Baseline;
use crate::moves::cores::{Cores, DOMAINS, LEAD, service_name};
use crate::moves::scenario::Scenario;
use crate::moves::versions::{self, Call, Ended};

/// Watches that may pass after the planned end, for checks that go on.
const GRACE_WATCHES: u32 = 3;

/// Time between two points of the course that a plot shows.
const POINT: Duration = Duration::from_secs(1);

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The cores of the product.
    Moves,
    /// Fixed steps and a threshold.
    Baseline,
}

/// How a scenario ended.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Whether it was taken back everywhere.
    pub taken_back: bool,
    /// Whether all traffic reached the new version by the deadline.
    pub done_in_time: bool,
    /// Calls that the fault hit, by failure domain.
    pub hit: [u64; DOMAINS],
    /// From the first call that the fault hit to the first daemon that took the move back.
    pub detected: Option<Duration>,
    /// Bytes of evidence per daemon and second while the move was open.
    pub evidence_rate: f64,
    /// The reason given at the end.
    pub reason: String,
    /// The course, if it was asked for.
    pub course: Vec<Point>,
}

/// A second of the course.
#[derive(Clone, Copy, Debug, Default)]
pub struct Point {
    /// From the start of the move, in seconds; negative before.
    pub at_s: f64,
    /// Share of calls to the new version.
    pub share: f64,
    /// Share of calls to the new version that failed or were hit.
    pub failures: f64,
}

struct Names {
    service: ServiceName,
    versions: [VersionName; 2],
    routes: Vec<RouteName>,
    servers: [Vec<ServerName>; 2],
}

struct Flight {
    daemon: usize,
    call: Call,
    ended: Ended,
    cold: bool,
}

/// One scenario under way.
pub struct World<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    cores: Cores,
    baseline: Baseline,
    names: Names,
    rng: SmallRng,
    served: [Vec<u32>; 2],
    met: Vec<bool>,
    flights: BinaryHeap<Reverse<(Mono, usize)>>,
    slots: Vec<Option<Flight>>,
    first_hit: Option<Mono>,
    outcome: Outcome,
    calls: u64,
    new_calls: u64,
    new_bad: u64,
    next_point: Mono,
    plotted: bool,
    arrived: Vec<bool>,
}

impl<'a> World<'a> {
    /// A scenario before its start.
    pub fn new(scenario: &'a Scenario, policy: Policy, plotted: bool) -> Self {
        let servers = scenario.size.servers;
        // One beside each backend server of either version.
        let daemons = servers * 2;
        Self {
            scenario,
            policy,
            cores: Cores::new(scenario, 1),
            baseline: Baseline::new(scenario),
            names: names(scenario),
            rng: SmallRng::seed_from_u64(scenario.seed),
            served: [vec![0; servers], vec![0; servers]],
            met: vec![false; daemons * servers * 2],
            flights: BinaryHeap::new(),
            slots: Vec::new(),
            first_hit: None,
            outcome: Outcome::default(),
            calls: 0,
            new_calls: 0,
            new_bad: 0,
            next_point: Mono(0),
            plotted,
            arrived: vec![false; daemons],
        }
    }

    /// Runs to the end.
    pub fn run(mut self) -> Outcome {
        let scenario = self.scenario;
        let deadline = Mono(0) + LEAD + scenario.span;
        let end = deadline + scenario.watch * (1 + GRACE_WATCHES);
        let mut at = Mono(0);
        let mut next_call = self.next_arrival(at);
        while at < end {
            let flight = self.flights.peek().map_or(Mono::NEVER, |Reverse((due, _))| *due);
            at = next_call.min(flight).min(self.cores.next()).max(at);
            if at >= self.next_point {
                self.point(at);
                if at <= deadline {
                    self.note_arrivals();
                }
                if self.ended() {
                    break;
                }
            }
            self.cores.advance(at);
            self.land(at);
            if next_call <= at {
                self.call(at);
                next_call = self.next_arrival(at);
            }
        }
        self.finish(at)
    }

    fn call(&mut self, at: Mono) {
        let daemon = self.rng.random_range(0..self.cores.len());
        let since_start = at.since(Mono(0) + LEAD);
        let started = at >= Mono(0) + LEAD;
        let share_ppm = match self.policy {
            Policy::Moves => self.cores.share_ppm(daemon),
            Policy::Baseline => self.baseline.share_ppm(started.then_some(since_start)),
        };
        let new = self.rng.random_range(0..1_000_000) < share_ppm;
        let server = self.choose_server(daemon);
        let side = usize::from(new);
        let call = Call {
            at: since_start,
            new,
            route: self.rng.random_range(0..self.scenario.size.routes),
            server,
            served: self.served[side][server],
            share: f64::from(share_ppm) / 1e6,
        };
        self.served[side][server] += 1;
        let met = (daemon * self.scenario.size.servers + server) * 2 + side;
        let cold = !std::mem::replace(&mut self.met[met], true);
        let ended = versions::run(self.scenario, &call, &mut self.rng);
        if ended.hit {
            self.outcome.hit[daemon % DOMAINS] += 1;
            self.first_hit.get_or_insert(at);
        }
        self.calls += 1;
        self.slots.push(Some(Flight { daemon, call, ended, cold }));
        self.flights.push(Reverse((at + ended.latency, self.slots.len() - 1)));
    }

    fn land(&mut self, at: Mono) {
        while let Some(Reverse((due, index))) = self.flights.peek().copied() {
            if due > at {
                return;
            }
            self.flights.pop();
            let Some(flight) = self.slots[index].take() else {
                continue;
            };
            if self.flights.is_empty() {
                self.slots.clear();
            }
            if flight.call.new {
                self.new_calls += 1;
                self.new_bad += u64::from(flight.ended.failed || flight.ended.hit);
            }
            self.report(at, &flight);
        }
    }

    fn report(&mut self, at: Mono, flight: &Flight) {
        let side = usize::from(flight.call.new);
        if self.policy == Policy::Baseline {
            if flight.call.new {
                self.baseline.record(at.since(Mono(0) + LEAD), flight.ended.failed);
            }
            return;
        }
        let sample = CallSample {
            route: &self.names.routes[flight.call.route],
            service: &self.names.service,
            version: &self.names.versions[side],
            server: &self.names.servers[side][flight.call.server],
            failed: flight.ended.failed,
            latency: flight.ended.latency,
            new_connection: flight.cold,
            warm: None,
        };
        let beside = side * self.scenario.size.servers + flight.call.server;
        self.cores.record(beside, at, &sample);
        let back = self.first_hit.is_some() && self.cores.share_ppm(flight.daemon) == 0;
        if back && self.outcome.detected.is_none() && self.taken_back(flight.daemon) {
            self.outcome.detected = self.first_hit.map(|first| at.since(first));
        }
    }

    fn choose_server(&mut self, daemon: usize) -> usize {
        let servers = self.scenario.size.servers;
        let near: Vec<usize> =
            (0..servers).filter(|server| server % DOMAINS == daemon % DOMAINS).collect();
        near[self.rng.random_range(0..near.len())]
    }

    fn next_arrival(&mut self, at: Mono) -> Mono {
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        at + Duration::from_secs_f64(-draw.ln() / self.scenario.calls_per_second)
    }

    fn taken_back(&self, daemon: usize) -> bool {
        self.cores.phase(daemon) == MovePhase::TakenBack
    }

    fn all_taken_back(&self) -> bool {
        (0..self.cores.len()).all(|daemon| self.cores.share_ppm(daemon) == 0)
            && (0..self.cores.len()).all(|daemon| self.taken_back(daemon))
    }

    /// Notes the daemons whose traffic has all reached the new version.
    fn note_arrivals(&mut self) {
        for daemon in 0..self.cores.len() {
            self.arrived[daemon] |= self.cores.share_ppm(daemon) == 1_000_000;
        }
    }

    fn ended(&self) -> bool {
        let last =
            |daemon| matches!(self.cores.phase(daemon), MovePhase::Done | MovePhase::TakenBack);
        match self.policy {
            Policy::Moves => (0..self.cores.len()).all(last),
            Policy::Baseline => self.baseline.taken_back.is_some(),
        }
    }

    fn point(&mut self, at: Mono) {
        self.next_point = at + POINT;
        if !self.plotted {
            return;
        }
        let shares: f64 = (0..self.cores.len()).map(|d| f64::from(self.cores.share_ppm(d))).sum();
        self.outcome.course.push(Point {
            at_s: at.0 as f64 / 1e6 - LEAD.as_secs_f64(),
            share: shares / self.cores.len() as f64 / 1e6,
            failures: self.new_bad as f64 / self.new_calls.max(1) as f64,
        });
        (self.new_calls, self.new_bad) = (0, 0);
    }

    fn finish(mut self, at: Mono) -> Outcome {
        self.outcome.taken_back = match self.policy {
            Policy::Moves => self.all_taken_back(),
            Policy::Baseline => self.baseline.taken_back.is_some(),
        };
        let all_arrived = match self.policy {
            Policy::Moves => self.arrived.iter().all(|arrived| *arrived),
            Policy::Baseline => true,
        };
        self.outcome.done_in_time = all_arrived && !self.outcome.taken_back;
        if let (Some(back), Some(first)) = (self.baseline.taken_back, self.first_hit) {
            self.outcome.detected = Some((Mono(0) + LEAD + back).since(first));
        }
        let bytes: u64 = self.cores.evidence_bytes.iter().sum();
        let seconds = at.since(Mono(0) + LEAD).as_secs_f64().max(1.0);
        self.outcome.evidence_rate = bytes as f64 / self.cores.len() as f64 / seconds;
        self.outcome.reason = self.cores.status(0).reason.to_string();
        self.outcome
    }
}

fn names(scenario: &Scenario) -> Names {
    let servers = |version: &str| {
        let name = |index| format!("{version}-{index}").try_into().expect("a name");
        (0..scenario.size.servers).map(name).collect()
    };
    let route = |index| format!("route-{index}").try_into().expect("a name");
    Names {
        service: service_name(scenario, 0),
        versions: ["v1".try_into().expect("a name"), "v2".try_into().expect("a name")],
        routes: (0..scenario.size.routes).map(route).collect(),
        servers: [servers("v1"), servers("v2")],
    }
}
