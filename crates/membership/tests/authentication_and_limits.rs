//! Replayed, forged and damaged datagrams are dropped, and the limit on bytes sent holds.

mod support;

use std::time::Duration;

use cyclamen_membership::{
    Broadcast, BroadcastKind, DatagramError, MemberState, Membership, MeshKey, ServerState,
};
use proptest::prelude::*;
use support::{Cluster, Faults, address};

const SECOND: Duration = Duration::from_secs(1);

/// A datagram from node 1 that node 0 has not received.
fn fresh_datagram(cluster: &mut Cluster) -> Vec<u8> {
    let mut out = Vec::new();
    let broadcast = Broadcast { kind: BroadcastKind::Urgent, payload: vec![1, 2, 3].into() };
    cluster.nodes[1].membership.broadcast(cluster.now, broadcast, true, &mut out);
    out[0].bytes.clone()
}

/// Two nodes that know each other.
fn pair() -> Cluster {
    let mut cluster = Cluster::new(2, 1, 1);
    cluster.run_until(SECOND * 10, Cluster::converged);
    cluster
}

fn receive(
    membership: &mut Membership,
    now: cyclamen_types::Now,
    bytes: &[u8],
) -> Result<(), DatagramError> {
    membership.on_datagram(now, address(1), bytes, &mut Vec::new()).map(|_| ())
}

#[test]
fn replayed_datagram_is_dropped() {
    let mut cluster = pair();
    let bytes = fresh_datagram(&mut cluster);
    let now = cluster.now;
    let first = &mut cluster.nodes[0].membership;
    assert_eq!(receive(first, now, &bytes), Ok(()));
    assert_eq!(receive(first, now, &bytes), Err(DatagramError::Replayed));
    assert_eq!(first.counters().replayed, 1);
}

#[test]
fn datagram_with_another_key_is_dropped() {
    let mut cluster = pair();
    let mut settings = Cluster::settings();
    settings.key = MeshKey([8; 32]);
    let record = cluster.nodes[1].membership.local_member().clone();
    let mut foreign = Membership::new(record, settings, 1, cluster.now);
    let mut out = Vec::new();
    foreign.tick(cluster.now, &mut out);
    let now = cluster.now;
    let first = &mut cluster.nodes[0].membership;
    assert_eq!(receive(first, now, &out[0].bytes), Err(DatagramError::Forged));
    assert_eq!(first.counters().forged, 1);
}

proptest! {
    #[test]
    fn altered_datagram_is_dropped(at in 0_usize..10_000, bit in 0_u8..8) {
        let mut cluster = pair();
        let mut bytes = fresh_datagram(&mut cluster);
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        let now = cluster.now;
        let result = receive(&mut cluster.nodes[0].membership, now, &bytes);
        prop_assert_eq!(result, Err(DatagramError::Forged));
    }

    #[test]
    fn truncated_datagram_is_dropped(len in 0_usize..40) {
        let mut cluster = pair();
        let bytes = fresh_datagram(&mut cluster);
        let now = cluster.now;
        prop_assert!(receive(&mut cluster.nodes[0].membership, now, &bytes[..len]).is_err());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// Under loss, duplication, partitions, restarts and many broadcasts, no daemon sends more than
    /// its limit within any window. Once the faults end, all agree on members and backend servers.
    #[test]
    fn sent_bytes_are_limited_and_views_converge(
        seed in any::<u64>(),
        loss in 0.0..0.3,
        partitioned in any::<bool>(),
        restarts in prop::collection::vec(0_usize..24, 0..8),
        broadcasts in 0_usize..400,
    ) {
        let mut cluster = Cluster::new(24, 3, seed);
        cluster.faults = Faults { loss, duplication: loss };
        for index in 0..24 {
            cluster.announce(index, ServerState::Ready, 1);
        }
        cluster.run(SECOND * 10);
        if partitioned {
            cluster.partitions = vec![(0, 1)];
        }
        for (count, index) in restarts.iter().enumerate() {
            cluster.restart(*index);
            cluster.announce(*index, ServerState::Ready, 10 + count as u64);
            cluster.run(SECOND);
        }
        for count in 0..broadcasts {
            let mut out = Vec::new();
            let payload = vec![(count % 256) as u8; 500 + count];
            let broadcast = Broadcast { kind: BroadcastKind::Records, payload: payload.into() };
            cluster.nodes[count % 24].membership.broadcast(cluster.now, broadcast, true, &mut out);
            cluster.send(count % 24, out);
        }
        cluster.run(SECOND * 10);
        cluster.faults = Faults::default();
        cluster.partitions.clear();
        cluster
            .run_until(SECOND * 120, |cluster| cluster.converged() && knows_all_servers(cluster));
        for sent in cluster.sent.values() {
            assert_within_limit(sent);
        }
    }
}

/// Whether every node sees all 24 backend servers as ready, each on an alive host.
fn knows_all_servers(cluster: &Cluster) -> bool {
    cluster.nodes.iter().all(|node| {
        let servers = node.membership.servers();
        let ready = servers.iter().filter(|view| view.record.state == ServerState::Ready);
        ready.filter(|view| view.host_state == MemberState::Alive).count() == 24
    })
}

/// Asserts the limit for every window that begins with a datagram.
fn assert_within_limit(sent: &[(cyclamen_types::Mono, usize)]) {
    let settings = Cluster::settings();
    for span in [SECOND, SECOND * 10, SECOND * 60] {
        let bound = settings.max_bytes_within(span);
        let (mut first, mut bytes) = (0, 0);
        for (at, len) in sent {
            bytes += *len as u64;
            while at.since(sent[first].0) > span {
                bytes -= sent[first].1 as u64;
                first += 1;
            }
            assert!(bytes <= bound, "{bytes} bytes within {span:?}");
        }
    }
}
