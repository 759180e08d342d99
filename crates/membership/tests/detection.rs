//! Joins, failures, leaves and partitions in simulated meshes of several nodes. A node is the
//! membership of one daemon.

mod support;

use std::time::Duration;

use cyclamen_membership::{MemberState, ServerState};
use support::{Cluster, Faults};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn three_nodes_join() {
    let mut cluster = Cluster::new(3, 3, 1);
    let elapsed = cluster.run_until(SECOND * 5, Cluster::converged);
    assert!(elapsed <= SECOND * 2, "{elapsed:?}");
}

#[test]
fn many_nodes_join() {
    let mut cluster = Cluster::new(60, 6, 2);
    for index in 0..60 {
        cluster.announce(index, ServerState::Ready, 1);
    }
    cluster.run_until(SECOND * 30, |cluster| {
        cluster.converged()
            && cluster.nodes.iter().all(|node| node.membership.servers().len() == 60)
    });
}

#[test]
fn stopped_node_is_declared_dead_by_all() {
    let mut cluster = Cluster::new(30, 3, 3);
    cluster.run_until(SECOND * 30, Cluster::converged);
    cluster.nodes[7].up = false;
    cluster.run_until(SECOND * 30, Cluster::converged);
    for index in (0..30).filter(|index| *index != 7) {
        assert_eq!(cluster.count_in_state(index, MemberState::Dead), 1);
    }
}

#[test]
fn restarted_node_rejoins() {
    let mut cluster = Cluster::new(9, 3, 4);
    cluster.run_until(SECOND * 30, Cluster::converged);
    cluster.nodes[4].up = false;
    cluster.run_until(SECOND * 30, Cluster::converged);
    cluster.restart(4);
    cluster.run_until(SECOND * 30, Cluster::converged);
}

#[test]
fn leave_reaches_all() {
    let mut cluster = Cluster::new(9, 3, 5);
    cluster.run_until(SECOND * 30, Cluster::converged);
    let mut out = Vec::new();
    cluster.nodes[2].membership.leave(cluster.now, &mut out);
    cluster.send(2, out);
    cluster.nodes[2].up = false;
    cluster.run(SECOND * 2);
    for index in (0..9).filter(|index| *index != 2) {
        assert_eq!(cluster.count_in_state(index, MemberState::Left), 1);
    }
}

#[test]
fn packet_loss_declares_nobody_dead() {
    let mut cluster = Cluster::new(12, 3, 6);
    cluster.faults = Faults { loss: 0.05, duplication: 0.05 };
    cluster.run_until(SECOND * 60, Cluster::converged);
    for _ in 0..120 {
        cluster.run(SECOND);
        for index in 0..12 {
            assert_eq!(cluster.count_in_state(index, MemberState::Dead), 0);
        }
    }
}

#[test]
fn partition_keeps_entries_as_cut_off() {
    let mut cluster = Cluster::new(18, 3, 7);
    for index in 0..18 {
        cluster.announce(index, ServerState::Ready, 1);
    }
    cluster.run_until(SECOND * 30, Cluster::converged);
    cluster.partitions = vec![(0, 2), (1, 2)];
    cluster.run(SECOND * 30);
    for node in &cluster.nodes {
        let members = node.membership.members();
        let own = &node.membership.local_member().domain;
        let partitioned_off = own.as_str() == "domain-2";
        for view in &members {
            assert_ne!(view.state, MemberState::Dead, "{view:?}");
            assert_eq!(
                view.cut_off,
                partitioned_off != (view.record.domain.as_str() == "domain-2")
            );
        }
        assert_eq!(node.membership.servers().len(), 18);
    }
    cluster.partitions.clear();
    cluster.run_until(SECOND * 30, Cluster::converged);
}

#[test]
fn isolated_node_declares_nobody_dead() {
    let mut cluster = Cluster::new(9, 3, 8);
    cluster.run_until(SECOND * 30, Cluster::converged);
    for index in 1..9 {
        cluster.nodes[index].up = false;
    }
    cluster.run(SECOND * 40);
    assert_eq!(cluster.count_in_state(0, MemberState::Dead), 0);
    assert_eq!(cluster.nodes[0].membership.members().len(), 9);
}
