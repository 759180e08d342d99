//! Several cores under partition, outage of the platform, clock skew and restarts.

mod common;

use std::sync::Arc;

use common::{CallNames, config, daemon, even_slots, move_name, shifted};
use cyclamen_ledger::{MoveVerdict, VerdictKind};
use cyclamen_moves::{MoveStage, Moves, MovesEffect};
use proptest::prelude::*;

const DAEMONS: usize = 6;
const ROUTES: u64 = 3;
const CALLS_PER_SECOND: u64 = 4;
const END_S: u64 = 960;

/// Calls of the new version that a share takes to be left for the next one.
const CALLS_BEFORE_GROWTH: [(u32, u64); 4] =
    [(10_000, 8), (50_000, 16), (200_000, 40), (500_000, 100)];

/// What happens to the cluster, in seconds from the start of the move.
#[derive(Clone, Debug)]
struct Script {
    fault_from: Option<u64>,
    partition: (u64, u64),
    outage: (u64, u64),
    restarts: Vec<(u64, usize)>,
    skews_ms: Vec<u64>,
    seed: u64,
}

fn script() -> impl Strategy<Value = Script> {
    let span = |longest: u64| (0..500_u64, 0..longest).prop_map(|(from, len)| (from, from + len));
    (
        prop::option::of(0..600_u64),
        span(200),
        span(300),
        prop::collection::vec((0..900_u64, 0..DAEMONS), 0..4),
        prop::collection::vec(0..4_000_u64, DAEMONS),
        any::<u64>(),
    )
        .prop_map(|(fault_from, partition, outage, restarts, skews_ms, seed)| Script {
            fault_from,
            partition,
            outage,
            restarts,
            skews_ms,
            seed,
        })
}

struct Cluster {
    script: Script,
    cores: Vec<Moves>,
    lives: Vec<u64>,
    inboxes: Vec<Vec<Arc<[u8]>>>,
    log: Option<MoveVerdict>,
    pending: Vec<MoveVerdict>,
    folded: Vec<Option<VerdictKind>>,
    back: Vec<bool>,
    random: u64,
}

impl Cluster {
    fn new(script: Script) -> Self {
        let mut cluster = Self {
            cores: Vec::new(),
            lives: vec![1; DAEMONS],
            inboxes: vec![Vec::new(); DAEMONS],
            log: None,
            pending: Vec::new(),
            folded: vec![None; DAEMONS],
            back: vec![false; DAEMONS],
            random: script.seed | 1,
            script,
        };
        for index in 0..DAEMONS {
            let now = shifted(0, cluster.script.skews_ms[index]);
            let mut core = daemon(index as u64, 1, now);
            core.adopt(now, &config(None, None), &mut Vec::new());
            cluster.cores.push(core);
        }
        cluster
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below
    }

    fn cut(&self, from: usize, to: usize, second: u64) -> bool {
        let (begin, end) = self.script.partition;
        from.is_multiple_of(3) != to.is_multiple_of(3) && begin <= second && second < end
    }

    fn second(&mut self, second: u64) {
        for (at, index) in self.script.restarts.clone() {
            if at == second {
                self.restart(index, second);
            }
        }
        self.append(second);
        for index in 0..DAEMONS {
            self.step(index, second);
        }
    }

    fn restart(&mut self, index: usize, second: u64) {
        self.lives[index] += 1;
        let now = shifted(second, self.script.skews_ms[index]);
        let mut core = daemon(index as u64, self.lives[index], now);
        core.adopt(now, &config(None, self.log.clone()), &mut Vec::new());
        self.cores[index] = core;
        self.inboxes[index].clear();
        self.back[index] = false;
    }

    fn append(&mut self, second: u64) {
        let (begin, end) = self.script.outage;
        if begin <= second && second < end {
            return;
        }
        for verdict in std::mem::take(&mut self.pending) {
            let outranks = self.log.as_ref().is_none_or(|held| held.kind < verdict.kind);
            if outranks {
                self.log = Some(verdict);
            }
        }
    }

    fn step(&mut self, index: usize, second: u64) {
        let now = shifted(second, self.script.skews_ms[index]);
        let mut out = Vec::new();
        let shown = self.log.as_ref().map(|verdict| verdict.kind);
        if shown != self.folded[index] {
            self.folded[index] = shown;
            self.cores[index].adopt(now, &config(None, self.log.clone()), &mut out);
        }
        for bytes in std::mem::take(&mut self.inboxes[index]) {
            self.cores[index].merge(now, &bytes, &mut out);
        }
        let before = self.cores[index].status(&move_name()).expect("adopted");
        self.cores[index].tick(now, &even_slots, &mut out);
        self.check_growth(index, before.share_ppm);
        for _ in 0..CALLS_PER_SECOND {
            self.call(index, second, &mut out);
        }
        self.spread(index, second, out);
        let stage = self.cores[index].stage(&move_name());
        let back = stage == Some(MoveStage::TakenBack);
        assert!(back || !self.back[index], "a conviction was undone at {index}");
        self.back[index] = back;
    }

    fn check_growth(&self, index: usize, before: u32) {
        let status = self.cores[index].status(&move_name()).expect("adopted");
        let told = self.folded[index].is_some() || status.share_ppm <= before;
        let Some((_, wanted)) = CALLS_BEFORE_GROWTH.iter().find(|(share, _)| *share == before)
        else {
            return;
        };
        let calls: u64 = status.evidence.iter().map(|line| line.new_calls).sum();
        assert!(told || calls >= *wanted, "{before} grew on {calls} calls: {status:?}");
    }

    fn call(&mut self, index: usize, second: u64, out: &mut Vec<MovesEffect>) {
        let now = shifted(second, self.script.skews_ms[index]);
        let share = self.cores[index].splits().first().map_or(0, |split| split.share_ppm);
        let new = self.draw(1_000_000) < u64::from(share);
        let faulty = self.script.fault_from.is_some_and(|from| from <= second);
        let failed = new && faulty && self.draw(2) == 0;
        let names = CallNames::new(&format!("route-{}", self.draw(ROUTES)), index as u64);
        self.cores[index].record(now, &names.sample(new, failed), out);
    }

    fn spread(&mut self, index: usize, second: u64, out: Vec<MovesEffect>) {
        for effect in out {
            match effect {
                MovesEffect::Evidence(bytes) | MovesEffect::Convict(bytes) => {
                    for to in 0..DAEMONS {
                        if to != index && !self.cut(index, to, second) {
                            self.inboxes[to].push(Arc::clone(&bytes));
                        }
                    }
                }
                MovesEffect::Append(_, verdict) => self.pending.push(verdict),
                MovesEffect::SplitsChanged => {}
            }
        }
    }

    fn stages(&self) -> Vec<MoveStage> {
        let stage = |core: &Moves| core.stage(&move_name()).expect("adopted");
        self.cores.iter().map(stage).collect()
    }
}

fn run(script: Script) -> Cluster {
    let mut cluster = Cluster::new(script);
    for second in 0..END_S {
        cluster.second(second);
    }
    cluster
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn cluster_converges(script in script()) {
        let bad = script.fault_from.is_some();
        let cluster = run(script);
        let stages = cluster.stages();
        let wanted = if bad { MoveStage::TakenBack } else { MoveStage::Done };
        prop_assert!(stages.iter().all(|stage| *stage == wanted), "{stages:?}");
        let kind = cluster.log.map(|verdict| verdict.kind);
        let wanted = if bad { VerdictKind::TakenBack } else { VerdictKind::Done };
        prop_assert_eq!(kind, Some(wanted));
    }
}

#[test]
fn cluster_bad_outage_partition() {
    let script = Script {
        fault_from: Some(250),
        partition: (240, 400),
        outage: (200, 500),
        restarts: vec![(300, 1), (450, 3)],
        skews_ms: vec![0, 3_000, 1_000, 0, 2_000, 500],
        seed: 7,
    };
    let cluster = run(script);
    assert_eq!(cluster.stages(), vec![MoveStage::TakenBack; DAEMONS]);
    assert_eq!(cluster.log.map(|verdict| verdict.kind), Some(VerdictKind::TakenBack));
}
