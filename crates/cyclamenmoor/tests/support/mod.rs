//! Instances that take their configuration from a store, and announcements of their backend servers.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_declarations::Labels;
use cyclamen_distribution::{ConfigSource, DistributionSettings};
use cyclamen_membership::{Addresses, MemberRecord, MembershipSettings, MeshKey, ServerState};
use cyclamen_types::{Incarnation, Mono, Now, Wall};
use cyclamenmoor::{Announcement, AnnouncementOrder, Instance, InstanceSettings};

/// Wall-clock time at the start of the instances, in Unix milliseconds.
pub const START_MS: u64 = 1_000_000;

/// A time after the start of the instances.
pub fn time(millis: u64) -> Now {
    Now { mono: Mono(millis * 1_000), wall: Wall(START_MS + millis) }
}

pub fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// An instance that takes its configuration from a store, and knows no others.
pub fn new_instance() -> Instance {
    new_named_instance("a", 2, Vec::new())
}

/// The same, with a name, a port for gossip and the addresses of members to join.
pub fn new_named_instance(name: &str, port: u16, seeds: Vec<SocketAddr>) -> Instance {
    Instance::new(settings(name, port, seeds), 1, time(0))
}

/// The settings of such an instance.
pub fn settings(name: &str, port: u16, seeds: Vec<SocketAddr>) -> InstanceSettings {
    let addresses = Addresses { calls: address(1), peer: address(port), admin: address(3) };
    InstanceSettings {
        local_member: MemberRecord {
            instance: name.parse().unwrap(),
            incarnation: Incarnation(START_MS),
            domain: "praha-a".parse().unwrap(),
            region: "cz-stred".parse().unwrap(),
            addresses,
        },
        labels: Labels::default(),
        membership: MembershipSettings {
            gossip_period: Duration::from_secs(1),
            suspicion_timeout: Duration::from_secs(3),
            max_datagram_bytes: 1_200,
            bytes_per_second: 2_048,
            seeds,
            key: MeshKey([7; 32]),
        },
        distribution: DistributionSettings {
            source: ConfigSource::Store,
            long_poll: Duration::from_secs(10),
            relay_silence: Duration::from_secs(5),
            snapshot_transfers: 2,
            fresh_peers: 3,
            log_poll_interval: None,
        },
        announcement_lease: Duration::from_secs(6),
        awaits_history: false,
        evidence_period: Duration::from_secs(1),
        default_queue_limit: 32,
        default_queue_wait: Duration::from_millis(200),
        adaptive_slots: false,
        cold_overshoot: 1.0,
        retry_limits: Default::default(),
        drain_time: Duration::from_secs(2),
    }
}

/// An announcement of a server of the service `dvere` with 13 slots.
pub fn announcement(name: &str, version: &str, started_at_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        name: name.parse().unwrap(),
        service: "dvere".parse().unwrap(),
        version: version.parse().unwrap(),
        labels: Labels::default(),
        slots: 13,
        connections: 130,
        address: address(9),
        draining: false,
        order: Some(AnnouncementOrder { started_at_ms, sequence }),
        cold: None,
    }
}

pub fn announce(instance: &mut Instance, millis: u64, announcement: &Announcement) {
    instance.announce_server(time(millis), announcement, &mut Vec::new()).unwrap();
}

pub fn server_state(instance: &Instance, name: &str) -> Option<ServerState> {
    let name = name.parse().unwrap();
    instance.membership().own_server(&name).map(|record| record.state)
}
