//! Property test: applies random faults to a fleet and checks the invariants that hold across all
//! daemons, such as convergence and consistent outcomes of changes.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_ledger::ChangeOutcome;
use cyclamen_types::ChangeId;
use proptest::prelude::*;

use crate::changes::{base_offset, last_change_id, pair_change};
use crate::fleet::{Fleet, NetworkFaults, Node, PAIR_NAMES};

const SECOND: Duration = Duration::from_secs(1);

/// Number of daemons, spread over the failure domains.
const NODE_COUNT: usize = 9;
const DOMAIN_COUNT: usize = 3;

/// Maximum time from the end of all faults until all daemons hold the same state.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// One step of the test: a publication, a fault, or the end of one.
#[derive(Clone, Debug)]
enum Step {
    Publish { node: usize, pair: usize },
    ConcurrentEdit { nodes: [usize; 2], pair: usize },
    LoseAcks(u32),
    LogDown(bool),
    Trim(usize),
    Partition(usize, usize),
    CutFromLog(usize),
    EndPartitions,
    Kill(usize),
    Start(usize),
    RestartAll,
    Network { loss: f64, duplication: f64, max_delay_ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODE_COUNT;
    let domain = 0..DOMAIN_COUNT;
    prop_oneof![
        8 => (node.clone(), 0..PAIR_NAMES.len())
            .prop_map(|(node, pair)| Step::Publish { node, pair }),
        3 => (node.clone(), node.clone(), 0..PAIR_NAMES.len())
            .prop_map(|(a, b, pair)| Step::ConcurrentEdit { nodes: [a, b], pair }),
        1 => (1_u32..3).prop_map(Step::LoseAcks),
        1 => any::<bool>().prop_map(Step::LogDown),
        1 => (0_usize..6).prop_map(Step::Trim),
        1 => (domain.clone(), domain.clone()).prop_map(|(a, b)| Step::Partition(a, b)),
        1 => domain.prop_map(Step::CutFromLog),
        1 => Just(Step::EndPartitions),
        2 => node.clone().prop_map(Step::Kill),
        3 => node.prop_map(Step::Start),
        1 => Just(Step::RestartAll),
        1 => (0.0..0.3, 0.0..0.3, 1_u64..400)
            .prop_map(|(loss, duplication, max_delay_ms)| {
                Step::Network { loss, duplication, max_delay_ms }
            }),
    ]
}

/// The changes published so far.
#[derive(Default)]
struct Published {
    ids: Vec<ChangeId>,
    /// Outcomes that at least one daemon has reported.
    reported: BTreeMap<ChangeId, ChangeOutcome>,
    /// Pairs of changes that were edited from the same record.
    concurrent_edits: Vec<[ChangeId; 2]>,
}

impl Published {
    fn new_id(&mut self) -> String {
        let id = format!("change-{}", self.ids.len());
        self.ids.push(id.parse().unwrap());
        id
    }

    /// Records the outcomes that daemons report, and checks that all daemons report the same
    /// outcome for a change.
    fn record_outcomes(&mut self, fleet: &Fleet) {
        for instance in fleet.running() {
            for id in &self.ids {
                let Some(outcome) = instance.outcome(id) else {
                    continue;
                };
                let reported = self.reported.entry(id.clone()).or_insert_with(|| outcome.clone());
                assert_eq!(reported, outcome, "{id}");
            }
        }
    }
}

fn apply_step(fleet: &mut Fleet, published: &mut Published, step: &Step) {
    match step {
        Step::Publish { node, pair } => {
            let change = pair_change(&published.new_id(), PAIR_NAMES[*pair], None);
            fleet.publish(*node, &change);
        }
        Step::ConcurrentEdit { nodes, pair } => {
            edit_concurrently(fleet, published, *nodes, PAIR_NAMES[*pair]);
        }
        Step::LoseAcks(count) => fleet.log.acks_to_lose += count,
        Step::LogDown(down) => fleet.log.down = *down,
        Step::Trim(keep) => trim(fleet, *keep),
        Step::Partition(a, b) => fleet.partitions.push((*a, *b)),
        Step::CutFromLog(domain) => fleet.domains_without_log.push(*domain),
        Step::EndPartitions => {
            fleet.partitions.clear();
            fleet.domains_without_log.clear();
        }
        Step::Kill(node) => fleet.kill(*node),
        Step::Start(node) => fleet.start(*node),
        Step::RestartAll => (0..NODE_COUNT).for_each(|node| fleet.start(node)),
        Step::Network { loss, duplication, max_delay_ms } => {
            fleet.faults = NetworkFaults {
                loss: *loss,
                duplication: *duplication,
                max_delay_ms: *max_delay_ms,
            };
        }
    }
}

/// Trims the log. If it holds no snapshot, this needs a daemon that holds all records, which is
/// then protected from being killed: records that no daemon and no snapshot holds would be lost for
/// good.
fn trim(fleet: &mut Fleet, keep: usize) {
    if fleet.log.last_snapshot().is_none() {
        let end = fleet.log.next();
        let holds = |node: &Node| {
            let instance = node.instance.as_ref();
            instance.is_some_and(|i| i.ready() && i.config().version.next_offset() == end)
        };
        let Some(holder) = fleet.nodes.iter().position(holds) else {
            return;
        };
        fleet.protected = Some(holder);
    }
    fleet.log.trim(keep);
}

/// Publishes two changes to one pair from different daemons, both edited from the same record.
fn edit_concurrently(fleet: &mut Fleet, published: &mut Published, nodes: [usize; 2], name: &str) {
    let config = fleet.nodes[nodes[0]].instance.as_ref().map(|i| i.config().clone());
    let Some(base) = config.and_then(|config| base_offset(&config, name)) else {
        return;
    };
    if nodes[0] == nodes[1] || nodes.iter().any(|node| fleet.nodes[*node].instance.is_none()) {
        return;
    }
    let ids = nodes.map(|node| {
        let id = published.new_id();
        fleet.publish(node, &pair_change(&id, name, Some(base)));
        id.parse().unwrap()
    });
    published.concurrent_edits.push(ids);
}

/// Whether one of two concurrent edits was accepted. A refusal must be due to a stale base.
fn is_accepted(outcome: &Option<ChangeOutcome>) -> bool {
    match outcome {
        Some(ChangeOutcome::Accepted(_)) => true,
        Some(ChangeOutcome::Refused(_, refusal)) => {
            assert!(refusal.stale_base, "{refusal:?}");
            false
        }
        None => false,
    }
}

/// Checks that no reported outcome is lost, that no change is accepted twice, that at most one of
/// two concurrent edits is accepted, and that every pair was last written by an accepted change.
fn check_outcomes(fleet: &Fleet, published: &Published) {
    for instance in fleet.running() {
        for id in published.reported.keys() {
            assert!(
                instance.outcome(id).is_some(),
                "{id} had an outcome, which this daemon does not know"
            );
        }
        let accepted = instance.ledger().counters().accepted;
        assert!(accepted <= published.ids.len() as u64, "a change was accepted twice");
        for ids in &published.concurrent_edits {
            let outcomes = ids.clone().map(|id| instance.outcome(&id).cloned());
            let accepted_count = outcomes.iter().filter(|outcome| is_accepted(outcome)).count();
            assert!(accepted_count <= 1, "both of {ids:?} were accepted");
        }
        for name in PAIR_NAMES {
            let Some(change_id) = last_change_id(instance.config(), name) else {
                continue;
            };
            let outcome = instance.outcome(&change_id.parse().unwrap());
            assert!(
                matches!(outcome, Some(ChangeOutcome::Accepted(_))),
                "{change_id}: {outcome:?}"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, max_shrink_iters: 200, ..Default::default() })]

    #[test]
    fn invariants_hold_under_random_faults(
        seed in any::<u64>(),
        steps in prop::collection::vec((step(), 10_u64..4_000), 1..40),
    ) {
        let mut fleet = Fleet::new(NODE_COUNT, DOMAIN_COUNT, seed);
        let mut published = Published::default();
        fleet.run(SECOND * 3);
        for (step, pause_ms) in &steps {
            apply_step(&mut fleet, &mut published, step);
            fleet.run(Duration::from_millis(*pause_ms));
            published.record_outcomes(&fleet);
        }
        fleet.heal();
        fleet.run_until(CONVERGENCE_TIMEOUT, Fleet::converged);
        published.record_outcomes(&fleet);
        check_outcomes(&fleet, &published);
        for span in [SECOND, SECOND * 10] {
            fleet.check_gossip_bound(span);
        }
    }
}
