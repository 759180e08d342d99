//! Several real cores of moves joined by a simple gossip and a simple log, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::{ClashRule, Move};
use cyclamen_ledger::{Config, Held, HeldMove, MoveId, MoveVerdict};
use cyclamen_moves::{CallSample, MovePhase, MoveStatus, Moves, MovesEffect, MovesSettings};
use cyclamen_types::{
    ConfigVersion, Incarnation, Mono, MoveName, Now, Offset, ServiceName, VersionName, Wall,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::moves::scenario::{Kind, Scenario};

/// Wall clock at the start of a move, in Unix milliseconds.
const START_MS: u64 = 1_800_000_000_000;

/// Virtual time before the start of a move.
pub const LEAD: Duration = Duration::from_secs(60);

/// How far the wall clocks of two daemons may differ, in milliseconds.
const SKEW_MS: u64 = 2_000;

/// Shortest and longest time that evidence takes to arrive, in microseconds.
const EVIDENCE_DELAY_US: (u64, u64) = (100_000, 1_200_000);

/// Shortest and longest time that a rollback takes to arrive, in microseconds.
const ROLLBACK_DELAY_US: (u64, u64) = (3_000, 60_000);

/// Time from an append to its fold at every daemon.
const FOLD_DELAY: Duration = Duration::from_millis(500);

/// Share of payloads of evidence that are lost.
const LOSS: f64 = 0.05;

/// Failure domains.
pub const DOMAINS: usize = 3;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Delivery {
    Payload(usize, Arc<[u8]>),
    Fold(usize),
}

/// The cores of one scenario.
pub struct Cores {
    cores: Vec<Moves>,
    skews_ms: Vec<u64>,
    shares_ppm: Vec<u32>,
    deliveries: BinaryHeap<Reverse<(Mono, u64, Delivery)>>,
    serial: u64,
    config: Config,
    names: Vec<MoveName>,
    cut: Option<(Mono, Mono)>,
    rng: SmallRng,
    out: Vec<MovesEffect>,
    /// Bytes of evidence sent, by daemon.
    pub evidence_bytes: Vec<u64>,
    slots: u32,
}

impl Cores {
    /// One core beside each backend server of the old version, then one beside each of the new.
    /// They have adopted `moves` moves of the scenario's shape, one per service.
    pub fn new(scenario: &Scenario, moves: usize) -> Self {
        let daemons = scenario.size.servers * 2;
        let mut rng = SmallRng::seed_from_u64(scenario.seed ^ 1);
        let config = config(scenario, moves);
        let names: Vec<MoveName> = config.moves.keys().cloned().collect();
        let mut this = Self {
            cores: Vec::new(),
            skews_ms: Vec::new(),
            shares_ppm: vec![0; daemons],
            deliveries: BinaryHeap::new(),
            serial: 0,
            config,
            names,
            cut: cut(scenario),
            out: Vec::new(),
            evidence_bytes: vec![0; daemons],
            slots: scenario.size.slots,
            rng: SmallRng::seed_from_u64(scenario.seed ^ 2),
        };
        for index in 0..daemons {
            this.skews_ms.push(rng.random_range(0..SKEW_MS));
            let settings = MovesSettings {
                instance: format!("i{index}").try_into().expect("a name"),
                incarnation: Incarnation(1),
                failure_domain: format!("domain-{}", index % DOMAINS).try_into().expect("a name"),
                evidence_period: Duration::from_secs(1),
            };
            this.cores.push(Moves::new(settings, this.now(index, Mono(0))));
            this.adopt(index, Mono(0));
        }
        this
    }

    /// The share of the first move at a daemon, in parts per million.
    pub fn share_ppm(&self, daemon: usize) -> u32 {
        self.shares_ppm[daemon]
    }

    /// The status of the first move at a daemon.
    pub fn status(&self, daemon: usize) -> MoveStatus {
        self.cores[daemon].status(&self.names[0]).expect("adopted")
    }

    /// Where the first move stands at a daemon.
    pub fn phase(&self, daemon: usize) -> MovePhase {
        self.cores[daemon].phase(&self.names[0]).expect("adopted")
    }

    /// Daemons.
    pub fn len(&self) -> usize {
        self.cores.len()
    }

    /// When something is due.
    pub fn next(&self) -> Mono {
        let ticks = self.cores.iter().map(Moves::next_tick).min().unwrap_or(Mono::NEVER);
        let delivery = self.deliveries.peek().map_or(Mono::NEVER, |Reverse((at, _, _))| *at);
        ticks.min(delivery)
    }

    /// Does what is due.
    pub fn advance(&mut self, at: Mono) {
        while let Some(Reverse((due, _, _))) = self.deliveries.peek() {
            if *due > at {
                break;
            }
            let Some(Reverse((_, _, delivery))) = self.deliveries.pop() else {
                break;
            };
            match delivery {
                Delivery::Payload(to, bytes) => {
                    let now = self.now(to, at);
                    self.cores[to].merge_payload(now, &bytes, &mut self.out);
                    self.settle(to, at);
                }
                Delivery::Fold(to) => self.adopt(to, at),
            }
        }
        for index in 0..self.cores.len() {
            if self.cores[index].next_tick() > at {
                continue;
            }
            let now = self.now(index, at);
            let slots = self.slots;
            let capacity = |_: &ServiceName, _: &VersionName| slots;
            self.cores[index].tick(now, &capacity, &mut self.out);
            self.settle(index, at);
        }
    }

    /// Reports a call at a daemon.
    pub fn record(&mut self, daemon: usize, at: Mono, sample: &CallSample<'_>) {
        let now = self.now(daemon, at);
        self.cores[daemon].record_call(now, sample, &mut self.out);
        if !self.out.is_empty() {
            self.settle(daemon, at);
        }
    }

    fn now(&self, daemon: usize, at: Mono) -> Now {
        let before = LEAD.as_millis() as u64;
        Now { mono: at, wall: Wall(START_MS - before + at.0 / 1_000 + self.skews_ms[daemon]) }
    }

    fn adopt(&mut self, daemon: usize, at: Mono) {
        let now = self.now(daemon, at);
        self.cores[daemon].apply_config(now, &self.config, &mut self.out);
        self.settle(daemon, at);
    }

    fn settle(&mut self, daemon: usize, at: Mono) {
        for effect in std::mem::take(&mut self.out) {
            match effect {
                MovesEffect::SendEvidence(bytes) => {
                    self.evidence_bytes[daemon] += bytes.len() as u64;
                    self.broadcast(daemon, at, &bytes, EVIDENCE_DELAY_US, LOSS);
                }
                MovesEffect::BroadcastRollback(bytes) => {
                    self.broadcast(daemon, at, &bytes, ROLLBACK_DELAY_US, 0.0);
                }
                MovesEffect::AppendVerdict(id, verdict) => self.append(daemon, at, &id, verdict),
                MovesEffect::SplitsChanged => {
                    let splits = self.cores[daemon].splits();
                    self.shares_ppm[daemon] = splits.first().map_or(0, |split| split.share_ppm);
                }
            }
        }
    }

    fn broadcast(
        &mut self,
        from: usize,
        at: Mono,
        bytes: &Arc<[u8]>,
        delay: (u64, u64),
        loss: f64,
    ) {
        for to in 0..self.cores.len() {
            if to == from || self.rng.random_bool(loss) || self.cut_between(from, to, at) {
                continue;
            }
            let due = Mono(at.0 + self.rng.random_range(delay.0..delay.1));
            self.deliver(due, Delivery::Payload(to, Arc::clone(bytes)));
        }
    }

    fn append(&mut self, from: usize, at: Mono, id: &MoveId, verdict: MoveVerdict) {
        let mut shown = at;
        if let Some((begin, end)) = self.cut
            && from.is_multiple_of(DOMAINS)
            && begin <= at
            && at < end
        {
            shown = end;
        }
        let Some(held) = self.config.moves.get_mut(&id.name) else {
            return;
        };
        let outranks = held.verdict.as_ref().is_none_or(|known| known.kind < verdict.kind);
        if !outranks {
            return;
        }
        held.verdict = Some(verdict);
        for to in 0..self.cores.len() {
            self.deliver(shown + FOLD_DELAY, Delivery::Fold(to));
        }
    }

    fn deliver(&mut self, due: Mono, delivery: Delivery) {
        self.serial += 1;
        self.deliveries.push(Reverse((due, self.serial, delivery)));
    }

    fn cut_between(&self, from: usize, to: usize, at: Mono) -> bool {
        let Some((begin, end)) = self.cut else {
            return false;
        };
        let crossing = from.is_multiple_of(DOMAINS) != to.is_multiple_of(DOMAINS);
        crossing && begin <= at && at < end
    }
}

fn cut(scenario: &Scenario) -> Option<(Mono, Mono)> {
    if scenario.kind != Kind::DomainCut {
        return None;
    }
    let period = scenario.troubles.first()?;
    Some((Mono(0) + LEAD + period.from, Mono(0) + LEAD + period.to))
}

fn config(scenario: &Scenario, moves: usize) -> Config {
    let mut held = BTreeMap::new();
    for index in 0..moves {
        let name: MoveName = format!("move-{index:02}").try_into().expect("a name");
        let declared = Move {
            name: name.clone(),
            service: service_name(scenario, index),
            from: "v1".try_into().expect("a name"),
            to: "v2".try_into().expect("a name"),
            start: Wall(START_MS),
            deadline: Wall(START_MS) + scenario.span,
            watch: scenario.watch,
            tolerance_ppm: 1_000,
            clash: ClashRule::Evidence,
        };
        let body = Held {
            offset: Offset(index as u64),
            team: "operators".try_into().expect("a name"),
            body: Arc::new(declared),
        };
        held.insert(
            name,
            HeldMove { held: body, order: None, verdict: None, earlier_offsets: Vec::new() },
        );
    }
    Config { version: ConfigVersion(1), moves: held, ..Config::default() }
}

/// The service of a move.
pub fn service_name(scenario: &Scenario, index: usize) -> ServiceName {
    format!("{}-{index:02}", scenario.size.service).try_into().expect("a name")
}
