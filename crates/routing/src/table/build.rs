//! Builds a route table from a configuration, or reports all faults that keep it from being built.

use std::cmp::Reverse;
use std::sync::Arc;

use cyclamen_declarations::{Labels, Route, VersionId};
use cyclamen_ledger::Config;
use cyclamen_types::{FastMap, ServiceName, VersionName};
use typed_index_collections::TiVec;

use crate::table::accounts::AccountTable;
use crate::table::hosts::HostMap;
use crate::table::{
    CompiledRoute, CompiledService, RouteIndex, RouteTable, ServiceIndex, TableFault, policies,
};

impl RouteTable {
    /// Builds the table of an instance with these labels.
    ///
    /// # Errors
    /// Returns all faults of the routes that apply to the instance. The caller keeps its current
    /// table.
    pub fn build(config: &Config, instance: &Labels) -> Result<Self, Vec<TableFault>> {
        let declared = selected_routes(config, instance);
        let mut faults = Vec::new();
        for route in &declared {
            check_route(config, route, &mut faults);
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        let mut hosts = HostMap::default();
        let mut routes: TiVec<RouteIndex, Arc<CompiledRoute>> = TiVec::new();
        for route in declared {
            let index = routes.push_and_get_key(Arc::new(compile_route(route)));
            hosts.insert(&route.matches.hosts, &route.matches.path_prefix, index);
        }
        let names = routes.iter().map(|route| route.name.clone()).collect();
        let services = compile_services(config, instance);
        let mut service_by_name = FastMap::default();
        for (index, service) in services.iter_enumerated() {
            service_by_name.insert(service.name.clone(), index);
        }
        let accounts = AccountTable::build(config);
        let version = config.version;
        Ok(Self { version, routes, names, services, service_by_name, hosts, accounts })
    }
}

/// The routes whose `proxies` selector matches the instance, in order of precedence. Precedence by
/// host is left to the lookup.
fn selected_routes<'a>(config: &'a Config, instance: &Labels) -> Vec<&'a Route> {
    let mut routes: Vec<&Route> = Vec::new();
    for declared in config.routes.values() {
        if declared.body.proxies.matches(instance) {
            routes.push(&declared.body);
        }
    }
    routes.sort_by_key(|route| {
        let prefix = Reverse(route.matches.path_prefix.len());
        let headers = Reverse(route.matches.headers.len());
        (prefix, headers, Reverse(route.priority), &route.name)
    });
    routes
}

fn compile_services(config: &Config, instance: &Labels) -> TiVec<ServiceIndex, CompiledService> {
    let mut services = TiVec::new();
    for declared in config.services.values() {
        let name = declared.body.name.clone();
        let (limits, retries) = policies::effective_policies(config, &name, instance);
        let version = declared.body.version.clone();
        let cold = config.cold_limits.get(&name).copied();
        services.push(CompiledService { name, version, limits, retries, cold });
    }
    services
}

/// Copies what the router needs of a route.
fn compile_route(route: &Route) -> CompiledRoute {
    CompiledRoute {
        name: route.name.clone(),
        service: route.service.clone(),
        services: route.services.clone(),
        attempts: route.attempts,
        split: route.split.clone(),
        timeout: route.timeout,
        target: route.target,
        idempotence: route.idempotence,
        criticality: route.criticality,
        sticky: route.sticky.clone(),
        open: route.open,
        headers: route.matches.headers.clone(),
    }
}

fn check_route(config: &Config, route: &Route, faults: &mut Vec<TableFault>) {
    for target in route.targets() {
        check_service(config, route, target, faults);
    }
    if route.split.is_empty() {
        return;
    }
    for weighted in &route.split {
        check_version(config, route, &route.service, &weighted.version, faults);
    }
    if route.split.iter().all(|weighted| weighted.weight == 0) {
        faults.push(TableFault::NoWeight { route: route.name.clone() });
    }
}

/// Checks that a service is declared, and that its current version is if the route has no split.
fn check_service(
    config: &Config,
    route: &Route,
    service: &ServiceName,
    faults: &mut Vec<TableFault>,
) {
    let Some(declared) = config.services.get(service) else {
        let service = service.clone();
        faults.push(TableFault::MissingService { route: route.name.clone(), service });
        return;
    };
    if route.split.is_empty() {
        check_version(config, route, service, &declared.body.version, faults);
    }
}

fn check_version(
    config: &Config,
    route: &Route,
    service: &ServiceName,
    version: &VersionName,
    faults: &mut Vec<TableFault>,
) {
    let id = VersionId { service: service.clone(), version: version.clone() };
    if config.versions.contains_key(&id) {
        return;
    }
    faults.push(TableFault::MissingVersion {
        route: route.name.clone(),
        service: id.service,
        version: id.version,
    });
}
