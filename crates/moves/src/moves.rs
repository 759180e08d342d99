//! The state machine of all moves at one daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cyclamen_ledger::Config;
use cyclamen_types::{FastMap, Mono, MoveName, Now, ServiceName};

use crate::active_move::{ActiveMove, AnnouncedSlots, Identity};
use crate::append::{self, AppendState};
use crate::byte_budget::ByteBudget;
use crate::evidence::CounterKey;
use crate::explanations;
use crate::keys::{DomainKey, MoveKey, ReporterKey, RouteKey, ServerKey};
use crate::move_chart::MoveChart;
use crate::payload::{EvidencePacket, Payload, Rollback, evidence_packets};
use crate::stages;
use crate::status::{MovePhase, MoveStatus};
use crate::types::{AnnouncedSlotsLookup, CallSample, MoveSplit, MovesEffect, MovesSettings};

/// Time between two ticks while a move collects evidence.
const TICK_PERIOD: Duration = Duration::from_millis(250);

/// Evidence periods from a routine report with only calls of the old version to the next routine
/// report of that move. After other routine reports it is one period.
const OLD_ONLY_REPORT_PERIODS: u32 = 2;

/// Longest time from the merge of failed or slow calls to their evaluation.
const EVALUATION_DELAY: Duration = Duration::from_millis(50);

/// Rollbacks kept for moves whose declarations have not reached this daemon.
const MAX_EARLY_ROLLBACKS: usize = 64;

/// Minimum time between two rebroadcasts of a rollback to daemons that do not know it.
const REBROADCAST_PERIOD: Duration = Duration::from_secs(5);

/// All moves at one daemon. The [crate documentation](crate) describes how it is driven.
#[derive(Debug)]
pub struct Moves {
    settings: MovesSettings,
    identity: Identity,
    chart: Arc<MoveChart>,
    active: BTreeMap<MoveName, ActiveMove>,
    by_service: FastMap<ServiceName, Vec<MoveName>>,
    early_rollbacks: BTreeMap<MoveKey, Rollback>,
    budget: ByteBudget,
    next_tick_at: Mono,
}

impl Moves {
    /// Creates the state machine without any moves.
    ///
    /// # Panics
    /// If the built-in chart [`MOVE_CHART`](crate::MOVE_CHART) is invalid, which the tests rule
    /// out.
    pub fn new(settings: MovesSettings, now: Now) -> Self {
        let identity = Identity {
            instance: settings.instance.clone(),
            reporter: ReporterKey::from((&settings.instance, settings.incarnation)),
            domain: DomainKey::from(&settings.failure_domain),
        };
        let chart = MoveChart::load().expect("the built-in chart is valid");
        Self {
            settings,
            identity,
            chart: Arc::new(chart),
            active: BTreeMap::new(),
            by_service: FastMap::default(),
            early_rollbacks: BTreeMap::new(),
            budget: ByteBudget::new(now.mono),
            next_tick_at: now.mono,
        }
    }

    /// Applies the moves, orders and verdicts of a configuration. Moves that are no longer in
    /// it, or were published again, are dropped with their evidence. A publication that only got
    /// another offset, see [`HeldMove::earlier_offsets`](cyclamen_ledger::HeldMove::earlier_offsets), keeps its state. Rollbacks that arrived before
    /// their move are applied. The next tick is due at once.
    pub fn apply_config(&mut self, now: Now, config: &Config, out: &mut Vec<MovesEffect>) {
        let before = self.splits();
        self.active.retain(|name, active| {
            config.moves.get(name).is_some_and(|held| active.follow_publication(held))
        });
        for (name, held) in &config.moves {
            let (identity, chart) = (&self.identity, &self.chart);
            let new_move = || ActiveMove::new(held, identity, chart, now);
            let active = self.active.entry(name.clone()).or_insert_with(new_move);
            active.apply_log(now, held);
            for route in config.routes.values() {
                // The configuration's entry (`HeldMove`) keeps the declaration in a field `held`.
                if route.body.service == held.held.body.service {
                    active.recorder.add_route_name(&route.body.name);
                }
            }
            if let Some(rollback) = self.early_rollbacks.remove(&active.key) {
                active.roll_back(rollback);
            }
            schedule_append(now, &self.identity, active);
        }
        self.index_services();
        self.next_tick_at = now.mono;
        if self.splits() != before {
            out.push(MovesEffect::SplitsChanged);
        }
    }

    /// Records a finished call and evaluates the moves of its service if the new version ran it
    /// and it failed or was slow.
    pub fn record_call(&mut self, now: Now, sample: &CallSample<'_>, out: &mut Vec<MovesEffect>) {
        let Some(names) = self.by_service.get(sample.service) else {
            return;
        };
        let mut affected = Vec::new();
        for name in names {
            let Some(active) = self.active.get_mut(name) else {
                continue;
            };
            if !active.collects_evidence() {
                continue;
            }
            let Some(side) = active.side(sample) else {
                continue;
            };
            if let Some(route) = active.record(now, side, sample) {
                affected.push((name.clone(), BTreeSet::from([route])));
            }
        }
        for (name, routes) in affected {
            self.evaluate(now, &name, &routes, out);
            // The tick sends the urgent report of the call.
            self.next_tick_at = self.next_tick_at.min(now.mono);
        }
    }

    /// Merges a payload of another daemon. Malformed payloads are ignored.
    pub fn merge_payload(&mut self, now: Now, payload: &[u8], out: &mut Vec<MovesEffect>) {
        match Payload::decode(payload) {
            Some(Payload::Evidence(packet)) => self.merge_packet(now, &packet, out),
            Some(Payload::Rollback(rollback)) => self.merge_rollback(now, rollback, out),
            None => {}
        }
    }

    /// Advances all moves with the slots that are announced now, evaluates merged evidence, and
    /// emits the verdicts and reports that are due.
    pub fn tick(&mut self, now: Now, slots: AnnouncedSlotsLookup<'_>, out: &mut Vec<MovesEffect>) {
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
        for (name, routes) in self.take_routes_to_evaluate() {
            self.evaluate(now, &name, &routes, out);
        }
        self.emit_due_verdicts(now, out);
        self.emit_due_reports(now, out);
        let collecting = self.active.values().any(ActiveMove::collects_evidence);
        let due = self.active.values().map(|active| active.append.due()).min();
        self.next_tick_at =
            if collecting { now.mono + TICK_PERIOD } else { due.unwrap_or(Mono::NEVER) };
    }

    /// When [`Moves::tick`] is due; [`Mono::NEVER`] if nothing is scheduled.
    pub fn next_tick(&self) -> Mono {
        self.next_tick_at
    }

    /// The present splits, one per service: that of the most recently declared move that has
    /// started (rolled back ones included), or of the most recently declared one if none has.
    pub fn splits(&self) -> Vec<MoveSplit> {
        let mut chosen: BTreeMap<&ServiceName, &ActiveMove> = BTreeMap::new();
        for active in self.active.values() {
            let rank =
                |active: &ActiveMove| (active.state() != MovePhase::Scheduled, active.id.declared);
            let service = &active.declared.service;
            let known = chosen.get(service);
            if known.is_none_or(|known| rank(known) < rank(active)) {
                chosen.insert(service, active);
            }
        }
        let mut splits = Vec::new();
        for (service, active) in chosen {
            splits.push(MoveSplit {
                id: active.id.clone(),
                service: service.clone(),
                from: active.declared.from.clone(),
                to: active.declared.to.clone(),
                share_ppm: active.share_ppm(),
            });
        }
        splits
    }

    /// The phase of a move, which is the state of its chart; `None` if the configuration does not
    /// have the move.
    pub fn phase(&self, name: &MoveName) -> Option<MovePhase> {
        self.active.get(name).map(ActiveMove::state)
    }

    /// The status of a move; `None` if the configuration does not have it.
    pub fn status(&self, name: &MoveName) -> Option<MoveStatus> {
        self.active.get(name).map(status)
    }

    /// The status of every move, in order of name.
    pub fn statuses(&self) -> Vec<MoveStatus> {
        self.active.values().map(status).collect()
    }

    /// Moves that have to be evaluated, with the routes on which failures or slow calls were
    /// merged. A move whose suspicion recurred too often is evaluated even without such routes.
    fn take_routes_to_evaluate(&mut self) -> Vec<(MoveName, BTreeSet<RouteKey>)> {
        let mut moves = Vec::new();
        for (name, active) in &mut self.active {
            let routes = std::mem::take(&mut active.routes_to_evaluate);
            if !routes.is_empty() || active.recurs_too_often() {
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

    /// Evaluates one move. If [`ActiveMove::evaluate`] returns a reason for a rollback, rolls the
    /// move back, broadcasts the rollback and emits the verdict; otherwise starts a check if the
    /// new version is suspect.
    fn evaluate(
        &mut self,
        now: Now,
        name: &MoveName,
        routes: &BTreeSet<RouteKey>,
        out: &mut Vec<MovesEffect>,
    ) {
        let Some(active) = self.active.get_mut(name) else {
            return;
        };
        let Some(reason) = active.evaluate(routes) else {
            if active.check_if_suspect(now, routes) {
                out.push(MovesEffect::SplitsChanged);
            }
            return;
        };
        let by = self.settings.instance.clone();
        let rollback = Rollback { id: active.key, at: now.wall, by, reason, repeat: 0 };
        if !active.roll_back(rollback.clone()) {
            return;
        }
        active.append = AppendState::Due(now.mono);
        out.push(MovesEffect::BroadcastRollback(Payload::Rollback(rollback).encode()));
        out.push(MovesEffect::SplitsChanged);
        self.emit_due_verdicts(now, out);
    }

    /// Merges evidence of another daemon. The `id` of a payload is the key of the move, not its
    /// `MoveId`.
    fn merge_packet(&mut self, now: Now, packet: &EvidencePacket, out: &mut Vec<MovesEffect>) {
        if packet.reporter == self.identity.reporter {
            return;
        }
        let Some(active) = self.active.values_mut().find(|active| active.key == packet.id) else {
            return;
        };
        for limit in &packet.limits {
            active.recorder.set_reported_limit(packet.reporter, limit);
        }
        let mut routes = BTreeSet::new();
        let mut new_calls = 0;
        for entry in &packet.entries {
            let key =
                CounterKey { stratum: packet.stratum, route: entry.route, server: entry.server };
            let growth = active.evidence.merge(packet.reporter, packet.domain, key, entry.counts);
            if entry.server == ServerKey::OLD {
                continue;
            }
            new_calls += growth.calls;
            if growth.failed + growth.slow > 0 {
                routes.insert(entry.route);
            }
        }
        if active.state() == MovePhase::TakenBack && new_calls > 0 {
            rebroadcast_rollback(now, active, out);
        }
        if !routes.is_empty() {
            active.routes_to_evaluate.append(&mut routes);
            self.next_tick_at = self.next_tick_at.min(now.mono + EVALUATION_DELAY);
        }
    }

    fn merge_rollback(&mut self, now: Now, rollback: Rollback, out: &mut Vec<MovesEffect>) {
        let found = self.active.values_mut().find(|active| active.key == rollback.id);
        let Some(active) = found else {
            if self.early_rollbacks.len() < MAX_EARLY_ROLLBACKS {
                self.early_rollbacks.entry(rollback.id).or_insert(rollback);
            }
            return;
        };
        if !active.roll_back(rollback) {
            return;
        }
        // The rollback replaces a verdict of done that is due or submitted; `schedule_append`
        // returns early unless the append is idle.
        active.append = AppendState::Idle;
        schedule_append(now, &self.identity, active);
        self.next_tick_at = self.next_tick_at.min(active.append.due());
        out.push(MovesEffect::SplitsChanged);
    }

    /// For each move, schedules the append of the verdict if there is one, and emits the verdict if
    /// its append is due. [`Moves::tick`] schedules verdicts of done nowhere else. Such a verdict
    /// waits while a check runs.
    fn emit_due_verdicts(&mut self, now: Now, out: &mut Vec<MovesEffect>) {
        for active in self.active.values_mut() {
            schedule_append(now, &self.identity, active);
            if active.append.due() > now.mono {
                continue;
            }
            if active.rollback.is_none() && active.state() == MovePhase::Checking {
                continue;
            }
            active.append = AppendState::Submitted;
            let verdict = append::verdict(active, &self.identity, now);
            out.push(MovesEffect::AppendVerdict(active.id.clone(), verdict));
        }
    }

    /// Emits reports of evidence within the byte budget. The moves that have waited longest
    /// come first.
    fn emit_due_reports(&mut self, now: Now, out: &mut Vec<MovesEffect>) {
        self.budget.refill(now.mono);
        let mut waiting: Vec<&mut ActiveMove> = self.active.values_mut().collect();
        waiting.sort_by_key(|active| active.next_report);
        for active in waiting {
            if active.unreported.is_empty() || active.state() == MovePhase::Scheduled {
                continue;
            }
            let routine = active.next_report <= now.mono && self.budget.allows_routine();
            let urgent = active.urgent && self.budget.allows_urgent();
            if !routine && !urgent {
                continue;
            }
            let periods = if urgent || active.has_unreported_new_calls() {
                1
            } else {
                OLD_ONLY_REPORT_PERIODS
            };
            let period = self.settings.evidence_period * periods;
            let counters = active.take_unreported();
            // The latency above which a call of the route is slow, as this daemon estimates it.
            let limit_of = |route| active.recorder.local_limit(route);
            let packets = evidence_packets(
                active.key,
                self.identity.reporter,
                self.identity.domain,
                &counters,
                limit_of,
            );
            for packet in packets {
                // The recorder takes the median of the reported limits of all daemons, this one
                // included.
                for limit in &packet.limits {
                    active.recorder.set_reported_limit(self.identity.reporter, limit);
                }
                let bytes = Payload::Evidence(packet).encode();
                self.budget.spend(bytes.len());
                out.push(MovesEffect::SendEvidence(bytes));
            }
            if routine {
                active.next_report = now.mono + period;
            }
        }
    }
}

/// Schedules the append of this daemon's verdict if the log does not hold it.
fn schedule_append(now: Now, identity: &Identity, active: &mut ActiveMove) {
    if active.append != AppendState::Idle || active.verdict_is_logged() {
        return;
    }
    // Whether every condition for a verdict of done on this move holds.
    let all_done = || {
        let since = stages::first_recent_time_slot(&active.declared, now.wall);
        active.state() == MovePhase::Watched
            && now.mono.since(active.stage_entered) >= stages::min_full_share_time(&active.declared)
            && active.evidence.all_at_last_stage(since)
    };
    if active.rollback.is_none() && !all_done() {
        return;
    }
    let delay = append::delay(identity, &active.declared, active.recorder.has_calls());
    active.append = AppendState::Due(now.mono + delay);
}

/// Sends a rollback again, for daemons whose evidence shows that they do not know it.
fn rebroadcast_rollback(now: Now, active: &mut ActiveMove, out: &mut Vec<MovesEffect>) {
    let Some(rollback) = &active.rollback else {
        return;
    };
    if now.mono < active.next_rebroadcast {
        return;
    }
    active.next_rebroadcast = now.mono + REBROADCAST_PERIOD;
    // The number of the present period by the wall clock. It makes the payload differ from earlier
    // broadcasts of the rollback, but not from that of another daemon in the same period.
    let repeat = now.wall.0 / REBROADCAST_PERIOD.as_millis() as u64;
    let repeated = Rollback { repeat, ..rollback.clone() };
    out.push(MovesEffect::BroadcastRollback(Payload::Rollback(repeated).encode()));
}

fn status(active: &ActiveMove) -> MoveStatus {
    MoveStatus {
        id: active.id.clone(),
        service: active.declared.service.clone(),
        from: active.declared.from.clone(),
        to: active.declared.to.clone(),
        phase: active.state(),
        share_ppm: active.share_ppm(),
        late: active.late,
        reason: explanations::reason(active),
        evidence: explanations::route_evidence(active),
    }
}
