//! Many daemons at once: restarts with the log up, down and trimmed, and partitions that heal.

use std::time::Duration;

use cyclamen_distribution::PeerResponse;
use cyclamen_ledger::Ledger;
use cyclamenmoor::Event;

use crate::changes::{large, pair, round_of};
use crate::fleet::{Fleet, PAIRS};

const SECOND: Duration = Duration::from_secs(1);

/// Daemons, over three failure domains.
const NODES: usize = 24;
const DOMAINS: usize = 3;

/// Largest part of a snapshot, in bytes.
const PART_BYTES: usize = 4_096;

/// A fleet that holds a few changes.
fn settled(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(NODES, DOMAINS, seed);
    fleet.run_until(SECOND * 30, Fleet::converged);
    for (index, name) in PAIRS.iter().enumerate() {
        fleet.publish(index, &pair(&format!("first-{name}"), name, None));
    }
    fleet.run_until(SECOND * 10, |fleet| fleet.converged() && fleet.log.next().0 >= 3);
    fleet
}

fn restart_all(fleet: &mut Fleet) {
    for index in 0..NODES {
        fleet.start(index);
    }
}

/// Appends a snapshot and forgets all before it.
fn trim_to_snapshot(fleet: &mut Fleet) {
    let payloads = fleet.running().next().unwrap().ledger().snapshot_payloads(PART_BYTES);
    let first = fleet.log.next();
    for payload in payloads {
        fleet.log.append(payload.into());
    }
    fleet.log.first = first.0;
}

#[test]
fn change_held_by_all_soon() {
    let mut fleet = settled(1);
    for round in 0..5 {
        let id = format!("round-{round}");
        fleet.publish(round, &pair(&id, PAIRS[0], None));
        let in_force = |fleet: &Fleet| {
            fleet.running().all(|i| round_of(i.config(), PAIRS[0]).as_ref() == Some(&id))
        };
        let took = fleet.run_until(SECOND * 5, in_force);
        assert!(took <= SECOND, "{took:?}");
    }
}

#[test]
fn change_too_large_to_push() {
    let mut fleet = settled(9);
    fleet.publish(0, &large("large", PAIRS[0]));
    let in_force = |fleet: &Fleet| {
        fleet.running().all(|i| round_of(i.config(), PAIRS[0]).as_deref() == Some("large"))
    };
    let took = fleet.run_until(SECOND * 10, in_force);
    assert!(took <= SECOND * 2, "{took:?}");
}

#[test]
fn snapshot_older_than_held() {
    let mut fleet = settled(10);
    let ledger = fleet.running().next().unwrap().ledger();
    let (text, held) = (ledger.snapshot(), ledger.version());
    fleet.publish(0, &pair("later", PAIRS[0], None));
    fleet.run(SECOND * 5);
    let from = fleet.nodes[1].instance.as_ref().unwrap().membership().me().addresses.peer;
    let response = Some(PeerResponse::Snapshot { text, held, ready: true });
    let event = Event::PeerAnswer { from, response };
    fleet.with(0, |instance, now, out| instance.handle(now, event, out));
    assert!(fleet.converged());
}

#[test]
fn reads_grow_with_domains() {
    let mut fleet = settled(2);
    fleet.log.reads = 0;
    fleet.run(SECOND * 60);
    let relays = 2 * DOMAINS as u64;
    assert!(fleet.log.reads <= relays * 7, "{} reads in a minute", fleet.log.reads);
}

#[test]
fn restart_all_log_up() {
    let mut fleet = settled(3);
    fleet.log.reads = 0;
    restart_all(&mut fleet);
    fleet.run_until(SECOND * 20, Fleet::converged);
    assert!(fleet.log.reads < NODES as u64, "{} reads", fleet.log.reads);
}

#[test]
fn restart_all_log_down() {
    let mut fleet = settled(4);
    fleet.log.down = true;
    fleet.log.reads = 0;
    restart_all(&mut fleet);
    fleet.run(SECOND * 60);
    assert!(fleet.running().all(|instance| !instance.ready()));
    assert!(fleet.log.reads < 60 * NODES as u64, "{} reads", fleet.log.reads);
    fleet.log.down = false;
    fleet.run_until(SECOND * 30, Fleet::converged);
}

#[test]
fn restart_all_but_one_log_down() {
    let mut fleet = settled(5);
    fleet.log.down = true;
    for index in 1..NODES {
        fleet.start(index);
    }
    fleet.run_until(SECOND * 30, Fleet::converged);
}

#[test]
fn restart_all_log_trimmed() {
    let mut fleet = settled(6);
    trim_to_snapshot(&mut fleet);
    restart_all(&mut fleet);
    fleet.run_until(SECOND * 30, Fleet::converged);
    for instance in fleet.running() {
        for name in PAIRS {
            assert!(round_of(instance.config(), name).is_some());
        }
    }
}

#[test]
fn domain_back_after_retention() {
    let mut fleet = settled(7);
    fleet.cuts = vec![(0, 2), (1, 2)];
    fleet.log_cuts = vec![2];
    fleet.run(SECOND * 20);
    for round in 0..5 {
        fleet.publish(0, &pair(&format!("meanwhile-{round}"), PAIRS[0], None));
        fleet.run(SECOND);
    }
    trim_to_snapshot(&mut fleet);
    fleet.run(SECOND * 20);
    fleet.heal();
    fleet.run_until(SECOND * 30, Fleet::converged);
    fleet.check_bound(SECOND);
}

#[test]
fn relays_append_snapshots_when_log_trims() {
    let mut fleet = settled(8);
    fleet.log.first = 1;
    fleet.publish(3, &pair("later", PAIRS[1], None));
    fleet.run(SECOND * 90);
    let parts = fleet.log.records.iter().filter(|record| record.is_snapshot()).count();
    assert!((1..=4).contains(&parts), "{parts} parts");
    let mut ledger = Ledger::default();
    assert!(ledger.restore_from_records(&fleet.log.records[1..]));
    fleet.run_until(SECOND * 5, Fleet::converged);
}
