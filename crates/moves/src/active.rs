//! One move at one daemon: its state, stage, evidence and verdict.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_charts::StateIndex;
use cyclamen_declarations::{ClashRule, Move, OrderAction};
use cyclamen_ledger::{HeldMove, MoveId, MoveVerdict, VerdictKind};
use cyclamen_types::{FastMap, InstanceName, Mono, Now, RouteName, ServerName};

use crate::check::{Check, Cleared, RECURRENCES, recurred};
use crate::evidence::{Counts, Evidence, LineKey, Stratum};
use crate::findings::{self, Finding};
use crate::keys::{DomainKey, MoveKey, ReporterKey, RouteKey, ServerKey};
use crate::ladder::{self, LAST_STAGE};
use crate::move_chart::{MoveChart, MoveEvent};
use crate::moves::{CallSample, Side};
use crate::payload::Conviction;
use crate::reference::Reference;
use crate::status::MoveStage;

/// Calls of a backend server, as this daemon counts them, that are never called slow.
const WARM_UP_CALLS: u32 = 10;

/// Time since the first call of a backend server in which none is called slow.
const WARM_UP: Duration = Duration::from_secs(10);

/// Time between two looks at evidence that holds a stage.
const DOUBT_PERIOD: Duration = Duration::from_secs(1);

/// Who this daemon is, as reporter.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) instance: InstanceName,
    pub(crate) reporter: ReporterKey,
    pub(crate) domain: DomainKey,
}

/// What this daemon knows of a route.
#[derive(Clone, Debug)]
struct RouteMemory {
    key: RouteKey,
    reference: Reference,
}

/// What this daemon knows of a backend server of the new version.
#[derive(Clone, Copy, Debug)]
struct ServerMemory {
    key: ServerKey,
    first: Mono,
    calls: u32,
}

/// One move.
#[derive(Debug)]
pub(crate) struct ActiveMove {
    pub(crate) id: MoveId,
    pub(crate) key: MoveKey,
    pub(crate) declared: Arc<Move>,
    pub(crate) evidence: Evidence,
    pub(crate) changed: BTreeSet<LineKey>,
    pub(crate) next_report: Mono,
    pub(crate) urgent: BTreeSet<RouteKey>,
    pub(crate) unjudged: BTreeSet<RouteKey>,
    pub(crate) conviction: Option<Conviction>,
    pub(crate) verdict: Option<MoveVerdict>,
    pub(crate) append_due: Mono,
    pub(crate) own_calls: bool,
    pub(crate) wait: Wait,
    pub(crate) carried_ppm: u32,
    pub(crate) late: bool,
    me: Identity,
    chart: Arc<MoveChart>,
    state: StateIndex,
    stage: u8,
    entered: Mono,
    next_climb: Mono,
    watch_ends: Mono,
    check: Option<Check>,
    checks: u8,
    recurrences: u32,
    order: Option<OrderAction>,
    routes: FastMap<RouteName, RouteMemory>,
    servers: FastMap<ServerName, ServerMemory>,
}

/// Why a stage does not grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Wait {
    /// The schedule has not come to the next stage.
    #[default]
    Schedule,
    /// The stage has too few calls of the new version.
    Calls {
        /// Calls seen.
        seen: u64,
        /// Calls wanted.
        wanted: u64,
    },
    /// Something speaks against the new version, too little to convict it.
    Doubt,
    /// The announced slots of the new version carry no more.
    Slots,
}

impl ActiveMove {
    pub(crate) fn new(held: &HeldMove, me: &Identity, chart: &Arc<MoveChart>, now: Now) -> Self {
        let id = held.id();
        Self {
            key: MoveKey::from(&id),
            id,
            declared: Arc::clone(&held.held.body),
            evidence: Evidence::default(),
            changed: BTreeSet::new(),
            next_report: now.mono,
            urgent: BTreeSet::new(),
            unjudged: BTreeSet::new(),
            conviction: None,
            verdict: None,
            append_due: Mono::NEVER,
            own_calls: false,
            wait: Wait::Schedule,
            carried_ppm: 0,
            late: false,
            me: me.clone(),
            chart: Arc::clone(chart),
            state: chart.initial(),
            stage: 0,
            entered: now.mono,
            next_climb: now.mono,
            watch_ends: Mono::NEVER,
            check: None,
            checks: 0,
            recurrences: 0,
            order: None,
            routes: FastMap::default(),
            servers: FastMap::default(),
        }
    }

    /// Where the move stands.
    pub(crate) fn at(&self) -> MoveStage {
        self.chart.stage(self.state)
    }

    /// Share of calls to the new version, in parts per million.
    pub(crate) fn share_ppm(&self) -> u32 {
        let share = match self.at() {
            MoveStage::Scheduled | MoveStage::TakenBack => 0,
            MoveStage::Checking => ladder::rung(ladder::CHECK_STAGE).share_ppm,
            _ => ladder::rung(self.stage).share_ppm,
        };
        share.min(self.carried_ppm)
    }

    /// Whether all traffic of this daemon is on the new version.
    pub(crate) fn arrived(&self) -> bool {
        matches!(self.at(), MoveStage::Watched | MoveStage::Done)
    }

    /// Whether evidence is still gathered.
    pub(crate) fn open(&self) -> bool {
        !matches!(self.at(), MoveStage::Done | MoveStage::TakenBack)
    }

    /// Fires an event; returns whether the chart expects it here.
    pub(crate) fn fire(&mut self, event: MoveEvent) -> bool {
        let Some(next) = self.chart.next(self.state, event) else {
            return false;
        };
        self.state = next;
        true
    }

    /// Adopts what the log decided about the move.
    pub(crate) fn adopt(&mut self, now: Now, held: &HeldMove) {
        self.verdict = held.verdict.clone();
        let order = held.order;
        if order != self.order {
            self.order = order;
            self.obey(now, order);
        }
        let Some(verdict) = held.verdict.clone() else {
            return;
        };
        match verdict.kind {
            VerdictKind::TakenBack => {
                let (id, at, by, reason) = (self.key, verdict.at, verdict.by, verdict.reason);
                self.convict(Conviction { id, at, by, reason });
            }
            VerdictKind::Done if self.open() => self.adopt_done(now, &verdict),
            VerdictKind::Done => {}
        }
        if self.verdict_shown() {
            self.append_due = Mono::NEVER;
        }
    }

    /// Whether the log holds what this daemon decided.
    pub(crate) fn verdict_shown(&self) -> bool {
        let Some(verdict) = &self.verdict else {
            return false;
        };
        verdict.kind == VerdictKind::TakenBack || self.conviction.is_none()
    }

    /// Takes the move back; the least of several convictions is kept. Returns whether the state
    /// changed.
    pub(crate) fn convict(&mut self, conviction: Conviction) -> bool {
        let known = self.conviction.as_ref();
        if known.is_none_or(|known| conviction.rank() < known.rank()) {
            self.conviction = Some(conviction);
        }
        self.at() != MoveStage::TakenBack && self.fire(MoveEvent::Convict)
    }

    /// Which side of the move a version is on.
    pub(crate) fn side(&self, sample: &CallSample<'_>) -> Option<Side> {
        if *sample.version == self.declared.to {
            return Some(Side::New);
        }
        (*sample.version == self.declared.from).then_some(Side::Old)
    }

    /// Counts a call; returns its route if it speaks against the new version.
    pub(crate) fn record(
        &mut self,
        now: Now,
        side: Side,
        sample: &CallSample<'_>,
    ) -> Option<RouteKey> {
        self.own_calls = true;
        let server = match side {
            Side::Old => ServerKey::OLD,
            Side::New => self.server_key(now, sample.server),
        };
        let warm = side == Side::Old || self.warm(now, sample.server);
        let route = self.route(sample.route);
        let mut slow = false;
        if !sample.failed && !sample.cold {
            slow = warm && route.reference.slow(sample.latency) == Some(true);
            if side == Side::Old {
                route.reference.add(sample.latency);
            }
        }
        let stratum =
            Stratum { slot: ladder::slot(&self.declared, now.wall), stage: self.stratum_stage() };
        let counts = Counts { calls: 1, failed: u64::from(sample.failed), slow: u64::from(slow) };
        let key = LineKey { stratum, route: self.route(sample.route).key, server };
        self.evidence.count(self.me.reporter, self.me.domain, key, counts);
        self.changed.insert(key);
        if side == Side::Old || !(sample.failed || slow) {
            return None;
        }
        if sample.failed {
            self.urgent.insert(key.route);
        }
        Some(key.route)
    }

    /// Takes the changed lines of this reporter: all of them, or those of the urgent routes.
    pub(crate) fn changed_lines(&mut self, all: bool) -> Vec<(LineKey, Counts)> {
        let urgent = std::mem::take(&mut self.urgent);
        let own = self.evidence.reporters().get(&self.me.reporter);
        let mut lines = Vec::new();
        self.changed.retain(|key| {
            if !all && !urgent.contains(&key.route) {
                return true;
            }
            let counts = own.and_then(|own| own.lines.get(key)).copied();
            lines.push((*key, counts.unwrap_or_default()));
            false
        });
        lines
    }

    /// Judges the evidence on some routes; returns why the move has to be taken back.
    pub(crate) fn judge(&mut self, routes: &BTreeSet<RouteKey>) -> Option<Arc<str>> {
        if !self.open() {
            return None;
        }
        if let Some(finding) = findings::conviction(&mut self.evidence, routes) {
            return Some(finding.sentence(self.name_of(&finding)).into());
        }
        if !self.recurs() {
            return None;
        }
        let finding = &self.check.as_ref()?.finding;
        Some(recurred(finding, &finding.place(self.name_of(finding))).into())
    }

    /// Sends part of the traffic back when the version that runs alone is suspect; returns
    /// whether it did.
    pub(crate) fn suspect(&mut self, now: Now, routes: &BTreeSet<RouteKey>) -> bool {
        if self.at() != MoveStage::Watched {
            return false;
        }
        let Some(finding) = findings::suspicion(&self.evidence, routes, self.stratum_stage())
        else {
            return false;
        };
        if !self.fire(MoveEvent::Suspect) {
            return false;
        }
        let from_slot = ladder::slot(&self.declared, now.wall);
        self.check = Some(Check { round: self.checks, from_slot, finding });
        self.entered = now.mono;
        self.checks = self.checks.saturating_add(1);
        true
    }

    /// Whether a suspicion came back too often to be chance.
    pub(crate) fn recurs(&self) -> bool {
        self.open() && self.check.is_some() && self.recurrences >= RECURRENCES
    }

    /// Fires what the clock, the orders and the evidence allow; at most one stage at a time.
    pub(crate) fn advance(&mut self, now: Now) {
        match self.at() {
            MoveStage::Scheduled if now.wall >= self.declared.start => {
                self.fire(MoveEvent::Start);
                self.entered = now.mono;
            }
            MoveStage::Moving => self.climb(now),
            MoveStage::Checking => self.end_check(now),
            MoveStage::Watched if now.mono >= self.watch_ends => {
                self.fire(MoveEvent::WatchOver);
            }
            _ => {}
        }
        self.late = self.misses_deadline(now);
    }

    /// Whether the deadline is missed, or cannot be met any more.
    fn misses_deadline(&self, now: Now) -> bool {
        if matches!(self.at(), MoveStage::Watched | MoveStage::Done | MoveStage::TakenBack) {
            return false;
        }
        now.wall + ladder::shortest_rest(self.stage) > self.declared.deadline
    }

    /// The routes known here, by key.
    pub(crate) fn route_name(&self, key: RouteKey) -> Option<&RouteName> {
        self.routes.iter().find(|(_, memory)| memory.key == key).map(|(name, _)| name)
    }

    fn name_of(&self, finding: &Finding) -> Option<&RouteName> {
        finding.route.and_then(|route| self.route_name(route))
    }

    fn adopt_done(&mut self, now: Now, verdict: &MoveVerdict) {
        self.fire(MoveEvent::Start);
        self.stage = LAST_STAGE;
        if self.fire(MoveEvent::Arrived) {
            self.entered = now.mono;
        }
        let end = verdict.at.max(self.declared.deadline) + self.declared.watch;
        let rest = end.since(now.wall);
        self.watch_ends = self.watch_ends.min(now.mono + rest);
    }

    fn obey(&mut self, now: Now, order: Option<OrderAction>) {
        match order {
            Some(OrderAction::Pause) => {
                self.fire(MoveEvent::Pause);
            }
            Some(OrderAction::Resume | OrderAction::Hasten) => {
                self.fire(MoveEvent::Resume);
            }
            Some(OrderAction::TakeBack) => {
                let (id, by) = (self.key, self.me.instance.clone());
                let reason = "an operator took it back".into();
                self.convict(Conviction { id, at: now.wall, by, reason });
            }
            None => {}
        }
    }

    fn climb(&mut self, now: Now) {
        if self.stage == LAST_STAGE {
            self.arrive(now);
            return;
        }
        if now.mono.since(self.entered) < ladder::SHORTEST_DWELL || now.mono < self.next_climb {
            return;
        }
        self.wait = Wait::Schedule;
        let hasten = self.order == Some(OrderAction::Hasten);
        if !hasten && now.wall < ladder::entry(&self.declared, self.stage + 1) {
            return;
        }
        if self.carried_ppm <= ladder::rung(self.stage).share_ppm {
            self.wait = Wait::Slots;
            return;
        }
        let (seen, wanted) =
            (self.evidence.new_calls_from(self.stage), ladder::rung(self.stage).calls);
        if seen < wanted && !self.deadline_wins(now) {
            self.wait = Wait::Calls { seen, wanted };
            return;
        }
        if !findings::clean(&mut self.evidence) {
            self.wait = Wait::Doubt;
            self.next_climb = now.mono + DOUBT_PERIOD;
            return;
        }
        self.stage += 1;
        self.entered = now.mono;
        self.arrive(now);
    }

    fn arrive(&mut self, now: Now) {
        if self.stage < LAST_STAGE {
            return;
        }
        if self.carried_ppm < ladder::WHOLE_PPM {
            self.wait = Wait::Slots;
            return;
        }
        if !self.fire(MoveEvent::Arrived) {
            return;
        }
        if self.watch_ends == Mono::NEVER {
            let until_deadline = self.declared.deadline.since(now.wall);
            self.watch_ends = now.mono + until_deadline + self.declared.watch;
        }
    }

    fn end_check(&mut self, now: Now) {
        let Some(check) = &self.check else {
            return;
        };
        if now.mono.since(self.entered) < ladder::SHORTEST_DWELL {
            return;
        }
        let Some(cleared) = check.cleared(&self.evidence) else {
            return;
        };
        if cleared == Cleared::Unexplained && findings::lasting(&self.evidence, &check.finding) {
            self.recurrences += 1;
        }
        if self.recurrences < RECURRENCES {
            self.fire(MoveEvent::Cleared);
            self.check = None;
            self.arrive(now);
        }
    }

    fn deadline_wins(&self, now: Now) -> bool {
        let rest = ladder::shortest_rest(self.stage);
        self.declared.clash == ClashRule::Deadline && now.wall + rest >= self.declared.deadline
    }

    fn stratum_stage(&self) -> u8 {
        match &self.check {
            Some(check) => check.stage(),
            None if self.stage == LAST_STAGE => LAST_STAGE.saturating_add(self.checks),
            None => self.stage,
        }
    }

    fn route(&mut self, name: &RouteName) -> &mut RouteMemory {
        if !self.routes.contains_key(name) {
            let memory = RouteMemory { key: name.into(), reference: Reference::default() };
            self.routes.insert(name.clone(), memory);
        }
        self.routes.get_mut(name).expect("inserted above")
    }

    fn server_key(&mut self, now: Now, name: &ServerName) -> ServerKey {
        if !self.servers.contains_key(name) {
            let memory = ServerMemory { key: name.into(), first: now.mono, calls: 0 };
            self.servers.insert(name.clone(), memory);
        }
        let memory = self.servers.get_mut(name).expect("inserted above");
        memory.calls = memory.calls.saturating_add(1);
        memory.key
    }

    fn warm(&self, now: Now, name: &ServerName) -> bool {
        let Some(memory) = self.servers.get(name) else {
            return false;
        };
        memory.calls > WARM_UP_CALLS && now.mono.since(memory.first) >= WARM_UP
    }
}
