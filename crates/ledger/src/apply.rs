//! Accepted changes and verdicts carried out on a configuration, with its hash kept up to date.

use std::sync::Arc;

use cyclamen_declarations::{
    Change, Declaration, DeclarationKey, DeclarationKind, EntryAction, MoveOrder, Service,
    VersionId,
};
use cyclamen_types::{Offset, ServiceName, TeamName, VersionName};

use crate::config::{Config, Held, HeldMove, MoveId, MoveVerdict, VerdictKind};
use crate::hash;
use crate::ledger::StateHash;

/// Moves with a verdict that a service keeps beside the one that is declared; older ones go when a
/// new one is declared.
pub const ENDED_MOVES_KEPT: usize = 4;

/// Carries out a verified change; returns whether anything differs.
pub(crate) fn apply_change(
    config: &mut Config,
    hash: &mut StateHash,
    change: Change,
    offset: Offset,
) -> bool {
    let mut changed = false;
    for entry in change.entries {
        if matches!(&entry.action, EntryAction::Put(declaration) if config.holds(declaration)) {
            continue;
        }
        let key = entry.action.key();
        let moved = match &entry.action {
            EntryAction::Put(Declaration::Move(mv)) => Some(mv.service.clone()),
            _ => None,
        };
        edit(config, hash, &key, |config| match entry.action {
            EntryAction::Put(declaration) => put(config, declaration, &change.team, offset),
            EntryAction::Delete(key) => delete(config, &key),
            EntryAction::Order(order) => give_order(config, &order),
        });
        if let Some(service) = moved {
            forget_ended(config, hash, &service);
        }
        changed = true;
    }
    changed
}

/// Drops the oldest moves of a service that have their verdict, when there are too many.
fn forget_ended(config: &mut Config, hash: &mut StateHash, service: &ServiceName) {
    let mut ended = Vec::new();
    for held in config.moves.values() {
        if held.verdict.is_some() && held.held.body.service == *service {
            ended.push(held.id());
        }
    }
    ended.sort_by(|a, b| b.declared.cmp(&a.declared).then_with(|| a.name.cmp(&b.name)));
    for id in ended.into_iter().skip(ENDED_MOVES_KEPT) {
        let key = DeclarationKey { kind: DeclarationKind::Move, name: id.name.as_str().into() };
        edit(config, hash, &key, |config| delete(config, &key));
    }
}

/// Carries out a verdict; returns whether it counts. A verdict of an older publication does not,
/// nor one that the verdict held equals or outranks.
pub(crate) fn apply_verdict(
    config: &mut Config,
    hash: &mut StateHash,
    id: &MoveId,
    verdict: MoveVerdict,
    offset: Offset,
) -> bool {
    let Some(held) = config.moves.get(&id.name) else {
        return false;
    };
    let outranked = held.verdict.as_ref().is_some_and(|known| known.kind >= verdict.kind);
    if held.id() != *id || outranked {
        return false;
    }
    let mv = Arc::clone(&held.held.body);
    let kind = verdict.kind;
    let was_done = held.verdict.is_some();
    let key = DeclarationKey { kind: DeclarationKind::Move, name: id.name.as_str().into() };
    edit(config, hash, &key, |config| {
        if let Some(held) = config.moves.get_mut(&id.name) {
            held.verdict = Some(verdict);
        }
    });
    if !is_latest(config, &mv.service, id) {
        return true;
    }
    match kind {
        VerdictKind::Done => {
            set_version(config, hash, &mv.service, (&mv.from, &mv.to), offset);
        }
        VerdictKind::TakenBack if was_done => {
            set_version(config, hash, &mv.service, (&mv.to, &mv.from), offset);
        }
        VerdictKind::TakenBack => {}
    }
    true
}

/// Runs an edit of one declaration and brings the hash in step.
fn edit(
    config: &mut Config,
    hash: &mut StateHash,
    key: &DeclarationKey,
    run: impl FnOnce(&mut Config),
) {
    if let Some(item) = config.item(key) {
        hash.remove(hash::of_item(&item));
    }
    run(config);
    if let Some(item) = config.item(key) {
        hash.add(hash::of_item(&item));
    }
}

/// Adds or replaces a declaration; a move loses its order and verdict.
pub(crate) fn put(config: &mut Config, declaration: Declaration, team: &TeamName, offset: Offset) {
    match declaration {
        Declaration::Service(body) => {
            config.services.insert(body.name.clone(), held(body, team, offset));
        }
        Declaration::Version(body) => {
            config.versions.insert(body.id.clone(), held(body, team, offset));
        }
        Declaration::Route(body) => {
            config.routes.insert(body.name.clone(), held(body, team, offset));
        }
        Declaration::Policy(body) => {
            config.policies.insert(body.name.clone(), held(body, team, offset));
        }
        Declaration::Move(body) => {
            let name = body.name.clone();
            let held = held(body, team, offset);
            config.moves.insert(
                name,
                HeldMove { held, order: None, verdict: None, earlier_offsets: Vec::new() },
            );
        }
    }
}

fn held<T>(body: T, team: &TeamName, offset: Offset) -> Held<T> {
    Held { offset, team: team.clone(), body: Arc::new(body) }
}

fn delete(config: &mut Config, key: &DeclarationKey) {
    let name = key.name.as_ref();
    match key.kind {
        DeclarationKind::Service => drop(config.services.remove(name)),
        DeclarationKind::Version => {
            if let Ok(id) = name.parse::<VersionId>() {
                config.versions.remove(&id);
            }
        }
        DeclarationKind::Route => drop(config.routes.remove(name)),
        DeclarationKind::Policy => drop(config.policies.remove(name)),
        DeclarationKind::Move => drop(config.moves.remove(name)),
    }
}

fn give_order(config: &mut Config, order: &MoveOrder) {
    if let Some(held) = config.moves.get_mut(&order.name) {
        held.order = Some(order.action);
    }
}

/// Whether no move of the service was declared after this one.
fn is_latest(config: &Config, service: &ServiceName, id: &MoveId) -> bool {
    for (name, held) in &config.moves {
        let later = held.held.offset > id.declared && *name != id.name;
        if later && held.held.body.service == *service {
            return false;
        }
    }
    true
}

/// Changes the version of a service from the first to the second, if it has the first. The edit
/// counts as written at `offset`, so that a base from before it is stale.
fn set_version(
    config: &mut Config,
    hash: &mut StateHash,
    name: &ServiceName,
    (old, new): (&VersionName, &VersionName),
    offset: Offset,
) {
    let Some(held) = config.services.get(name) else {
        return;
    };
    if held.body.version != *old {
        return;
    }
    let service = Service { version: new.clone(), ..held.body.as_ref().clone() };
    let key = DeclarationKey { kind: DeclarationKind::Service, name: name.as_str().into() };
    edit(config, hash, &key, |config| {
        if let Some(held) = config.services.get_mut(name) {
            held.offset = offset;
            held.body = Arc::new(service);
        }
    });
}
