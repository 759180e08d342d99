//! Configurations, routers and servers for the tests of this crate.
#![allow(dead_code)]

use std::sync::Arc;

use cyclamen_declarations::{Labels, parse_change};
use cyclamen_ledger::{Config, Ledger, LogRecord};
use cyclamen_routing::{CallHead, Hop, Nesting, RouteTable, Router, RouterSettings, ServerInfo};
use cyclamen_types::{Incarnation, Mono, Now, Offset, Wall};

/// A service with two versions. Calls of route `once` must not run twice, and calls of route
/// `sticky` with the same `x-inspector` header get the same version.
pub const TWO_VERSIONS: &str = "
declarations:
- name: dvere
  service: {version: v1, labels: {tier: quick}}
- name: dvere/v1
  version: {}
- name: dvere/v2
  version: {}
- name: doors
  route: {service: dvere, timeout: 10s, match: {path_prefix: /}}
- name: once
  route: {service: dvere, timeout: 10s, match: {path_prefix: /once}, idempotence: never}
- name: sticky
  route: {service: dvere, timeout: 10s, match: {path_prefix: /sticky}, sticky: x-inspector}
";

pub fn config(yaml: &str) -> Arc<Config> {
    let id = "change-1".try_into().expect("valid name");
    let team = "doors".try_into().expect("valid name");
    let change = parse_change(yaml, id, team, Wall(0)).expect("valid change");
    let mut ledger = Ledger::default();
    let payload = Ledger::change_payload(&change).into();
    ledger.fold(&LogRecord { offset: Offset(0), payload });
    Arc::clone(ledger.config())
}

pub fn table(yaml: &str) -> RouteTable {
    RouteTable::build(&config(yaml), &Labels::default()).expect("table has no faults")
}

/// The time this many microseconds after the start, on both clocks.
pub fn at(micros: u64) -> Now {
    Now { mono: Mono(micros), wall: Wall(micros / 1_000) }
}

pub fn router(yaml: &str, servers: &[ServerInfo]) -> Router {
    let settings = RouterSettings {
        retries: Default::default(),
        domain: "praha-a".try_into().expect("valid name"),
        region: "cz-stred".try_into().expect("valid name"),
    };
    let mut router = Router::new(settings, 1);
    assert!(router.install(Arc::new(table(yaml))));
    router.set_servers(at(0), servers);
    router
}

pub fn server(name: &str, version: &str, domain: &str) -> ServerInfo {
    ServerInfo {
        name: name.try_into().expect("valid name"),
        service: "dvere".try_into().expect("valid name"),
        version: version.try_into().expect("valid name"),
        domain: domain.try_into().expect("valid name"),
        region: "cz-stred".try_into().expect("valid name"),
        hop: Hop::Daemon(([127, 0, 0, 1], 1).into()),
        slots: 15,
        ready: true,
        suspected_down: false,
        announcement: (Incarnation(1), 1),
    }
}

/// A call without headers and without a deadline of its own.
pub fn head<'a>(method: &'a str, path: &'a str) -> CallHead<'a> {
    let (deadline, nesting) = (Mono::NEVER, Nesting::NO_REPEATS);
    CallHead { method, host: "dvere", path, header: &|_| None, deadline, nesting }
}
