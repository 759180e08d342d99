//! All moves at one daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cyclamen_ledger::{Config, MoveId, MoveVerdict, VerdictKind};
use cyclamen_types::{
    FailureDomain, FastMap, Incarnation, InstanceName, Mono, MoveName, Now, RouteName, ServerName,
    ServiceName, VersionName,
};

use crate::active::{ActiveMove, Identity};
use crate::evidence::LineKey;
use crate::keys::{DomainKey, MoveKey, ReporterKey, RouteKey, ServerKey};
use crate::ladder;
use crate::move_chart::MoveChart;
use crate::payload::{Conviction, Packet, Payload, packets};
use crate::sentences;
use crate::status::{MoveStage, MoveStatus};

/// Time between two ticks while a move is open.
const TICK: Duration = Duration::from_millis(250);

/// Longest time from merged trouble to its judgement.
const JUDGE_DELAY: Duration = Duration::from_millis(50);

/// Bound on the evidence that one daemon sends, in bytes per second.
const EVIDENCE_BYTES_PER_SECOND: i64 = 400;

/// Bytes of evidence that may be sent at once.
const EVIDENCE_BURST_BYTES: i64 = 2_000;

/// Convictions kept for moves that this daemon has not heard of.
const MOST_EARLY_CONVICTIONS: usize = 64;

/// Time over which daemons that report evidence spread their appends of one verdict.
const APPEND_SPREAD: Duration = Duration::from_secs(10);

/// Time over which all other daemons spread theirs, after those.
const IDLE_APPEND_SPREAD: Duration = Duration::from_secs(600);

/// Settings of the moves at one daemon.
#[derive(Clone, Debug)]
pub struct MovesSettings {
    /// This daemon, as reporter of evidence.
    pub instance: InstanceName,
    /// Which life of it.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Longest time between two payloads of evidence.
    pub evidence_period: Duration,
}

/// The two versions of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// The version that has the traffic.
    Old,
    /// The version that gets it.
    New,
}

/// One finished call, as the daemon that the caller reached saw it.
#[derive(Clone, Debug)]
pub struct CallSample<'a> {
    /// The route.
    pub route: &'a RouteName,
    /// The service.
    pub service: &'a ServiceName,
    /// The version that ran it.
    pub version: &'a VersionName,
    /// The backend server that ran it.
    pub server: &'a ServerName,
    /// Whether the backend server failed it (5xx, reset, timeout); a caller's own fault is none.
    pub failed: bool,
    /// From the choice of the server to the head of the answer.
    pub latency: Duration,
    /// Whether the server was in slow start or had just opened a connection.
    pub cold: bool,
}

/// What backend servers announced, by service and version, in this daemon's failure domain.
pub type Capacity<'a> = &'a dyn Fn(&ServiceName, &VersionName) -> u32;

/// How a service's calls divide between the versions of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// The move.
    pub id: MoveId,
    /// The service.
    pub service: ServiceName,
    /// The version that has the traffic.
    pub from: VersionName,
    /// The version that gets it.
    pub to: VersionName,
    /// Share of `to`, in parts per million.
    pub share_ppm: u32,
}

/// What a move wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MovesEffect {
    /// Tell all daemons at once.
    Convict(Arc<[u8]>),
    /// Tell other daemons as bytes allow.
    Evidence(Arc<[u8]>),
    /// Append to the log, until the fold shows it.
    Append(MoveId, MoveVerdict),
    /// A share changed: the splits have to be read anew.
    SplitsChanged,
}

/// All moves at one daemon.
#[derive(Debug)]
pub struct Moves {
    settings: MovesSettings,
    me: Identity,
    chart: Arc<MoveChart>,
    active: BTreeMap<MoveName, ActiveMove>,
    by_service: FastMap<ServiceName, Vec<MoveName>>,
    early: BTreeMap<MoveKey, Conviction>,
    credit_bytes: i64,
    credited: Mono,
    next: Mono,
}

impl Moves {
    /// No moves yet.
    ///
    /// # Panics
    /// The chart of a move that this crate carries has a fault; a test loads it.
    pub fn new(settings: MovesSettings, now: Now) -> Self {
        let me = Identity {
            instance: settings.instance.clone(),
            reporter: ReporterKey::from((&settings.instance, settings.incarnation)),
            domain: DomainKey::from(&settings.domain),
        };
        let chart = MoveChart::load().expect("the chart of a move has no fault");
        Self {
            settings,
            me,
            chart: Arc::new(chart),
            active: BTreeMap::new(),
            by_service: FastMap::default(),
            early: BTreeMap::new(),
            credit_bytes: EVIDENCE_BURST_BYTES,
            credited: now.mono,
            next: now.mono,
        }
    }

    /// Adopts the moves, orders and verdicts of a configuration.
    pub fn adopt(&mut self, now: Now, config: &Config, out: &mut Vec<MovesEffect>) {
        let before = self.splits();
        self.active.retain(|name, active| {
            config.moves.get(name).is_some_and(|held| held.id() == active.id)
        });
        for (name, held) in &config.moves {
            let (me, chart) = (&self.me, &self.chart);
            let fresh = || ActiveMove::new(held, me, chart, now);
            let active = self.active.entry(name.clone()).or_insert_with(fresh);
            active.adopt(now, held);
            if let Some(conviction) = self.early.remove(&active.key) {
                active.convict(conviction);
            }
            if active.conviction.is_some() && !active.verdict_shown() {
                active.append_due = active.append_due.min(now.mono + self.settings.evidence_period);
            }
        }
        self.index_services();
        self.next = now.mono;
        if self.splits() != before {
            out.push(MovesEffect::SplitsChanged);
        }
    }

    /// Reports one finished call.
    pub fn record(&mut self, now: Now, sample: &CallSample<'_>, out: &mut Vec<MovesEffect>) {
        let Some(names) = self.by_service.get(sample.service) else {
            return;
        };
        let mut suspects = Vec::new();
        for name in names {
            let Some(active) = self.active.get_mut(name) else {
                continue;
            };
            if !active.open() {
                continue;
            }
            let Some(side) = active.side(sample) else {
                continue;
            };
            if let Some(route) = active.record(now, side, sample) {
                suspects.push((name.clone(), BTreeSet::from([route])));
            }
        }
        for (name, routes) in suspects {
            self.judge(now, &name, &routes, out);
            self.next = self.next.min(now.mono);
        }
    }

    /// Merges a payload of another daemon; a conviction or evidence.
    pub fn merge(&mut self, now: Now, payload: &[u8], out: &mut Vec<MovesEffect>) {
        match Payload::decode(payload) {
            Some(Payload::Evidence(packet)) => self.merge_packet(now, &packet),
            Some(Payload::Conviction(conviction)) => self.merge_conviction(now, conviction, out),
            None => {}
        }
    }

    /// Does what is due: stages, verdicts, evidence to send.
    pub fn tick(&mut self, now: Now, slots: Capacity<'_>, out: &mut Vec<MovesEffect>) {
        let mut changed = false;
        for active in self.active.values_mut() {
            let share = active.share_ppm();
            let declared = &active.declared;
            let old = slots(&declared.service, &declared.from);
            let new = slots(&declared.service, &declared.to);
            active.carried_ppm = ladder::carried_ppm(old, new);
            active.advance(now);
            changed |= active.share_ppm() != share;
        }
        if changed {
            out.push(MovesEffect::SplitsChanged);
        }
        for (name, routes) in self.unjudged() {
            self.judge(now, &name, &routes, out);
        }
        self.append(now, out);
        self.report(now, out);
        let open = self.active.values().any(ActiveMove::open);
        let due = self.active.values().map(|active| active.append_due).min();
        let due = due.unwrap_or(Mono::NEVER).max(now.mono + TICK);
        self.next = if open { now.mono + TICK } else { due };
    }

    /// When [`Moves::tick`] is due.
    pub fn next_tick(&self) -> Mono {
        self.next
    }

    /// The splits of all moves that divide traffic: for each service that of its latest move
    /// that has started, else of its latest.
    pub fn splits(&self) -> Vec<Split> {
        let mut chosen: BTreeMap<&ServiceName, &ActiveMove> = BTreeMap::new();
        for active in self.active.values() {
            let rank =
                |active: &ActiveMove| (active.at() != MoveStage::Scheduled, active.id.declared);
            let service = &active.declared.service;
            let known = chosen.get(service);
            if known.is_none_or(|known| rank(known) < rank(active)) {
                chosen.insert(service, active);
            }
        }
        let mut splits = Vec::new();
        for (service, active) in chosen {
            splits.push(Split {
                id: active.id.clone(),
                service: service.clone(),
                from: active.declared.from.clone(),
                to: active.declared.to.clone(),
                share_ppm: active.share_ppm(),
            });
        }
        splits
    }

    /// Where a move stands.
    pub fn stage(&self, name: &MoveName) -> Option<MoveStage> {
        self.active.get(name).map(ActiveMove::at)
    }

    /// One move as an operator reads it.
    pub fn status(&self, name: &MoveName) -> Option<MoveStatus> {
        self.active.get(name).map(status)
    }

    /// All moves as an operator reads them.
    pub fn statuses(&self) -> Vec<MoveStatus> {
        self.active.values().map(status).collect()
    }

    /// Moves with something to judge, and the routes it came on.
    fn unjudged(&mut self) -> Vec<(MoveName, BTreeSet<RouteKey>)> {
        let mut moves = Vec::new();
        for (name, active) in &mut self.active {
            let routes = std::mem::take(&mut active.unjudged);
            if !routes.is_empty() || active.recurs() {
                moves.push((name.clone(), routes));
            }
        }
        moves
    }

    fn index_services(&mut self) {
        self.by_service.clear();
        for (name, active) in &self.active {
            let service = active.declared.service.clone();
            self.by_service.entry(service).or_default().push(name.clone());
        }
    }

    fn judge(
        &mut self,
        now: Now,
        name: &MoveName,
        routes: &BTreeSet<RouteKey>,
        out: &mut Vec<MovesEffect>,
    ) {
        let Some(active) = self.active.get_mut(name) else {
            return;
        };
        let Some(reason) = active.judge(routes) else {
            if active.suspect(now, routes) {
                out.push(MovesEffect::SplitsChanged);
            }
            return;
        };
        let conviction =
            Conviction { id: active.key, at: now.wall, by: self.settings.instance.clone(), reason };
        if !active.convict(conviction.clone()) {
            return;
        }
        out.push(MovesEffect::Convict(Payload::Conviction(conviction).encode()));
        out.push(MovesEffect::SplitsChanged);
        active.append_due = now.mono;
        self.append(now, out);
    }

    fn merge_packet(&mut self, now: Now, packet: &Packet) {
        if packet.reporter == self.me.reporter {
            return;
        }
        let Some(active) = self.active.values_mut().find(|active| active.key == packet.id) else {
            return;
        };
        let mut routes = BTreeSet::new();
        for entry in &packet.entries {
            let key = LineKey { stratum: packet.stratum, route: entry.route, server: entry.server };
            let growth = active.evidence.raise(packet.reporter, packet.domain, key, entry.counts);
            if entry.server != ServerKey::OLD && growth.failed + growth.slow > 0 {
                routes.insert(entry.route);
            }
        }
        if !routes.is_empty() {
            active.unjudged.append(&mut routes);
            self.next = self.next.min(now.mono + JUDGE_DELAY);
        }
    }

    fn merge_conviction(&mut self, now: Now, conviction: Conviction, out: &mut Vec<MovesEffect>) {
        let found = self.active.values_mut().find(|active| active.key == conviction.id);
        let Some(active) = found else {
            if self.early.len() < MOST_EARLY_CONVICTIONS {
                self.early.entry(conviction.id).or_insert(conviction);
            }
            return;
        };
        if !active.convict(conviction) {
            return;
        }
        out.push(MovesEffect::SplitsChanged);
        if !active.verdict_shown() {
            active.append_due = now.mono + append_delay(&self.me, active);
            self.next = self.next.min(active.append_due);
        }
    }

    fn append(&mut self, now: Now, out: &mut Vec<MovesEffect>) {
        for active in self.active.values_mut() {
            if active.arrived() && active.verdict.is_none() && active.append_due == Mono::NEVER {
                active.append_due = now.mono + append_delay(&self.me, active);
            }
            if active.append_due > now.mono {
                continue;
            }
            active.append_due = Mono(u64::MAX - 1);
            let verdict = match &active.conviction {
                Some(conviction) => MoveVerdict {
                    kind: VerdictKind::TakenBack,
                    reason: Arc::clone(&conviction.reason),
                    by: conviction.by.clone(),
                    at: conviction.at,
                },
                None => MoveVerdict {
                    kind: VerdictKind::Done,
                    reason: sentences::done(active).into(),
                    by: self.settings.instance.clone(),
                    at: now.wall,
                },
            };
            out.push(MovesEffect::Append(active.id.clone(), verdict));
        }
    }

    fn report(&mut self, now: Now, out: &mut Vec<MovesEffect>) {
        self.earn(now);
        for active in self.active.values_mut() {
            if active.changed.is_empty() || active.at() == MoveStage::Scheduled {
                continue;
            }
            let routine = active.next_report <= now.mono && self.credit_bytes > 0;
            let urgent = !active.urgent.is_empty() && self.credit_bytes > -EVIDENCE_BURST_BYTES;
            if !routine && !urgent {
                continue;
            }
            let lines = active.changed_lines(routine);
            for packet in packets(active.key, self.me.reporter, self.me.domain, &lines) {
                let bytes = Payload::Evidence(packet).encode();
                self.credit_bytes -= bytes.len() as i64;
                out.push(MovesEffect::Evidence(bytes));
            }
            if routine {
                active.next_report = now.mono + self.settings.evidence_period;
            }
        }
    }

    fn earn(&mut self, now: Now) {
        let passed = now.mono.since(self.credited).as_millis() as i64;
        let earned = passed * EVIDENCE_BYTES_PER_SECOND / 1_000;
        if earned == 0 {
            return;
        }
        self.credited = now.mono;
        self.credit_bytes = (self.credit_bytes + earned).min(EVIDENCE_BURST_BYTES);
    }
}

/// How long a daemon waits for another one's append: those that report evidence go first.
fn append_delay(me: &Identity, active: &ActiveMove) -> Duration {
    let hash = u64::from_le_bytes(me.reporter.0);
    let spread = if active.own_calls { APPEND_SPREAD } else { IDLE_APPEND_SPREAD };
    let wait = Duration::from_millis(hash % spread.as_millis() as u64);
    if active.own_calls { wait } else { APPEND_SPREAD + wait }
}

fn status(active: &ActiveMove) -> MoveStatus {
    MoveStatus {
        id: active.id.clone(),
        service: active.declared.service.clone(),
        from: active.declared.from.clone(),
        to: active.declared.to.clone(),
        stage: active.at(),
        share_ppm: active.share_ppm(),
        late: active.late,
        reason: sentences::reason(active),
        evidence: sentences::lines(active),
    }
}
