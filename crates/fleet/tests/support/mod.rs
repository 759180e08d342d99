//! A fleet under observation: what must hold is checked after every step.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_fleet::{Fleet, FleetOptions, NodeIndex};
use cyclamen_ledger::ChangeOutcome;
use cyclamen_standins::LogOptions;
use cyclamen_types::{ChangeId, ConfigVersion};

/// Bound on the time in which all daemons reach one state once all faults have ended.
pub const HEALED: Duration = Duration::from_secs(30);

/// Bound on the time from a publication to its being in force, without faults.
pub const IN_FORCE: Duration = Duration::from_secs(5);

/// Bound on gossip sent by a daemon, in bytes per second.
pub const BYTES_PER_SECOND: u32 = 4_096;

/// The first declarations.
pub const FIRST: &str = "declarations:
  - name: dvere
    service: { version: v1 }
  - name: dvere/v1
    version: {}
  - name: dvere/v2
    version: {}
  - name: dvere-all
    route: { match: { path_prefix: /dvere }, service: dvere }
";

pub fn options(seed: u64) -> FleetOptions {
    FleetOptions {
        domains: vec!["praha-a".into(), "praha-b".into(), "kladno".into()],
        gossip_bytes_per_second: BYTES_PER_SECOND,
        gossip_period: Duration::from_secs(1),
        log: LogOptions { retention_records: 64, appends_per_second: 300 },
        seed,
    }
}

/// A fleet whose daemons hold the first declarations.
pub fn assembled(size: usize, seed: u64) -> Watched {
    let mut watched = Watched { fleet: Fleet::new(options(seed)), seen: BTreeMap::new() };
    for _ in 0..size {
        watched.fleet.add().expect("the names are names");
    }
    watched.run(Duration::from_secs(5));
    let id = watched.fleet.publish(NodeIndex(0), FIRST).expect("no faults");
    watched.run(IN_FORCE);
    assert!(matches!(watched.outcome(NodeIndex(0), &id), Some(ChangeOutcome::Accepted(_))));
    watched
}

/// A change of one policy.
pub fn policy(name: &str, queue: u32) -> String {
    format!("declarations:\n  - name: {name}\n    policy: {{ limits: {{ queue: {queue} }} }}\n")
}

/// A fleet under observation.
pub struct Watched {
    pub fleet: Fleet,
    seen: BTreeMap<NodeIndex, ConfigVersion>,
}

impl Watched {
    /// Runs in small steps and checks after each.
    pub fn run(&mut self, span: Duration) {
        let step = Duration::from_millis(100);
        let mut left = span;
        while !left.is_zero() {
            let now = step.min(left);
            self.fleet.run_for(now);
            self.check();
            left -= now;
        }
    }

    /// Forgets what a daemon held: it was restarted.
    pub fn restarted(&mut self, index: NodeIndex) {
        self.seen.remove(&index);
    }

    /// What became of a change, as one daemon sees it.
    pub fn outcome(&self, index: NodeIndex, id: &ChangeId) -> Option<ChangeOutcome> {
        self.fleet.instance(index).and_then(|instance| instance.outcome(id).cloned())
    }

    /// Whether all daemons hold one state, which is the newest the log has.
    pub fn agrees(&self) -> bool {
        let newest = ConfigVersion(self.fleet.log.store.next().0);
        let mut hashes = Vec::new();
        for index in self.fleet.indices() {
            let Some(instance) = self.fleet.instance(index) else {
                continue;
            };
            if instance.ledger().version() != newest {
                return false;
            }
            hashes.push(instance.ledger().hash());
        }
        hashes.windows(2).all(|pair| pair[0] == pair[1])
    }

    /// The versions that the daemons hold, for messages.
    pub fn versions(&self) -> Vec<Option<ConfigVersion>> {
        let version = |index| self.fleet.instance(index).map(|i| i.ledger().version());
        self.fleet.indices().map(version).collect()
    }

    fn check(&mut self) {
        for index in self.fleet.indices() {
            let Some(instance) = self.fleet.instance(index) else {
                continue;
            };
            let version = instance.ledger().version();
            let before = self.seen.insert(index, version).unwrap_or_default();
            assert!(version >= before, "i{index} went back from {before} to {version}");
            assert_eq!(instance.table().version(), version, "i{index} applied a part only");
            for name in instance.table().route_names() {
                let route = instance.config().routes.get(&name);
                let service = route.map(|route| route.body.service.clone());
                let held = service.is_some_and(|s| instance.config().services.contains_key(&s));
                assert!(held, "i{index}: route {name} points at something not held");
            }
        }
    }
}
