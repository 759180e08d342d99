//! Six daemons under a partition, an outage of the platform that holds the log, clock skew and
//! restarts. Whatever happens, all daemons must reach the same verdict, no rollback may be undone,
//! and no share may grow before enough calls were counted.

mod common;

use std::sync::Arc;

use common::{CallNames, at_with_skew, config, daemon, even_slots, move_name};
use cyclamen_ledger::{MoveVerdict, VerdictKind};
use cyclamen_moves::{MovePhase, Moves, MovesEffect};
use proptest::prelude::*;

const DAEMONS: usize = 6;
const ROUTES: u64 = 3;
const CALLS_PER_SECOND: u64 = 4;
const RUN_SECONDS: u64 = 960;

/// Share in parts per million, and the calls of the new version required at it before the share
/// grows.
const CALLS_BEFORE_GROWTH: [(u32, u64); 4] =
    [(10_000, 8), (50_000, 16), (200_000, 40), (500_000, 100)];

/// What happens to the cluster; all times are in seconds from the start of the move.
#[derive(Clone, Debug)]
struct Scenario {
    fault_from: Option<u64>,
    partition: (u64, u64),
    outage: (u64, u64),
    restarts: Vec<(u64, usize)>,
    skews_ms: Vec<u64>,
    seed: u64,
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let interval =
        |max_length: u64| (0..500_u64, 0..max_length).prop_map(|(from, len)| (from, from + len));
    (
        prop::option::of(0..600_u64),
        interval(200),
        interval(300),
        prop::collection::vec((0..900_u64, 0..DAEMONS), 0..4),
        prop::collection::vec(0..4_000_u64, DAEMONS),
        any::<u64>(),
    )
        .prop_map(|(fault_from, partition, outage, restarts, skews_ms, seed)| Scenario {
            fault_from,
            partition,
            outage,
            restarts,
            skews_ms,
            seed,
        })
}

struct Cluster {
    scenario: Scenario,
    daemons: Vec<Moves>,
    incarnations: Vec<u64>,
    inboxes: Vec<Vec<Arc<[u8]>>>,
    log: Option<MoveVerdict>,
    pending_verdicts: Vec<MoveVerdict>,
    /// The kind of the verdict that each daemon has adopted from the log.
    adopted_kinds: Vec<Option<VerdictKind>>,
    has_rollback: Vec<bool>,
    random: u64,
}

impl Cluster {
    fn new(scenario: Scenario) -> Self {
        let mut cluster = Self {
            daemons: Vec::new(),
            incarnations: vec![1; DAEMONS],
            inboxes: vec![Vec::new(); DAEMONS],
            log: None,
            pending_verdicts: Vec::new(),
            adopted_kinds: vec![None; DAEMONS],
            has_rollback: vec![false; DAEMONS],
            random: scenario.seed | 1,
            scenario,
        };
        for index in 0..DAEMONS {
            let now = at_with_skew(0, cluster.scenario.skews_ms[index]);
            let mut daemon_moves = daemon(index as u64, 1, now);
            daemon_moves.apply_config(now, &config(None, None), &mut Vec::new());
            cluster.daemons.push(daemon_moves);
        }
        cluster
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below
    }

    fn partitioned(&self, from: usize, to: usize, second: u64) -> bool {
        let (begin, end) = self.scenario.partition;
        from.is_multiple_of(3) != to.is_multiple_of(3) && begin <= second && second < end
    }

    fn run_second(&mut self, second: u64) {
        for (at, index) in self.scenario.restarts.clone() {
            if at == second {
                self.restart(index, second);
            }
        }
        self.append_to_log(second);
        for index in 0..DAEMONS {
            self.step(index, second);
        }
    }

    fn restart(&mut self, index: usize, second: u64) {
        self.incarnations[index] += 1;
        let now = at_with_skew(second, self.scenario.skews_ms[index]);
        let mut daemon_moves = daemon(index as u64, self.incarnations[index], now);
        daemon_moves.apply_config(now, &config(None, self.log.clone()), &mut Vec::new());
        self.daemons[index] = daemon_moves;
        self.inboxes[index].clear();
        self.has_rollback[index] = false;
    }

    fn append_to_log(&mut self, second: u64) {
        let (begin, end) = self.scenario.outage;
        if begin <= second && second < end {
            return;
        }
        for verdict in std::mem::take(&mut self.pending_verdicts) {
            let outranks = self.log.as_ref().is_none_or(|held| held.kind < verdict.kind);
            if outranks {
                self.log = Some(verdict);
            }
        }
    }

    fn step(&mut self, index: usize, second: u64) {
        let now = at_with_skew(second, self.scenario.skews_ms[index]);
        let mut out = Vec::new();
        let logged_kind = self.log.as_ref().map(|verdict| verdict.kind);
        if logged_kind != self.adopted_kinds[index] {
            self.adopted_kinds[index] = logged_kind;
            self.daemons[index].apply_config(now, &config(None, self.log.clone()), &mut out);
        }
        for bytes in std::mem::take(&mut self.inboxes[index]) {
            self.daemons[index].merge_payload(now, &bytes, &mut out);
        }
        let before = self.daemons[index].status(&move_name()).expect("adopted");
        self.daemons[index].tick(now, &even_slots, &mut out);
        self.check_growth(index, before.share_ppm);
        for _ in 0..CALLS_PER_SECOND {
            self.call(index, second, &mut out);
        }
        self.deliver(index, second, out);
        let stage = self.daemons[index].phase(&move_name());
        let has_rollback = stage == Some(MovePhase::TakenBack);
        assert!(has_rollback || !self.has_rollback[index], "a rollback was undone at {index}");
        self.has_rollback[index] = has_rollback;
    }

    /// Asserts that the share grew only after the required calls, or because the daemon adopted
    /// a verdict.
    fn check_growth(&self, index: usize, before: u32) {
        let status = self.daemons[index].status(&move_name()).expect("adopted");
        let adopted_or_not_grown =
            self.adopted_kinds[index].is_some() || status.share_ppm <= before;
        let Some((_, wanted)) = CALLS_BEFORE_GROWTH.iter().find(|(share, _)| *share == before)
        else {
            return;
        };
        let calls: u64 = status.evidence.iter().map(|line| line.new_calls).sum();
        assert!(
            adopted_or_not_grown || calls >= *wanted,
            "{before} grew on {calls} calls: {status:?}"
        );
    }

    fn call(&mut self, index: usize, second: u64, out: &mut Vec<MovesEffect>) {
        let now = at_with_skew(second, self.scenario.skews_ms[index]);
        let share = self.daemons[index].splits().first().map_or(0, |split| split.share_ppm);
        let new = self.draw(1_000_000) < u64::from(share);
        let faulty = self.scenario.fault_from.is_some_and(|from| from <= second);
        let failed = new && faulty && self.draw(2) == 0;
        let names = CallNames::new(&format!("route-{}", self.draw(ROUTES)), index as u64);
        self.daemons[index].record_call(now, &names.sample(new, failed), out);
    }

    fn deliver(&mut self, index: usize, second: u64, out: Vec<MovesEffect>) {
        for effect in out {
            match effect {
                MovesEffect::SendEvidence(bytes) | MovesEffect::BroadcastRollback(bytes) => {
                    for to in 0..DAEMONS {
                        if to != index && !self.partitioned(index, to, second) {
                            self.inboxes[to].push(Arc::clone(&bytes));
                        }
                    }
                }
                MovesEffect::AppendVerdict(_, verdict) => self.pending_verdicts.push(verdict),
                MovesEffect::SplitsChanged => {}
            }
        }
    }

    fn phases(&self) -> Vec<MovePhase> {
        let phase = |daemon_moves: &Moves| daemon_moves.phase(&move_name()).expect("adopted");
        self.daemons.iter().map(phase).collect()
    }
}

fn run(scenario: Scenario) -> Cluster {
    let mut cluster = Cluster::new(scenario);
    for second in 0..RUN_SECONDS {
        cluster.run_second(second);
    }
    cluster
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn cluster_converges(scenario in scenario()) {
        let bad = scenario.fault_from.is_some();
        let cluster = run(scenario);
        let phases = cluster.phases();
        let wanted = if bad { MovePhase::TakenBack } else { MovePhase::Done };
        prop_assert!(phases.iter().all(|phase| *phase == wanted), "{phases:?}");
        let kind = cluster.log.map(|verdict| verdict.kind);
        let wanted = if bad { VerdictKind::TakenBack } else { VerdictKind::Done };
        prop_assert_eq!(kind, Some(wanted));
    }
}

#[test]
fn cluster_rolls_back_after_outage_and_partition() {
    let scenario = Scenario {
        fault_from: Some(250),
        partition: (240, 400),
        outage: (200, 500),
        restarts: vec![(300, 1), (450, 3)],
        skews_ms: vec![0, 3_000, 1_000, 0, 2_000, 500],
        seed: 7,
    };
    let cluster = run(scenario);
    assert_eq!(cluster.phases(), vec![MovePhase::TakenBack; DAEMONS]);
    assert_eq!(cluster.log.map(|verdict| verdict.kind), Some(VerdictKind::TakenBack));
}
