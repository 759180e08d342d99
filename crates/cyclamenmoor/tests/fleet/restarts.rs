//! Distribution of the configuration in a larger fleet: propagation time, load on the log, restarts
//! of all daemons with the log up, down or trimmed, and recovery from a partition.

use std::time::Duration;

use cyclamen_distribution::PeerResponse;
use cyclamen_ledger::Ledger;
use cyclamenmoor::Event;

use crate::changes::{large_change, last_change_id, pair_change};
use crate::fleet::{Fleet, PAIR_NAMES};

const SECOND: Duration = Duration::from_secs(1);

/// Number of daemons, spread over the failure domains.
const NODE_COUNT: usize = 24;
const DOMAIN_COUNT: usize = 3;

/// Maximum size of one snapshot record, in bytes.
const MAX_PART_BYTES: usize = 4_096;

/// A fleet that has converged on three changes.
fn converged_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(NODE_COUNT, DOMAIN_COUNT, seed);
    fleet.run_until(SECOND * 30, Fleet::converged);
    for (index, name) in PAIR_NAMES.iter().enumerate() {
        fleet.publish(index, &pair_change(&format!("first-{name}"), name, None));
    }
    fleet.run_until(SECOND * 10, |fleet| fleet.converged() && fleet.log.next().0 >= 3);
    fleet
}

fn restart_all(fleet: &mut Fleet) {
    for index in 0..NODE_COUNT {
        fleet.start(index);
    }
}

/// Appends a snapshot and trims all records before it.
fn trim_to_snapshot(fleet: &mut Fleet) {
    let payloads = fleet.running().next().unwrap().ledger().snapshot_payloads(MAX_PART_BYTES);
    let first = fleet.log.next();
    for payload in payloads {
        fleet.log.append(payload.into());
    }
    fleet.log.first = first.0;
}

#[test]
fn change_reaches_all_within_a_second() {
    let mut fleet = converged_fleet(1);
    for round in 0..5 {
        let id = format!("round-{round}");
        fleet.publish(round, &pair_change(&id, PAIR_NAMES[0], None));
        let all_have_applied = |fleet: &Fleet| {
            fleet.running().all(|i| last_change_id(i.config(), PAIR_NAMES[0]).as_ref() == Some(&id))
        };
        let took = fleet.run_until(SECOND * 5, all_have_applied);
        assert!(took <= SECOND, "{took:?}");
    }
}

#[test]
fn change_too_large_for_datagram_is_pulled() {
    let mut fleet = converged_fleet(9);
    fleet.publish(0, &large_change("large", PAIR_NAMES[0]));
    let all_have_applied = |fleet: &Fleet| {
        fleet
            .running()
            .all(|i| last_change_id(i.config(), PAIR_NAMES[0]).as_deref() == Some("large"))
    };
    let took = fleet.run_until(SECOND * 10, all_have_applied);
    assert!(took <= SECOND * 2, "{took:?}");
}

/// A snapshot that arrives late, after newer records were applied, must not take the ledger back.
#[test]
fn snapshot_older_than_held_is_ignored() {
    let mut fleet = converged_fleet(10);
    let ledger = fleet.running().next().unwrap().ledger();
    let (text, held) = (ledger.snapshot(), ledger.version());
    fleet.publish(0, &pair_change("later", PAIR_NAMES[0], None));
    fleet.run(SECOND * 5);
    let from = fleet.nodes[1].instance.as_ref().unwrap().membership().local_member().addresses.peer;
    let response = Some(PeerResponse::Snapshot { text, held, ready: true });
    let event = Event::PeerResponse { from, response };
    fleet.with_instance(0, |instance, now, out| instance.handle(now, event, out));
    assert!(fleet.converged());
}

/// Only two relays of each failure domain read the log, so reads grow with domains, not daemons.
#[test]
fn log_reads_grow_with_domains() {
    let mut fleet = converged_fleet(2);
    fleet.log.reads = 0;
    fleet.run(SECOND * 60);
    let relays = 2 * DOMAIN_COUNT as u64;
    // Each relay reads with a long poll of 10 s: 6 reads a minute, and one at its start.
    assert!(fleet.log.reads <= relays * 7, "{} reads in a minute", fleet.log.reads);
}

/// When all daemons restart at once, they must not all read the log.
#[test]
fn restart_all_with_log_up() {
    let mut fleet = converged_fleet(3);
    fleet.log.reads = 0;
    restart_all(&mut fleet);
    fleet.run_until(SECOND * 20, Fleet::converged);
    assert!(fleet.log.reads < NODE_COUNT as u64, "{} reads", fleet.log.reads);
}

#[test]
fn restart_all_with_log_down() {
    let mut fleet = converged_fleet(4);
    fleet.log.down = true;
    fleet.log.reads = 0;
    restart_all(&mut fleet);
    fleet.run(SECOND * 60);
    assert!(fleet.running().all(|instance| !instance.ready()));
    // Less than one read per daemon and second.
    assert!(fleet.log.reads < 60 * NODE_COUNT as u64, "{} reads", fleet.log.reads);
    fleet.log.down = false;
    fleet.run_until(SECOND * 30, Fleet::converged);
}

#[test]
fn restart_all_but_one_with_log_down() {
    let mut fleet = converged_fleet(5);
    fleet.log.down = true;
    for index in 1..NODE_COUNT {
        fleet.start(index);
    }
    fleet.run_until(SECOND * 30, Fleet::converged);
}

#[test]
fn restart_all_with_log_trimmed() {
    let mut fleet = converged_fleet(6);
    trim_to_snapshot(&mut fleet);
    restart_all(&mut fleet);
    fleet.run_until(SECOND * 30, Fleet::converged);
    for instance in fleet.running() {
        for name in PAIR_NAMES {
            assert!(last_change_id(instance.config(), name).is_some());
        }
    }
}

/// A failure domain that was cut off until the log trimmed the records it lacks must catch up from
/// a snapshot.
#[test]
fn domain_rejoins_after_log_trimmed() {
    let mut fleet = converged_fleet(7);
    fleet.partitions = vec![(0, 2), (1, 2)];
    fleet.domains_without_log = vec![2];
    fleet.run(SECOND * 20);
    for round in 0..5 {
        fleet.publish(0, &pair_change(&format!("meanwhile-{round}"), PAIR_NAMES[0], None));
        fleet.run(SECOND);
    }
    trim_to_snapshot(&mut fleet);
    fleet.run(SECOND * 20);
    fleet.heal();
    fleet.run_until(SECOND * 30, Fleet::converged);
    fleet.check_gossip_bound(SECOND);
}

#[test]
fn relays_append_snapshot_when_log_trims() {
    let mut fleet = converged_fleet(8);
    fleet.log.first = 1;
    fleet.publish(3, &pair_change("later", PAIR_NAMES[1], None));
    fleet.run(SECOND * 90);
    let parts = fleet.log.records.iter().filter(|record| record.is_snapshot()).count();
    assert!((1..=4).contains(&parts), "{parts} parts");
    let mut ledger = Ledger::default();
    assert!(ledger.restore_from_records(&fleet.log.records[1..]));
    fleet.run_until(SECOND * 5, Fleet::converged);
}
