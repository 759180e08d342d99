//! Several memberships on a network that loses, doubles, delays and cuts, under a virtual clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_membership::{
    Addresses, MemberRecord, MemberState, Membership, MembershipSettings, MeshKey, Outgoing, Rider,
    ServerRecord, ServerState,
};
use cyclamen_types::{Incarnation, Mono, Now, Wall};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The key of all nodes.
pub const KEY: MeshKey = MeshKey([7; 32]);

/// What the network does to a datagram.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub loss: f64,
    pub double: f64,
}

/// A node: a membership, when it is up.
pub struct Node {
    pub membership: Membership,
    pub up: bool,
    pub riders: Vec<Rider>,
    life: u32,
}

/// The nodes, the datagrams under way and the clock.
pub struct Net {
    pub now: Now,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    /// Pairs of failure domains that cannot reach each other.
    pub cuts: Vec<(usize, usize)>,
    /// What each life of a node sent, and when.
    pub sent: BTreeMap<(usize, u32), Vec<(Mono, usize)>>,
    lives: u32,
    domains: usize,
    under_way: BTreeMap<(Mono, u64), (usize, usize, Vec<u8>)>,
    count: u64,
    rng: SmallRng,
}

impl Net {
    /// `nodes` nodes spread over `domains` failure domains; all join by the first three.
    pub fn new(nodes: usize, domains: usize, seed: u64) -> Self {
        let now = Now { mono: Mono(1_000_000_000), wall: Wall(1_000_000) };
        let mut net = Self {
            now,
            nodes: Vec::new(),
            faults: Faults::default(),
            cuts: Vec::new(),
            sent: BTreeMap::new(),
            lives: 0,
            domains,
            under_way: BTreeMap::new(),
            count: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for index in 0..nodes {
            let membership = net.membership(index);
            net.nodes.push(Node { membership, up: true, riders: Vec::new(), life: 0 });
        }
        net
    }

    pub fn settings() -> MembershipSettings {
        MembershipSettings {
            period: Duration::from_secs(1),
            suspicion: Duration::from_secs(3),
            datagram_bytes: 1_200,
            bytes_per_second: 2_048,
            seeds: (0..3).map(address).collect(),
            key: KEY,
        }
    }

    /// A fresh membership of a node.
    pub fn membership(&self, index: usize) -> Membership {
        let domain = index % self.domains;
        let me = MemberRecord {
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
        Membership::new(me, Self::settings(), index as u64, self.now)
    }

    /// Kills a node and starts it anew.
    pub fn restart(&mut self, index: usize) {
        self.nodes[index].membership = self.membership(index);
        self.nodes[index].up = true;
        self.lives += 1;
        self.nodes[index].life = self.lives;
    }

    pub fn announce(&mut self, index: usize, state: ServerState, count: u64) {
        let record = ServerRecord {
            name: format!("server-{index}").parse().unwrap(),
            service: "dvere".parse().unwrap(),
            version: "v1".parse().unwrap(),
            labels: Default::default(),
            slots: 15,
            connections: 130,
            address: address(index),
            state,
            sequence: (self.nodes[index].membership.me().incarnation, count),
        };
        self.nodes[index].membership.put_server(self.now, record);
    }

    /// Runs for a time.
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

    /// Runs until something holds; how long that took.
    pub fn run_until(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now.mono;
        while !holds(self) {
            assert!(self.now.mono.since(start) < limit, "not reached within {limit:?}");
            self.run(Duration::from_millis(100));
        }
        self.now.mono.since(start)
    }

    /// Sends what a node wants sent.
    pub fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for datagram in out {
            let life = self.nodes[from].life;
            self.sent.entry((from, life)).or_default().push((self.now.mono, datagram.bytes.len()));
            let to = usize::from(datagram.to.port()) - 1;
            if to >= self.nodes.len() || self.is_cut(from, to) {
                continue;
            }
            if self.rng.random_bool(self.faults.loss) {
                continue;
            }
            let copies = if self.rng.random_bool(self.faults.double) { 2 } else { 1 };
            for _ in 0..copies {
                self.count += 1;
                let delay = Duration::from_micros(self.rng.random_range(500..6_000));
                let key = (self.now.mono + delay, self.count);
                self.under_way.insert(key, (from, to, datagram.bytes.clone()));
            }
        }
    }

    /// How many members node `index` thinks of as `state`.
    pub fn count(&self, index: usize, state: MemberState) -> usize {
        let members = self.nodes[index].membership.members();
        members.iter().filter(|view| view.state == state && !view.cut_off).count()
    }

    /// Whether all nodes that are up see all nodes that are up as alive, and no other.
    pub fn agreed(&self) -> bool {
        let up = self.nodes.iter().filter(|node| node.up).count();
        (0..self.nodes.len())
            .all(|index| !self.nodes[index].up || self.count(index, MemberState::Alive) == up)
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let (a, b) = (from % self.domains, to % self.domains);
        self.cuts.contains(&(a, b)) || self.cuts.contains(&(b, a))
    }

    fn next_due(&self) -> Mono {
        let mut due = self.under_way.keys().next().map_or(Mono::NEVER, |(at, _)| *at);
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
        while let Some(entry) = self.under_way.first_entry() {
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
                node.riders.extend(received.riders);
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
