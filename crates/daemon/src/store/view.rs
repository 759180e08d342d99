//! Combines the records read from the store into one configuration.
//!
//! It takes decoded records of operators, in any order and possibly repeated, and the states of
//! moves as last read, and builds a [`Config`] for the instance. Nothing here performs I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::{
    ClashRule, Labels, Limits, Move, Policy, Retries, Selector, Version, VersionId,
};
use cyclamen_ledger::{Config, Held, HeldMove, MoveId, MoveVerdict, VerdictKind};
use cyclamen_platform::orders::{Order, UNDECLARED_VERSION, UnreadableOrder};
use cyclamen_port::{CallerLimits, MoveState, RecordedMove, StoredConfig, StoredOrder};
use cyclamen_types::{
    ConfigVersion, InstanceName, MoveName, NameError, Offset, ServiceName, TeamName, VersionName,
    Wall,
};

/// The team that owns the declarations that come from the store.
const OPERATORS: &str = "operators";

/// The name of the policy that carries the limits on requests of callers.
const CALLER_POLICY: &str = "caller-limits";

/// Increase of the failure rate that a move tolerates, in parts per million.
const TOLERANCE_PPM: u32 = 5_000;

/// A move order and the time at which this daemon first read it, which is the start of the move.
#[derive(Clone, Debug)]
struct KnownOrder {
    order: StoredOrder,
    first_read: Wall,
}

/// The result of [`StoreView::apply_orders`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedRecords {
    /// Records that could not be decoded.
    pub unreadable: Vec<UnreadableOrder>,
}

/// The records of the store that are known to a daemon.
#[derive(Debug)]
pub struct StoreView {
    /// This daemon, which the configuration names as the author of verdicts read from the store.
    instance: InstanceName,
    config: Option<(Offset, StoredConfig)>,
    orders: BTreeMap<ServiceName, KnownOrder>,
    recorded_moves: BTreeMap<ServiceName, RecordedMove>,
    taken_back: BTreeSet<VersionId>,
    next_offset: Offset,
}

impl StoreView {
    /// Creates an empty view for the daemon `instance`.
    pub fn new(instance: InstanceName) -> Self {
        Self {
            instance,
            config: None,
            orders: BTreeMap::new(),
            recorded_moves: BTreeMap::new(),
            taken_back: BTreeSet::new(),
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
    /// known one of its kind and service changes nothing.
    pub fn apply_orders(
        &mut self,
        now: Wall,
        orders: Vec<(Offset, Order)>,
        next_offset: Offset,
    ) -> AppliedRecords {
        let mut applied = AppliedRecords::default();
        for (offset, order) in orders {
            match order {
                Order::Config(config) => self.apply_config(offset, *config),
                Order::Move(order) => self.apply_move_order(now, order),
                Order::Unreadable(fault) => applied.unreadable.push(fault),
            }
        }
        self.next_offset = self.next_offset.max(next_offset);
        applied
    }

    /// Applies the latest state that the store holds of a move. A version that was taken back stays
    /// marked as such.
    pub fn apply_recorded_move(&mut self, recorded: RecordedMove) {
        if recorded.state == MoveState::TakenBack {
            let service = recorded.service.clone();
            self.taken_back.insert(VersionId { service, version: recorded.to.clone() });
        }
        self.recorded_moves.insert(recorded.service.clone(), recorded);
    }

    /// The order that the move `id` carries out; `None` once a later order has replaced it.
    pub fn order_for(&self, id: &MoveId) -> Option<&StoredOrder> {
        let known = self.orders.values().find(|known| known.order.offset == id.declared);
        known.map(|known| &known.order)
    }

    /// The final state of the move that `order` requests, if the store holds one.
    pub fn final_state(&self, order: &StoredOrder) -> Option<VerdictKind> {
        let recorded = self.recorded_moves.get(&order.service)?;
        let same_order = recorded.order.is_none_or(|offset| offset == order.offset);
        if recorded.to != order.to || !same_order {
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

    fn apply_config(&mut self, offset: Offset, config: StoredConfig) {
        let known = self.config.as_ref().map(|(known, _)| *known);
        if known.is_none_or(|known| known < offset) {
            self.config = Some((offset, config));
        }
    }

    fn apply_move_order(&mut self, now: Wall, order: StoredOrder) {
        let known = self.orders.get(&order.service);
        if known.is_some_and(|known| known.order.offset >= order.offset) {
            return;
        }
        self.orders.insert(order.service.clone(), KnownOrder { order, first_read: now });
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
        Ok(HeldMove { held, order: None, verdict })
    }
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
