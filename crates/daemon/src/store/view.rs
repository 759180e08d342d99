//! What was read of the store, joined into one configuration.

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

/// Whose the declarations of the store are.
const OPERATORS: &str = "operators";

/// The name of the policy that carries what callers may send.
const CALLER_POLICY: &str = "caller-limits";

/// Added failure rate that a move tolerates, in parts per million.
const TOLERANCE_PPM: u32 = 5_000;

/// An order and when this daemon first read it.
#[derive(Clone, Debug)]
struct KnownOrder {
    order: StoredOrder,
    start: Wall,
}

/// What the latest records added to the view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Adopted {
    /// Records that could not be read.
    pub unreadable: Vec<UnreadableOrder>,
}

/// What a daemon knows of the store.
#[derive(Debug)]
pub struct View {
    /// This daemon, named as the author of verdicts that it adopts.
    me: InstanceName,
    config: Option<(Offset, StoredConfig)>,
    orders: BTreeMap<ServiceName, KnownOrder>,
    recorded: BTreeMap<ServiceName, RecordedMove>,
    taken_back: BTreeSet<VersionId>,
    end: Offset,
}

impl View {
    /// Nothing read yet.
    pub fn new(me: InstanceName) -> Self {
        Self {
            me,
            config: None,
            orders: BTreeMap::new(),
            recorded: BTreeMap::new(),
            taken_back: BTreeSet::new(),
            end: Offset::default(),
        }
    }

    /// The number that the operator gave the configuration held.
    pub fn number(&self) -> Option<u64> {
        self.config.as_ref().map(|(_, config)| config.number)
    }

    /// What callers may send.
    pub fn limits(&self) -> Option<CallerLimits> {
        self.config.as_ref().map(|(_, config)| config.limits)
    }

    /// Takes records of operators with their offsets; `end` is the offset after the last record
    /// read. Older records than those held change nothing.
    pub fn take_orders(&mut self, now: Wall, orders: Vec<(Offset, Order)>, end: Offset) -> Adopted {
        let mut adopted = Adopted::default();
        for (offset, order) in orders {
            match order {
                Order::Config(config) => self.take_config(offset, *config),
                Order::Move(order) => self.take_order(now, order),
                Order::Unreadable(fault) => adopted.unreadable.push(fault),
            }
        }
        self.end = self.end.max(end);
        adopted
    }

    /// Takes the state of a move as the store holds it.
    pub fn take_recorded(&mut self, recorded: RecordedMove) {
        if recorded.state == MoveState::TakenBack {
            let service = recorded.service.clone();
            self.taken_back.insert(VersionId { service, version: recorded.to.clone() });
        }
        self.recorded.insert(recorded.service.clone(), recorded);
    }

    /// The order that a move answers.
    pub fn order_of(&self, id: &MoveId) -> Option<&StoredOrder> {
        let known = self.orders.values().find(|known| known.order.offset == id.declared);
        known.map(|known| &known.order)
    }

    /// The final state of the move that an order asks for, where the store holds one.
    pub fn ended(&self, order: &StoredOrder) -> Option<VerdictKind> {
        let recorded = self.recorded.get(&order.service)?;
        let answers = recorded.order.is_none_or(|offset| offset == order.offset);
        if recorded.to != order.to || !answers {
            return None;
        }
        match recorded.state {
            MoveState::Running => None,
            MoveState::Done => Some(VerdictKind::Done),
            MoveState::TakenBack => Some(VerdictKind::TakenBack),
        }
    }

    /// The whole configuration; `None` before one was read.
    ///
    /// # Errors
    /// A name of this module is none; that is a fault of the program.
    pub fn config(&self) -> Result<Option<Config>, NameError> {
        let Some((offset, stored)) = &self.config else {
            return Ok(None);
        };
        let held = Holder { offset: *offset, team: TeamName::try_from(OPERATORS)? };
        let undeclared = VersionName::try_from(UNDECLARED_VERSION)?;
        let mut config = Config {
            version: ConfigVersion(self.end.0),
            undeclared: Some(undeclared.clone()),
            taken_back: self.taken_back.clone(),
            ..Config::default()
        };
        for service in &stored.services {
            declare(&mut config, &held, &service.name, &undeclared);
            config.services.insert(service.name.clone(), held.hold(service.clone()));
        }
        for route in &stored.routes {
            config.routes.insert(route.name.clone(), held.hold(route.clone()));
        }
        let policy = caller_policy(&stored.limits)?;
        config.policies.insert(policy.name.clone(), held.hold(policy));
        for known in self.orders.values() {
            if !config.services.contains_key(&known.order.service) {
                continue;
            }
            declare(&mut config, &held, &known.order.service, &known.order.to);
            let mv = self.held_move(known, &undeclared, &held)?;
            config.moves.insert(mv.held.body.name.clone(), mv);
        }
        Ok(Some(config))
    }

    fn take_config(&mut self, offset: Offset, config: StoredConfig) {
        let known = self.config.as_ref().map(|(known, _)| *known);
        if known.is_none_or(|known| known < offset) {
            self.config = Some((offset, config));
        }
    }

    fn take_order(&mut self, now: Wall, order: StoredOrder) {
        let known = self.orders.get(&order.service);
        if known.is_some_and(|known| known.order.offset >= order.offset) {
            return;
        }
        self.orders.insert(order.service.clone(), KnownOrder { order, start: now });
    }

    fn held_move(
        &self,
        known: &KnownOrder,
        from: &VersionName,
        holder: &Holder,
    ) -> Result<HeldMove, NameError> {
        let order = &known.order;
        let body = Move {
            name: MoveName::try_from(order.service.as_str())?,
            service: order.service.clone(),
            from: from.clone(),
            to: order.to.clone(),
            start: known.start,
            deadline: known.start + order.within.max(Duration::from_millis(1)),
            watch: order.within,
            tolerance_ppm: TOLERANCE_PPM,
            clash: ClashRule::Evidence,
        };
        let verdict = self.ended(order).map(|kind| MoveVerdict {
            kind,
            reason: "the store holds this state of the move".into(),
            by: self.me.clone(),
            at: known.start,
        });
        let held = Held { offset: order.offset, ..holder.hold(body) };
        Ok(HeldMove { held, order: None, verdict })
    }
}

/// Who holds the declarations of one configuration, and since when.
struct Holder {
    offset: Offset,
    team: TeamName,
}

impl Holder {
    fn hold<T>(&self, body: T) -> Held<T> {
        Held { offset: self.offset, team: self.team.clone(), body: Arc::new(body) }
    }
}

fn declare(config: &mut Config, held: &Holder, service: &ServiceName, version: &VersionName) {
    let id = VersionId { service: service.clone(), version: version.clone() };
    let version = Version { id: id.clone(), labels: Labels::default() };
    config.versions.insert(id, held.hold(version));
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
