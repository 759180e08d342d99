//! Joins, deaths, refutations and partitions, as several members see them.

mod support;

use std::time::Duration;

use cyclamen_membership::{MemberState, ServerState};
use support::{Faults, Net};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn join_three() {
    let mut net = Net::new(3, 3, 1);
    let took = net.run_until(SECOND * 5, Net::agreed);
    assert!(took <= SECOND * 2, "{took:?}");
}

#[test]
fn join_many() {
    let mut net = Net::new(60, 6, 2);
    for index in 0..60 {
        net.announce(index, ServerState::Ready, 1);
    }
    net.run_until(SECOND * 30, |net| {
        net.agreed() && net.nodes.iter().all(|node| node.membership.servers().len() == 60)
    });
}

#[test]
fn death_one_of_many() {
    let mut net = Net::new(30, 3, 3);
    net.run_until(SECOND * 30, Net::agreed);
    net.nodes[7].up = false;
    net.run_until(SECOND * 30, Net::agreed);
    for index in (0..30).filter(|index| *index != 7) {
        assert_eq!(net.count(index, MemberState::Dead), 1);
    }
}

#[test]
fn death_then_restart() {
    let mut net = Net::new(9, 3, 4);
    net.run_until(SECOND * 30, Net::agreed);
    net.nodes[4].up = false;
    net.run_until(SECOND * 30, Net::agreed);
    net.restart(4);
    net.run_until(SECOND * 30, Net::agreed);
}

#[test]
fn leave_is_told() {
    let mut net = Net::new(9, 3, 5);
    net.run_until(SECOND * 30, Net::agreed);
    let mut out = Vec::new();
    net.nodes[2].membership.leave(net.now, &mut out);
    net.send(2, out);
    net.nodes[2].up = false;
    net.run(SECOND * 2);
    for index in (0..9).filter(|index| *index != 2) {
        assert_eq!(net.count(index, MemberState::Left), 1);
    }
}

#[test]
fn loss_kills_nobody() {
    let mut net = Net::new(12, 3, 6);
    net.faults = Faults { loss: 0.05, double: 0.05 };
    net.run_until(SECOND * 60, Net::agreed);
    for _ in 0..120 {
        net.run(SECOND);
        for index in 0..12 {
            assert_eq!(net.count(index, MemberState::Dead), 0);
        }
    }
}

#[test]
fn partition_keeps_entries() {
    let mut net = Net::new(18, 3, 7);
    for index in 0..18 {
        net.announce(index, ServerState::Ready, 1);
    }
    net.run_until(SECOND * 30, Net::agreed);
    net.cuts = vec![(0, 2), (1, 2)];
    net.run(SECOND * 30);
    for node in &net.nodes {
        let members = node.membership.members();
        let own = &node.membership.me().domain;
        let far = own.as_str() == "domain-2";
        for view in &members {
            assert_ne!(view.state, MemberState::Dead, "{view:?}");
            assert_eq!(view.cut_off, far != (view.record.domain.as_str() == "domain-2"));
        }
        assert_eq!(node.membership.servers().len(), 18);
    }
    net.cuts.clear();
    net.run_until(SECOND * 30, Net::agreed);
}

#[test]
fn alone_declares_nobody_dead() {
    let mut net = Net::new(9, 3, 8);
    net.run_until(SECOND * 30, Net::agreed);
    for index in 1..9 {
        net.nodes[index].up = false;
    }
    net.run(SECOND * 40);
    assert_eq!(net.count(0, MemberState::Dead), 0);
    assert_eq!(net.nodes[0].membership.members().len(), 9);
}
