//! An instance whose configuration comes whole from a store, and announcements that are ordered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::{
    ClashRule, Labels, Move, Route, RouteMatch, Selector, Service, Version, VersionId,
};
use cyclamen_distribution::{ConfigSource, DistributionSettings};
use cyclamen_ledger::{Config, Held, HeldMove, MoveVerdict, VerdictKind};
use cyclamen_membership::{Addresses, MemberRecord, MembershipSettings, MeshKey, ServerState};
use cyclamen_routing::{CallHead, RefusalKind};
use cyclamen_types::{ConfigVersion, Incarnation, Mono, Now, Offset, Wall};
use cyclamenmoor::{Announcement, AnnouncementOrder, Effect, Event, Instance, InstanceSettings};

const START: u64 = 1_000_000;

fn at(millis: u64) -> Now {
    Now { mono: Mono(millis * 1_000), wall: Wall(START + millis) }
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn instance() -> Instance {
    named("a", 2, Vec::new())
}

fn named(name: &str, port: u16, seeds: Vec<SocketAddr>) -> Instance {
    let addresses = Addresses { calls: address(1), peer: address(port), admin: address(3) };
    let settings = InstanceSettings {
        me: MemberRecord {
            instance: name.parse().unwrap(),
            incarnation: Incarnation(START),
            domain: "praha-a".parse().unwrap(),
            region: "cz-stred".parse().unwrap(),
            addresses,
        },
        labels: Labels::default(),
        membership: MembershipSettings {
            period: Duration::from_secs(1),
            suspicion: Duration::from_secs(3),
            datagram_bytes: 1_200,
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
            poll_log: None,
        },
        announcement_lease: Duration::from_secs(6),
        evidence_period: Duration::from_secs(1),
        queue: 32,
        queue_wait: Duration::from_millis(200),
        adaptive_slots: false,
        retries: Default::default(),
    };
    Instance::new(settings, 1, at(0))
}

fn held<T>(body: T) -> Held<T> {
    Held { offset: Offset(4), team: "operators".parse().unwrap(), body: Arc::new(body) }
}

/// One service with a route; with `verdict`, a move of it to `v2`.
fn config(version: u64, verdict: Option<Option<VerdictKind>>) -> Config {
    let undeclared = "undeclared".parse().unwrap();
    let mut config = Config {
        version: ConfigVersion(version),
        undeclared: Some(undeclared),
        ..Config::default()
    };
    let service = Service {
        name: "dvere".parse().unwrap(),
        labels: Labels::default(),
        version: "undeclared".parse().unwrap(),
    };
    config.services.insert(service.name.clone(), held(service));
    for version in ["undeclared", "v2"] {
        let id = VersionId { service: "dvere".parse().unwrap(), version: version.parse().unwrap() };
        config.versions.insert(id.clone(), held(Version { id, labels: Labels::default() }));
    }
    let route = Route {
        name: "doors".parse().unwrap(),
        proxies: Selector { requirements: Vec::new() },
        matches: RouteMatch { hosts: Vec::new(), path_prefix: "".into(), headers: Vec::new() },
        priority: 0,
        service: "dvere".parse().unwrap(),
        services: Vec::new(),
        split: Vec::new(),
        timeout: Duration::from_secs(1),
        target: None,
        attempts: None,
        idempotence: Default::default(),
        criticality: Default::default(),
        sticky: None,
    };
    config.routes.insert(route.name.clone(), held(route));
    if let Some(verdict) = verdict {
        let mv = HeldMove { held: held(to_v2()), order: None, verdict: verdict.map(decided) };
        config.moves.insert(mv.held.body.name.clone(), mv);
    }
    config
}

fn to_v2() -> Move {
    Move {
        name: "dvere".parse().unwrap(),
        service: "dvere".parse().unwrap(),
        from: "undeclared".parse().unwrap(),
        to: "v2".parse().unwrap(),
        start: Wall(START),
        deadline: Wall(START + 16_000),
        watch: Duration::from_secs(16),
        tolerance_ppm: 5_000,
        clash: ClashRule::Evidence,
    }
}

fn decided(kind: VerdictKind) -> MoveVerdict {
    MoveVerdict { kind, reason: "a test".into(), by: "b".parse().unwrap(), at: Wall(START) }
}

fn announcement(name: &str, version: &str, born: u64, sequence: u64) -> Announcement {
    Announcement {
        name: name.parse().unwrap(),
        service: "dvere".parse().unwrap(),
        version: version.parse().unwrap(),
        labels: Labels::default(),
        slots: 13,
        connections: 130,
        address: address(9),
        draining: false,
        order: Some(AnnouncementOrder { born, sequence }),
        cold: Duration::ZERO,
    }
}

fn announce(instance: &mut Instance, millis: u64, announcement: &Announcement) {
    instance.announce(at(millis), announcement, &mut Vec::new()).unwrap();
}

fn state(instance: &Instance, name: &str) -> Option<ServerState> {
    let name = name.parse().unwrap();
    instance.membership().own_server(&name).map(|record| record.state)
}

/// The backend server that a call goes to, or why it is refused.
fn call(instance: &mut Instance, millis: u64) -> Result<String, RefusalKind> {
    let head = CallHead {
        method: "GET",
        host: "doors.example",
        path: "/",
        header: &|_| None,
        deadline: Mono::NEVER,
    };
    let begun = instance.begin(at(millis), &head);
    begun.map(|attempt| attempt.server.to_string()).map_err(|refusal| refusal.kind)
}

#[test]
fn begin_without_configuration() {
    let mut instance = instance();
    assert!(!instance.ready());
    assert_eq!(call(&mut instance, 1), Err(RefusalKind::Unavailable));
    assert!(instance.adopt(at(2), config(1, None), &mut Vec::new()));
    assert!(instance.ready());
    assert_eq!(call(&mut instance, 3), Err(RefusalKind::Unavailable), "no server is there");
    announce(&mut instance, 4, &announcement("s-1", "v1", 5, 1));
    assert_eq!(call(&mut instance, 5).as_deref(), Ok("s-1"));
}

#[test]
fn adopt_never_backwards() {
    let mut instance = instance();
    assert!(instance.adopt(at(1), config(7, None), &mut Vec::new()));
    assert!(!instance.adopt(at(2), config(6, None), &mut Vec::new()));
    assert_eq!(instance.table().version(), ConfigVersion(7));
    assert!(instance.adopt(at(3), config(7, Some(None)), &mut Vec::new()), "the same with news");
    assert_eq!(instance.config().moves.len(), 1);
}

#[test]
fn adopt_move_decides_who_serves() {
    let mut instance = instance();
    announce(&mut instance, 1, &announcement("old", "v1", 5, 1));
    let other = Announcement { address: address(10), ..announcement("new", "v2", 6, 1) };
    announce(&mut instance, 1, &other);
    let servers = |instance: &mut Instance, millis| {
        let mut servers: Vec<String> = Vec::new();
        for number in 0..200_u64 {
            servers.push(call(instance, millis + number).unwrap());
        }
        servers.sort();
        servers.dedup();
        servers
    };
    instance.adopt(at(2), config(1, Some(None)), &mut Vec::new());
    assert_eq!(servers(&mut instance, 10), ["old"], "nothing moves before the first tick");
    instance.adopt(at(3), config(2, Some(Some(VerdictKind::TakenBack))), &mut Vec::new());
    assert_eq!(servers(&mut instance, 300), ["old"]);
    instance.adopt(at(4), config(3, Some(Some(VerdictKind::Done))), &mut Vec::new());
    assert_eq!(servers(&mut instance, 600), ["new"]);
}

#[test]
fn announce_late_one_is_ignored() {
    let mut instance = instance();
    announce(&mut instance, 1, &announcement("s-1", "v1", 5, 4));
    let draining = Announcement { draining: true, ..announcement("s-1", "v1", 5, 6) };
    announce(&mut instance, 2, &draining);
    announce(&mut instance, 3, &announcement("s-1", "v1", 5, 5));
    assert_eq!(state(&instance, "s-1"), Some(ServerState::Draining));
}

#[test]
fn announce_later_life_holds() {
    let mut instance = instance();
    announce(&mut instance, 1, &announcement("s-1", "v1", 5, 40));
    announce(&mut instance, 2, &announcement("s-1", "v1", 9, 1));
    assert_eq!(state(&instance, "s-1"), Some(ServerState::Ready));
    let stale = Announcement { draining: true, ..announcement("s-1", "v1", 5, 41) };
    announce(&mut instance, 3, &stale);
    assert_eq!(state(&instance, "s-1"), Some(ServerState::Ready), "that life is over");
}

#[test]
fn announce_same_address_replaces() {
    let mut instance = instance();
    announce(&mut instance, 1, &announcement("s-1", "v1", 5, 1));
    announce(&mut instance, 2, &announcement("s-2", "v1", 9, 1));
    assert_eq!(state(&instance, "s-1"), Some(ServerState::Gone));
    announce(&mut instance, 3, &announcement("s-1", "v1", 5, 2));
    assert_eq!(state(&instance, "s-1"), Some(ServerState::Gone), "it crashed before");
    assert_eq!(state(&instance, "s-2"), Some(ServerState::Ready));
}

#[test]
fn withdraw_stays() {
    let mut instance = instance();
    announce(&mut instance, 1, &announcement("s-1", "v1", 5, 1));
    let name = "s-1".parse().unwrap();
    instance.withdraw(at(2), &name, None, &mut Vec::new()).unwrap();
    announce(&mut instance, 3, &announcement("s-1", "v1", 5, 2));
    assert_eq!(state(&instance, "s-1"), Some(ServerState::Gone));
    announce(&mut instance, 4, &announcement("s-1", "v1", 9, 1));
    assert_eq!(state(&instance, "s-1"), Some(ServerState::Ready), "a later life is another");
    instance.withdraw(at(5), &name, Some(5), &mut Vec::new()).unwrap();
    assert_eq!(state(&instance, "s-1"), Some(ServerState::Ready), "a late word of the first life");
}

/// Hands the datagrams that an instance sends to another one, and those back.
fn talk(millis: u64, from: &mut Instance, to: &mut Instance) -> Vec<Effect> {
    let mut out = Vec::new();
    from.handle(at(millis), Event::Wakeup, &mut out);
    let mut heard = Vec::new();
    for effect in out {
        let Effect::Send(datagram) = effect else {
            continue;
        };
        let event = Event::Datagram { from: address(9), bytes: datagram.bytes };
        to.handle(at(millis), event, &mut heard);
    }
    heard
}

#[test]
fn behind_once_another_holds_more() {
    let mut a = named("a", 2, vec![address(4)]);
    let mut b = named("b", 4, vec![address(2)]);
    a.adopt(at(1), config(3, None), &mut Vec::new());
    b.adopt(at(1), config(3, None), &mut Vec::new());
    talk(10, &mut a, &mut b);
    assert!(!b.behind());
    a.adopt(at(20), config(5, None), &mut Vec::new());
    let mut woken = false;
    for millis in (1_000..9_000).step_by(250) {
        woken |= talk(millis, &mut a, &mut b).contains(&Effect::Changed);
    }
    assert!(b.behind() && woken);
    assert!(!a.behind());
    b.adopt(at(9_500), config(5, None), &mut Vec::new());
    assert!(!b.behind());
}
