//! Changes that put two services, their versions and a route to each, all with one round's label.

use cyclamen_declarations::{
    Change, ChangeEntry, Declaration, EntryAction, Labels, Route, RouteMatch, Selector, Service,
    Version, VersionId,
};
use cyclamen_ledger::Config;
use cyclamen_types::{Offset, ServiceName};
use std::time::Duration;

/// The label that tells which change wrote a service last.
const ROUND: &str = "round";

/// Labels that make a change large.
const FILLERS: usize = 12;

/// Puts the pair of a name; `base` is the record that it starts from.
pub fn pair(id: &str, name: &str, base: Option<Offset>) -> Change {
    let mut entries = Vec::new();
    for service in services(name) {
        let labels = Labels([(ROUND.into(), id.into())].into());
        let version = VersionId { service: service.clone(), version: "v1".parse().unwrap() };
        let route = route(&service);
        let service = Service { name: service, labels, version: version.version.clone() };
        entries.push(put(None, Version { id: version, labels: Labels::default() }));
        entries.push(put(base, service));
        entries.push(put(None, route));
    }
    Change { id: id.parse().unwrap(), team: "spolek".parse().unwrap(), entries }
}

/// The same change with a label that no datagram holds.
pub fn large(id: &str, name: &str) -> Change {
    let mut change = pair(id, name, None);
    for entry in &mut change.entries {
        if let EntryAction::Put(Declaration::Service(service)) = &mut entry.action {
            for index in 0..FILLERS {
                let value = "x".repeat(60);
                service.labels.0.insert(format!("filler-{index}").into(), value.into());
            }
        }
    }
    change
}

/// The round that both services of a name were written by; `None` while there is neither.
///
/// # Panics
/// One was written without the other.
pub fn round_of(config: &Config, name: &str) -> Option<String> {
    let rounds = services(name).map(|service| {
        let held = config.services.get(&service)?;
        Some(held.body.labels.0[ROUND].to_string())
    });
    assert_eq!(rounds[0], rounds[1], "{name} was written in part");
    rounds[0].clone()
}

/// The record that wrote a pair last.
pub fn base_of(config: &Config, name: &str) -> Option<Offset> {
    Some(config.services.get(&services(name)[0])?.offset)
}

fn services(name: &str) -> [ServiceName; 2] {
    [format!("{name}-a").parse().unwrap(), format!("{name}-b").parse().unwrap()]
}

fn put(base: Option<Offset>, declaration: impl Into<Declaration>) -> ChangeEntry {
    ChangeEntry { base, action: EntryAction::Put(declaration.into()) }
}

fn route(service: &ServiceName) -> Route {
    Route {
        name: format!("to-{service}").parse().unwrap(),
        proxies: Selector { requirements: Vec::new() },
        matches: RouteMatch {
            hosts: Vec::new(),
            path_prefix: format!("/{service}").into(),
            headers: Vec::new(),
        },
        priority: 0,
        service: service.clone(),
        services: Vec::new(),
        target: None,
        attempts: None,
        split: Vec::new(),
        timeout: Duration::from_secs(1),
        idempotence: Default::default(),
        criticality: Default::default(),
        sticky: None,
    }
}
