//! Several instances on a network that loses, doubles, delays, reorders and cuts, beside a log
//! that fails, under one virtual clock and from one seed.
//!
//! After each event the promises about one daemon are checked; see [`Fleet::check`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::Change;
use cyclamen_distribution::{DistributionSettings, Fetch, LogReadError, PeerRequest, PeerResponse};
use cyclamen_membership::{Addresses, MemberRecord, MembershipSettings, MeshKey};
use cyclamen_types::{ConfigVersion, Incarnation, Mono, Now, Offset, Wall};
use cyclamenmoor::{AppendError, Effect, Event, Instance, InstanceSettings, Ticket};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::changes::round_of;
use crate::log::FakeLog;

/// Names of the pairs of services that tests write.
pub const PAIRS: [&str; 3] = ["dvere", "zavady", "zpravy"];

/// How much longer an answer of a peer may take than a datagram.
const ANSWER_SLOWNESS: u64 = 4;

/// How long a request waits for a peer or a log that cannot be reached.
const NO_ANSWER: Duration = Duration::from_secs(1);

/// What the network does to datagrams.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub loss: f64,
    pub double: f64,
    pub slowest_ms: u64,
}

/// Something that happens to a node at a time.
enum Arrival {
    Datagram { from: usize, bytes: Vec<u8> },
    Event(Event),
    Read { from: Offset, until: Mono },
    Append { ticket: Ticket, payload: Arc<str> },
    Request { from: usize, life: u64, request: PeerRequest },
}

/// One daemon's place; empty while it is down.
pub struct Node {
    pub instance: Option<Instance>,
    pub highest: ConfigVersion,
    life: u64,
    sent: Vec<(Mono, usize)>,
}

/// The daemons, what is under way between them, the log and the clock.
pub struct Fleet {
    pub now: Now,
    pub nodes: Vec<Node>,
    pub log: FakeLog,
    pub faults: Faults,
    /// Pairs of failure domains that cannot reach each other.
    pub cuts: Vec<(usize, usize)>,
    /// Failure domains that cannot reach the log.
    pub log_cuts: Vec<usize>,
    /// A daemon that is neither killed nor started anew before the log has a snapshot.
    pub spared: Option<usize>,
    domains: usize,
    under_way: BTreeMap<(Mono, u64), (usize, u64, Arrival)>,
    count: u64,
    rng: SmallRng,
}

impl Fleet {
    pub fn new(nodes: usize, domains: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: Now { mono: Mono(1_000_000_000), wall: Wall(1_000_000) },
            nodes: Vec::new(),
            log: FakeLog::default(),
            faults: Faults { slowest_ms: 5, ..Faults::default() },
            cuts: Vec::new(),
            log_cuts: Vec::new(),
            spared: None,
            domains,
            under_way: BTreeMap::new(),
            count: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for _ in 0..nodes {
            let highest = ConfigVersion::NONE;
            fleet.nodes.push(Node { instance: None, highest, life: 0, sent: Vec::new() });
        }
        for index in 0..nodes {
            fleet.start(index);
        }
        fleet
    }

    /// Starts a node, killing it first if it runs.
    pub fn start(&mut self, index: usize) {
        if self.is_spared(index) {
            return;
        }
        let seed = self.rng.random();
        let instance = Instance::new(self.settings(index), seed, self.now);
        let node = &mut self.nodes[index];
        node.instance = Some(instance);
        node.highest = ConfigVersion::NONE;
        node.life += 1;
        node.sent.clear();
    }

    pub fn kill(&mut self, index: usize) {
        if !self.is_spared(index) {
            self.nodes[index].instance = None;
        }
    }

    fn is_spared(&self, index: usize) -> bool {
        self.spared == Some(index) && self.log.last_snapshot().is_none()
    }

    /// Publishes a change at a node; it must run.
    pub fn publish(&mut self, index: usize, change: &Change) {
        self.with(index, |instance, now, out| instance.publish(now, change, out));
    }

    /// Runs for a time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now.mono + span;
        loop {
            let due = self.next_due();
            if due > end {
                self.now = self.now + end.since(self.now.mono);
                return;
            }
            self.now = self.now + due.since(self.now.mono);
            self.arrive();
            self.wake();
        }
    }

    /// Runs until something holds; how long that took.
    pub fn run_until(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now.mono;
        while !holds(self) {
            assert!(self.now.mono.since(start) < limit, "not reached: {}", self.summary());
            self.run(Duration::from_millis(50));
        }
        self.now.mono.since(start)
    }

    /// Ends all faults and starts what is down.
    pub fn heal(&mut self) {
        self.faults = Faults { slowest_ms: 5, ..Faults::default() };
        self.cuts.clear();
        self.log_cuts.clear();
        self.log.down = false;
        self.log.lose_answers = 0;
        for index in 0..self.nodes.len() {
            if self.nodes[index].instance.is_none() {
                self.start(index);
            }
        }
    }

    /// The instances that run.
    pub fn running(&self) -> impl Iterator<Item = &Instance> {
        self.nodes.iter().filter_map(|node| node.instance.as_ref())
    }

    /// Whether all daemons are ready and hold all of the log, with one hash.
    pub fn converged(&self) -> bool {
        let end = self.log.next();
        let mut hashes = self.running().map(|instance| instance.ledger().hash());
        let first = hashes.next();
        let same = hashes.all(|hash| Some(hash) == first);
        same && self.running().all(|i| i.ready() && i.config().version.next_offset() == end)
    }

    /// Checks that no daemon sent more gossip than its bound within `span`.
    pub fn check_bound(&self, span: Duration) {
        let bound = self.settings(0).membership.bytes_bound(span);
        for node in &self.nodes {
            let (mut first, mut bytes) = (0, 0);
            for (at, len) in &node.sent {
                bytes += *len as u64;
                while at.since(node.sent[first].0) > span {
                    bytes -= node.sent[first].1 as u64;
                    first += 1;
                }
                assert!(bytes <= bound, "{bytes} bytes within {span:?}");
            }
        }
    }

    /// The promises about one daemon: its version never falls, its table is that of its
    /// configuration, every route's service is held, no change is held in part.
    fn check(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(instance) = &node.instance else {
            return;
        };
        let config = instance.config();
        assert!(config.version >= node.highest, "{} after {}", config.version, node.highest);
        if config.version == node.highest {
            return;
        }
        node.highest = config.version;
        assert_eq!(instance.table().version(), config.version);
        for name in instance.table().route_names() {
            let route = &config.routes[&name].body;
            assert!(config.services.contains_key(&route.service), "{name} points at nothing");
        }
        for name in PAIRS {
            round_of(config, name);
        }
    }

    /// Runs `f` on a node that is up and carries out what it wants done.
    pub fn with<R>(
        &mut self,
        index: usize,
        f: impl FnOnce(&mut Instance, Now, &mut Vec<Effect>) -> R,
    ) -> Option<R> {
        let mut effects = Vec::new();
        let instance = self.nodes[index].instance.as_mut()?;
        let result = f(instance, self.now, &mut effects);
        for effect in effects {
            self.carry_out(index, effect);
        }
        self.check(index);
        Some(result)
    }

    fn carry_out(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Send(datagram) => {
                self.nodes[index].sent.push((self.now.mono, datagram.bytes.len()));
                self.send(index, datagram.to, &datagram.bytes);
            }
            Effect::Fetch(Fetch::Log { from, wait }) => {
                let until = self.now.mono + wait;
                self.schedule(index, Duration::from_millis(1), Arrival::Read { from, until });
            }
            Effect::Fetch(Fetch::Peer { to, request }) => self.ask(index, to, request),
            Effect::Append { ticket, payload } => {
                self.schedule(index, Duration::from_millis(1), Arrival::Append { ticket, payload });
            }
            Effect::Settle { .. } | Effect::Run(_) | Effect::Expire(_) | Effect::Changed => {}
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: &[u8]) {
        let Some(to) = self.reach(from, to) else {
            return;
        };
        if self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.faults.double) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = Duration::from_millis(self.rng.random_range(0..=self.faults.slowest_ms));
            self.schedule(to, delay, Arrival::Datagram { from, bytes: bytes.to_vec() });
        }
    }

    fn ask(&mut self, from: usize, to: SocketAddr, request: PeerRequest) {
        let life = self.nodes[from].life;
        match self.reach(from, to) {
            Some(index) => {
                let arrival = Arrival::Request { from, life, request };
                self.schedule(index, Duration::from_millis(2), arrival);
            }
            None => {
                let event = Event::PeerAnswer { from: to, response: None };
                self.schedule(from, NO_ANSWER, Arrival::Event(event));
            }
        }
    }

    /// The node at an address, when it is up and not cut off.
    fn reach(&self, from: usize, to: SocketAddr) -> Option<usize> {
        let to = usize::from(to.port()).checked_sub(1)?;
        let (a, b) = (from % self.domains, to % self.domains);
        let cut = self.cuts.contains(&(a, b)) || self.cuts.contains(&(b, a));
        let up = self.nodes.get(to)?.instance.is_some();
        (up && !cut).then_some(to)
    }

    fn schedule(&mut self, index: usize, delay: Duration, arrival: Arrival) {
        self.count += 1;
        let life = self.nodes[index].life;
        self.under_way.insert((self.now.mono + delay, self.count), (index, life, arrival));
    }

    fn next_due(&self) -> Mono {
        let mut due = self.under_way.keys().next().map_or(Mono::NEVER, |(at, _)| *at);
        for instance in self.running() {
            due = due.min(instance.next_wakeup());
        }
        due.max(self.now.mono)
    }

    fn arrive(&mut self) {
        while let Some(entry) = self.under_way.first_entry() {
            if entry.key().0 > self.now.mono {
                return;
            }
            let (index, life, arrival) = entry.remove();
            let node = &self.nodes[index];
            let datagram = matches!(arrival, Arrival::Datagram { .. });
            if node.instance.is_some() && (datagram || node.life == life) {
                self.take(index, arrival);
            }
        }
    }

    fn take(&mut self, index: usize, arrival: Arrival) {
        match arrival {
            Arrival::Datagram { from, bytes } => {
                let event = Event::Datagram { from: address(from), bytes };
                self.with(index, |instance, now, out| instance.handle(now, event, out));
            }
            Arrival::Event(event) => {
                self.with(index, |instance, now, out| instance.handle(now, event, out));
            }
            Arrival::Read { from, until } => self.read(index, from, until),
            Arrival::Append { ticket, payload } => self.append(index, ticket, payload),
            Arrival::Request { from, life, request } => {
                let response = self.with(index, |instance, now, _| instance.serve(now, &request));
                self.respond(index, from, life, response);
            }
        }
    }

    /// Answers a read once there is something to answer, or its wait is over.
    fn read(&mut self, index: usize, from: Offset, until: Mono) {
        let cut = self.log_cuts.contains(&(index % self.domains));
        let idle = !self.log.down && from >= self.log.next();
        if !cut && idle && self.now.mono < until {
            self.schedule(index, Duration::from_millis(20), Arrival::Read { from, until });
            return;
        }
        let answer = if cut { Err(LogReadError::Down) } else { self.log.read(from) };
        let event = Event::LogRead(answer);
        self.with(index, |instance, now, out| instance.handle(now, event, out));
    }

    fn append(&mut self, index: usize, ticket: Ticket, payload: Arc<str>) {
        let cut = self.log_cuts.contains(&(index % self.domains));
        let offset = if cut { None } else { self.log.append(payload) };
        let result = offset.ok_or(AppendError::Unanswered);
        let event = Event::Appended { ticket, result };
        self.schedule(index, Duration::from_millis(2), Arrival::Event(event));
    }

    fn respond(&mut self, index: usize, from: usize, life: u64, response: Option<PeerResponse>) {
        if matches!(response, Some(PeerResponse::Snapshot { .. })) {
            self.with(index, |instance, _, _| instance.served());
        }
        if self.nodes[from].life != life {
            return;
        }
        let event = Event::PeerAnswer { from: address(index), response };
        let slowest = self.faults.slowest_ms * ANSWER_SLOWNESS;
        let delay = Duration::from_millis(self.rng.random_range(1..=slowest));
        self.schedule(from, delay, Arrival::Event(event));
    }

    fn wake(&mut self) {
        for index in 0..self.nodes.len() {
            let due = self.nodes[index].instance.as_ref().map(Instance::next_wakeup);
            if due.is_some_and(|due| due <= self.now.mono) {
                self.with(index, |instance, now, out| instance.handle(now, Event::Wakeup, out));
            }
        }
    }

    fn settings(&self, index: usize) -> InstanceSettings {
        let period = Duration::from_secs(1);
        let addresses =
            Addresses { calls: address(index), peer: address(index), admin: address(index) };
        InstanceSettings {
            me: MemberRecord {
                instance: format!("instance-{index}").parse().unwrap(),
                incarnation: Incarnation(self.now.wall.0),
                domain: format!("domain-{}", index % self.domains).parse().unwrap(),
                region: "region".parse().unwrap(),
                addresses,
            },
            labels: Default::default(),
            membership: MembershipSettings {
                period,
                suspicion: period * 3,
                datagram_bytes: 1_200,
                bytes_per_second: 2_048,
                seeds: (0..3).map(address).collect(),
                key: MeshKey([7; 32]),
            },
            distribution: DistributionSettings {
                source: Default::default(),
                long_poll: period * 10,
                relay_silence: period * 5,
                snapshot_transfers: 2,
                fresh_peers: 3,
                poll_log: None,
            },
            announcement_lease: period * 6,
            evidence_period: period,
            queue: 32,
            queue_wait: Duration::from_millis(200),
            adaptive_slots: true,
            retries: Default::default(),
        }
    }

    fn summary(&self) -> String {
        let mut text = format!("log {}..{};", self.log.first, self.log.next());
        for instance in self.running() {
            let (version, hash) = (instance.config().version, instance.ledger().hash());
            text += &format!(" {version}/{hash}/{}", instance.ready());
        }
        text
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(index + 1).unwrap()))
}
