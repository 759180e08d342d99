//! What a datagram must not do, and what bytes must not exceed.

mod support;

use std::time::Duration;

use cyclamen_membership::{
    DatagramError, MemberState, Membership, MeshKey, Rider, RiderKind, ServerState,
};
use proptest::prelude::*;
use support::{Faults, Net, address};

const SECOND: Duration = Duration::from_secs(1);

/// A datagram of node 1 that node 0 has not seen.
fn datagram(net: &mut Net) -> Vec<u8> {
    let mut out = Vec::new();
    let rider = Rider { kind: RiderKind::Conviction, payload: vec![1, 2, 3].into() };
    net.nodes[1].membership.spread(net.now, rider, true, &mut out);
    out[0].bytes.clone()
}

fn pair() -> Net {
    let mut net = Net::new(2, 1, 1);
    net.run_until(SECOND * 10, Net::agreed);
    net
}

fn take(
    membership: &mut Membership,
    net_now: cyclamen_types::Now,
    bytes: &[u8],
) -> Result<(), DatagramError> {
    membership.on_datagram(net_now, address(1), bytes, &mut Vec::new()).map(|_| ())
}

#[test]
fn datagram_replayed() {
    let mut net = pair();
    let bytes = datagram(&mut net);
    let now = net.now;
    let first = &mut net.nodes[0].membership;
    assert_eq!(take(first, now, &bytes), Ok(()));
    assert_eq!(take(first, now, &bytes), Err(DatagramError::Replayed));
    assert_eq!(first.counters().replayed, 1);
}

#[test]
fn datagram_of_another_mesh() {
    let mut net = pair();
    let mut settings = Net::settings();
    settings.key = MeshKey([8; 32]);
    let stranger = net.nodes[1].membership.me().clone();
    let mut stranger = Membership::new(stranger, settings, 1, net.now);
    let mut out = Vec::new();
    stranger.tick(net.now, &mut out);
    let now = net.now;
    let first = &mut net.nodes[0].membership;
    assert_eq!(take(first, now, &out[0].bytes), Err(DatagramError::Forged));
    assert_eq!(first.counters().forged, 1);
}

proptest! {
    #[test]
    fn datagram_altered(at in 0_usize..10_000, bit in 0_u8..8) {
        let mut net = pair();
        let mut bytes = datagram(&mut net);
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        let now = net.now;
        let result = take(&mut net.nodes[0].membership, now, &bytes);
        prop_assert_eq!(result, Err(DatagramError::Forged));
    }

    #[test]
    fn datagram_cut_short(len in 0_usize..40) {
        let mut net = pair();
        let bytes = datagram(&mut net);
        let now = net.now;
        prop_assert!(take(&mut net.nodes[0].membership, now, &bytes[..len]).is_err());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// Whatever happens, no daemon sends more than its bound within any window, and once faults
    /// end all agree on members and backend servers.
    #[test]
    fn bytes_bounded_and_views_join(
        seed in any::<u64>(),
        loss in 0.0..0.3,
        cut in any::<bool>(),
        restarts in prop::collection::vec(0_usize..24, 0..8),
        riders in 0_usize..400,
    ) {
        let mut net = Net::new(24, 3, seed);
        net.faults = Faults { loss, double: loss };
        for index in 0..24 {
            net.announce(index, ServerState::Ready, 1);
        }
        net.run(SECOND * 10);
        if cut {
            net.cuts = vec![(0, 1)];
        }
        for (count, index) in restarts.iter().enumerate() {
            net.restart(*index);
            net.announce(*index, ServerState::Ready, 10 + count as u64);
            net.run(SECOND);
        }
        for count in 0..riders {
            let mut out = Vec::new();
            let payload = vec![(count % 256) as u8; 500 + count];
            let rider = Rider { kind: RiderKind::Records, payload: payload.into() };
            net.nodes[count % 24].membership.spread(net.now, rider, true, &mut out);
            net.send(count % 24, out);
        }
        net.run(SECOND * 10);
        net.faults = Faults::default();
        net.cuts.clear();
        net.run_until(SECOND * 120, |net| net.agreed() && knows_all_servers(net));
        for sent in net.sent.values() {
            check_bound(sent);
        }
    }
}

fn knows_all_servers(net: &Net) -> bool {
    net.nodes.iter().all(|node| {
        let servers = node.membership.servers();
        let ready = servers.iter().filter(|view| view.record.state == ServerState::Ready);
        ready.filter(|view| view.host_state == MemberState::Alive).count() == 24
    })
}

/// Bytes within each window that begins with a datagram.
fn check_bound(sent: &[(cyclamen_types::Mono, usize)]) {
    let settings = Net::settings();
    for span in [SECOND, SECOND * 10, SECOND * 60] {
        let bound = settings.bytes_bound(span);
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
