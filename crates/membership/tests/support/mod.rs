//! A simulated mesh: several memberships under a virtual clock, on a network that loses, duplicates
//! and delays datagrams and can be partitioned.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_membership::{
    Addresses, Broadcast, MemberRecord, MemberState, Membership, MembershipSettings, MeshKey,
    Outgoing, ServerRecord, ServerState,
};
use cyclamen_types::{Incarnation, Mono, Now, Wall};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The mesh key of all nodes.
pub const KEY: MeshKey = MeshKey([7; 32]);

/// Probabilities that the network loses or duplicates a datagram.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub loss: f64,
    pub duplication: f64,
}

/// A node of the mesh. While it is down it neither ticks nor receives datagrams.
pub struct Node {
    pub membership: Membership,
    pub up: bool,
    pub broadcasts: Vec<Broadcast>,
    /// Distinguishes the runs of a restarted node in [`Cluster::sent`].
    run_id: u32,
}

/// The nodes, the datagrams in flight and the clock.
pub struct Cluster {
    pub now: Now,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    /// Pairs of failure domains between which all datagrams are lost.
    pub partitions: Vec<(usize, usize)>,
    /// Time and size of each datagram sent, by node index and run id.
    pub sent: BTreeMap<(usize, u32), Vec<(Mono, usize)>>,
    restarts: u32,
    domains: usize,
    in_flight: BTreeMap<(Mono, u64), (usize, usize, Vec<u8>)>,
    sequence: u64,
    rng: SmallRng,
}

impl Cluster {
    /// Creates `nodes` nodes spread over `domains` failure domains; the first three are the seeds.
    pub fn new(nodes: usize, domains: usize, seed: u64) -> Self {
        let now = Now { mono: Mono(1_000_000_000), wall: Wall(1_000_000) };
        let mut cluster = Self {
            now,
            nodes: Vec::new(),
            faults: Faults::default(),
            partitions: Vec::new(),
            sent: BTreeMap::new(),
            restarts: 0,
            domains,
            in_flight: BTreeMap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for index in 0..nodes {
            let membership = cluster.membership(index);
            cluster.nodes.push(Node { membership, up: true, broadcasts: Vec::new(), run_id: 0 });
        }
        cluster
    }

    pub fn settings() -> MembershipSettings {
        MembershipSettings {
            gossip_period: Duration::from_secs(1),
            suspicion_timeout: Duration::from_secs(3),
            max_datagram_bytes: 1_200,
            bytes_per_second: 2_048,
            seeds: (0..3).map(address).collect(),
            key: KEY,
        }
    }

    /// A new membership for a node, as at its start.
    pub fn membership(&self, index: usize) -> Membership {
        let domain = index % self.domains;
        let local_member = MemberRecord {
            instance: format!("node-{index}").parse().unwrap(),
            incarnation: Incarnation(self.now.wall.0),
            domain: format!("domain-{domain}").parse().unwrap(),
            region: "region".parse().unwrap(),
            addresses: Addresses {
                calls: address(index),
                peer: address(index),
                admin: address(index),
            },
        };
        Membership::new(local_member, Self::settings(), index as u64, self.now)
    }

    /// Kills a node, so that it does not announce that it leaves, and starts it again with a new
    /// membership, whose incarnation is the virtual clock's current time.
    pub fn restart(&mut self, index: usize) {
        self.nodes[index].membership = self.membership(index);
        self.nodes[index].up = true;
        self.restarts += 1;
        self.nodes[index].run_id = self.restarts;
    }

    pub fn announce(&mut self, index: usize, state: ServerState, sequence: u64) {
        let record = ServerRecord {
            name: format!("server-{index}").parse().unwrap(),
            service: "dvere".parse().unwrap(),
            version: "v1".parse().unwrap(),
            labels: Default::default(),
            slots: 15,
            connections: 130,
            address: address(index),
            state,
            sequence: (self.nodes[index].membership.local_member().incarnation, sequence),
        };
        self.nodes[index].membership.put_server(self.now, record);
    }

    /// Advances the simulation by `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now.mono + span;
        loop {
            let due = self.next_due();
            if due > end {
                self.advance(end);
                return;
            }
            self.advance(due);
            self.deliver();
            self.tick();
        }
    }

    /// Advances the simulation in steps of 100 ms until `condition` is true, and returns the time
    /// that took. Panics when `limit` is reached.
    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now.mono;
        while !condition(self) {
            assert!(self.now.mono.since(start) < limit, "not reached within {limit:?}");
            self.run(Duration::from_millis(100));
        }
        self.now.mono.since(start)
    }

    /// Puts the datagrams of a node on the network, subject to faults and partitions.
    pub fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for datagram in out {
            let run_id = self.nodes[from].run_id;
            self.sent
                .entry((from, run_id))
                .or_default()
                .push((self.now.mono, datagram.bytes.len()));
            let to = usize::from(datagram.to.port()) - 1;
            if to >= self.nodes.len() || self.is_partitioned(from, to) {
                continue;
            }
            if self.rng.random_bool(self.faults.loss) {
                continue;
            }
            let copies = if self.rng.random_bool(self.faults.duplication) { 2 } else { 1 };
            for _ in 0..copies {
                self.sequence += 1;
                let delay = Duration::from_micros(self.rng.random_range(500..6_000));
                let key = (self.now.mono + delay, self.sequence);
                self.in_flight.insert(key, (from, to, datagram.bytes.clone()));
            }
        }
    }

    /// How many members that are not cut off node `index` sees in `state`.
    pub fn count_in_state(&self, index: usize, state: MemberState) -> usize {
        let members = self.nodes[index].membership.members();
        members.iter().filter(|view| view.state == state && !view.cut_off).count()
    }

    /// Whether every node that is up sees as many alive members as there are nodes up.
    pub fn converged(&self) -> bool {
        let up = self.nodes.iter().filter(|node| node.up).count();
        (0..self.nodes.len()).all(|index| {
            !self.nodes[index].up || self.count_in_state(index, MemberState::Alive) == up
        })
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let (a, b) = (from % self.domains, to % self.domains);
        self.partitions.contains(&(a, b)) || self.partitions.contains(&(b, a))
    }

    fn next_due(&self) -> Mono {
        let mut due = self.in_flight.keys().next().map_or(Mono::NEVER, |(at, _)| *at);
        for node in &self.nodes {
            if node.up {
                due = due.min(node.membership.next_tick());
            }
        }
        due.max(self.now.mono)
    }

    fn advance(&mut self, to: Mono) {
        self.now = self.now + to.since(self.now.mono);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now.mono {
                return;
            }
            let (from, to, bytes) = entry.remove();
            if !self.nodes[to].up {
                continue;
            }
            let mut out = Vec::new();
            let node = &mut self.nodes[to];
            let result = node.membership.on_datagram(self.now, address(from), &bytes, &mut out);
            if let Ok(received) = result {
                node.broadcasts.extend(received.broadcasts);
            }
            self.send(to, out);
        }
    }

    fn tick(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if !node.up || node.membership.next_tick() > self.now.mono {
                continue;
            }
            let mut out = Vec::new();
            node.membership.tick(self.now, &mut out);
            self.send(index, out);
        }
    }
}

/// The address of a node.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(index + 1).unwrap()))
}
