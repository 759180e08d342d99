//! Tests which running call an arriving call counts as nested in.

use cyclamen_routing::CallId;
use http::HeaderValue;

use super::{AncestorServices, RunningCalls};

fn id(text: &'static str) -> HeaderValue {
    HeaderValue::from_static(text)
}

fn services(names: &[&str]) -> AncestorServices {
    names.iter().map(|name| (*name).try_into().expect("a name")).collect()
}

#[test]
fn ancestors_while_call_runs() {
    let registry = RunningCalls::default();
    let running =
        registry.start(id("a"), CallId(1), &services(&[]), &"dvere".try_into().expect("a name"));
    assert_eq!(registry.ancestors(&id("a")), services(&["dvere"]));
    assert_eq!(registry.ancestors(&id("b")), services(&[]));
    assert!(running.made_nested_calls());
    drop(running);
    assert_eq!(registry.ancestors(&id("a")), services(&[]));
}

#[test]
fn ancestors_of_innermost_call() {
    let registry = RunningCalls::default();
    let zavady = "zavady".try_into().expect("a name");
    let outer =
        registry.start(id("a"), CallId(1), &services(&[]), &"dvere".try_into().expect("a name"));
    let inner = registry.start(id("a"), CallId(2), &services(&["dvere", "dvere"]), &zavady);
    assert_eq!(registry.ancestors(&id("a")), services(&["dvere", "dvere", "zavady"]));
    assert!(inner.made_nested_calls() && !outer.made_nested_calls());
    drop(inner);
    assert_eq!(registry.ancestors(&id("a")), services(&["dvere"]));
    drop(outer);
}
