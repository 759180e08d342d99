//! Items of a change into checked entries.

use std::collections::BTreeSet;
use std::sync::Arc;

use cyclamen_types::{MoveName, Offset, PolicyName, RouteName, ServiceName};

use crate::bodies::Named;
use crate::checked::{
    ChangeEntry, Declaration, DeclarationKey, DeclarationKind, EntryAction, Move, MoveOrder,
    Policy, Route, Service, Version, VersionId,
};
use crate::fault::{Faults, Problem};
use crate::generated::{DeleteBody, Item, OrderBody};

/// Checks the items of a change; places start with `declarations`.
pub(crate) fn check_items(items: Vec<Item>, faults: &mut Faults) -> Vec<ChangeEntry> {
    let mut entries = Vec::new();
    let mut keys = BTreeSet::new();
    for (i, item) in items.into_iter().enumerate() {
        let place = format!("declarations[{i}]");
        let entry = match ChangeEntry::try_from(item) {
            Ok(entry) => entry,
            Err(inner) => {
                faults.push_within(&place, inner);
                continue;
            }
        };
        let key = entry.action.key();
        if !keys.insert(key.clone()) {
            faults.push(&place, Problem::Twice(key.to_string()));
        }
        entries.push(entry);
    }
    entries
}

impl TryFrom<Item> for ChangeEntry {
    type Error = Faults;

    fn try_from(item: Item) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        let kinds = kinds_given(&item);
        if kinds != 1 {
            faults.push("", Problem::Kinds(kinds));
            return Err(faults);
        }
        let base = item.base.map(Offset);
        let name = item.name;
        if name.is_some() && (item.delete.is_some() || item.order.is_some()) {
            faults.push("name", Problem::Misplaced);
            return Err(faults);
        }
        let action = if let Some(body) = item.service {
            put(Service::try_from(Named { name, body })?)
        } else if let Some(body) = item.version {
            put(Version::try_from(Named { name, body })?)
        } else if let Some(body) = item.route {
            put(Route::try_from(Named { name, body })?)
        } else if let Some(body) = item.policy {
            put(Policy::try_from(Named { name, body })?)
        } else if let Some(body) = item.move_ {
            put(Move::try_from(Named { name, body })?)
        } else if let Some(body) = item.delete {
            EntryAction::Delete(DeclarationKey::try_from(body)?)
        } else {
            EntryAction::Order(MoveOrder::try_from(item.order.unwrap_or_default())?)
        };
        Ok(Self { base, action })
    }
}

fn put(declaration: impl Into<Declaration>) -> EntryAction {
    EntryAction::Put(declaration.into())
}

fn kinds_given(item: &Item) -> usize {
    let given = [
        item.service.is_some(),
        item.version.is_some(),
        item.route.is_some(),
        item.policy.is_some(),
        item.move_.is_some(),
        item.delete.is_some(),
        item.order.is_some(),
    ];
    given.into_iter().filter(|given| *given).count()
}

impl TryFrom<DeleteBody> for DeclarationKey {
    type Error = Faults;

    fn try_from(body: DeleteBody) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        let kind = faults.required("delete.kind", body.kind);
        let name = faults.required("delete.name", body.name);
        let (Some(kind), Some(name)) = (kind, name) else {
            return Err(faults);
        };
        let checked = check_name(kind, &name);
        faults.take("delete.name", checked);
        faults.or(Self { kind, name: name.into() })
    }
}

fn check_name(kind: DeclarationKind, name: &str) -> Result<(), Problem> {
    match kind {
        DeclarationKind::Service => drop(name.parse::<ServiceName>()?),
        DeclarationKind::Version => drop(name.parse::<VersionId>()?),
        DeclarationKind::Route => drop(name.parse::<RouteName>()?),
        DeclarationKind::Policy => drop(name.parse::<PolicyName>()?),
        DeclarationKind::Move => drop(name.parse::<MoveName>()?),
    }
    Ok(())
}

impl TryFrom<OrderBody> for MoveOrder {
    type Error = Faults;

    fn try_from(body: OrderBody) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        let name = faults.name("order.move", body.move_);
        let action = faults.required("order.action", body.action);
        let (Some(name), Some(action)) = (name, action) else {
            return Err(faults);
        };
        faults.or(Self { name, action })
    }
}

impl EntryAction {
    /// The declaration that this is about.
    pub fn key(&self) -> DeclarationKey {
        match self {
            Self::Put(declaration) => declaration.key(),
            Self::Delete(key) => key.clone(),
            Self::Order(order) => {
                DeclarationKey { kind: DeclarationKind::Move, name: order.name.as_str().into() }
            }
        }
    }
}

impl Declaration {
    /// Its kind and name.
    pub fn key(&self) -> DeclarationKey {
        let (kind, name): (_, Arc<str>) = match self {
            Self::Service(service) => (DeclarationKind::Service, service.name.as_str().into()),
            Self::Version(version) => (DeclarationKind::Version, version.id.to_string().into()),
            Self::Route(route) => (DeclarationKind::Route, route.name.as_str().into()),
            Self::Policy(policy) => (DeclarationKind::Policy, policy.name.as_str().into()),
            Self::Move(mv) => (DeclarationKind::Move, mv.name.as_str().into()),
        };
        DeclarationKey { kind, name }
    }
}
