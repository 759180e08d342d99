//! Combines the records read from the store into one configuration.
//!
//! It takes decoded records of operators, in any order and possibly repeated, and the states of
//! moves as last read, and builds a [`Config`] for the instance. Nothing here performs I/O.
//!
//! The store may come back from an older copy. Records that the copy still holds are then read
//! again at later positions, and so are those that were lost and are written again. Neither may
//! bring back a configuration or an order that was replaced before, or restart a move.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::{
    ClashRule, Labels, Limits, Move, Policy, Retries, Selector, Version, VersionId,
};
use cyclamen_ledger::{Config, Held, HeldMove, MoveId, MoveVerdict, VerdictKind};
use cyclamen_platform::era::{era_of, offset_in_era};
use cyclamen_platform::orders::{Order, UNDECLARED_VERSION, UnreadableOrder};
use cyclamen_port::{
    CallerLimits, MoveState, RecordedMove, StoredConfig, StoredEmptying, StoredOrder,
};
use cyclamen_types::{
    ConfigVersion, FailureDomain, InstanceName, MoveName, NameError, Offset, ServiceName, TeamName,
    VersionName, Wall,
};
use derive_more::Display;

/// The team that owns the declarations that come from the store.
const OPERATORS: &str = "operators";

/// The name of the policy that carries the limits on requests of callers.
const CALLER_POLICY: &str = "caller-limits";

/// Replaced orders that are remembered for each service, to recognise them in an older copy of the
/// store.
const MAX_REPLACED_ORDERS: usize = 16;

/// Increase of the failure rate that a move tolerates, in parts per million.
const TOLERANCE_PPM: u32 = 5_000;

/// A move order and the time at which this daemon first read it, which is the start of the move.
#[derive(Clone, Debug)]
struct KnownOrder {
    order: StoredOrder,
    first_read: Wall,
    /// Where the order stood before the store came back from an older copy.
    earlier_offsets: Vec<Offset>,
}

/// The latest order about a failure domain.
#[derive(Clone, Debug)]
struct KnownEmptying {
    order: StoredEmptying,
    /// Where the latest order to empty the domain stood, if there was one.
    emptied_at: Option<Offset>,
}

/// The result of [`StoreView::apply_orders`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedRecords {
    /// Records that could not be decoded.
    pub unreadable: Vec<UnreadableOrder>,
    /// Configurations that were passed over for their lower numbers.
    pub outdated: Vec<OutdatedConfig>,
    /// Failure domains that are emptied or taken back from now on.
    pub emptyings: Vec<StoredEmptying>,
    /// Parts of a configuration that were left out: where and why.
    pub left_out: Vec<String>,
}

/// A configuration with a lower number than the one in force, which stays.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(
    "configuration {number} is passed over because {in_force} is in force: write it anew with a \
     higher number if it is meant"
)]
pub struct OutdatedConfig {
    /// Its number.
    pub number: u64,
    /// The number of the configuration in force.
    pub in_force: u64,
}

/// The records of the store that are known to a daemon.
#[derive(Debug)]
pub struct StoreView {
    /// This daemon, which the configuration names as the author of verdicts read from the store.
    instance: InstanceName,
    config: Option<(Offset, StoredConfig)>,
    orders: BTreeMap<ServiceName, KnownOrder>,
    /// The latest orders of each service that a later one has replaced, oldest first.
    replaced: BTreeMap<ServiceName, VecDeque<StoredOrder>>,
    recorded_moves: BTreeMap<ServiceName, RecordedMove>,
    taken_back: BTreeSet<VersionId>,
    /// The latest order about each failure domain that was ever emptied.
    emptyings: BTreeMap<FailureDomain, KnownEmptying>,
    next_offset: Offset,
}

impl StoreView {
    /// Creates an empty view for the daemon `instance`.
    pub fn new(instance: InstanceName) -> Self {
        Self {
            instance,
            config: None,
            orders: BTreeMap::new(),
            replaced: BTreeMap::new(),
            recorded_moves: BTreeMap::new(),
            taken_back: BTreeSet::new(),
            emptyings: BTreeMap::new(),
            next_offset: Offset::default(),
        }
    }

    /// The number that the operator gave the configuration; `None` before one was read.
    pub fn number(&self) -> Option<u64> {
        self.config.as_ref().map(|(_, config)| config.number)
    }

    /// The limits on requests of callers; `None` before a configuration was read.
    pub fn limits(&self) -> Option<CallerLimits> {
        self.config.as_ref().map(|(_, config)| config.limits)
    }

    /// Applies records of operators, each with its offset; `next_offset` is the offset after the
    /// last record read. `now` becomes the start of moves that are new. A record older than the
    /// known one of its kind and service changes nothing, and neither does a configuration with a
    /// lower number than the known one.
    pub fn apply_orders(
        &mut self,
        now: Wall,
        orders: Vec<(Offset, Order)>,
        next_offset: Offset,
    ) -> AppliedRecords {
        let mut applied = AppliedRecords::default();
        for (offset, order) in orders {
            match order {
                Order::Config(mut config) => {
                    applied.left_out.append(&mut config.left_out);
                    applied.outdated.extend(self.apply_config(offset, *config));
                }
                Order::Move(order) => self.apply_move_order(now, order),
                Order::Emptying(emptying) => {
                    applied.emptyings.extend(self.apply_emptying(emptying));
                }
                Order::Unreadable(fault) => applied.unreadable.push(fault),
            }
        }
        self.next_offset = self.next_offset.max(next_offset);
        applied
    }

    /// Takes back the emptied failure domains that have no record any more, by a read of the newest
    /// record of each key that ended at `end`; `present` are those that have one. Returns what
    /// changes.
    ///
    /// Where the store has come back from an older copy since the order, the copy may have lost it:
    /// the domain stays emptied until a later record takes it back.
    pub fn retain_emptied(
        &mut self,
        present: &BTreeSet<FailureDomain>,
        end: Offset,
    ) -> Vec<StoredEmptying> {
        let mut taken_back = Vec::new();
        for (domain, KnownEmptying { order: known, .. }) in &mut self.emptyings {
            let same_era = era_of(known.offset) == era_of(end);
            let read_later = known.offset < end && same_era;
            if !known.emptied || present.contains(domain) || !read_later {
                continue;
            }
            known.emptied = false;
            taken_back.push(known.clone());
        }
        taken_back
    }

    /// Applies the latest state that the store holds of a move. A version that was taken back stays
    /// marked as such, and a final state of the known order stays although an older copy of the
    /// store shows an earlier one.
    pub fn apply_recorded_move(&mut self, recorded: RecordedMove) {
        if recorded.state == MoveState::TakenBack {
            let service = recorded.service.clone();
            self.taken_back.insert(VersionId { service, version: recorded.to.clone() });
        }
        if !self.is_outdated_state(&recorded) {
            self.recorded_moves.insert(recorded.service.clone(), recorded);
        }
    }

    /// The final states of the known orders that are missing among `stored`, the states that the
    /// store holds. They were lost when it came back from an older copy.
    pub fn lost_states(&self, stored: &[RecordedMove]) -> Vec<RecordedMove> {
        let mut lost = Vec::new();
        for known in self.orders.values() {
            let order = &known.order;
            let Some(recorded) = self.recorded_moves.get(&order.service) else {
                continue;
            };
            let is_stored = stored.iter().any(|stored| {
                stored.service == order.service
                    && stored.state == recorded.state
                    && answers(stored, order)
            });
            if recorded.state != MoveState::Running && answers(recorded, order) && !is_stored {
                lost.push(RecordedMove { order: Some(order.offset), ..recorded.clone() });
            }
        }
        lost
    }

    /// Whether a recorded state is earlier than the known one: final states do not change for one
    /// order, but an older copy of the store shows what they replaced. Done is outdated after taken
    /// back too: a daemon wrote it while the store had lost that the version was taken back.
    fn is_outdated_state(&self, recorded: &RecordedMove) -> bool {
        let Some(known) = self.recorded_moves.get(&recorded.service) else {
            return false;
        };
        let Some(KnownOrder { order, .. }) = self.orders.get(&recorded.service) else {
            return false;
        };
        if known.state == MoveState::Running || !answers(known, order) {
            return false;
        }
        let undoes_rollback =
            known.state == MoveState::TakenBack && recorded.state == MoveState::Done;
        recorded.state == MoveState::Running || !answers(recorded, order) || undoes_rollback
    }

    /// The order that the move `id` carries out; `None` once a later order has replaced it.
    pub fn order_for(&self, id: &MoveId) -> Option<&StoredOrder> {
        let known = self.orders.values().find(|known| known.order.offset == id.declared);
        known.map(|known| &known.order)
    }

    /// The final state of the move that `order` requests, if the store holds one.
    pub fn final_state(&self, order: &StoredOrder) -> Option<VerdictKind> {
        let recorded = self.recorded_moves.get(&order.service)?;
        if !answers(recorded, order) {
            return None;
        }
        match recorded.state {
            MoveState::Running => None,
            MoveState::Done => Some(VerdictKind::Done),
            MoveState::TakenBack => Some(VerdictKind::TakenBack),
        }
    }

    /// Builds the configuration from all records; `None` before a configuration was read.
    ///
    /// # Errors
    /// A name that this module derives is invalid, which is a bug.
    pub fn config(&self) -> Result<Option<Config>, NameError> {
        let Some((offset, stored)) = &self.config else {
            return Ok(None);
        };
        let source = DeclarationSource { offset: *offset, team: TeamName::try_from(OPERATORS)? };
        let undeclared = VersionName::try_from(UNDECLARED_VERSION)?;
        let mut config = Config {
            version: ConfigVersion(self.next_offset.0),
            undeclared: Some(undeclared.clone()),
            taken_back: self.taken_back.clone(),
            ..Config::default()
        };
        for service in &stored.services {
            insert_version(&mut config, &source, &service.name, &undeclared);
            config.services.insert(service.name.clone(), source.declaration(service.clone()));
        }
        for route in &stored.routes {
            config.routes.insert(route.name.clone(), source.declaration(route.clone()));
        }
        for account in &stored.accounts {
            config.accounts.insert(account.name.clone(), Arc::new(account.clone()));
        }
        config.cold_limits.extend(stored.cold_limits.iter().cloned());
        let emptied = self.emptyings.values().filter(|known| known.order.emptied);
        config.emptied_domains.extend(emptied.map(|known| known.order.domain.clone()));
        let policy = caller_policy(&stored.limits)?;
        config.policies.insert(policy.name.clone(), source.declaration(policy));
        for known in self.orders.values() {
            if !config.services.contains_key(&known.order.service) {
                continue;
            }
            insert_version(&mut config, &source, &known.order.service, &known.order.to);
            let held_move = self.held_move(known, &undeclared, &source)?;
            config.moves.insert(held_move.held.body.name.clone(), held_move);
        }
        Ok(Some(config))
    }

    /// Takes over a configuration at a later position than the known one. Operators raise the number
    /// with each configuration, so one with a lower number is from an older copy of the store: it is
    /// returned and changes nothing.
    fn apply_config(&mut self, offset: Offset, config: StoredConfig) -> Option<OutdatedConfig> {
        if let Some((known_offset, known)) = &self.config {
            if *known_offset >= offset {
                return None;
            }
            if known.number > config.number {
                let (number, in_force) = (config.number, known.number);
                return Some(OutdatedConfig { number, in_force });
            }
        }
        self.config = Some((offset, config));
        None
    }

    /// Takes over an order about a failure domain at a later position than the known one. Returns it
    /// if it changes whether the domain is emptied. One that was taken back before the store came
    /// back from a copy that still holds it stays taken back.
    fn apply_emptying(&mut self, order: StoredEmptying) -> Option<StoredEmptying> {
        let emptied_at = order.emptied.then_some(order.offset);
        let Some(known) = self.emptyings.get_mut(&order.domain) else {
            let known = KnownEmptying { order: order.clone(), emptied_at };
            self.emptyings.insert(order.domain.clone(), known);
            return order.emptied.then_some(order);
        };
        if known.order.offset >= order.offset || known.was_taken_back(&order) {
            return None;
        }
        known.emptied_at = emptied_at.or(known.emptied_at);
        let before = std::mem::replace(&mut known.order, order.clone());
        (before.emptied != order.emptied).then_some(order)
    }

    fn apply_move_order(&mut self, now: Wall, order: StoredOrder) {
        if self.was_replaced(&order) {
            return;
        }
        let service = order.service.clone();
        let new = |order| KnownOrder { order, first_read: now, earlier_offsets: Vec::new() };
        let Some(known) = self.orders.get_mut(&service) else {
            self.orders.insert(service, new(order));
            return;
        };
        if known.order.offset >= order.offset {
            return;
        }
        if known.is_repeated_by(&order) {
            known.earlier_offsets.push(known.order.offset);
            known.order = order;
            return;
        }
        let before = std::mem::replace(known, new(order));
        let replaced = self.replaced.entry(service).or_default();
        replaced.push_back(before.order);
        if replaced.len() > MAX_REPLACED_ORDERS {
            replaced.pop_front();
        }
    }

    /// Whether this order was replaced by a later one before the store came back from a copy that
    /// still holds it.
    fn was_replaced(&self, order: &StoredOrder) -> bool {
        let replaced = self.replaced.get(&order.service);
        replaced.is_some_and(|replaced| {
            replaced.iter().any(|earlier| {
                era_of(earlier.offset) < era_of(order.offset)
                    && offset_in_era(earlier.offset) == offset_in_era(order.offset)
                    && earlier.to == order.to
                    && earlier.within == order.within
            })
        })
    }

    fn held_move(
        &self,
        known: &KnownOrder,
        from: &VersionName,
        source: &DeclarationSource,
    ) -> Result<HeldMove, NameError> {
        let order = &known.order;
        let body = Move {
            name: MoveName::try_from(order.service.as_str())?,
            service: order.service.clone(),
            from: from.clone(),
            to: order.to.clone(),
            start: known.first_read,
            // At least 1 ms, so that the deadline is after the start.
            deadline: known.first_read + order.within.max(Duration::from_millis(1)),
            watch: order.within,
            tolerance_ppm: TOLERANCE_PPM,
            clash: ClashRule::Evidence,
        };
        let verdict = self.final_state(order).map(|kind| MoveVerdict {
            kind,
            reason: "the store holds this state of the move".into(),
            by: self.instance.clone(),
            // The store does not hold the time of the verdict, so the start of the move is used.
            at: known.first_read,
        });
        let held = Held { offset: order.offset, ..source.declaration(body) };
        let earlier_offsets = known.earlier_offsets.clone();
        Ok(HeldMove { held, order: None, verdict, earlier_offsets })
    }
}

impl KnownEmptying {
    /// Whether `order` is the latest one to empty the domain, read again although it has been taken
    /// back.
    fn was_taken_back(&self, order: &StoredEmptying) -> bool {
        let read_again = |emptied_at: Offset| {
            era_of(emptied_at) < era_of(order.offset)
                && offset_in_era(emptied_at) == offset_in_era(order.offset)
        };
        order.emptied && !self.order.emptied && self.emptied_at.is_some_and(read_again)
    }
}

impl KnownOrder {
    /// Whether `order` is this order, read again after the store came back from an older copy, or
    /// written again because the copy did not hold it.
    fn is_repeated_by(&self, order: &StoredOrder) -> bool {
        era_of(self.order.offset) < era_of(order.offset)
            && self.order.to == order.to
            && self.order.within == order.within
    }
}

/// Whether a recorded state is that of the move which `order` requests. The offset that it names
/// is compared within one era of the store only, because an order gets another one when the store
/// comes back from an older copy. A version that was taken back in an earlier era stays so.
fn answers(recorded: &RecordedMove, order: &StoredOrder) -> bool {
    let names_order =
        |offset: Offset| offset == order.offset || era_of(offset) != era_of(order.offset);
    recorded.to == order.to && recorded.order.is_none_or(names_order)
}

/// The team that owns the declarations of one configuration, and the offset they come from.
struct DeclarationSource {
    offset: Offset,
    team: TeamName,
}

impl DeclarationSource {
    fn declaration<T>(&self, body: T) -> Held<T> {
        Held { offset: self.offset, team: self.team.clone(), body: Arc::new(body) }
    }
}

fn insert_version(
    config: &mut Config,
    source: &DeclarationSource,
    service: &ServiceName,
    version: &VersionName,
) {
    let id = VersionId { service: service.clone(), version: version.clone() };
    let version = Version { id: id.clone(), labels: Labels::default() };
    config.versions.insert(id, source.declaration(version));
}

fn caller_policy(limits: &CallerLimits) -> Result<Policy, NameError> {
    let all = || Selector { requirements: Vec::new() };
    Ok(Policy {
        name: CALLER_POLICY.try_into()?,
        services: all(),
        proxies: all(),
        priority: 0,
        limits: Limits { body_bytes: Some(limits.body_bytes), ..Limits::default() },
        retries: Retries::default(),
    })
}

#[cfg(test)]
mod tests;
