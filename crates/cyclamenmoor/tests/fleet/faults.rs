//! What must hold of all daemons together, whatever fails meanwhile.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_ledger::ChangeOutcome;
use cyclamen_types::ChangeId;
use proptest::prelude::*;

use crate::changes::{base_of, pair, round_of};
use crate::fleet::{Faults, Fleet, Node, PAIRS};

const SECOND: Duration = Duration::from_secs(1);

/// Daemons, over three failure domains.
const NODES: usize = 9;
const DOMAINS: usize = 3;

/// Longest time from the end of all faults until all daemons hold the same.
const CONVERGED_WITHIN: Duration = Duration::from_secs(60);

/// One thing that happens, and how long it lasts until the next.
#[derive(Clone, Debug)]
enum Step {
    Publish { node: usize, pair: usize },
    Race { nodes: [usize; 2], pair: usize },
    LoseAnswers(u32),
    LogDown(bool),
    Trim(usize),
    Cut(usize, usize),
    CutLog(usize),
    Mend,
    Kill(usize),
    Start(usize),
    RestartAll,
    Network { loss: f64, double: f64, slowest_ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let domain = 0..DOMAINS;
    prop_oneof![
        8 => (node.clone(), 0..PAIRS.len()).prop_map(|(node, pair)| Step::Publish { node, pair }),
        3 => (node.clone(), node.clone(), 0..PAIRS.len())
            .prop_map(|(a, b, pair)| Step::Race { nodes: [a, b], pair }),
        1 => (1_u32..3).prop_map(Step::LoseAnswers),
        1 => any::<bool>().prop_map(Step::LogDown),
        1 => (0_usize..6).prop_map(Step::Trim),
        1 => (domain.clone(), domain.clone()).prop_map(|(a, b)| Step::Cut(a, b)),
        1 => domain.prop_map(Step::CutLog),
        1 => Just(Step::Mend),
        2 => node.clone().prop_map(Step::Kill),
        3 => node.prop_map(Step::Start),
        1 => Just(Step::RestartAll),
        1 => (0.0..0.3, 0.0..0.3, 1_u64..400)
            .prop_map(|(loss, double, slowest_ms)| Step::Network { loss, double, slowest_ms }),
    ]
}

/// Changes published so far, and the races among them.
#[derive(Default)]
struct Published {
    ids: Vec<ChangeId>,
    /// Outcomes that some daemon told.
    told: BTreeMap<ChangeId, ChangeOutcome>,
    races: Vec<[ChangeId; 2]>,
}

impl Published {
    fn id(&mut self) -> String {
        let id = format!("change-{}", self.ids.len());
        self.ids.push(id.parse().unwrap());
        id
    }

    /// Notes what daemons tell; none tells anything else than another one did.
    fn note(&mut self, fleet: &Fleet) {
        for instance in fleet.running() {
            for id in &self.ids {
                let Some(outcome) = instance.outcome(id) else {
                    continue;
                };
                let told = self.told.entry(id.clone()).or_insert_with(|| outcome.clone());
                assert_eq!(told, outcome, "{id}");
            }
        }
    }
}

fn take(fleet: &mut Fleet, published: &mut Published, step: &Step) {
    match step {
        Step::Publish { node, pair: name } => {
            let change = pair(&published.id(), PAIRS[*name], None);
            fleet.publish(*node, &change);
        }
        Step::Race { nodes, pair: name } => race(fleet, published, *nodes, PAIRS[*name]),
        Step::LoseAnswers(count) => fleet.log.lose_answers += count,
        Step::LogDown(down) => fleet.log.down = *down,
        Step::Trim(keep) => trim(fleet, *keep),
        Step::Cut(a, b) => fleet.cuts.push((*a, *b)),
        Step::CutLog(domain) => fleet.log_cuts.push(*domain),
        Step::Mend => {
            fleet.cuts.clear();
            fleet.log_cuts.clear();
        }
        Step::Kill(node) => fleet.kill(*node),
        Step::Start(node) => fleet.start(*node),
        Step::RestartAll => (0..NODES).for_each(|node| fleet.start(node)),
        Step::Network { loss, double, slowest_ms } => {
            fleet.faults = Faults { loss: *loss, double: *double, slowest_ms: *slowest_ms };
        }
    }
}

/// Trims a log without a snapshot only while a daemon that holds all of it lives on: what nobody
/// holds and no snapshot tells is lost.
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
        fleet.spared = Some(holder);
    }
    fleet.log.trim(keep);
}

/// Two operators edit what they both read at the same record.
fn race(fleet: &mut Fleet, published: &mut Published, nodes: [usize; 2], name: &str) {
    let config = fleet.nodes[nodes[0]].instance.as_ref().map(|i| i.config().clone());
    let Some(base) = config.and_then(|config| base_of(&config, name)) else {
        return;
    };
    if nodes[0] == nodes[1] || nodes.iter().any(|node| fleet.nodes[*node].instance.is_none()) {
        return;
    }
    let ids = nodes.map(|node| {
        let id = published.id();
        fleet.publish(node, &pair(&id, name, Some(base)));
        id.parse().unwrap()
    });
    published.races.push(ids);
}

/// What a racing operator is told.
fn won(outcome: &Option<ChangeOutcome>) -> bool {
    match outcome {
        Some(ChangeOutcome::Accepted(_)) => true,
        Some(ChangeOutcome::Refused(_, refusal)) => {
            assert!(refusal.stale_base, "{refusal:?}");
            false
        }
        None => false,
    }
}

/// Every round in force was written by a change that the fold accepted.
fn check_outcomes(fleet: &Fleet, published: &Published) {
    for instance in fleet.running() {
        for id in published.told.keys() {
            assert!(instance.outcome(id).is_some(), "{id} was acknowledged and is forgotten");
        }
        let accepted = instance.ledger().counters().accepted;
        assert!(accepted <= published.ids.len() as u64, "a change counted twice");
        for ids in &published.races {
            let outcomes = ids.clone().map(|id| instance.outcome(&id).cloned());
            let wins = outcomes.iter().filter(|outcome| won(outcome)).count();
            assert!(wins <= 1, "both of {ids:?} won");
        }
        for name in PAIRS {
            let Some(round) = round_of(instance.config(), name) else {
                continue;
            };
            let outcome = instance.outcome(&round.parse().unwrap());
            assert!(matches!(outcome, Some(ChangeOutcome::Accepted(_))), "{round}: {outcome:?}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, max_shrink_iters: 200, ..Default::default() })]

    #[test]
    fn promises_hold(
        seed in any::<u64>(),
        steps in prop::collection::vec((step(), 10_u64..4_000), 1..40),
    ) {
        let mut fleet = Fleet::new(NODES, DOMAINS, seed);
        let mut published = Published::default();
        fleet.run(SECOND * 3);
        for (step, pause_ms) in &steps {
            take(&mut fleet, &mut published, step);
            fleet.run(Duration::from_millis(*pause_ms));
            published.note(&fleet);
        }
        fleet.heal();
        fleet.run_until(CONVERGED_WITHIN, Fleet::converged);
        published.note(&fleet);
        check_outcomes(&fleet, &published);
        for span in [SECOND, SECOND * 10] {
            fleet.check_bound(span);
        }
    }
}
