//! What the router knows of nested calls: calls that a local backend server makes while it runs
//! another one.
//!
//! Daemons that host the servers of a route recognize that its calls are nested, by where they come
//! from, and report it with their answers.

use cyclamen_types::{FastSet, Mono, RouteName};

use crate::call::Nesting;

/// The routes that carry nested calls, and the last of these calls that failed.
#[derive(Debug, Default)]
pub(super) struct NestedCalls {
    routes: FastSet<RouteName>,
    last_failure: Option<Mono>,
}

impl NestedCalls {
    /// Records whether a daemon that hosts a server of the route takes its calls for nested.
    pub(super) fn observe_route(&mut self, route: &RouteName, nested: bool) {
        match nested {
            true if !self.routes.contains(route) => _ = self.routes.insert(route.clone()),
            true => {}
            false => _ = self.routes.remove(route),
        }
    }

    /// Forgets the routes for which `keep` is false.
    pub(super) fn retain_routes(&mut self, keep: impl Fn(&RouteName) -> bool) {
        self.routes.retain(|route| keep(route));
    }

    /// Whether a call of a route is nested, as far as known.
    pub(super) fn is_nested(&self, route: &RouteName, nesting: Nesting) -> bool {
        matches!(nesting, Nesting::Nested { .. }) || self.routes.contains(route)
    }

    /// Records that a nested call failed.
    pub(super) fn record_failure(&mut self, now: Mono) {
        self.last_failure = Some(now);
    }

    /// Whether a nested call has failed since then.
    pub(super) fn failed_since(&self, since: Mono) -> bool {
        self.last_failure.is_some_and(|failure| failure >= since)
    }

    /// How far a new call of a route is a repeat, from 0 to 1, because the call that made it is.
    /// For a call that is nested by its route, this is the share of repeats among the running
    /// calls, each of which may have made it.
    pub(super) fn inherited_repeat(&self, route: &RouteName, nesting: Nesting) -> f64 {
        match nesting {
            Nesting::Nested { repeat } => repeat,
            Nesting::ByRoute { running_repeats } if self.is_nested(route, nesting) => {
                running_repeats
            }
            Nesting::ByRoute { .. } => 0.0,
        }
    }
}
