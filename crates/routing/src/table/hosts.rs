//! The index of routes by host pattern and path prefix.

use std::sync::Arc;

use cyclamen_declarations::HostPattern;
use cyclamen_types::FastMap;

use crate::table::RouteIndex;

/// Routes by path prefix, as declared. One that ends with a slash matches the paths that begin with
/// it; any other matches whole path segments.
#[derive(Clone, Debug, Default)]
struct PrefixMap {
    by_prefix: FastMap<Arc<str>, Vec<RouteIndex>>,
    /// Length of the longest prefix, in bytes.
    longest_prefix: usize,
}

/// Routes by host, then by path prefix.
#[derive(Clone, Debug, Default)]
pub(super) struct HostMap {
    exact: FastMap<Arc<str>, PrefixMap>,
    /// By host suffix, with its leading dot.
    suffix: FastMap<Arc<str>, PrefixMap>,
    any: PrefixMap,
}

impl PrefixMap {
    fn insert(&mut self, prefix: &str, route: RouteIndex) {
        self.longest_prefix = self.longest_prefix.max(prefix.len());
        let routes = self.by_prefix.entry(prefix.into()).or_default();
        // A route may name the same host twice.
        if routes.last() != Some(&route) {
            routes.push(route);
        }
    }

    /// Searches from the longest matching prefix to the shortest; returns the route with the lowest
    /// index under the first prefix that has a route that passes `accepts`.
    fn find(&self, path: &str, accepts: &dyn Fn(RouteIndex) -> bool) -> Option<RouteIndex> {
        let mut end = path.len();
        loop {
            if end <= self.longest_prefix
                && let Some(found) = self.first(&path[..end], accepts)
            {
                return Some(found);
            }
            // Next is the prefix that ends with the last slash, then the one that ends before it.
            let slash = path[..end].rfind('/')?;
            end = if slash + 1 < end { slash + 1 } else { slash };
        }
    }

    fn first(&self, prefix: &str, accepts: &dyn Fn(RouteIndex) -> bool) -> Option<RouteIndex> {
        let routes = self.by_prefix.get(prefix)?;
        routes.iter().copied().find(|route| accepts(*route))
    }
}

impl HostMap {
    /// Adds a route; routes must be added in order of index. A route without hosts matches any.
    pub(super) fn insert(&mut self, hosts: &[HostPattern], prefix: &str, route: RouteIndex) {
        if hosts.is_empty() {
            self.any.insert(prefix, route);
        }
        for host in hosts {
            let map = match host {
                HostPattern::Exact(name) => self.exact.entry(Arc::clone(name)),
                HostPattern::Suffix(suffix) => self.suffix.entry(Arc::clone(suffix)),
            };
            map.or_default().insert(prefix, route);
        }
    }

    /// The route of a call, among those that pass `accepts`: under its exact host, else the one
    /// with the lowest index under any matching host suffix, else among the routes for any host.
    pub(super) fn find(
        &self,
        host: &str,
        path: &str,
        accepts: &dyn Fn(RouteIndex) -> bool,
    ) -> Option<RouteIndex> {
        let exact = self.exact.get(host).and_then(|map| map.find(path, accepts));
        exact
            .or_else(|| self.find_suffix(host, path, accepts))
            .or_else(|| self.any.find(path, accepts))
    }

    fn find_suffix(
        &self,
        host: &str,
        path: &str,
        accepts: &dyn Fn(RouteIndex) -> bool,
    ) -> Option<RouteIndex> {
        if self.suffix.is_empty() {
            return None;
        }
        let mut best: Option<RouteIndex> = None;
        for (dot, _) in host.match_indices('.') {
            // A suffix needs at least one character before its dot.
            if dot == 0 {
                continue;
            }
            let Some(found) = self.suffix.get(&host[dot..]).and_then(|map| map.find(path, accepts))
            else {
                continue;
            };
            best = Some(best.map_or(found, |other| other.min(found)));
        }
        best
    }
}
