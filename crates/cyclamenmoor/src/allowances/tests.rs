//! Tokens of calls at an instance: taken once, and returned by those that were not run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::{
    AccountKey, Allowance, ClientAccount, Labels, Route, RouteMatch, Selector, Service, Version,
    VersionId,
};
use cyclamen_distribution::{ConfigSource, DistributionSettings};
use cyclamen_ledger::{Config, Held};
use cyclamen_membership::{Addresses, MemberRecord, MembershipSettings, MeshKey};
use cyclamen_routing::{Attempt, CallHead, Credential, Nesting, Outcome, Refusal, RefusalKind};
use cyclamen_types::{AccountName, ConfigVersion, Incarnation, Mono, Now, Offset, Wall};

use crate::event::{Announcement, AnnouncementOrder, Effect, Event};
use crate::instance::Instance;
use crate::settings::InstanceSettings;

const START_MS: u64 = 1_000_000;
/// The key of the account's calls.
const KEY: &[u8] = b"a-key";

const CALLS_PER_SECOND: f64 = 10.0;

fn time(millis: u64) -> Now {
    Now { mono: Mono(millis * 1_000), wall: Wall(START_MS + millis) }
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn account() -> AccountName {
    "hospital".parse().expect("a name")
}

fn new_instance(name: &str, port: u16, seeds: Vec<SocketAddr>) -> Instance {
    let settings = InstanceSettings {
        local_member: MemberRecord {
            instance: name.parse().expect("a name"),
            incarnation: Incarnation(START_MS),
            domain: "praha-a".parse().expect("a name"),
            region: "cz-stred".parse().expect("a name"),
            addresses: Addresses { calls: address(1), peer: address(port), admin: address(3) },
        },
        labels: Labels::default(),
        membership: MembershipSettings {
            gossip_period: Duration::from_secs(1),
            suspicion_timeout: Duration::from_secs(3),
            max_datagram_bytes: 1_200,
            bytes_per_second: 8_192,
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
        cold_overshoot: 1.0,
        adaptive_slots: false,
        retry_limits: Default::default(),
        drain_time: Duration::from_secs(2),
    };
    let mut instance = Instance::new(settings, 1, time(0));
    assert!(instance.install_config(time(0), config(), &mut Vec::new()));
    instance
}

fn held<T>(body: T) -> Held<T> {
    Held { offset: Offset(4), team: "operators".parse().expect("a name"), body: Arc::new(body) }
}

/// A service, a route to it, and an account with an allowance.
fn config() -> Config {
    let mut config = Config {
        version: ConfigVersion(1),
        undeclared: Some("v1".parse().expect("a name")),
        ..Config::default()
    };
    let allowance = Allowance { calls_per_second: CALLS_PER_SECOND, burst: CALLS_PER_SECOND };
    let client = ClientAccount {
        name: account(),
        keys: vec![AccountKey::of(KEY)],
        criticality: None,
        allowance: Some(allowance),
    };
    config.accounts.insert(account(), Arc::new(client));
    let service = Service {
        name: "dvere".parse().expect("a name"),
        labels: Labels::default(),
        version: "v1".parse().expect("a name"),
    };
    let id = VersionId { service: service.name.clone(), version: service.version.clone() };
    config.services.insert(service.name.clone(), held(service));
    config.versions.insert(id.clone(), held(Version { id, labels: Labels::default() }));
    let route = Route {
        name: "doors".parse().expect("a name"),
        proxies: Selector { requirements: Vec::new() },
        matches: RouteMatch { hosts: Vec::new(), path_prefix: "".into(), headers: Vec::new() },
        priority: 0,
        service: "dvere".parse().expect("a name"),
        services: Vec::new(),
        split: Vec::new(),
        timeout: Duration::from_secs(1),
        target: None,
        attempts: None,
        idempotence: Default::default(),
        criticality: Default::default(),
        sticky: None,
        open: false,
    };
    config.routes.insert(route.name.clone(), held(route));
    config
}

fn announce(instance: &mut Instance, millis: u64) {
    let announcement = Announcement {
        name: "s-1".parse().expect("a name"),
        service: "dvere".parse().expect("a name"),
        version: "v1".parse().expect("a name"),
        labels: Labels::default(),
        slots: 13,
        connections: 130,
        address: address(9),
        draining: false,
        order: Some(AnnouncementOrder { started_at_ms: START_MS, sequence: 1 }),
        cold: None,
    };
    instance.announce_server(time(millis), &announcement, &mut Vec::new()).expect("announced");
}

/// Takes `calls` tokens, one each 10 ms. Returns how many were granted.
fn take(instance: &mut Instance, millis: u64, calls: u64) -> u64 {
    let mut granted = 0;
    for call in 0..calls {
        let now = time(millis + call * 10);
        instance.handle(now, Event::Wakeup, &mut Vec::new());
        granted += u64::from(instance.take_token(now, Some(&account())).is_ok());
    }
    granted
}

#[test]
fn begin_over_the_allowance_is_refused_with_a_time_to_come_back() {
    let mut instance = new_instance("a", 2, Vec::new());
    let granted = take(&mut instance, 20_000, 200);
    assert!((20..=60).contains(&granted), "{granted}");
    let refusal = instance.take_token(time(22_000), Some(&account())).expect_err("used up");
    assert_eq!(refusal.kind, RefusalKind::OverAllowance);
    assert!(refusal.retry_after.is_some_and(|after| after < Duration::from_secs(6)));
    assert!(refusal.reason.contains("hospital"), "{}", refusal.reason);
    assert_eq!(instance.take_token(time(22_000), None), Ok(()));
}

#[test]
fn begin_without_server_gives_the_token_back() {
    let mut instance = new_instance("a", 2, Vec::new());
    for call in 0..1_000 {
        let refusal = begin(&mut instance, 20_000 + call).expect_err("there is no server");
        assert_ne!(refusal.kind, RefusalKind::OverAllowance);
    }
    let counters = instance.dump().allowance_counters;
    assert_eq!(counters.granted, counters.given_back);
}

#[test]
fn finish_gives_the_token_back_only_if_not_run() {
    let cases = [
        (Outcome::NotConnected, 1),
        (Outcome::Blocked, 1),
        (Outcome::Answered { status: 200 }, 0),
        (Outcome::TimedOut, 0),
        (Outcome::Cancelled, 0),
    ];
    for (outcome, given_back) in cases {
        let mut instance = new_instance("a", 2, Vec::new());
        announce(&mut instance, 20_900);
        take(&mut instance, 20_000, 1);
        let attempt = begin(&mut instance, 21_000).expect("there is a server");
        assert_eq!(attempt.account, Some(account()));
        let _ = instance.finish_attempt(time(21_010), &attempt, outcome);
        let counters = instance.dump().allowance_counters;
        assert_eq!(counters.given_back, given_back, "{outcome:?}");
    }
}

#[test]
fn instances_share_an_allowance() {
    let mut instances = [new_instance("a", 2, Vec::new()), new_instance("b", 3, vec![address(2)])];
    let mut granted = 0;
    for millis in (0..40_000).step_by(10) {
        let now = time(millis);
        exchange(&mut instances, now);
        if millis < 15_000 {
            continue;
        }
        for instance in &mut instances {
            granted += u64::from(instance.take_token(now, Some(&account())).is_ok());
        }
        exchange(&mut instances, now);
    }
    // 25 s of calls, a burst, and what is put up with in one window.
    let most = (CALLS_PER_SECOND * 26.0 * 1.1) as u64 + 20;
    let least = (CALLS_PER_SECOND * 25.0 * 0.85) as u64;
    assert!((least..=most).contains(&granted), "{granted}");
}

fn begin(instance: &mut Instance, millis: u64) -> Result<Attempt, Refusal> {
    let head = CallHead {
        method: "GET",
        host: "doors.example",
        path: "/",
        header: &|_| None,
        deadline: Mono::NEVER,
        nesting: Nesting::NO_REPEATS,
        credential: Credential::Key(AccountKey::of(KEY)),
    };
    instance.begin_call(time(millis), &head)
}

/// Has both instances do what is due, and delivers what they send.
fn exchange(instances: &mut [Instance; 2], now: Now) {
    for _ in 0..3 {
        for from in 0..2 {
            let mut out = Vec::new();
            if instances[from].next_wakeup() <= now.mono {
                instances[from].handle(now, Event::Wakeup, &mut out);
            }
            for effect in out {
                deliver(instances, now, from, effect);
            }
        }
    }
}

fn deliver(instances: &mut [Instance; 2], now: Now, from: usize, effect: Effect) {
    let Effect::Send(datagram) = effect else {
        return;
    };
    let ports = [2, 3];
    let Some(to) = ports.iter().position(|port| address(*port) == datagram.to) else {
        return;
    };
    let event = Event::Datagram { from: address(ports[from]), bytes: datagram.bytes };
    let mut out = Vec::new();
    instances[to].handle(now, event, &mut out);
    for effect in out {
        deliver(instances, now, to, effect);
    }
}
