//! The checks of a change against what is held.

mod common;

use common::{change, change_of, faults, mesh, publish, verdict, warnings};
use cyclamen_ledger::{Ledger, VerdictKind, verify};

const MOVE: &str = "declarations: [{name: to-v2, move: {service: dvere, from: v1, to: v2, \
                    deadline: +10m}}]";

fn one(item: &str) -> cyclamen_declarations::Change {
    change("one", &format!("declarations: [{item}]"))
}

fn moving() -> Ledger {
    let mut ledger = mesh();
    publish(&mut ledger, "move", MOVE);
    ledger
}

fn done() -> Ledger {
    let mut ledger = moving();
    verdict(&mut ledger, "to-v2", VerdictKind::Done);
    ledger
}

/// Asserts that exactly one fault is found, which starts so.
#[track_caller]
fn assert_fault(ledger: &Ledger, item: &str, start: &str) {
    let found = faults(ledger, &one(item));
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with(start), "{found:?}");
}

#[track_caller]
fn assert_accepted(ledger: &Ledger, item: &str) {
    assert_eq!(faults(ledger, &one(item)), Vec::<String>::new());
}

#[test]
fn verify_base_stale() {
    let ledger = done();
    let item = "{name: dvere, base: 0, service: {version: v2, labels: {a: b}}}";
    assert_fault(&ledger, item, "declarations[0].base: service dvere was last written by record 2");
    assert!(verify(&one(item), ledger.config()).stale_base());
    assert_accepted(&ledger, &item.replace("base: 0", "base: 2"));
}

#[test]
fn verify_base_gone() {
    let ledger = mesh();
    let item = "{name: new, base: 0, route: {service: dvere}}";
    assert_fault(&ledger, item, "declarations[0].base: route new is no longer declared");
    assert!(verify(&one(item), ledger.config()).stale_base());
}

#[test]
fn verify_other_team() {
    let ledger = moving();
    for item in [
        "{name: doors, route: {service: zavady}}",
        "{delete: {kind: route, name: doors}}",
        "{order: {move: to-v2, action: pause}}",
        "{name: dvere/v9, version: {}}",
    ] {
        let change = change_of("c", "intruders", &format!("declarations: [{item}]"));
        let found = faults(&ledger, &change);
        assert!(found.iter().any(|f| f.contains("belongs to team `doors`")), "{item}: {found:?}");
    }
    let route = "declarations: [{name: theirs, route: {service: dvere}}]";
    assert!(faults(&ledger, &change_of("c", "intruders", route)).is_empty());
}

#[test]
fn verify_route_split_unknown_version() {
    let item = "{name: doors, route: {service: dvere, split: [{version: v7, weight: 1}]}}";
    let start = "declarations[0].route.split[0].version: version dvere/v7 is not declared";
    assert_fault(&mesh(), item, start);
}

#[test]
fn verify_service_without_version() {
    let item = "{name: new, service: {version: v1}}";
    assert_fault(&mesh(), item, "declarations[0].service.version: version new/v1 is not declared");
    assert_accepted(&mesh(), &format!("{item}, {{name: new/v1, version: {{}}}}"));
}

#[test]
fn verify_delete_service_in_use() {
    let found = faults(&mesh(), &one("{delete: {kind: service, name: zavady}}"));
    insta::assert_yaml_snapshot!(found);
}

#[test]
fn verify_delete_version_in_use() {
    let ledger = moving();
    let found = faults(&ledger, &one("{delete: {kind: version, name: dvere/v1}}"));
    insta::assert_yaml_snapshot!(found);
    let item = "{delete: {kind: version, name: zavady/v2}}";
    assert_fault(
        &ledger,
        item,
        "declarations[0].delete.name: version zavady/v2 is in use by route",
    );
}

#[test]
fn verify_delete_with_users() {
    let items = "{delete: {kind: service, name: zavady}}, {delete: {kind: route, name: notices}}, \
                 {delete: {kind: version, name: zavady/v1}}, \
                 {delete: {kind: version, name: zavady/v2}}";
    assert_accepted(&mesh(), items);
}

#[test]
fn verify_delete_and_point_at() {
    let items = "{delete: {kind: version, name: zavady/v2}}, \
                 {name: notices, route: {service: zavady, split: [{version: v2, weight: 1}]}}";
    assert_fault(
        &mesh(),
        items,
        "declarations[1].route.split[0].version: version zavady/v2 is not",
    );
}

#[test]
fn verify_delete_absent() {
    let item = "{delete: {kind: policy, name: none}}";
    assert_fault(&mesh(), item, "declarations[0].delete.name: policy none is not declared");
}

#[test]
fn verify_move_unknown_versions() {
    let item = "{name: m, move: {service: dvere, from: v8, to: v9, deadline: +10m}}";
    let found = faults(&mesh(), &one(item));
    insta::assert_yaml_snapshot!(found);
}

#[test]
fn verify_move_second() {
    let item = "{name: other, move: {service: dvere, from: v1, to: v2, deadline: +10m}}";
    let start = "declarations[0].move.service: service `dvere` has the running move `to-v2`";
    assert_fault(&moving(), item, start);
    let both = format!("{item}, {{delete: {{kind: move, name: to-v2}}}}");
    assert_accepted(&moving(), &both);
    assert_accepted(&mesh(), item);
}

#[test]
fn verify_move_two_in_one_change() {
    let items = "{name: m1, move: {service: dvere, from: v1, to: v2, deadline: +10m}}, \
                 {name: m2, move: {service: dvere, from: v1, to: v2, deadline: +10m}}";
    assert_eq!(faults(&mesh(), &one(items)).len(), 2);
}

#[test]
fn verify_move_from_idle_version() {
    let item = "{name: back, move: {service: dvere, from: v1, to: v2, deadline: +10m}}";
    assert_fault(&done(), item, "declarations[0].move.from: the traffic is on `v2`");
}

#[test]
fn verify_service_version_beside_move() {
    let item = "{name: dvere, service: {version: v2}}";
    let start = "declarations[0].service.version: the running move `to-v2` decides";
    assert_fault(&moving(), item, start);
}

#[test]
fn verify_service_version_past_verdict() {
    let item = "{name: dvere, service: {version: v1}}";
    assert_fault(&done(), item, "declarations[0].service.version: move `to-v2` put the service");
    let deliberate = one("{name: dvere, base: 2, service: {version: v1}}");
    assert!(faults(&done(), &deliberate).is_empty());
    insta::assert_yaml_snapshot!(warnings(&done(), &deliberate));
}

#[test]
fn verify_order_ended() {
    let mut ledger = done();
    assert_fault(&ledger, "{order: {move: to-v2, action: pause}}", "declarations[0].order.move");
    assert_accepted(&ledger, "{order: {move: to-v2, action: take-back}}");
    verdict(&mut ledger, "to-v2", VerdictKind::TakenBack);
    let item = "{order: {move: to-v2, action: take-back}}";
    assert_fault(&ledger, item, "declarations[0].order.move: move `to-v2` has ended");
    assert_fault(&ledger, "{order: {move: none, action: pause}}", "declarations[0].order.move");
}

#[test]
fn verify_warnings() {
    let ledger = moving();
    let items = "{name: idle, policy: {services: tier=none, limits: {queue: 1}}}, \
                 {name: zavady, service: {version: v2}}, \
                 {delete: {kind: move, name: to-v2}}";
    let change = one(items);
    assert!(faults(&ledger, &change).is_empty());
    insta::assert_yaml_snapshot!(warnings(&ledger, &change));
    assert_eq!(warnings(&done(), &change_of("again", "doors", MOVE)).len(), 1);
}

#[test]
fn verify_delete_version_of_ended_move() {
    let ledger = done();
    let move_again = MOVE.trim_start_matches("declarations: [").trim_end_matches(']');
    let items = format!("{move_again}, {{delete: {{kind: version, name: dvere/v1}}}}");
    let start = "declarations[0].move.from: version dvere/v1 is not declared";
    assert_fault(&ledger, &items, start);
}

#[test]
fn verify_route_shadows() {
    let ledger = mesh();
    let alike = "match: {hosts: [dvere.example], path_prefix: /doors}, service: dvere";
    let shadowed = one(&format!("{{name: ever, route: {{{alike}}}}}"));
    let first = one(&format!("{{name: ever, route: {{{alike}, priority: 1}}}}"));
    let elsewhere = one(&format!("{{name: ever, route: {{{alike}, proxies: region=none}}}}"));
    assert!(faults(&ledger, &shadowed).is_empty());
    let found = [&shadowed, &first, &elsewhere].map(|change| warnings(&ledger, change));
    insta::assert_yaml_snapshot!(found);
}

/// Guards against two routes being taken for one: `/doors` and `/doors/` match different paths.
#[test]
fn verify_route_with_another_last_slash_shadows_nothing() {
    let ledger = mesh();
    let slash = "match: {hosts: [dvere.example], path_prefix: /doors/}, service: dvere";
    let change = one(&format!("{{name: ever, route: {{{slash}}}}}"));
    assert!(faults(&ledger, &change).is_empty());
    assert!(warnings(&ledger, &change).is_empty());
}
