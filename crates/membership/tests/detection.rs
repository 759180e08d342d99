//! Joins, failures, leaves and partitions in simulated meshes of several nodes. A node is the
//! membership of one daemon.

mod support;

use std::time::Duration;

use cyclamen_membership::{MemberState, MemberView, Membership, ServerState};
use cyclamen_types::Mono;
use support::{Cluster, Faults, address};

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

/// How `viewer` sees node `index`; `None` if it does not know it.
fn view_of(viewer: &Membership, index: usize) -> Option<MemberView> {
    let name = format!("node-{index}");
    viewer.members().into_iter().find(|view| view.record.instance.as_str() == name)
}

/// A mesh in which domain 2 is cut off and node 0 has just heard, from a node that still reaches
/// both sides, that node 5 of that domain left.
fn mesh_with_departure_beyond_partition() -> Cluster {
    let mut cluster = Cluster::new(18, 3, 9);
    cluster.run_until(SECOND * 30, Cluster::converged);
    cluster.partitions = vec![(0, 2), (1, 2)];
    cluster.run_until(SECOND * 30, |cluster| {
        view_of(&cluster.nodes[0].membership, 5).is_some_and(|view| view.cut_off)
    });
    let now = cluster.now;
    let mut bridge = cluster.membership(18);
    let mut joins = Vec::new();
    bridge.tick(now, &mut joins);
    for index in [0, 5] {
        let mut replies = Vec::new();
        let node = &mut cluster.nodes[index].membership;
        node.on_datagram(now, address(18), &joins[index % 2].bytes, &mut replies).unwrap();
        for reply in replies {
            bridge.on_datagram(now, address(index), &reply.bytes, &mut Vec::new()).unwrap();
        }
    }
    let mut departure = Vec::new();
    cluster.nodes[5].membership.leave(now, &mut departure);
    bridge.on_datagram(now, address(5), &departure[0].bytes, &mut Vec::new()).unwrap();
    cluster.send(5, departure);
    cluster.nodes[5].up = false;
    let mut pushed = Vec::new();
    bridge.tick(now, &mut pushed);
    let to_first = pushed.iter().find(|datagram| datagram.to == address(0)).unwrap();
    let first = &mut cluster.nodes[0].membership;
    first.on_datagram(now, address(18), &to_first.bytes, &mut Vec::new()).unwrap();
    assert_eq!(view_of(first, 5).unwrap().state, MemberState::Left);
    cluster
}

#[test]
fn cut_off_member_that_left_is_pruned() {
    let mut cluster = mesh_with_departure_beyond_partition();
    cluster.run(SECOND * 310);
    assert_eq!(view_of(&cluster.nodes[0].membership, 5), None);
}

#[test]
fn cut_off_member_that_left_stays_departed_when_its_domain_returns() {
    let mut cluster = mesh_with_departure_beyond_partition();
    // By then its domain no longer gossips that it left.
    cluster.run(SECOND * 20);
    cluster.partitions.clear();
    for _ in 0..300 {
        cluster.run(Duration::from_millis(100));
        let view = view_of(&cluster.nodes[0].membership, 5).unwrap();
        assert_eq!(view.state, MemberState::Left);
    }
}

#[test]
fn departure_heard_as_its_domain_is_cut_off_is_passed_on() {
    let partitioned = || {
        let mut cluster = Cluster::new(30, 3, 10);
        cluster.run_until(SECOND * 30, Cluster::converged);
        cluster.partitions = vec![(0, 2), (1, 2)];
        cluster
    };
    let cut_off_count = |cluster: &Cluster| {
        let members = cluster.nodes[0].membership.members();
        members.iter().filter(|view| view.cut_off).count()
    };
    // Periods begin at whole seconds, so the domain is cut off at one.
    let mut rehearsal = partitioned();
    rehearsal.run_until(SECOND * 30, |cluster| cut_off_count(cluster) > 0);
    let at = Mono(rehearsal.now.mono.0 / 1_000_000 * 1_000_000);

    let mut cluster = partitioned();
    let before = at.since(cluster.now.mono) - Duration::from_micros(1);
    cluster.run(before);
    assert_eq!(cut_off_count(&cluster), 0);
    cluster.now = cluster.now + Duration::from_micros(1);
    let (now, mut departure, mut out) = (cluster.now, Vec::new(), Vec::new());
    cluster.nodes[5].membership.leave(now, &mut departure);
    let first = &mut cluster.nodes[0].membership;
    first.on_datagram(now, address(5), &departure[0].bytes, &mut Vec::new()).unwrap();
    first.tick(now, &mut out);
    assert_eq!(cut_off_count(&cluster), 9, "the members of the domain that did not leave");
    let mut told = 0;
    for datagram in out {
        let node = &mut cluster.nodes[usize::from(datagram.to.port()) - 1].membership;
        node.on_datagram(now, address(0), &datagram.bytes, &mut Vec::new()).unwrap();
        told += usize::from(view_of(node, 5).unwrap().state == MemberState::Left);
    }
    // Six members are told of an urgent update at once.
    assert!(told >= 6, "{told} were told");
}
