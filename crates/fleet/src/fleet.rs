//! The fleet.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::{Labels, parse_change};
use cyclamen_distribution::{
    DistributionSettings, Fetch, LogBatch, LogReadError, PeerRequest, PeerResponse,
};
use cyclamen_membership::{Addresses, MemberRecord, MembershipSettings, MeshKey};
use cyclamen_standins::LogOptions;
use cyclamen_types::{
    ChangeId, FailureDomain, FastMap, Incarnation, InstanceName, Mono, NameError, Now, RegionName,
    TeamName, Wall,
};
use cyclamenmoor::{
    Announcement, AppendError, AppendTicket, Effect, Effects, Event, Instance, InstanceSettings,
    StopTimes,
};
use derive_more::{Display, From, Into};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use thiserror::Error;

use crate::log::FakeLog;
use crate::network::Network;
use crate::schedule::Schedule;

/// The key of the fleet's mesh.
const FLEET_KEY: MeshKey = MeshKey([9; 32]);

/// Where the virtual wall clock starts, in Unix milliseconds.
const FIRST_WALL: Wall = Wall(1_800_000_000_000);

/// Instances of one failure domain whose addresses a new daemon gets as peers.
const SEEDS_PER_DOMAIN: usize = 2;

/// Time between two renewals of an announcement.
const RENEWAL: Duration = Duration::from_secs(2);

/// How long a read or append of a log that is down takes to fail.
const DOWN_DELAY: Duration = Duration::from_millis(200);

/// An instance of the fleet; it keeps its index over restarts.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeIndex(pub usize);

/// Why the fleet was not built or told something.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A name is none.
    #[error(transparent)]
    Name(#[from] NameError),
    /// Declarations have faults.
    #[error("the declarations have faults: {0}")]
    Faults(String),
}

/// Options of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Failure domains; instances are dealt to them in turn.
    pub domains: Vec<String>,
    /// Bound on gossip sent by a daemon, in bytes per second.
    pub gossip_bytes_per_second: u32,
    /// One gossip round and one probe per period.
    pub gossip_period: Duration,
    /// Limits of the log.
    pub log: LogOptions,
    /// Seed of everything.
    pub seed: u64,
}

#[derive(Debug)]
struct Node {
    name: InstanceName,
    domain: FailureDomain,
    address: SocketAddr,
    announced: Option<Announcement>,
    /// How far this instance's wall clock is ahead.
    skew: Duration,
    life: u64,
    instance: Option<Instance>,
    wakeup: Mono,
}

#[derive(Debug)]
enum Happening {
    Wakeup(NodeIndex, Mono),
    Datagram { to: SocketAddr, from: SocketAddr, bytes: Vec<u8> },
    LogRead { node: NodeIndex, life: u64, answer: Result<LogBatch, LogReadError> },
    PollEnds(u64),
    PeerRequest { to: SocketAddr, node: NodeIndex, life: u64, request: PeerRequest },
    PeerResponse { node: NodeIndex, life: u64, from: SocketAddr, response: Option<PeerResponse> },
    Appended { node: NodeIndex, life: u64, ticket: AppendTicket, result: Result<u64, AppendError> },
    Append { node: NodeIndex, life: u64, ticket: AppendTicket, payload: Arc<str> },
    Renew(NodeIndex, u64),
}

#[derive(Debug)]
struct Poll {
    node: NodeIndex,
    life: u64,
    from: cyclamen_types::Offset,
}

/// Many instances in one thread.
#[derive(Debug)]
pub struct Fleet {
    /// The network between them; may be changed at any time.
    pub network: Network,
    /// The log; may be changed at any time.
    pub log: FakeLog,
    options: FleetOptions,
    now: Mono,
    nodes: Vec<Node>,
    by_address: FastMap<SocketAddr, NodeIndex>,
    schedule: Schedule<Happening>,
    polls: FastMap<u64, Poll>,
    polls_begun: u64,
    rng: StdRng,
    effects: Effects,
    changes: u64,
}

impl Fleet {
    /// A fleet without instances.
    pub fn new(options: FleetOptions) -> Self {
        Self {
            network: Network::default(),
            log: FakeLog::new(options.log),
            now: Mono(0),
            nodes: Vec::new(),
            by_address: FastMap::default(),
            schedule: Schedule::default(),
            polls: FastMap::default(),
            polls_begun: 0,
            rng: StdRng::seed_from_u64(options.seed),
            effects: Effects::new(),
            changes: 0,
            options,
        }
    }

    /// Adds an instance and starts its daemon.
    ///
    /// # Errors
    /// The name of its failure domain is none.
    pub fn add(&mut self) -> Result<NodeIndex, FleetError> {
        let index = NodeIndex(self.nodes.len());
        let domain = &self.options.domains[index.0 % self.options.domains.len()];
        let node = Node {
            name: InstanceName::try_from(format!("i{}", index.0))?,
            domain: FailureDomain::try_from(domain.as_str())?,
            address: address(index),
            announced: None,
            skew: Duration::ZERO,
            life: 0,
            instance: None,
            wakeup: Mono::NEVER,
        };
        self.by_address.insert(node.address, index);
        self.nodes.push(node);
        self.start(index)?;
        Ok(index)
    }

    /// Starts the daemon of an instance that has none.
    ///
    /// # Errors
    /// A name is none.
    pub fn start(&mut self, index: NodeIndex) -> Result<(), FleetError> {
        let seeds = self.seeds(index);
        let seed = self.rng.random();
        let now = self.now_at(index);
        let settings = self.settings(index, seeds, now)?;
        let node = &mut self.nodes[index.0];
        node.life += 1;
        node.instance = Some(Instance::new(settings, seed, now));
        node.wakeup = Mono::NEVER;
        self.rearm(index);
        if self.nodes[index.0].announced.is_some() {
            self.renew(index);
        }
        Ok(())
    }

    /// Ends the daemon of an instance at once.
    pub fn kill(&mut self, index: NodeIndex) {
        self.nodes[index.0].instance = None;
        self.nodes[index.0].life += 1;
    }

    /// Stops the daemon of an instance gracefully; its last words are sent.
    pub fn stop(&mut self, index: NodeIndex) {
        let at_once = StopTimes { callers_leave_by: Mono(0), calls_end: Mono(0) };
        self.tell(index, Event::Stop(at_once));
        self.kill(index);
    }

    /// Sets how far the wall clock of an instance is ahead.
    pub fn skew(&mut self, index: NodeIndex, ahead: Duration) {
        self.nodes[index.0].skew = ahead;
    }

    /// Announces a backend server beside an instance, and renews it from then on.
    pub fn announce(&mut self, index: NodeIndex, announcement: Announcement) {
        self.nodes[index.0].announced = Some(announcement);
        self.renew(index);
    }

    /// Publishes declarations at an instance.
    ///
    /// # Errors
    /// The text has faults.
    pub fn publish(&mut self, index: NodeIndex, yaml: &str) -> Result<ChangeId, FleetError> {
        self.changes += 1;
        let id = ChangeId::try_from(format!("change-{}", self.changes))?;
        let team = TeamName::try_from("fleet")?;
        let now = self.now_at(index);
        let change = parse_change(yaml, id.clone(), team, now.wall)
            .map_err(|faults| FleetError::Faults(faults.to_string()))?;
        self.with(index, |instance, now, out| instance.publish(now, &change, out));
        Ok(id)
    }

    /// Runs for a span of virtual time.
    pub fn run_for(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some((at, happening)) = self.schedule.pop(until) {
            self.now = self.now.max(at);
            self.happen(happening);
        }
        self.now = until;
    }

    /// Virtual time since the start.
    pub fn now(&self) -> Mono {
        self.now
    }

    /// The instances' indices.
    pub fn indices(&self) -> impl Iterator<Item = NodeIndex> + use<> {
        (0..self.nodes.len()).map(NodeIndex)
    }

    /// The daemon of an instance, while it runs.
    pub fn instance(&self, index: NodeIndex) -> Option<&Instance> {
        self.nodes[index.0].instance.as_ref()
    }

    /// The failure domain of an instance.
    pub fn domain(&self, index: NodeIndex) -> &FailureDomain {
        &self.nodes[index.0].domain
    }

    /// Runs `f` on the daemon of an instance and carries out what it wants done.
    pub fn with<R>(
        &mut self,
        index: NodeIndex,
        f: impl FnOnce(&mut Instance, Now, &mut Effects) -> R,
    ) -> Option<R> {
        let now = self.now_at(index);
        let mut effects = std::mem::take(&mut self.effects);
        let instance = self.nodes[index.0].instance.as_mut()?;
        let result = f(instance, now, &mut effects);
        for effect in effects.drain(..) {
            self.carry_out(index, effect);
        }
        self.effects = effects;
        self.rearm(index);
        Some(result)
    }

    fn tell(&mut self, index: NodeIndex, event: Event) {
        self.with(index, |instance, now, out| instance.handle(now, event, out));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Wakeup(index, due) => self.wake(index, due),
            Happening::Datagram { to, from, bytes } => {
                if let Some(index) = self.by_address.get(&to).copied() {
                    self.tell(index, Event::Datagram { from, bytes });
                }
            }
            Happening::LogRead { node, life, answer } => {
                self.tell_life(node, life, Event::LogRead(answer));
            }
            Happening::PollEnds(poll) => self.end_poll(poll),
            Happening::PeerRequest { to, node, life, request } => {
                self.serve(to, node, life, &request);
            }
            Happening::PeerResponse { node, life, from, response } => {
                self.tell_life(node, life, Event::PeerResponse { from, response });
            }
            Happening::Append { node, life, ticket, payload } => {
                self.append(node, life, ticket, payload);
            }
            Happening::Appended { node, life, ticket, result } => {
                let result = result.map(cyclamen_types::Offset);
                self.tell_life(node, life, Event::Appended { ticket, result });
            }
            Happening::Renew(index, life) if self.nodes[index.0].life == life => self.renew(index),
            Happening::Renew(..) => {}
        }
    }

    fn wake(&mut self, index: NodeIndex, due: Mono) {
        if self.nodes[index.0].wakeup != due {
            return;
        }
        self.nodes[index.0].wakeup = Mono::NEVER;
        self.tell(index, Event::Wakeup);
    }

    /// Tells the daemon that asked, unless it was restarted meanwhile.
    fn tell_life(&mut self, index: NodeIndex, life: u64, event: Event) {
        if self.nodes[index.0].life == life {
            self.tell(index, event);
        }
    }

    fn rearm(&mut self, index: NodeIndex) {
        let node = &mut self.nodes[index.0];
        let Some(instance) = &node.instance else {
            return;
        };
        let due = instance.next_wakeup().max(self.now);
        if due == Mono::NEVER || due >= node.wakeup {
            return;
        }
        node.wakeup = due;
        self.schedule.push(due, Happening::Wakeup(index, due));
    }

    fn carry_out(&mut self, index: NodeIndex, effect: Effect) {
        match effect {
            Effect::Send(datagram) => self.send(index, datagram.to, &datagram.bytes),
            Effect::Fetch(Fetch::Log { from, wait }) => self.read_log(index, from, wait),
            Effect::Fetch(Fetch::Peer { to, request }) => self.ask(index, to, request),
            Effect::Append { ticket, payload } => {
                let life = self.nodes[index.0].life;
                let at = self.now + self.network.delay(&mut self.rng);
                self.schedule.push(at, Happening::Append { node: index, life, ticket, payload });
            }
            Effect::WriteVerdict { .. }
            | Effect::RunQueued(_)
            | Effect::RefuseQueued(_)
            | Effect::Changed => {}
        }
    }

    fn send(&mut self, index: NodeIndex, to: SocketAddr, bytes: &[u8]) {
        let Some(target) = self.by_address.get(&to) else {
            return;
        };
        let from = &self.nodes[index.0];
        if !self.network.connects(&from.domain, &self.nodes[target.0].domain) {
            return;
        }
        let from = from.address;
        for _ in 0..self.network.copies(&mut self.rng) {
            let at = self.now + self.network.delay(&mut self.rng);
            self.schedule.push(at, Happening::Datagram { to, from, bytes: bytes.to_vec() });
        }
    }

    fn read_log(&mut self, index: NodeIndex, from: cyclamen_types::Offset, wait: Duration) {
        let life = self.nodes[index.0].life;
        if !self.network.reaches_log(&self.nodes[index.0].domain) {
            let answer = Err(LogReadError::Down);
            let at = self.now + DOWN_DELAY;
            self.schedule.push(at, Happening::LogRead { node: index, life, answer });
            return;
        }
        if let Some(answer) = self.log.read(from) {
            return self.answer_read(index, life, answer);
        }
        self.polls_begun += 1;
        self.polls.insert(self.polls_begun, Poll { node: index, life, from });
        self.schedule.push(self.now + wait, Happening::PollEnds(self.polls_begun));
    }

    fn answer_read(&mut self, node: NodeIndex, life: u64, answer: Result<LogBatch, LogReadError>) {
        let way = if answer.is_ok() { Duration::ZERO } else { DOWN_DELAY };
        let at = self.now + self.log.delay + way + self.network.delay(&mut self.rng);
        self.schedule.push(at, Happening::LogRead { node, life, answer });
    }

    fn end_poll(&mut self, poll: u64) {
        if let Some(Poll { node, life, from }) = self.polls.remove(&poll) {
            let answer = self.log.batch(from);
            self.answer_read(node, life, answer);
        }
    }

    fn append(&mut self, node: NodeIndex, life: u64, ticket: AppendTicket, payload: Arc<str>) {
        let reached = self.network.reaches_log(&self.nodes[node.0].domain);
        let result = match reached {
            true => self.log.append(self.now, payload).map(|offset| offset.0),
            false => Err(AppendError::Unanswered),
        };
        let at = self.now + self.log.delay + self.network.delay(&mut self.rng);
        self.schedule.push(at, Happening::Appended { node, life, ticket, result });
        let mut waiting: Vec<u64> = Vec::new();
        for (number, poll) in &self.polls {
            if poll.from < self.log.store.next() {
                waiting.push(*number);
            }
        }
        waiting.sort_unstable();
        for poll in waiting {
            self.end_poll(poll);
        }
    }

    fn ask(&mut self, index: NodeIndex, to: SocketAddr, request: PeerRequest) {
        let life = self.nodes[index.0].life;
        let reached = self.by_address.get(&to).is_some_and(|target| {
            self.network.connects(&self.nodes[index.0].domain, &self.nodes[target.0].domain)
        });
        let at = self.now + self.network.delay(&mut self.rng);
        let happening = match reached {
            true => Happening::PeerRequest { to, node: index, life, request },
            false => Happening::PeerResponse { node: index, life, from: to, response: None },
        };
        self.schedule.push(at, happening);
    }

    fn serve(&mut self, to: SocketAddr, node: NodeIndex, life: u64, request: &PeerRequest) {
        let Some(target) = self.by_address.get(&to).copied() else {
            return;
        };
        let response = self.with(target, |instance, now, _| instance.answer_peer(now, request));
        if matches!(response, Some(PeerResponse::Snapshot { .. })) {
            self.with(target, |instance, _, _| instance.snapshot_transfer_ended());
        }
        let at = self.now + self.network.delay(&mut self.rng);
        self.schedule.push(at, Happening::PeerResponse { node, life, from: to, response });
    }

    fn renew(&mut self, index: NodeIndex) {
        let Some(announcement) = self.nodes[index.0].announced.clone() else {
            return;
        };
        let announced = self.with(index, |instance, now, out| {
            instance.announce_server(now, &announcement, out).is_ok()
        });
        if announced.is_some() {
            let life = self.nodes[index.0].life;
            self.schedule.push(self.now + RENEWAL, Happening::Renew(index, life));
        }
    }

    fn now_at(&self, index: NodeIndex) -> Now {
        let since = self.now.since(Mono(0)) + self.nodes[index.0].skew;
        Now { mono: self.now, wall: FIRST_WALL + since }
    }

    fn seeds(&self, index: NodeIndex) -> Vec<SocketAddr> {
        let per_domain = self.options.domains.len() * SEEDS_PER_DOMAIN;
        let others = self.indices().take(per_domain).filter(|other| *other != index);
        others.map(address).collect()
    }

    fn settings(
        &self,
        index: NodeIndex,
        seeds: Vec<SocketAddr>,
        now: Now,
    ) -> Result<InstanceSettings, FleetError> {
        let node = &self.nodes[index.0];
        let at = node.address;
        let period = self.options.gossip_period;
        Ok(InstanceSettings {
            local_member: MemberRecord {
                instance: node.name.clone(),
                incarnation: Incarnation(now.wall.0),
                domain: node.domain.clone(),
                region: RegionName::try_from("region")?,
                addresses: Addresses { calls: at, peer: at, admin: at },
            },
            labels: Labels::default(),
            membership: MembershipSettings {
                gossip_period: period,
                suspicion_timeout: period * 3,
                max_datagram_bytes: 1_200,
                bytes_per_second: self.options.gossip_bytes_per_second,
                seeds,
                key: FLEET_KEY,
            },
            distribution: DistributionSettings {
                source: Default::default(),
                long_poll: Duration::from_secs(10),
                relay_silence: period * 5,
                snapshot_transfers: 4,
                fresh_peers: 3,
                log_poll_interval: None,
            },
            announcement_lease: Duration::from_secs(6),
            awaits_history: false,
            evidence_period: Duration::from_secs(1),
            default_queue_limit: 32,
            default_queue_wait: Duration::from_millis(200),
            adaptive_slots: true,
            cold_overshoot: 1.0,
            retry_limits: Default::default(),
            drain_time: Duration::from_secs(2),
        })
    }
}

/// The address of an instance.
fn address(index: NodeIndex) -> SocketAddr {
    let [_, high, low, _] = (u32::try_from(index.0).unwrap_or(u32::MAX) << 8).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, high, low, 1), 7100))
}
