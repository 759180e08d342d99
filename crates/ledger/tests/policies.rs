//! Which policy holds when several match.

mod common;

use std::time::Duration;

use common::{mesh, publish};
use cyclamen_declarations::Labels;
use cyclamen_ledger::Ledger;
use cyclamen_types::ServiceName;

const POLICIES: &str = "
declarations:
- {name: everyone, policy: {limits: {queue: 10, queue_wait: 100ms}, retries: {attempts: 2}}}
- {name: quick, policy: {services: tier=quick, priority: 5, limits: {queue: 4}}}
- {name: quick-too, policy: {services: tier=quick, priority: 5, limits: {queue: 5, body_bytes: 9}}}
- {name: kladno, policy: {proxies: failure-domain=kladno, priority: 9, limits: {queue: 1}}}
- {name: by-name, policy: {services: service=zavady, priority: 1, retries: {attempts: 1}}}
- {name: below, policy: {priority: -1, limits: {queue: 99}, retries: {budget_percent: 20}}}
";

fn ledger() -> Ledger {
    let mut ledger = mesh();
    publish(&mut ledger, "policies", POLICIES);
    assert_eq!(ledger.config().policies.len(), 6);
    ledger
}

fn proxy(domain: &str) -> Labels {
    let mut labels = Labels::default();
    labels.0.insert("failure-domain".into(), domain.into());
    labels
}

fn service(name: &str) -> ServiceName {
    name.parse().expect("a service")
}

#[test]
fn limits_field_by_field() {
    let limits = ledger().config().limits_for(&service("dvere"), &proxy("praha-a"));
    assert_eq!(limits.queue, Some(4));
    assert_eq!(limits.body_bytes, Some(9));
    assert_eq!(limits.queue_wait, Some(Duration::from_millis(100)));
}

#[test]
fn limits_by_proxy() {
    let limits = ledger().config().limits_for(&service("dvere"), &proxy("kladno"));
    assert_eq!(limits.queue, Some(1));
}

#[test]
fn limits_unmatched_service() {
    let limits = ledger().config().limits_for(&service("zavady"), &proxy("praha-a"));
    assert_eq!(limits.queue, Some(10));
    assert_eq!(limits.body_bytes, None);
    let nothing = ledger().config().limits_for(&service("nowhere"), &proxy("praha-a"));
    assert_eq!(nothing.queue, None);
}

#[test]
fn retries_by_service_name() {
    let ledger = ledger();
    let retries = ledger.config().retries_for(&service("zavady"), &proxy("praha-a"));
    assert_eq!((retries.attempts, retries.budget_percent), (Some(1), Some(20)));
    let retries = ledger.config().retries_for(&service("dvere"), &proxy("praha-a"));
    assert_eq!((retries.attempts, retries.budget_percent), (Some(2), Some(20)));
}

#[test]
fn policies_order_total() {
    let ledger = ledger();
    let order: Vec<&str> = ledger
        .config()
        .policies_for(&service("dvere"), &proxy("kladno"))
        .iter()
        .map(|policy| policy.name.as_str())
        .collect();
    assert_eq!(order, ["kladno", "quick", "quick-too", "everyone", "below"]);
}
