//! Declarations of a configuration by key, and as border types.

use cyclamen_declarations::generated::{HeldItem, Item};
use cyclamen_declarations::{Declaration, DeclarationKey, DeclarationKind, VersionId};
use cyclamen_types::{Offset, TeamName};

use crate::config::{Config, Held, HeldMove};
use crate::payload::verdict_item;

impl Config {
    /// Where a declaration was written last, and whose it is.
    pub fn written(&self, key: &DeclarationKey) -> Option<(Offset, &TeamName)> {
        let name = key.name.as_ref();
        match key.kind {
            DeclarationKind::Service => self.services.get(name).map(Held::written),
            DeclarationKind::Version => {
                self.versions.get(&name.parse::<VersionId>().ok()?).map(Held::written)
            }
            DeclarationKind::Route => self.routes.get(name).map(Held::written),
            DeclarationKind::Policy => self.policies.get(name).map(Held::written),
            DeclarationKind::Move => self.moves.get(name).map(|held| held.held.written()),
        }
    }

    /// Whether exactly this declaration is held.
    pub(crate) fn holds(&self, declaration: &Declaration) -> bool {
        match declaration {
            Declaration::Service(s) => is_held(self.services.get(&s.name), s),
            Declaration::Version(v) => is_held(self.versions.get(&v.id), v),
            Declaration::Route(r) => is_held(self.routes.get(&r.name), r),
            Declaration::Policy(p) => is_held(self.policies.get(&p.name), p),
            Declaration::Move(m) => is_held(self.moves.get(&m.name).map(|held| &held.held), m),
        }
    }

    /// A declaration as operators and snapshots write it, with its offset, team and verdict.
    pub fn item(&self, key: &DeclarationKey) -> Option<HeldItem> {
        let name = key.name.as_ref();
        match key.kind {
            DeclarationKind::Service => self.services.get(name).map(held_item),
            DeclarationKind::Version => {
                self.versions.get(&name.parse::<VersionId>().ok()?).map(held_item)
            }
            DeclarationKind::Route => self.routes.get(name).map(held_item),
            DeclarationKind::Policy => self.policies.get(name).map(held_item),
            DeclarationKind::Move => self.moves.get(name).map(move_item),
        }
    }

    /// All declarations as operators and snapshots write them, by kind and name.
    pub fn items(&self) -> Vec<HeldItem> {
        let mut items: Vec<HeldItem> = Vec::new();
        items.extend(self.services.values().map(held_item));
        items.extend(self.versions.values().map(held_item));
        items.extend(self.routes.values().map(held_item));
        items.extend(self.policies.values().map(held_item));
        items.extend(self.moves.values().map(move_item));
        items
    }
}

impl<T> Held<T> {
    fn written(&self) -> (Offset, &TeamName) {
        (self.offset, &self.team)
    }
}

fn is_held<T: PartialEq>(held: Option<&Held<T>>, body: &T) -> bool {
    held.is_some_and(|held| *held.body == *body)
}

/// A declaration as a snapshot writes it.
pub(crate) fn held_item<'a, T>(held: &'a Held<T>) -> HeldItem
where
    Item: From<&'a T>,
{
    HeldItem {
        offset: Some(held.offset.0),
        team: Some(held.team.to_string()),
        item: Some(Item::from(held.body.as_ref())),
        order: None,
        verdict: None,
    }
}

/// A move as a snapshot writes it.
pub(crate) fn move_item(held: &HeldMove) -> HeldItem {
    let mut item = held_item(&held.held);
    item.order = held.order;
    item.verdict = held.verdict.as_ref().map(verdict_item);
    item
}
