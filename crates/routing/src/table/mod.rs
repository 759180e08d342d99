//! The compiled table of routes, built whole and verified before it is installed.
//!
//! [`RouteTable::build`] sorts the routes of one proxy by precedence, so that a
//! [`RouteIndex`] orders routes whose hosts match alike; [`RouteTable::find`] looks a call up.

mod build;
mod hosts;
mod policies;

use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::{
    Criticality, HeaderMatch, Idempotence, RouteMatch, StickyKey, WeightedService, WeightedVersion,
};
use cyclamen_types::{ConfigVersion, FastMap, FastSet, RouteName, ServiceName, VersionName};
use derive_more::{Display, From, Into};
use thiserror::Error;
use typed_index_collections::TiVec;

use crate::call::CallHead;
use crate::table::hosts::HostMap;
pub use crate::table::policies::{ServiceLimits, ServiceRetries};

/// A route of a table. Of two routes whose hosts match alike, the lower index goes first.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteIndex(pub usize);

/// A service of a table, in order of name.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceIndex(pub usize);

/// One fault of a table; a table with faults is not installed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableFault {
    /// A route points at a service that is not held.
    #[error("route `{route}` points at service `{service}`, which is not held: declare it first")]
    MissingService {
        /// The route.
        route: RouteName,
        /// The service.
        service: ServiceName,
    },
    /// A route's split, or the service it points at, names a version that is not held.
    #[error(
        "route `{route}` needs version `{service}/{version}`, which is not held: declare it first"
    )]
    MissingVersion {
        /// The route.
        route: RouteName,
        /// The service.
        service: ServiceName,
        /// The version.
        version: VersionName,
    },
    /// A route's split gives no version a share.
    #[error("the split of route `{route}` has weights of zero only: give one version a weight")]
    NoWeight {
        /// The route.
        route: RouteName,
    },
}

/// A route as the router reads it.
#[derive(Debug)]
pub(crate) struct CompiledRoute {
    pub(crate) name: RouteName,
    pub(crate) service: ServiceName,
    pub(crate) services: Vec<WeightedService>,
    pub(crate) attempts: Option<u32>,
    pub(crate) split: Vec<WeightedVersion>,
    pub(crate) timeout: Duration,
    pub(crate) target: Option<Duration>,
    pub(crate) idempotence: Idempotence,
    pub(crate) criticality: Criticality,
    pub(crate) sticky: Option<StickyKey>,
    headers: Vec<HeaderMatch>,
}

/// A service as the router reads it.
#[derive(Clone, Debug)]
pub(crate) struct CompiledService {
    pub(crate) name: ServiceName,
    pub(crate) version: VersionName,
    pub(crate) limits: ServiceLimits,
    pub(crate) retries: ServiceRetries,
}

/// The routes that one proxy holds.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: ConfigVersion,
    routes: TiVec<RouteIndex, Arc<CompiledRoute>>,
    names: FastSet<RouteName>,
    services: TiVec<ServiceIndex, CompiledService>,
    service_by_name: FastMap<ServiceName, ServiceIndex>,
    hosts: HostMap,
}

impl RouteTable {
    /// The configuration it was built from.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// The routes it holds, in order of name.
    pub fn route_names(&self) -> Vec<RouteName> {
        let mut names: Vec<RouteName> = self.routes.iter().map(|r| r.name.clone()).collect();
        names.sort();
        names
    }

    /// Whether it holds a route of this name.
    pub fn has_route(&self, name: &RouteName) -> bool {
        self.names.contains(name)
    }

    /// The name of a route.
    pub fn route_name(&self, index: RouteIndex) -> Option<&RouteName> {
        self.routes.get(index).map(|route| &route.name)
    }

    /// The route that takes a call; see [`RouteMatch`] for the order.
    pub fn find(&self, head: &CallHead<'_>) -> Option<RouteIndex> {
        let accepts = |index: RouteIndex| headers_match(&self.routes[index].headers, head);
        self.hosts.find(head.host, head.path, &accepts)
    }

    /// Limits of a service on this proxy.
    pub fn limits(&self, service: &ServiceName) -> ServiceLimits {
        self.service(service).map(|found| found.limits).unwrap_or_default()
    }

    pub(crate) fn route(&self, index: RouteIndex) -> &Arc<CompiledRoute> {
        &self.routes[index]
    }

    pub(crate) fn service(&self, name: &ServiceName) -> Option<&CompiledService> {
        self.service_by_name.get(name).map(|index| &self.services[*index])
    }
}

fn headers_match(wanted: &[HeaderMatch], head: &CallHead<'_>) -> bool {
    for header in wanted {
        let Some(found) = (head.header)(&header.name) else {
            return false;
        };
        if header.value.as_deref().is_some_and(|value| value != found) {
            return false;
        }
    }
    true
}

/// The part of a path prefix that is compared: without a `/` at its end.
fn trimmed_prefix(matches: &RouteMatch) -> &str {
    matches.path_prefix.trim_end_matches('/')
}
