//! The shapes of the served systems.

use std::fmt::Write;
use std::time::Duration;

use cyclamen_declarations::Criticality;

/// A route of a deployment, at the path `/SERVICE/NAME`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteShape {
    /// Its name, and the last part of its path.
    pub name: &'static str,
    /// What goes first when slots are short.
    pub criticality: Criticality,
    /// Whether its calls may run at most once.
    pub once: bool,
    /// Share of the service's calls, by weight.
    pub weight: u32,
    /// Bytes of an answer.
    pub bytes: u32,
}

/// A service of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceShape {
    /// Its name.
    pub name: &'static str,
    /// Its backend servers.
    pub servers: usize,
    /// Its routes.
    pub routes: &'static [RouteShape],
}

/// A served system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Its region.
    pub region: &'static str,
    /// Its failure domains.
    pub domains: &'static [&'static str],
    /// Its services.
    pub services: &'static [ServiceShape],
    /// Calls that a backend server runs at a time.
    pub slots: u32,
    /// Connections that a backend server takes.
    pub connections: u32,
    /// Work of a call.
    pub work: Duration,
}

const QUICK_BYTES: u32 = 256;
const PACK_BYTES: u32 = 64 * 1024;

const fn route(name: &'static str, weight: u32) -> RouteShape {
    let criticality = Criticality::Normal;
    RouteShape { name, criticality, once: false, weight, bytes: QUICK_BYTES }
}

const fn lookup(name: &'static str, weight: u32) -> RouteShape {
    RouteShape { criticality: Criticality::Critical, ..route(name, weight) }
}

const fn filing(name: &'static str, weight: u32) -> RouteShape {
    RouteShape { once: true, ..lookup(name, weight) }
}

const fn download(name: &'static str, weight: u32) -> RouteShape {
    RouteShape { criticality: Criticality::Bulk, bytes: PACK_BYTES, ..route(name, weight) }
}

const fn service(
    name: &'static str,
    servers: usize,
    routes: &'static [RouteShape],
) -> ServiceShape {
    ServiceShape { name, servers, routes }
}

/// Door records and their history, defect notices, inspection packs.
const SPOLEK: Deployment = Deployment {
    name: "spolek",
    region: "cz-stred",
    domains: &["praha-a", "praha-b", "kladno"],
    services: &[
        service("dvere", 6, &[lookup("records", 6), route("history", 3), lookup("register", 1)]),
        service("zavady", 4, &[filing("notices", 4), route("list", 4)]),
        service("zpravy", 3, &[download("packs", 3), route("index", 9)]),
    ],
    slots: 15,
    connections: 130,
    work: Duration::from_millis(4),
};

/// Auction lots, sealed bids, catalogue downloads.
const QUILLFIELD: Deployment = Deployment {
    name: "quillfield",
    region: "new-england",
    domains: &["providence", "worcester", "hartford"],
    services: &[
        service("archive", 6, &[route("lots", 6), route("search", 3)]),
        service("bidding", 4, &[filing("bids", 4), lookup("status", 4)]),
        service("catalogue", 3, &[download("files", 3), route("listings", 9)]),
    ],
    slots: 6,
    connections: 130,
    work: Duration::from_millis(4),
};

impl Deployment {
    /// All deployments.
    pub const ALL: &'static [Self] = &[SPOLEK, QUILLFIELD];

    /// The deployment of a name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|deployment| deployment.name == name)
    }

    /// Declares every service at version `v1`, and every route.
    pub fn declarations(&self) -> String {
        let mut yaml = String::from("declarations:\n");
        for service in self.services {
            push_service(&mut yaml, service);
            yaml.push_str(&version_declaration(service.name, "v1"));
            for route in service.routes {
                push_route(&mut yaml, service, route);
            }
        }
        yaml
    }
}

/// Declares a version of a service.
pub(crate) fn version_declaration(service: &str, version: &str) -> String {
    format!("  - name: {service}/{version}\n    version: {{}}\n")
}

fn push_service(yaml: &mut String, service: &ServiceShape) {
    let name = service.name;
    // Writing to a string does not fail.
    let _ = writeln!(yaml, "  - name: {name}\n    service:\n      version: v1");
}

fn push_route(yaml: &mut String, service: &ServiceShape, route: &RouteShape) {
    let (name, path) = (route.name, service.name);
    let criticality = route.criticality;
    let idempotence = if route.once { "never" } else { "by-method" };
    let _ = write!(
        yaml,
        "  - name: {path}-{name}\n    route:\n      match:\n        path_prefix: /{path}/{name}\n      \
         service: {path}\n      timeout: 2s\n      criticality: {criticality}\n      \
         idempotence: {idempotence}\n"
    );
}
