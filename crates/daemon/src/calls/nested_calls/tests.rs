//! Tests which running call an arriving call counts as nested in.

use cyclamen_routing::CallId;
use http::HeaderValue;

use super::{AncestorServices, ParentCall, RunningCalls};

fn id(text: &'static str) -> HeaderValue {
    HeaderValue::from_static(text)
}

fn services(names: &[&str]) -> AncestorServices {
    names.iter().map(|name| (*name).try_into().expect("a name")).collect()
}

fn parent(names: &[&str]) -> ParentCall {
    ParentCall { services: services(names), repeat: 0.5 }
}

#[test]
fn ancestors_while_call_runs() {
    let registry = RunningCalls::default();
    let running = registry.start(id("a"), CallId(1), parent(&["dvere"]));
    assert_eq!(registry.parent(&id("a")), Some(parent(&["dvere"])));
    assert_eq!(registry.parent(&id("b")), None);
    assert!(running.made_nested_calls());
    drop(running);
    assert_eq!(registry.parent(&id("a")), None);
}

#[test]
fn ancestors_of_innermost_call() {
    let registry = RunningCalls::default();
    let outer = registry.start(id("a"), CallId(1), parent(&["dvere"]));
    let inner = registry.start(id("a"), CallId(2), parent(&["dvere", "dvere", "zavady"]));
    assert_eq!(registry.parent(&id("a")), Some(parent(&["dvere", "dvere", "zavady"])));
    assert!(inner.made_nested_calls() && !outer.made_nested_calls());
    drop(inner);
    assert_eq!(registry.parent(&id("a")), Some(parent(&["dvere"])));
    drop(outer);
}
