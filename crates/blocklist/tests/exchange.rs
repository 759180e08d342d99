//! Updates reach daemons in any order and any number of times: all of them come to the same list.

mod common;

use common::{at, key, server};
use cyclamen_blocklist::{Blocklist, RunId};
use proptest::prelude::*;

/// What happens at one daemon.
#[derive(Clone, Debug)]
enum Step {
    /// A server crashes under these calls.
    Crash(Vec<u64>),
    /// A call is answered.
    Answer(u64),
    /// An operator lifts a call.
    Lift(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => prop::collection::vec(0_u64..4, 1..4).prop_map(Step::Crash),
        1 => (0_u64..4).prop_map(Step::Answer),
        1 => (0_u64..4).prop_map(Step::Lift),
    ]
}

/// The payloads that `count` daemons send while each does its part of the steps.
fn payloads(steps: &[(usize, Step)], count: usize) -> Vec<Vec<u8>> {
    let mut daemons: Vec<Blocklist> = (0..count).map(|_| Blocklist::default()).collect();
    let mut payloads = Vec::new();
    for (number, (daemon, step)) in steps.iter().enumerate() {
        let now = at(1_000 * (number as u64 + 1));
        let list = &mut daemons[daemon % count];
        let name = server(&format!("server-{number}"));
        match step {
            Step::Crash(calls) => {
                for (index, call) in calls.iter().enumerate() {
                    let id = RunId((number * 10 + index) as u64);
                    // A call that is denied does not run.
                    let _ = list.begin_run(now, &name, id, key(*call), None);
                }
                list.server_crashed(now, &name);
            }
            Step::Answer(call) => {
                let id = RunId(number as u64);
                if list.begin_run(now, &name, id, key(*call), None).is_ok() {
                    list.end_run(now, &name, id, true);
                }
            }
            Step::Lift(call) => {
                list.lift(now, key(*call).call);
            }
        }
        list.tick(at(1_000 * (number as u64 + 1) + 900));
        let updates = list.take_updates();
        payloads.extend(updates.into_iter().map(|update| update.payload.to_vec()));
    }
    payloads
}

fn merged(payloads: &[&Vec<u8>]) -> Vec<cyclamen_blocklist::BlockedCall> {
    let mut list = Blocklist::default();
    for payload in payloads {
        list.merge(at(100_000), payload);
    }
    list.blocked_calls()
}

proptest! {
    #[test]
    fn merge_in_any_order(
        steps in prop::collection::vec((0_usize..3, step()), 1..20),
        order in any::<u64>(),
    ) {
        let payloads = payloads(&steps, 3);
        let in_order: Vec<&Vec<u8>> = payloads.iter().collect();
        let mut shuffled: Vec<&Vec<u8>> = payloads.iter().chain(&payloads).collect();
        shuffled.sort_by_key(|payload| {
            let sum: u64 = payload.iter().map(|byte| u64::from(*byte)).sum();
            (sum ^ order).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        });
        prop_assert_eq!(merged(&in_order), merged(&shuffled));
    }

    #[test]
    fn merge_of_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..1_200)) {
        let mut list = Blocklist::default();
        list.merge(at(1), &bytes);
        list.tick(at(2));
        list.take_updates();
    }
}
