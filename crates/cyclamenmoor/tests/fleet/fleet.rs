//! Simulated fleet: several instances, a log service, and a network that loses, duplicates, delays
//! and reorders datagrams and can be partitioned. Time is virtual, and all randomness comes from
//! one seed.
//!
//! After each event the invariants of the affected daemon are checked; see [`Fleet::check_node`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::Change;
use cyclamen_distribution::{DistributionSettings, Fetch, LogReadError, PeerRequest, PeerResponse};
use cyclamen_membership::{Addresses, MemberRecord, MembershipSettings, MeshKey};
use cyclamen_types::{ConfigVersion, Incarnation, Mono, Now, Offset, Wall};
use cyclamenmoor::{AppendError, AppendTicket, Effect, Event, Instance, InstanceSettings};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::changes::last_change_id;
use crate::fake_log::FakeLog;

/// Names of the pairs of services that the tests write; see [`crate::changes`].
pub const PAIR_NAMES: [&str; 3] = ["dvere", "zavady", "zpravy"];

/// Ratio of the maximum delay of a peer's response to that of a datagram.
const RESPONSE_DELAY_FACTOR: u64 = 4;

/// Time after which a request to a peer that cannot be reached fails.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Faults that the network injects into datagrams. The probabilities are independent.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkFaults {
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram is delivered twice.
    pub duplication: f64,
    /// Each copy is delayed by a random time up to this, which also reorders datagrams.
    pub max_delay_ms: u64,
}

/// What is delivered at a node at a scheduled time: a message to it, an event, or its own request
/// to the log.
enum Delivery {
    Datagram { from: usize, bytes: Vec<u8> },
    Event(Event),
    Read { from: Offset, until: Mono },
    Append { ticket: AppendTicket, payload: Arc<str> },
    Request { from: usize, generation: u64, request: PeerRequest },
}

/// One daemon, across restarts.
pub struct Node {
    /// `None` while the daemon is down.
    pub instance: Option<Instance>,
    /// Highest configuration version that the running instance has held.
    pub highest_version: ConfigVersion,
    /// Number of starts. Deliveries that were scheduled in an earlier generation are dropped,
    /// except for datagrams.
    generation: u64,
    /// When the running instance sent each datagram, and its size in bytes.
    sent_gossip: Vec<(Mono, usize)>,
}

/// The daemons, the scheduled deliveries, the log and the clock.
pub struct Fleet {
    pub now: Now,
    pub nodes: Vec<Node>,
    pub log: FakeLog,
    pub faults: NetworkFaults,
    /// Pairs of failure domains that cannot reach each other.
    pub partitions: Vec<(usize, usize)>,
    /// Failure domains that cannot reach the log.
    pub domains_without_log: Vec<usize>,
    /// A daemon that is neither killed nor restarted until the log has a snapshot, because it may
    /// hold records that have been trimmed from the log.
    pub protected: Option<usize>,
    domain_count: usize,
    /// Scheduled deliveries by due time and a unique number, each with the index of the node and
    /// its generation when it was scheduled.
    deliveries: BTreeMap<(Mono, u64), (usize, u64, Delivery)>,
    scheduled_count: u64,
    rng: SmallRng,
}

impl Fleet {
    pub fn new(node_count: usize, domain_count: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: Now { mono: Mono(1_000_000_000), wall: Wall(1_000_000) },
            nodes: Vec::new(),
            log: FakeLog::default(),
            faults: NetworkFaults { max_delay_ms: 5, ..NetworkFaults::default() },
            partitions: Vec::new(),
            domains_without_log: Vec::new(),
            protected: None,
            domain_count,
            deliveries: BTreeMap::new(),
            scheduled_count: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for _ in 0..node_count {
            let highest_version = ConfigVersion::NONE;
            fleet.nodes.push(Node {
                instance: None,
                highest_version,
                generation: 0,
                sent_gossip: Vec::new(),
            });
        }
        for index in 0..node_count {
            fleet.start(index);
        }
        fleet
    }

    /// Starts a node, or restarts it if it is running. Does nothing if the node is protected.
    pub fn start(&mut self, index: usize) {
        if self.is_protected(index) {
            return;
        }
        let seed = self.rng.random();
        let instance = Instance::new(self.settings(index), seed, self.now);
        let node = &mut self.nodes[index];
        node.instance = Some(instance);
        node.highest_version = ConfigVersion::NONE;
        node.generation += 1;
        node.sent_gossip.clear();
    }

    /// Stops a node without notice. Does nothing if the node is protected.
    pub fn kill(&mut self, index: usize) {
        if !self.is_protected(index) {
            self.nodes[index].instance = None;
        }
    }

    fn is_protected(&self, index: usize) -> bool {
        self.protected == Some(index) && self.log.last_snapshot().is_none()
    }

    /// Publishes a change at a node; does nothing if the node is down.
    pub fn publish(&mut self, index: usize, change: &Change) {
        self.with_instance(index, |instance, now, out| instance.publish(now, change, out));
    }

    /// Advances the simulation by `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now.mono + span;
        loop {
            let due = self.next_due();
            if due > end {
                self.now = self.now + end.since(self.now.mono);
                return;
            }
            self.now = self.now + due.since(self.now.mono);
            self.deliver_due();
            self.wake_due();
        }
    }

    /// Advances the simulation until `holds` returns true, and returns the virtual time that took.
    ///
    /// # Panics
    /// Panics if that takes `limit` or longer.
    pub fn run_until(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now.mono;
        while !holds(self) {
            assert!(self.now.mono.since(start) < limit, "not reached: {}", self.summary());
            self.run(Duration::from_millis(50));
        }
        self.now.mono.since(start)
    }

    /// Ends all faults and starts the nodes that are down.
    pub fn heal(&mut self) {
        self.faults = NetworkFaults { max_delay_ms: 5, ..NetworkFaults::default() };
        self.partitions.clear();
        self.domains_without_log.clear();
        self.log.down = false;
        self.log.acks_to_lose = 0;
        for index in 0..self.nodes.len() {
            if self.nodes[index].instance.is_none() {
                self.start(index);
            }
        }
    }

    /// The running instances.
    pub fn running(&self) -> impl Iterator<Item = &Instance> {
        self.nodes.iter().filter_map(|node| node.instance.as_ref())
    }

    /// Whether all running daemons are ready and have applied the whole log, with equal state
    /// hashes.
    pub fn converged(&self) -> bool {
        let end = self.log.next();
        let mut hashes = self.running().map(|instance| instance.ledger().hash());
        let first = hashes.next();
        let same = hashes.all(|hash| Some(hash) == first);
        same && self.running().all(|i| i.ready() && i.config().version.next_offset() == end)
    }

    /// Checks that no daemon sent more bytes of gossip than its bound allows within any `span`.
    pub fn check_gossip_bound(&self, span: Duration) {
        let bound = self.settings(0).membership.max_bytes_within(span);
        for node in &self.nodes {
            let (mut first, mut bytes) = (0, 0);
            for (at, len) in &node.sent_gossip {
                bytes += *len as u64;
                while at.since(node.sent_gossip[first].0) > span {
                    bytes -= node.sent_gossip[first].1 as u64;
                    first += 1;
                }
                assert!(bytes <= bound, "{bytes} bytes within {span:?}");
            }
        }
    }

    /// Checks the invariants of one daemon: its configuration version never decreases, its route
    /// table matches its configuration, the service of every route exists, and no change is applied
    /// in part.
    fn check_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let Some(instance) = &node.instance else {
            return;
        };
        let config = instance.config();
        assert!(
            config.version >= node.highest_version,
            "{} after {}",
            config.version,
            node.highest_version
        );
        if config.version == node.highest_version {
            return;
        }
        node.highest_version = config.version;
        assert_eq!(instance.table().version(), config.version);
        for name in instance.table().route_names() {
            let route = &config.routes[&name].body;
            assert!(
                config.services.contains_key(&route.service),
                "the service of route {name} does not exist"
            );
        }
        for name in PAIR_NAMES {
            last_change_id(config, name);
        }
    }

    /// Calls `f` on the instance of a node, performs the resulting effects and checks the node.
    /// Returns `None` if the node is down.
    pub fn with_instance<R>(
        &mut self,
        index: usize,
        f: impl FnOnce(&mut Instance, Now, &mut Vec<Effect>) -> R,
    ) -> Option<R> {
        let mut effects = Vec::new();
        let instance = self.nodes[index].instance.as_mut()?;
        let result = f(instance, self.now, &mut effects);
        for effect in effects {
            self.perform(index, effect);
        }
        self.check_node(index);
        Some(result)
    }

    /// Carries out an effect of a node. Effects about calls and the store play no part here.
    fn perform(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Send(datagram) => {
                self.nodes[index].sent_gossip.push((self.now.mono, datagram.bytes.len()));
                self.send(index, datagram.to, &datagram.bytes);
            }
            Effect::Fetch(Fetch::Log { from, wait }) => {
                let until = self.now.mono + wait;
                self.schedule(index, Duration::from_millis(1), Delivery::Read { from, until });
            }
            Effect::Fetch(Fetch::Peer { to, request }) => self.send_request(index, to, request),
            Effect::Append { ticket, payload } => {
                self.schedule(
                    index,
                    Duration::from_millis(1),
                    Delivery::Append { ticket, payload },
                );
            }
            Effect::WriteVerdict { .. }
            | Effect::RunQueued(_)
            | Effect::RefuseQueued(_)
            | Effect::Changed => {}
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: &[u8]) {
        let Some(to) = self.reachable_node(from, to) else {
            return;
        };
        if self.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.faults.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = Duration::from_millis(self.rng.random_range(0..=self.faults.max_delay_ms));
            self.schedule(to, delay, Delivery::Datagram { from, bytes: bytes.to_vec() });
        }
    }

    fn send_request(&mut self, from: usize, to: SocketAddr, request: PeerRequest) {
        let generation = self.nodes[from].generation;
        match self.reachable_node(from, to) {
            Some(index) => {
                let delivery = Delivery::Request { from, generation, request };
                self.schedule(index, Duration::from_millis(2), delivery);
            }
            None => {
                let event = Event::PeerResponse { from: to, response: None };
                self.schedule(from, REQUEST_TIMEOUT, Delivery::Event(event));
            }
        }
    }

    /// The node at an address, if it is up and no partition separates it from `from`.
    fn reachable_node(&self, from: usize, to: SocketAddr) -> Option<usize> {
        let to = usize::from(to.port()).checked_sub(1)?;
        let (a, b) = (from % self.domain_count, to % self.domain_count);
        let unreachable = self.partitions.contains(&(a, b)) || self.partitions.contains(&(b, a));
        let up = self.nodes.get(to)?.instance.is_some();
        (up && !unreachable).then_some(to)
    }

    fn schedule(&mut self, index: usize, delay: Duration, delivery: Delivery) {
        self.scheduled_count += 1;
        let generation = self.nodes[index].generation;
        self.deliveries
            .insert((self.now.mono + delay, self.scheduled_count), (index, generation, delivery));
    }

    fn next_due(&self) -> Mono {
        let mut due = self.deliveries.keys().next().map_or(Mono::NEVER, |(at, _)| *at);
        for instance in self.running() {
            due = due.min(instance.next_wakeup());
        }
        due.max(self.now.mono)
    }

    /// Makes all deliveries that are due.
    fn deliver_due(&mut self) {
        while let Some(entry) = self.deliveries.first_entry() {
            if entry.key().0 > self.now.mono {
                return;
            }
            let (index, generation, delivery) = entry.remove();
            let node = &self.nodes[index];
            let datagram = matches!(delivery, Delivery::Datagram { .. });
            if node.instance.is_some() && (datagram || node.generation == generation) {
                self.deliver(index, delivery);
            }
        }
    }

    fn deliver(&mut self, index: usize, delivery: Delivery) {
        match delivery {
            Delivery::Datagram { from, bytes } => {
                let event = Event::Datagram { from: address(from), bytes };
                self.with_instance(index, |instance, now, out| instance.handle(now, event, out));
            }
            Delivery::Event(event) => {
                self.with_instance(index, |instance, now, out| instance.handle(now, event, out));
            }
            Delivery::Read { from, until } => self.read(index, from, until),
            Delivery::Append { ticket, payload } => self.append(index, ticket, payload),
            Delivery::Request { from, generation, request } => {
                let response = self
                    .with_instance(index, |instance, now, _| instance.answer_peer(now, &request));
                self.respond(index, from, generation, response);
            }
        }
    }

    /// Answers a long-poll read of the log once it has records to return, fails, or times out.
    fn read(&mut self, index: usize, from: Offset, until: Mono) {
        let unreachable = self.domains_without_log.contains(&(index % self.domain_count));
        let idle = !self.log.down && from >= self.log.next();
        if !unreachable && idle && self.now.mono < until {
            self.schedule(index, Duration::from_millis(20), Delivery::Read { from, until });
            return;
        }
        let answer = if unreachable { Err(LogReadError::Down) } else { self.log.read(from) };
        let event = Event::LogRead(answer);
        self.with_instance(index, |instance, now, out| instance.handle(now, event, out));
    }

    fn append(&mut self, index: usize, ticket: AppendTicket, payload: Arc<str>) {
        let unreachable = self.domains_without_log.contains(&(index % self.domain_count));
        let offset = if unreachable { None } else { self.log.append(payload) };
        let result = offset.ok_or(AppendError::Unanswered);
        let event = Event::Appended { ticket, result };
        self.schedule(index, Duration::from_millis(2), Delivery::Event(event));
    }

    fn respond(
        &mut self,
        index: usize,
        from: usize,
        generation: u64,
        response: Option<PeerResponse>,
    ) {
        if matches!(response, Some(PeerResponse::Snapshot { .. })) {
            self.with_instance(index, |instance, _, _| instance.snapshot_transfer_ended());
        }
        if self.nodes[from].generation != generation {
            return;
        }
        let event = Event::PeerResponse { from: address(index), response };
        let max_delay_ms = self.faults.max_delay_ms * RESPONSE_DELAY_FACTOR;
        let delay = Duration::from_millis(self.rng.random_range(1..=max_delay_ms));
        self.schedule(from, delay, Delivery::Event(event));
    }

    /// Wakes the instances whose wakeup is due.
    fn wake_due(&mut self) {
        for index in 0..self.nodes.len() {
            let due = self.nodes[index].instance.as_ref().map(Instance::next_wakeup);
            if due.is_some_and(|due| due <= self.now.mono) {
                self.with_instance(index, |instance, now, out| {
                    instance.handle(now, Event::Wakeup, out);
                });
            }
        }
    }

    fn settings(&self, index: usize) -> InstanceSettings {
        let period = Duration::from_secs(1);
        let addresses =
            Addresses { calls: address(index), peer: address(index), admin: address(index) };
        InstanceSettings {
            local_member: MemberRecord {
                instance: format!("instance-{index}").parse().unwrap(),
                incarnation: Incarnation(self.now.wall.0),
                domain: format!("domain-{}", index % self.domain_count).parse().unwrap(),
                region: "region".parse().unwrap(),
                addresses,
            },
            labels: Default::default(),
            membership: MembershipSettings {
                gossip_period: period,
                suspicion_timeout: period * 3,
                max_datagram_bytes: 1_200,
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
                log_poll_interval: None,
            },
            announcement_lease: period * 6,
            awaits_history: false,
            evidence_period: period,
            default_queue_limit: 32,
            default_queue_wait: Duration::from_millis(200),
            adaptive_slots: true,
            cold_overshoot: 1.0,
            retry_limits: Default::default(),
            drain_time: Duration::from_secs(2),
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
