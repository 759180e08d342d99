//! Which calls count as made for others.

use http::HeaderValue;

use super::{RunningIds, ServicesAround};

fn id(text: &'static str) -> HeaderValue {
    HeaderValue::from_static(text)
}

fn services(names: &[&str]) -> ServicesAround {
    names.iter().map(|name| (*name).try_into().expect("a name")).collect()
}

#[test]
fn around_while_it_runs() {
    let ids = RunningIds::default();
    let running = ids.start(id("a"), 1, &services(&[]), &"dvere".try_into().expect("a name"));
    assert_eq!(ids.around(&id("a")), services(&["dvere"]));
    assert_eq!(ids.around(&id("b")), services(&[]));
    assert!(running.calls_on());
    drop(running);
    assert_eq!(ids.around(&id("a")), services(&[]));
}

#[test]
fn around_innermost_of_one_id() {
    let ids = RunningIds::default();
    let zavady = "zavady".try_into().expect("a name");
    let outer = ids.start(id("a"), 1, &services(&[]), &"dvere".try_into().expect("a name"));
    let inner = ids.start(id("a"), 2, &services(&["dvere", "dvere"]), &zavady);
    assert_eq!(ids.around(&id("a")), services(&["dvere", "dvere", "zavady"]));
    assert!(inner.calls_on() && !outer.calls_on());
    drop(inner);
    assert_eq!(ids.around(&id("a")), services(&["dvere"]));
    drop(outer);
}
