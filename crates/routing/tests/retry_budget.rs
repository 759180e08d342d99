//! Tests of which calls count as repeats, and simulations of the retries that all daemons of a mesh
//! make together.

mod common;

use common::{TWO_VERSIONS, at, head, router, server};
use cyclamen_routing::{Attempt, CallHead, Nesting, Next, Outcome, Router};

fn begin(router: &mut Router, nesting: Nesting) -> Attempt {
    let call = CallHead { nesting, ..head("GET", "/") };
    router.begin(at(0), &call).expect("a server is picked")
}

#[test]
fn begin_inherits_repeat_of_the_call_that_made_it() {
    let mut router = router(TWO_VERSIONS, &[server("a", "v1", "praha-a")]);
    assert_eq!(begin(&mut router, Nesting::Nested { repeat: 1.0 }).repeat, 1.0);
    let by_route = Nesting::ByRoute { running_repeats: 0.25 };
    assert_eq!(begin(&mut router, by_route).repeat, 0.0);
    let route = "doors".try_into().expect("valid name");
    router.observe_nested_route(&route, true);
    assert_eq!(begin(&mut router, by_route).repeat, 0.25);
    router.observe_nested_route(&route, false);
    assert_eq!(begin(&mut router, by_route).repeat, 0.0);
}

/// The repeat of the second attempt of a call whose first one ended like this.
fn repeat_after(outcome: Outcome) -> f64 {
    let servers = [server("a", "v1", "praha-a"), server("b", "v1", "praha-a")];
    let mut router = router(TWO_VERSIONS, &servers);
    let first = begin(&mut router, Nesting::NO_REPEATS);
    match router.finish(at(1), first.id, outcome) {
        Next::Retry(second, _) => second.repeat,
        other => panic!("not retried: {other:?}"),
    }
}

#[test]
fn finish_retry_is_a_repeat_once_a_server_was_reached() {
    assert_eq!(repeat_after(Outcome::NotConnected), 0.0);
    assert_eq!(repeat_after(Outcome::Reset), 1.0);
    assert_eq!(repeat_after(Outcome::Shed { retry_after: Default::default() }), 1.0);
}
