//! What the router knows of nested calls: calls that a local backend server makes while it runs
//! another one.
//!
//! Daemons that host the servers of a route recognize that its calls are nested, by where they come
//! from, and report it with their answers.

use cyclamen_types::{FastSet, RouteName};

use crate::call::Nesting;

/// The routes that carry nested calls.
#[derive(Debug, Default)]
pub(super) struct NestedCalls {
    routes: FastSet<RouteName>,
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

    /// How far a new call of a route is a repeat, from 0 to 1, because the call that made it is.
    /// For a call that is nested by its route, this is the share of repeats among the running
    /// calls, each of which may have made it.
    pub(super) fn inherited_repeat(&self, route: &RouteName, nesting: Nesting) -> f64 {
        match nesting {
            Nesting::Nested { repeat } => repeat,
            Nesting::ByRoute { running_repeats } if self.routes.contains(route) => running_repeats,
            Nesting::ByRoute { .. } => 0.0,
        }
    }
}
