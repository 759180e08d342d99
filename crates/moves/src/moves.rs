//! All moves at one daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cyclamen_ledger::Config;
use cyclamen_types::{FastMap, Mono, MoveName, Now, ServiceName};

use crate::active::{ActiveMove, AnnouncedSlots, Identity};
use crate::appends::{self, Append};
use crate::budget::Budget;
use crate::evidence::LineKey;
use crate::keys::{DomainKey, MoveKey, ReporterKey, RouteKey, ServerKey};
use crate::ladder;
use crate::move_chart::MoveChart;
use crate::payload::{Conviction, Packet, Payload, packets};
use crate::sentences;
use crate::status::{MoveStage, MoveStatus};
use crate::types::{CallSample, Capacity, MovesEffect, MovesSettings, Split};

/// Time between two ticks while a move is open.
const TICK: Duration = Duration::from_millis(250);

/// Periods of evidence between two reports of a daemon that counts only calls of the old version.
const QUIET_PERIODS: u32 = 2;

/// Longest time from merged trouble to its judgement.
const JUDGE_DELAY: Duration = Duration::from_millis(50);

/// Convictions kept for moves that this daemon has not heard of.
const MOST_EARLY_CONVICTIONS: usize = 64;

/// Shortest time between two reminders of a conviction to daemons that do not know it.
const REMINDER_PERIOD: Duration = Duration::from_secs(5);

/// All moves at one daemon.
#[derive(Debug)]
pub struct Moves {
    settings: MovesSettings,
    me: Identity,
    chart: Arc<MoveChart>,
    active: BTreeMap<MoveName, ActiveMove>,
    by_service: FastMap<ServiceName, Vec<MoveName>>,
    early: BTreeMap<MoveKey, Conviction>,
    budget: Budget,
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
            budget: Budget::new(now.mono),
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
            for route in config.routes.values() {
                if route.body.service == held.held.body.service {
                    active.recorder.learn_name(&route.body.name);
                }
            }
            if let Some(conviction) = self.early.remove(&active.key) {
                active.convict(conviction);
            }
            owe_append(now, &self.me, active);
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
            Some(Payload::Evidence(packet)) => self.merge_packet(now, &packet, out),
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
            active.advance(now, AnnouncedSlots { old, new });
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
        let due = self.active.values().map(|active| active.append.due()).min();
        self.next = if open { now.mono + TICK } else { due.unwrap_or(Mono::NEVER) };
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
        let by = self.settings.instance.clone();
        let conviction = Conviction { id: active.key, at: now.wall, by, reason, repeat: 0 };
        if !active.convict(conviction.clone()) {
            return;
        }
        active.append = Append::Due(now.mono);
        out.push(MovesEffect::Convict(Payload::Conviction(conviction).encode()));
        out.push(MovesEffect::SplitsChanged);
        self.append(now, out);
    }

    fn merge_packet(&mut self, now: Now, packet: &Packet, out: &mut Vec<MovesEffect>) {
        if packet.reporter == self.me.reporter {
            return;
        }
        let Some(active) = self.active.values_mut().find(|active| active.key == packet.id) else {
            return;
        };
        for limit in &packet.limits {
            active.recorder.hear_limit(packet.reporter, limit);
        }
        let mut routes = BTreeSet::new();
        let mut new_calls = 0;
        for entry in &packet.entries {
            let key = LineKey { stratum: packet.stratum, route: entry.route, server: entry.server };
            let growth = active.evidence.raise(packet.reporter, packet.domain, key, entry.counts);
            if entry.server == ServerKey::OLD {
                continue;
            }
            new_calls += growth.calls;
            if growth.failed + growth.slow > 0 {
                routes.insert(entry.route);
            }
        }
        if active.at() == MoveStage::TakenBack && new_calls > 0 {
            remind(now, active, out);
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
        active.append = Append::Nothing;
        owe_append(now, &self.me, active);
        self.next = self.next.min(active.append.due());
        out.push(MovesEffect::SplitsChanged);
    }

    fn append(&mut self, now: Now, out: &mut Vec<MovesEffect>) {
        for active in self.active.values_mut() {
            owe_append(now, &self.me, active);
            if active.append.due() > now.mono {
                continue;
            }
            if active.conviction.is_none() && active.at() == MoveStage::Checking {
                continue;
            }
            active.append = Append::HandedOver;
            let verdict = appends::verdict(active, &self.me, now);
            out.push(MovesEffect::Append(active.id.clone(), verdict));
        }
    }

    fn report(&mut self, now: Now, out: &mut Vec<MovesEffect>) {
        self.budget.earn(now.mono);
        let mut waiting: Vec<&mut ActiveMove> = self.active.values_mut().collect();
        waiting.sort_by_key(|active| active.next_report);
        for active in waiting {
            if active.changed.is_empty() || active.at() == MoveStage::Scheduled {
                continue;
            }
            let routine = active.next_report <= now.mono && self.budget.allows_routine();
            let urgent = active.urgent && self.budget.allows_urgent();
            if !routine && !urgent {
                continue;
            }
            let periods = if urgent || active.new_changed() { 1 } else { QUIET_PERIODS };
            let period = self.settings.evidence_period * periods;
            let lines = active.changed_lines();
            let limit_of = |route| active.recorder.limit_here(route);
            let packets = packets(active.key, self.me.reporter, self.me.domain, &lines, limit_of);
            for packet in packets {
                for limit in &packet.limits {
                    active.recorder.hear_limit(self.me.reporter, limit);
                }
                let bytes = Payload::Evidence(packet).encode();
                self.budget.spend(bytes.len());
                out.push(MovesEffect::Evidence(bytes));
            }
            if routine {
                active.next_report = now.mono + period;
            }
        }
    }
}

/// Sets the time to append what this daemon decided, when the log does not show it.
fn owe_append(now: Now, me: &Identity, active: &mut ActiveMove) {
    if active.append != Append::Nothing || active.verdict_shown() {
        return;
    }
    let all_done = || {
        let since = ladder::recent_slot(&active.declared, now.wall);
        active.at() == MoveStage::Watched
            && now.mono.since(active.entered) >= ladder::alone(&active.declared)
            && active.evidence.all_at_last_stage(since)
    };
    if active.conviction.is_none() && !all_done() {
        return;
    }
    let delay = appends::delay(me, &active.declared, active.recorder.has_calls());
    active.append = Append::Due(now.mono + delay);
}

/// Tells a conviction again, to daemons whose evidence shows that they do not know it.
fn remind(now: Now, active: &mut ActiveMove, out: &mut Vec<MovesEffect>) {
    let Some(conviction) = &active.conviction else {
        return;
    };
    if now.mono < active.next_reminder {
        return;
    }
    active.next_reminder = now.mono + REMINDER_PERIOD;
    let repeat = now.wall.0 / REMINDER_PERIOD.as_millis() as u64;
    let again = Conviction { repeat, ..conviction.clone() };
    out.push(MovesEffect::Convict(Payload::Conviction(again).encode()));
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
