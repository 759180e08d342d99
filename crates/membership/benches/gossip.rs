//! Times a gossip tick, the handling of one tick's datagrams and a listing of the backend servers,
//! for a member of a large mesh.

#![allow(missing_docs, reason = "criterion_group! writes a public function")]

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use cyclamen_membership::{
    Addresses, MemberRecord, Membership, MembershipSettings, MeshKey, Outgoing, ServerRecord,
    ServerState,
};
use cyclamen_types::{Incarnation, Mono, Now, Wall};

/// Number of members, with one backend server each. The benchmarks of the router use the same
/// number of servers. The names of the benchmarks repeat it.
const MEMBER_COUNT: usize = 910;

/// Number of services that the backend servers are spread over.
const SERVICE_COUNT: usize = 90;

const DOMAIN_COUNT: usize = 6;

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], index as u16 + 1))
}

fn membership(index: usize, now: Now) -> Membership {
    let local_member = MemberRecord {
        instance: format!("instance-{index}").parse().unwrap(),
        incarnation: Incarnation(now.wall.0),
        domain: format!("domain-{}", index % DOMAIN_COUNT).parse().unwrap(),
        region: "region".parse().unwrap(),
        addresses: Addresses { calls: address(index), peer: address(index), admin: address(index) },
    };
    let settings = MembershipSettings {
        gossip_period: Duration::from_secs(1),
        suspicion_timeout: Duration::from_secs(3),
        max_datagram_bytes: 1_200,
        bytes_per_second: 1 << 24,
        seeds: vec![address(0)],
        key: MeshKey([7; 32]),
    };
    let mut membership = Membership::new(local_member, settings, index as u64, now);
    membership.put_server(now, server(index));
    membership
}

fn server(index: usize) -> ServerRecord {
    ServerRecord {
        name: format!("server-{index}").parse().unwrap(),
        service: format!("service-{}", index % SERVICE_COUNT).parse().unwrap(),
        version: "v1".parse().unwrap(),
        labels: Default::default(),
        slots: 15,
        connections: 130,
        address: address(index),
        state: ServerState::Ready,
        sequence: (Incarnation(1_000_000), 1),
    }
}

/// Two members that both know all others.
fn mesh(now: Now) -> (Membership, Membership) {
    let (mut first, mut second) = (membership(0, now), membership(1, now));
    let mut out = Vec::new();
    for index in 2..MEMBER_COUNT {
        let mut other = membership(index, now);
        out.clear();
        other.tick(now, &mut out);
        for datagram in out.drain(..) {
            let mut answers = Vec::new();
            let _ = first.on_datagram(now, address(index), &datagram.bytes, &mut answers);
            let _ = second.on_datagram(now, address(index), &datagram.bytes, &mut answers);
        }
    }
    (first, second)
}

fn bench(c: &mut Criterion) {
    let now = Now { mono: Mono(1_000_000_000), wall: Wall(1_000_000) };
    let (mut first, mut second) = mesh(now);
    let clock = Cell::new(now);
    let next_second = || {
        clock.set(clock.get() + Duration::from_secs(1));
        clock.get()
    };
    let mut out: Vec<Outgoing> = Vec::new();
    c.bench_function("tick_910", |b| {
        b.iter(|| {
            let now = next_second();
            out.clear();
            first.tick(now, &mut out);
        });
    });
    c.bench_function("datagram_910", |b| {
        b.iter_batched(
            || {
                let mut sent = Vec::new();
                second.tick(next_second(), &mut sent);
                sent
            },
            |sent| {
                for datagram in sent {
                    out.clear();
                    let _ = first.on_datagram(clock.get(), address(1), &datagram.bytes, &mut out);
                }
            },
            BatchSize::SmallInput,
        );
    });
    c.bench_function("servers_910", |b| b.iter(|| first.servers().len()));
}

criterion_group!(benches, bench);
criterion_main!(benches);
