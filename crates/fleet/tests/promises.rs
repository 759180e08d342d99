//! What must always hold for configuration, with failures brought about on purpose.

mod support;

use std::time::Duration;

use cyclamen_fleet::NodeIndex;
use cyclamen_ledger::ChangeOutcome;
use cyclamen_types::FailureDomain;
use proptest::prelude::*;

use crate::support::{BYTES_PER_SECOND, HEALED, IN_FORCE, Watched, assembled, policy};

/// Daemons of a test fleet.
const SIZE: usize = 9;

/// One thing that goes wrong, or one change.
#[derive(Clone, Debug)]
enum Step {
    Publish(usize),
    Kill(usize),
    Start(usize),
    Stop(usize),
    Loss(u32),
    Duplicates(u32),
    Crossing(u64),
    Cut(usize),
    Heal,
    LogDown(bool),
    LogSlow(u64),
    LoseAnswers(u32),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..SIZE).prop_map(Step::Publish),
        1 => (0..SIZE).prop_map(Step::Kill),
        2 => (0..SIZE).prop_map(Step::Start),
        1 => (0..SIZE).prop_map(Step::Stop),
        1 => (0..300_000_u32).prop_map(Step::Loss),
        1 => (0..300_000_u32).prop_map(Step::Duplicates),
        1 => (3..800_u64).prop_map(Step::Crossing),
        1 => (0..3_usize).prop_map(Step::Cut),
        1 => Just(Step::Heal),
        1 => any::<bool>().prop_map(Step::LogDown),
        1 => (0..2_000_u64).prop_map(Step::LogSlow),
        1 => (1..3_u32).prop_map(Step::LoseAnswers),
        4 => (100..4_000_u64).prop_map(Step::Wait),
    ]
}

fn take(watched: &mut Watched, step: &Step, number: u32) {
    let fleet = &mut watched.fleet;
    match *step {
        Step::Publish(node) => {
            if fleet.instance(NodeIndex(node)).is_some() {
                fleet.publish(NodeIndex(node), &policy("limits", number)).expect("no faults");
            }
        }
        Step::Kill(node) => {
            fleet.kill(NodeIndex(node));
            watched.restarted(NodeIndex(node));
        }
        Step::Stop(node) => {
            fleet.stop(NodeIndex(node));
            watched.restarted(NodeIndex(node));
        }
        Step::Start(node) => start(watched, NodeIndex(node)),
        Step::Loss(ppm) => fleet.network.loss_ppm = ppm,
        Step::Duplicates(ppm) => fleet.network.duplicate_ppm = ppm,
        Step::Crossing(ms) => fleet.network.most_delay = Duration::from_millis(ms),
        Step::Cut(domain) => fleet.network.cut = vec![domain_of(fleet, domain)],
        Step::Heal => fleet.network = Default::default(),
        Step::LogDown(down) => fleet.log.down = down,
        Step::LogSlow(ms) => fleet.log.delay = Duration::from_millis(ms),
        Step::LoseAnswers(answers) => fleet.log.lose_answers = answers,
        Step::Wait(ms) => watched.run(Duration::from_millis(ms)),
    }
}

fn start(watched: &mut Watched, node: NodeIndex) {
    if watched.fleet.instance(node).is_none() {
        watched.fleet.start(node).expect("the names are names");
    }
}

fn domain_of(fleet: &cyclamen_fleet::Fleet, number: usize) -> FailureDomain {
    fleet.domain(NodeIndex(number)).clone()
}

/// Ends all faults and starts every daemon.
fn heal(watched: &mut Watched) {
    watched.fleet.network = Default::default();
    watched.fleet.log.down = false;
    watched.fleet.log.delay = Duration::ZERO;
    watched.fleet.log.lose_answers = 0;
    for node in watched.fleet.indices() {
        start(watched, node);
    }
    watched.run(HEALED);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn faults_any_order(seed in any::<u64>(), steps in prop::collection::vec(step(), 1..40)) {
        let mut watched = assembled(SIZE, seed);
        for (number, step) in steps.iter().enumerate() {
            take(&mut watched, step, u32::try_from(number).expect("few steps"));
        }
        heal(&mut watched);
        prop_assert!(watched.agrees(), "held after healing: {:?}", watched.versions());
    }
}

#[test]
fn publish_lost_answer() {
    let mut watched = assembled(SIZE, 1);
    watched.fleet.log.lose_answers = 1;
    let before = watched.fleet.log.store.next();
    let id = watched.fleet.publish(NodeIndex(1), &policy("limits", 7)).expect("no faults");
    watched.run(IN_FORCE);
    assert!(watched.agrees(), "held: {:?}", watched.versions());
    let first = ChangeOutcome::Accepted(before);
    assert_eq!(watched.outcome(NodeIndex(5), &id), Some(first));
}

#[test]
fn publish_race() {
    let mut watched = assembled(SIZE, 2);
    let base = watched
        .fleet
        .instance(NodeIndex(0))
        .expect("it runs")
        .config()
        .services
        .values()
        .next()
        .expect("a service is held")
        .offset;
    let edit = |spec: &str| {
        format!("declarations:\n  - name: dvere\n    base: {base}\n    service: {spec}\n")
    };
    let (one, two) = (edit("{ version: v2 }"), edit("{ version: v1, labels: { tier: a } }"));
    let one = watched.fleet.publish(NodeIndex(1), &one).expect("no faults");
    let two = watched.fleet.publish(NodeIndex(2), &two).expect("no faults");
    watched.run(IN_FORCE);
    let outcomes = [watched.outcome(NodeIndex(3), &one), watched.outcome(NodeIndex(3), &two)];
    let accepted = |o: &Option<ChangeOutcome>| matches!(o, Some(ChangeOutcome::Accepted(_)));
    let refused = |o: &Option<ChangeOutcome>| matches!(o, Some(ChangeOutcome::Refused(_, refusal)) if refusal.stale_base);
    assert_eq!(outcomes.iter().filter(|o| accepted(o)).count(), 1, "{outcomes:?}");
    assert_eq!(outcomes.iter().filter(|o| refused(o)).count(), 1, "{outcomes:?}");
}

#[test]
fn restart_all_log_down() {
    let mut watched = assembled(SIZE, 3);
    let held = watched.versions();
    watched.fleet.log.down = true;
    for node in watched.fleet.indices().skip(1) {
        watched.fleet.kill(node);
        watched.restarted(node);
        watched.fleet.start(node).expect("the names are names");
        watched.run(Duration::from_secs(1));
    }
    watched.run(HEALED);
    assert_eq!(watched.versions(), held, "a daemon that peers could serve holds less");
}

#[test]
fn restart_all_trimmed() {
    let mut watched = assembled(SIZE, 4);
    for number in 0..100 {
        watched.fleet.publish(NodeIndex(0), &policy("limits", number)).expect("no faults");
        watched.run(Duration::from_millis(200));
    }
    watched.run(HEALED);
    assert!(watched.fleet.log.store.first().0 > 0, "nothing was trimmed");
    let hash = watched.fleet.instance(NodeIndex(0)).expect("it runs").ledger().hash();
    for node in watched.fleet.indices() {
        watched.fleet.kill(node);
        watched.restarted(node);
    }
    for node in watched.fleet.indices() {
        start(&mut watched, node);
    }
    watched.run(HEALED);
    assert!(watched.agrees(), "held: {:?}", watched.versions());
    let restored = watched.fleet.instance(NodeIndex(0)).expect("it runs").ledger();
    assert_eq!(restored.config().policies.len(), 1);
    assert!(restored.version().0 > 100 || restored.hash() == hash);
}

#[test]
fn cut_domain_serves_and_catches_up() {
    let mut watched = assembled(SIZE, 5);
    let cut = domain_of(&watched.fleet, 2);
    watched.fleet.network.cut = vec![cut];
    watched.run(Duration::from_secs(20));
    watched.fleet.publish(NodeIndex(0), &policy("limits", 9)).expect("no faults");
    watched.run(IN_FORCE);
    let behind = watched.fleet.instance(NodeIndex(2)).expect("it runs");
    assert!(!behind.table().route_names().is_empty(), "a cut domain lost its routes");
    watched.fleet.network.cut.clear();
    watched.run(HEALED);
    assert!(watched.agrees(), "held: {:?}", watched.versions());
}

#[test]
fn gossip_within_bound() {
    let mut watched = assembled(SIZE, 6);
    let sent = |watched: &Watched| -> Vec<u64> {
        let bytes =
            |i| watched.fleet.instance(i).map_or(0, |i| i.membership().counters().bytes_sent);
        watched.fleet.indices().map(bytes).collect()
    };
    for second in 0..30 {
        let before = sent(&watched);
        watched.fleet.publish(NodeIndex(0), &policy("limits", second)).expect("no faults");
        watched.run(Duration::from_secs(1));
        for (after, before) in sent(&watched).iter().zip(before) {
            let bound = u64::from(BYTES_PER_SECOND) * 2;
            assert!(after - before <= bound, "{} bytes in one second", after - before);
        }
    }
}
