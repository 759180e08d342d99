//! A configuration as it would be after a change, without copying it.

use std::collections::BTreeMap;

use cyclamen_declarations::{
    Change, Declaration, DeclarationKey, DeclarationKind, EntryAction, Move, Route, Service,
    Version, VersionId,
};
use cyclamen_types::{MoveName, RouteName, ServiceName};

use crate::config::{Config, Held};

/// What a change puts (`Some`) and deletes (`None`), by name.
type Overlay<'a, K, T> = BTreeMap<K, Option<&'a T>>;

/// A configuration with the entries of a change laid over it.
pub(crate) struct Draft<'a> {
    pub(crate) config: &'a Config,
    services: Overlay<'a, ServiceName, Service>,
    versions: Overlay<'a, VersionId, Version>,
    routes: Overlay<'a, RouteName, Route>,
    moves: Overlay<'a, MoveName, Move>,
}

impl<'a> Draft<'a> {
    pub(crate) fn new(config: &'a Config, change: &'a Change) -> Self {
        let mut draft = Self {
            config,
            services: BTreeMap::new(),
            versions: BTreeMap::new(),
            routes: BTreeMap::new(),
            moves: BTreeMap::new(),
        };
        for entry in &change.entries {
            match &entry.action {
                EntryAction::Put(declaration) => draft.put(declaration),
                EntryAction::Delete(key) => draft.delete(key),
                EntryAction::Order(_) => {}
            }
        }
        draft
    }

    fn put(&mut self, declaration: &'a Declaration) {
        match declaration {
            Declaration::Service(s) => drop(self.services.insert(s.name.clone(), Some(s))),
            Declaration::Version(v) => drop(self.versions.insert(v.id.clone(), Some(v))),
            Declaration::Route(r) => drop(self.routes.insert(r.name.clone(), Some(r))),
            Declaration::Move(m) => drop(self.moves.insert(m.name.clone(), Some(m))),
            Declaration::Policy(_) => {}
        }
    }

    fn delete(&mut self, key: &DeclarationKey) {
        match key.kind {
            DeclarationKind::Service => {
                if let Ok(name) = key.name.parse() {
                    self.services.insert(name, None);
                }
            }
            DeclarationKind::Version => {
                if let Ok(id) = key.name.parse() {
                    self.versions.insert(id, None);
                }
            }
            DeclarationKind::Route => {
                if let Ok(name) = key.name.parse() {
                    self.routes.insert(name, None);
                }
            }
            DeclarationKind::Move => {
                if let Ok(name) = key.name.parse() {
                    self.moves.insert(name, None);
                }
            }
            DeclarationKind::Policy => {}
        }
    }

    pub(crate) fn service(&self, name: &ServiceName) -> Option<&'a Service> {
        look(&self.services, &self.config.services, name)
    }

    pub(crate) fn has_version(&self, id: &VersionId) -> bool {
        look(&self.versions, &self.config.versions, id).is_some()
    }

    /// All services, in order of name.
    pub(crate) fn services(&self) -> Vec<&'a Service> {
        let mut services = kept(&self.services, &self.config.services);
        services.extend(self.services.values().copied().flatten());
        services.sort_by(|a, b| a.name.cmp(&b.name));
        services
    }

    /// Services that the change leaves alone.
    pub(crate) fn kept_services(&self) -> Vec<&'a Service> {
        kept(&self.services, &self.config.services)
    }

    /// Versions that the change leaves alone.
    pub(crate) fn kept_versions(&self) -> Vec<&'a Version> {
        kept(&self.versions, &self.config.versions)
    }

    /// Routes that the change leaves alone.
    pub(crate) fn kept_routes(&self) -> Vec<&'a Route> {
        kept(&self.routes, &self.config.routes)
    }

    /// All routes, in no order.
    pub(crate) fn routes(&self) -> Vec<&'a Route> {
        let mut routes = self.kept_routes();
        routes.extend(self.routes.values().copied().flatten());
        routes
    }

    /// Moves that the change leaves alone.
    pub(crate) fn kept_moves(&self) -> Vec<&'a Move> {
        let mut moves = Vec::new();
        for (name, held) in &self.config.moves {
            if !self.moves.contains_key(name) {
                moves.push(held.held.body.as_ref());
            }
        }
        moves
    }

    /// The first move of a service without a verdict, other than `except`.
    pub(crate) fn running_move(
        &self,
        service: &ServiceName,
        except: Option<&MoveName>,
    ) -> Option<&'a MoveName> {
        for mv in self.kept_moves() {
            let running = self.config.moves[&mv.name].verdict.is_none();
            if running && mv.service == *service && Some(&mv.name) != except {
                return Some(&mv.name);
            }
        }
        for mv in self.moves.values().copied().flatten() {
            let running = !self.is_ended_alike(mv);
            if running && mv.service == *service && Some(&mv.name) != except {
                return Some(&mv.name);
            }
        }
        None
    }

    /// Whether a move that the change puts is held already, with a verdict and no difference.
    pub(crate) fn is_ended_alike(&self, mv: &Move) -> bool {
        let held = self.config.moves.get(&mv.name);
        held.is_some_and(|held| held.verdict.is_some() && *held.held.body == *mv)
    }
}

fn look<'a, K: Ord, T>(
    overlay: &Overlay<'a, K, T>,
    held: &'a BTreeMap<K, Held<T>>,
    key: &K,
) -> Option<&'a T> {
    match overlay.get(key) {
        Some(put) => *put,
        None => held.get(key).map(|held| held.body.as_ref()),
    }
}

fn kept<'a, K: Ord, T>(overlay: &Overlay<'a, K, T>, held: &'a BTreeMap<K, Held<T>>) -> Vec<&'a T> {
    let mut kept = Vec::new();
    for (key, held) in held {
        if !overlay.contains_key(key) {
            kept.push(held.body.as_ref());
        }
    }
    kept
}
