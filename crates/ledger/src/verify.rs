//! The checks of a change against a configuration, alike for the fold and for a dry run.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use cyclamen_declarations::{
    Change, ChangeEntry, Declaration, DeclarationKey, DeclarationKind, EntryAction, Move,
    MoveOrder, OrderAction, Policy, Route, Selector, Service, Version, VersionId,
};
use cyclamen_types::{MoveName, ServiceName, TeamName, VersionName};

use crate::config::{Config, VerdictKind};
use crate::conflict::{Caution, Conflict, Report};
use crate::draft::Draft;

/// Checks a change against a configuration. The entries of the change see each other. The fold
/// accepts a change exactly when this finds no fault.
pub fn verify(change: &Change, config: &Config) -> Report {
    let draft = Draft::new(config, change);
    let routes = draft.routes();
    run(change, draft, Some(routes))
}

/// The same without warnings, which cost more than the faults.
pub(crate) fn verify_faults(change: &Change, config: &Config) -> Report {
    run(change, Draft::new(config, change), None)
}

fn run<'a>(change: &'a Change, draft: Draft<'a>, routes: Option<Vec<&'a Route>>) -> Report {
    let mut cx = Verifier {
        draft,
        routes,
        team: &change.team,
        place: String::new(),
        report: Report::default(),
    };
    let mut keys = BTreeSet::new();
    for (i, entry) in change.entries.iter().enumerate() {
        cx.place = format!("declarations[{i}]");
        let key = entry.action.key();
        cx.entry(entry, &key);
        if !keys.insert(key.clone()) {
            cx.fault("", Conflict::Twice(key));
        }
    }
    cx.report
}

struct Verifier<'a> {
    draft: Draft<'a>,
    /// All routes, where warnings are wanted.
    routes: Option<Vec<&'a Route>>,
    team: &'a TeamName,
    place: String,
    report: Report,
}

impl Verifier<'_> {
    fn fault(&mut self, key: &str, conflict: Conflict) {
        self.report.fault(self.at(key), conflict);
    }

    fn warn(&mut self, key: &str, caution: Caution) {
        self.report.warn(self.at(key), caution);
    }

    fn at(&self, key: &str) -> String {
        if key.is_empty() { self.place.clone() } else { format!("{}.{key}", self.place) }
    }

    fn entry(&mut self, entry: &ChangeEntry, key: &DeclarationKey) {
        self.base(entry, key);
        self.owner("", key);
        match &entry.action {
            EntryAction::Put(Declaration::Service(service)) => {
                self.service(service, entry.base.is_some());
            }
            EntryAction::Put(Declaration::Version(version)) => self.version(version),
            EntryAction::Put(Declaration::Route(route)) => self.route(route),
            EntryAction::Put(Declaration::Policy(policy)) => self.policy(policy),
            EntryAction::Put(Declaration::Move(mv)) => self.mv(mv),
            EntryAction::Delete(key) => self.delete(key),
            EntryAction::Order(order) => self.order(order, key),
        }
    }

    fn base(&mut self, entry: &ChangeEntry, key: &DeclarationKey) {
        let Some(base) = entry.base else {
            return;
        };
        match self.draft.config.written(key) {
            Some((held, _)) if held == base => {}
            Some((held, _)) => {
                self.fault("base", Conflict::StaleBase { key: key.clone(), base, held });
            }
            None => self.fault("base", Conflict::BaseGone { key: key.clone() }),
        }
    }

    fn owner(&mut self, place: &str, key: &DeclarationKey) {
        let Some((_, owner)) = self.draft.config.written(key) else {
            return;
        };
        if owner != self.team {
            let owner = owner.clone();
            self.fault(place, Conflict::NotOwned { key: key.clone(), owner });
        }
    }

    fn needs_service(&mut self, place: &str, name: &ServiceName) -> bool {
        let known = self.draft.service(name).is_some();
        if !known {
            self.fault(place, Conflict::Needs(service_key(name)));
        }
        known
    }

    fn needs_version(&mut self, place: &str, service: &ServiceName, version: &VersionName) {
        let id = VersionId { service: service.clone(), version: version.clone() };
        if !self.draft.has_version(&id) {
            self.fault(place, Conflict::Needs(version_key(&id)));
        }
    }

    fn service(&mut self, service: &Service, has_base: bool) {
        self.needs_version("service.version", &service.name, &service.version);
        let config = self.draft.config;
        let Some(held) = config.services.get(&service.name) else {
            return;
        };
        let base = held.offset;
        let held = held.body.version.clone();
        if held == service.version {
            return;
        }
        if let Some(by) = self.draft.running_move(&service.name, None) {
            let by = by.clone();
            self.fault("service.version", Conflict::VersionMoving { by, held });
            return;
        }
        match decided_by(config, &service.name, &held) {
            Some(by) if !has_base => {
                self.fault("service.version", Conflict::PastVerdict { by, held, base });
            }
            _ => self.warn("service.version", Caution::Jumps { held, to: service.version.clone() }),
        }
    }

    fn version(&mut self, version: &Version) {
        if self.needs_service("name", &version.id.service) {
            self.owner("name", &service_key(&version.id.service));
        }
    }

    fn route(&mut self, route: &Route) {
        self.warn_shadows(route);
        if !self.needs_service("route.service", &route.service) {
            return;
        }
        for (i, weighted) in route.services.iter().enumerate() {
            self.needs_service(&format!("route.services[{i}].service"), &weighted.service);
        }
        for (i, weighted) in route.split.iter().enumerate() {
            let place = format!("route.split[{i}].version");
            self.needs_version(&place, &route.service, &weighted.version);
        }
    }

    fn warn_shadows(&mut self, route: &Route) {
        let Some(routes) = &self.routes else {
            return;
        };
        let order = |route: &Route| (Reverse(route.priority), route.name.clone());
        let mut alike = Vec::new();
        for other in routes {
            let same = other.matches == route.matches && other.proxies == route.proxies;
            if same && other.name != route.name {
                alike.push(order(other));
            }
        }
        alike.sort();
        for other in alike {
            let own = order(route);
            let (first, second) = if own < other { (own.1, other.1) } else { (other.1, own.1) };
            self.warn("route.match", Caution::Shadows { first, second });
        }
    }

    fn policy(&mut self, policy: &Policy) {
        if self.routes.is_none() {
            return;
        }
        let services = self.draft.services();
        if services.iter().any(|service| selects(&policy.services, service)) {
            return;
        }
        self.warn("policy.services", Caution::MatchesNothing(policy.services.to_string()));
    }

    fn mv(&mut self, mv: &Move) {
        if !self.needs_service("move.service", &mv.service) {
            return;
        }
        self.needs_version("move.from", &mv.service, &mv.from);
        self.needs_version("move.to", &mv.service, &mv.to);
        if self.draft.is_ended_alike(mv) {
            self.warn("move", Caution::EndedAlike(mv.name.clone()));
            return;
        }
        self.owner("move.service", &service_key(&mv.service));
        if let Some(other) = self.draft.running_move(&mv.service, Some(&mv.name)) {
            let other = other.clone();
            let service = mv.service.clone();
            self.fault("move.service", Conflict::AlreadyMoving { service, other });
        }
        let Some(service) = self.draft.service(&mv.service) else {
            return;
        };
        if service.version != mv.from {
            self.fault("move.from", Conflict::NotFrom { held: service.version.clone() });
        }
    }

    fn order(&mut self, order: &MoveOrder, key: &DeclarationKey) {
        let Some(held) = self.draft.config.moves.get(&order.name) else {
            self.fault("order.move", Conflict::NotDeclared(key.clone()));
            return;
        };
        let takes_back = order.action == OrderAction::TakeBack;
        let ended = match held.verdict.as_ref().map(|verdict| verdict.kind) {
            None => false,
            Some(VerdictKind::Done) => !takes_back,
            Some(VerdictKind::TakenBack) => true,
        };
        if ended {
            self.fault("order.move", Conflict::Ended(order.name.clone()));
        }
    }

    fn delete(&mut self, key: &DeclarationKey) {
        if self.draft.config.written(key).is_none() {
            self.fault("delete.name", Conflict::NotDeclared(key.clone()));
            return;
        }
        let users = match key.kind {
            DeclarationKind::Service => self.users_of_service(key),
            DeclarationKind::Version => self.users_of_version(key),
            DeclarationKind::Move => {
                self.warn_running(key);
                Vec::new()
            }
            DeclarationKind::Route | DeclarationKind::Policy => Vec::new(),
        };
        if !users.is_empty() {
            self.fault("delete.name", Conflict::InUse { key: key.clone(), users });
        }
    }

    fn warn_running(&mut self, key: &DeclarationKey) {
        let Some(held) = self.draft.config.moves.get(key.name.as_ref()) else {
            return;
        };
        if held.verdict.is_none() {
            let name = held.held.body.name.clone();
            self.warn("delete.name", Caution::DeletesRunning(name));
        }
    }

    fn users_of_service(&self, key: &DeclarationKey) -> Vec<DeclarationKey> {
        let name = key.name.as_ref();
        let mut users = Vec::new();
        for version in self.draft.kept_versions() {
            if version.id.service.as_str() == name {
                users.push(version_key(&version.id));
            }
        }
        for route in self.draft.kept_routes() {
            if route.targets().any(|service| service.as_str() == name) {
                users.push(route_key(route));
            }
        }
        for mv in self.draft.kept_moves() {
            if mv.service.as_str() == name {
                users.push(move_key(mv));
            }
        }
        users
    }

    fn users_of_version(&self, key: &DeclarationKey) -> Vec<DeclarationKey> {
        let Ok(id) = key.name.parse::<VersionId>() else {
            return Vec::new();
        };
        let mut users = Vec::new();
        for service in self.draft.kept_services() {
            if service.name == id.service && service.version == id.version {
                users.push(service_key(&service.name));
            }
        }
        for route in self.draft.kept_routes() {
            let splits = route.split.iter().any(|weighted| weighted.version == id.version);
            if route.service == id.service && splits {
                users.push(route_key(route));
            }
        }
        for mv in self.draft.kept_moves() {
            if mv.service == id.service && (mv.from == id.version || mv.to == id.version) {
                users.push(move_key(mv));
            }
        }
        users
    }
}

/// The move that put a service on this version, if one did.
fn decided_by(config: &Config, service: &ServiceName, version: &VersionName) -> Option<MoveName> {
    for (name, held) in &config.moves {
        let mv = &held.held.body;
        let done = held.verdict.as_ref().is_some_and(|verdict| verdict.kind == VerdictKind::Done);
        if done && mv.service == *service && mv.to == *version {
            return Some(name.clone());
        }
    }
    None
}

/// Whether a selector of services selects this one. Each service has the label `service` with
/// its name, unless it sets that label itself.
pub(crate) fn selects(selector: &Selector, service: &Service) -> bool {
    let mut labels = service.labels.clone();
    labels.0.entry("service".into()).or_insert_with(|| service.name.as_str().into());
    selector.matches(&labels)
}

fn service_key(name: &ServiceName) -> DeclarationKey {
    DeclarationKey { kind: DeclarationKind::Service, name: name.as_str().into() }
}

fn version_key(id: &VersionId) -> DeclarationKey {
    DeclarationKey { kind: DeclarationKind::Version, name: id.to_string().into() }
}

fn route_key(route: &Route) -> DeclarationKey {
    DeclarationKey { kind: DeclarationKind::Route, name: route.name.as_str().into() }
}

fn move_key(mv: &Move) -> DeclarationKey {
    DeclarationKey { kind: DeclarationKind::Move, name: mv.name.as_str().into() }
}
