//! The route table: the routes, services and client accounts of a configuration, compiled for
//! lookup.
//!
//! [`RouteTable::build`] checks the routes that apply to one instance and sorts them by precedence;
//! a table with faults is never installed. [`RouteTable::find`] looks up the route of a call.

mod accounts;
mod build;
mod hosts;
mod policies;

use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::{
    ColdLimit, Criticality, HeaderMatch, Idempotence, StickyKey, WeightedService, WeightedVersion,
};
use cyclamen_types::{ConfigVersion, FastMap, FastSet, RouteName, ServiceName, VersionName};
use derive_more::{Display, From, Into};
use thiserror::Error;
use typed_index_collections::TiVec;

use crate::call::CallHead;
pub use crate::table::accounts::AccountTable;
pub(crate) use crate::table::accounts::{CallAccount, NoAccount};
use crate::table::hosts::HostMap;
pub use crate::table::policies::{ServiceLimits, ServiceRetries};

/// Index of a route in its table. Of two routes that match the host of a call in the same way
/// (exactly, by any suffix, or by not naming hosts), the one with the lower index takes precedence.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteIndex(pub usize);

/// Index of a service in its table, in order of name.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceIndex(pub usize);

/// A fault of the configuration that keeps a table from being built.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableFault {
    /// A route refers to a service that is not declared.
    #[error("route `{route}` refers to undeclared service `{service}`: declare it first")]
    MissingService {
        /// The faulty route.
        route: RouteName,
        /// The missing service.
        service: ServiceName,
    },
    /// The split of a route, or a service that the route refers to, names a version that is not
    /// declared.
    #[error("route `{route}` needs undeclared version `{service}/{version}`: declare it first")]
    MissingVersion {
        /// The faulty route.
        route: RouteName,
        /// Service of the missing version.
        service: ServiceName,
        /// The missing version.
        version: VersionName,
    },
    /// All weights in the split of a route are zero.
    #[error("all weights in the split of route `{route}` are zero: give one version a weight")]
    NoWeight {
        /// The faulty route.
        route: RouteName,
    },
}

/// A route, reduced to what the router needs for a call.
#[derive(Debug)]
pub(crate) struct CompiledRoute {
    pub(crate) name: RouteName,
    /// Service that gets all calls if `services` has no weights; part of the sticky hash in any
    /// case.
    pub(crate) service: ServiceName,
    /// Weighted services; empty if all calls go to `service`.
    pub(crate) services: Vec<WeightedService>,
    pub(crate) attempts: Option<u32>,
    pub(crate) split: Vec<WeightedVersion>,
    pub(crate) timeout: Duration,
    pub(crate) target: Option<Duration>,
    pub(crate) idempotence: Idempotence,
    pub(crate) criticality: Criticality,
    pub(crate) sticky: Option<StickyKey>,
    /// Whether calls need no key of a client account.
    pub(crate) open: bool,
    headers: Vec<HeaderMatch>,
}

/// A service, with the policies that apply to it on this instance.
#[derive(Clone, Debug)]
pub(crate) struct CompiledService {
    pub(crate) name: ServiceName,
    /// Version that is declared as current.
    pub(crate) version: VersionName,
    pub(crate) limits: ServiceLimits,
    pub(crate) retries: ServiceRetries,
    /// What its backend servers bear while they are cold, where that is bounded.
    pub(crate) cold: Option<ColdLimit>,
}

/// The routes and services of a configuration that apply to one instance. The default table is
/// empty and of [`ConfigVersion::NONE`].
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: ConfigVersion,
    routes: TiVec<RouteIndex, Arc<CompiledRoute>>,
    names: FastSet<RouteName>,
    services: TiVec<ServiceIndex, CompiledService>,
    service_by_name: FastMap<ServiceName, ServiceIndex>,
    hosts: HostMap,
    accounts: AccountTable,
}

impl RouteTable {
    /// Version of the configuration that the table was built from.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Names of all routes of the table, sorted.
    pub fn route_names(&self) -> Vec<RouteName> {
        let mut names: Vec<RouteName> = self.routes.iter().map(|r| r.name.clone()).collect();
        names.sort();
        names
    }

    /// Whether the table has a route of this name.
    pub fn has_route(&self, name: &RouteName) -> bool {
        self.names.contains(name)
    }

    /// Name of a route; `None` if the index is not of this table.
    pub fn route_name(&self, index: RouteIndex) -> Option<&RouteName> {
        self.routes.get(index).map(|route| &route.name)
    }

    /// The route that a call matches, if any; see [`RouteMatch`](cyclamen_declarations::RouteMatch) for
    /// the precedence.
    pub fn find(&self, head: &CallHead<'_>) -> Option<RouteIndex> {
        let accepts = |index: RouteIndex| headers_match(&self.routes[index].headers, head);
        self.hosts.find(head.host, head.path, &accepts)
    }

    /// Limits of a service on this instance; the default without limits for an unknown service.
    pub fn limits(&self, service: &ServiceName) -> ServiceLimits {
        self.service(service).map(|found| found.limits).unwrap_or_default()
    }

    /// What backend servers of a service bear while they are cold; `None` where that is not bounded.
    pub fn cold_limit(&self, service: &ServiceName) -> Option<&ColdLimit> {
        self.service(service)?.cold.as_ref()
    }

    /// The client accounts.
    pub fn accounts(&self) -> &AccountTable {
        &self.accounts
    }

    pub(crate) fn route(&self, index: RouteIndex) -> &Arc<CompiledRoute> {
        &self.routes[index]
    }

    pub(crate) fn service(&self, name: &ServiceName) -> Option<&CompiledService> {
        self.service_by_name.get(name).map(|index| &self.services[*index])
    }
}

fn headers_match(required: &[HeaderMatch], head: &CallHead<'_>) -> bool {
    for header in required {
        let Some(found) = (head.header)(&header.name) else {
            return false;
        };
        if header.value.as_deref().is_some_and(|value| value != found) {
            return false;
        }
    }
    true
}
