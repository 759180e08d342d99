//! One move at one daemon: its state, evidence, rollback and verdict.

use std::collections::BTreeSet;
use std::sync::Arc;

use cyclamen_charts::StateIndex;
use cyclamen_declarations::{Move, OrderAction};
use cyclamen_ledger::{HeldMove, MoveId, MoveVerdict, VerdictKind};
use cyclamen_types::{InstanceName, Mono, Now, RouteName};

use crate::append::AppendState;
use crate::check::{Check, RECURRENCES_FOR_ROLLBACK, persisting_reason, recurring_reason};
use crate::evidence::{CounterKey, Counts, Evidence, Stratum};
use crate::findings::{self, Finding};
use crate::keys::{DomainKey, MoveKey, ReporterKey, RouteKey, ServerKey};
use crate::move_chart::{MoveChart, MoveEvent};
use crate::payload::Rollback;
use crate::recorder::Recorder;
use crate::stages::{self, LAST_STAGE};
use crate::status::MovePhase;
use crate::types::{CallSample, Side};

/// This daemon as a reporter of evidence.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) instance: InstanceName,
    pub(crate) reporter: ReporterKey,
    pub(crate) domain: DomainKey,
}

/// Why a move does not enter its next stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum StageBlocker {
    /// The schedule does not allow the next stage yet.
    #[default]
    Schedule,
    /// There are too few calls of the new version at the present stage.
    Calls {
        /// Calls counted.
        seen: u64,
        /// Calls required.
        wanted: u64,
    },
    /// The evidence speaks against the new version, but not enough for a rollback.
    Inconclusive,
    /// The announced slots of the new version serve no larger share.
    Capacity,
}

/// Slots that the backend servers of both versions announced in this daemon's failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnnouncedSlots {
    pub(crate) old: u32,
    pub(crate) new: u32,
}

/// The state of a declared move at this daemon.
#[derive(Debug)]
pub(crate) struct ActiveMove {
    pub(crate) id: MoveId,
    pub(crate) key: MoveKey,
    pub(crate) declared: Arc<Move>,
    pub(crate) evidence: Evidence,
    pub(crate) recorder: Recorder,
    /// Own counters that changed since the last report.
    pub(crate) unreported: BTreeSet<CounterKey>,
    /// Whether failed or slow calls of the new version have not been reported.
    pub(crate) urgent: bool,
    /// Routes with merged failures or slow calls of the new version since the last evaluation.
    pub(crate) routes_to_evaluate: BTreeSet<RouteKey>,
    pub(crate) next_report: Mono,
    pub(crate) next_rebroadcast: Mono,
    pub(crate) rollback: Option<Rollback>,
    pub(crate) verdict: Option<MoveVerdict>,
    pub(crate) append: AppendState,
    pub(crate) announced_slots: Option<AnnouncedSlots>,
    pub(crate) blocker: StageBlocker,
    pub(crate) late: bool,
    /// What blocked the next stage when the move was last found late.
    pub(crate) late_cause: Option<StageBlocker>,
    /// The index of the stage; the last one while all calls go to the new version or a check
    /// runs.
    pub(crate) stage: u8,
    /// When the present stage or check began.
    pub(crate) stage_entered: Mono,
    /// The stage number for calls that started before the present share applied.
    previous_stage_number: u8,
    /// The earliest time of the next evaluation, after one that was inconclusive.
    pub(crate) next_stage_check: Mono,
    /// Whether the new version has taken all calls at least once.
    pub(crate) full_share_reached: bool,
    pub(crate) watch_ends: Mono,
    pub(crate) order: Option<OrderAction>,
    pub(crate) check: Option<Check>,
    /// Number of checks so far, the present one included.
    pub(crate) check_count: u8,
    /// Number of checks that ended without trouble although the suspicion persists.
    pub(crate) recurrences: u32,
    identity: Identity,
    chart: Arc<MoveChart>,
    chart_state: StateIndex,
}

impl ActiveMove {
    /// A move that this daemon has not seen before.
    pub(crate) fn new(
        held: &HeldMove,
        identity: &Identity,
        chart: &Arc<MoveChart>,
        now: Now,
    ) -> Self {
        let id = held.id();
        let tolerated = f64::from(held.held.body.tolerance_ppm) / f64::from(stages::FULL_SHARE_PPM);
        Self {
            key: MoveKey::from(&id),
            id,
            declared: Arc::clone(&held.held.body),
            evidence: Evidence::new(tolerated),
            recorder: Recorder::new(&held.held.body),
            unreported: BTreeSet::new(),
            urgent: false,
            routes_to_evaluate: BTreeSet::new(),
            next_report: now.mono,
            next_rebroadcast: now.mono,
            rollback: None,
            verdict: None,
            append: AppendState::Idle,
            announced_slots: None,
            blocker: StageBlocker::Schedule,
            late: false,
            late_cause: None,
            stage: 0,
            stage_entered: now.mono,
            previous_stage_number: 0,
            next_stage_check: now.mono,
            full_share_reached: false,
            watch_ends: Mono::NEVER,
            order: None,
            check: None,
            check_count: 0,
            recurrences: 0,
            identity: identity.clone(),
            chart: Arc::clone(chart),
            chart_state: chart.initial(),
        }
    }

    /// Whether this is the move that `held` publishes. Takes over the offset of the publication if
    /// it has changed since.
    pub(crate) fn follow_publication(&mut self, held: &HeldMove) -> bool {
        let id = held.id();
        if id == self.id {
            return true;
        }
        if !held.earlier_offsets.contains(&self.id.declared) {
            return false;
        }
        self.key = MoveKey::from(&id);
        self.id = id;
        if let Some(rollback) = &mut self.rollback {
            rollback.id = self.key;
        }
        // The verdict is appended anew for the present offset.
        self.append = AppendState::Idle;
        true
    }

    /// The state of the move in its chart.
    pub(crate) fn state(&self) -> MovePhase {
        self.chart.state(self.chart_state)
    }

    /// Share of calls to the new version, in parts per million.
    pub(crate) fn share_ppm(&self) -> u32 {
        let share = match self.state() {
            MovePhase::Scheduled | MovePhase::TakenBack => 0,
            MovePhase::Checking => {
                stages::stage_spec(&self.declared, stages::CHECK_FALLBACK_STAGE).share_ppm
            }
            _ => stages::stage_spec(&self.declared, self.stage).share_ppm,
        };
        share.min(self.capacity_share_ppm())
    }

    /// The share that the announced slots can serve, in parts per million; 0 before they are
    /// known.
    pub(crate) fn capacity_share_ppm(&self) -> u32 {
        self.announced_slots.map_or(0, |slots| stages::capacity_share_ppm(slots.old, slots.new))
    }

    /// Whether calls are counted and evaluated: until the move is done or rolled back.
    pub(crate) fn collects_evidence(&self) -> bool {
        !matches!(self.state(), MovePhase::Done | MovePhase::TakenBack)
    }

    /// Applies an event to the chart; returns whether the present state has a transition for
    /// it.
    pub(crate) fn fire(&mut self, event: MoveEvent) -> bool {
        let Some(next) = self.chart.next(self.chart_state, event) else {
            return false;
        };
        self.chart_state = next;
        true
    }

    /// Applies the order and the verdict that the log holds for the move.
    pub(crate) fn apply_log(&mut self, now: Now, held: &HeldMove) {
        self.verdict = held.verdict.clone();
        self.order = held.order;
        if self.order == Some(OrderAction::TakeBack) && self.state() != MovePhase::TakenBack {
            let (id, by) = (self.key, self.identity.instance.clone());
            let reason = "an operator took it back".into();
            self.roll_back(Rollback { id, at: now.wall, by, reason, repeat: 0 });
        }
        match held.verdict.clone() {
            Some(verdict) if verdict.kind == VerdictKind::TakenBack => {
                let (id, at, by, reason) = (self.key, verdict.at, verdict.by, verdict.reason);
                self.roll_back(Rollback { id, at, by, reason, repeat: 0 });
            }
            Some(verdict) if self.collects_evidence() => self.apply_done(now, &verdict),
            _ => {}
        }
        if self.verdict_is_logged() {
            self.append = AppendState::Idle;
        }
    }

    /// Whether the log holds a verdict that this daemon has nothing to add to: a rollback, or done
    /// while this daemon knows of no rollback.
    pub(crate) fn verdict_is_logged(&self) -> bool {
        match &self.verdict {
            Some(verdict) => verdict.kind == VerdictKind::TakenBack || self.rollback.is_none(),
            None => false,
        }
    }

    /// Whether an order to pause holds. It ends with a verdict of done, after which the log takes
    /// no order to resume.
    pub(crate) fn is_ordered_to_pause(&self) -> bool {
        let done = |verdict: &MoveVerdict| verdict.kind == VerdictKind::Done;
        self.order == Some(OrderAction::Pause) && !self.verdict.as_ref().is_some_and(done)
    }

    /// Rolls the move back and keeps, of several rollbacks, the one with the least
    /// [`Rollback::precedence`]. Returns whether the move was not rolled back before.
    pub(crate) fn roll_back(&mut self, rollback: Rollback) -> bool {
        let known = self.rollback.as_ref();
        if known.is_none_or(|known| rollback.precedence() < known.precedence()) {
            self.rollback = Some(rollback);
        }
        self.fire(MoveEvent::RollBack)
    }

    /// The side of the move on which a call was run; `None` for any other version.
    pub(crate) fn side(&self, sample: &CallSample<'_>) -> Option<Side> {
        if *sample.version == self.declared.to {
            return Some(Side::New);
        }
        (*sample.version == self.declared.from).then_some(Side::Old)
    }

    /// Counts a call. Returns its route if the new version ran it and it failed or was slow.
    pub(crate) fn record(
        &mut self,
        now: Now,
        side: Side,
        sample: &CallSample<'_>,
    ) -> Option<RouteKey> {
        let time_slot = stages::time_slot(&self.declared, now.wall);
        let began_before = now.mono - sample.latency < self.stage_entered;
        let stage = if began_before { self.previous_stage_number } else { self.stage_number() };
        let stratum = Stratum { time_slot, stage };
        let classified = self.recorder.classify(now, stratum, side, sample);
        let (key, counts) = (classified.key, classified.counts);
        self.evidence.add(self.identity.reporter, self.identity.domain, key, counts);
        self.unreported.insert(key);
        if side == Side::Old || counts.failed + counts.slow == 0 {
            return None;
        }
        self.urgent = true;
        Some(key.route)
    }

    /// Whether calls of the new version were counted since the last report.
    pub(crate) fn has_unreported_new_calls(&self) -> bool {
        self.unreported.iter().any(|key| key.server != ServerKey::OLD)
    }

    /// Takes the counters of this reporter that changed since its last report. They are
    /// reported together: a report of only the routes with failures would show the failures of
    /// the new version before those of the old one.
    pub(crate) fn take_unreported(&mut self) -> Vec<(CounterKey, Counts)> {
        self.urgent = false;
        let own = self.evidence.reporters().get(&self.identity.reporter);
        let mut counters = Vec::new();
        for key in std::mem::take(&mut self.unreported) {
            let counts = own.and_then(|own| own.counters.get(&key)).copied();
            counters.push((key, counts.unwrap_or_default()));
        }
        counters
    }

    /// Evaluates the evidence on `routes` and returns the reason if the move has to be rolled
    /// back.
    pub(crate) fn evaluate(&mut self, routes: &BTreeSet<RouteKey>) -> Option<Arc<str>> {
        if !self.collects_evidence() {
            return None;
        }
        if let Some(finding) = findings::rollback_finding(&mut self.evidence, routes) {
            return Some(finding.describe(self.finding_route_name(&finding)).into());
        }
        let check = self.check.as_ref()?;
        let finding = &check.finding;
        let thresholds = findings::rollback_thresholds(&self.evidence);
        if check.confirmed(&self.evidence, thresholds.single_route) {
            let suspicion = finding.describe_full_share(self.finding_route_name(finding));
            return Some(persisting_reason(&suspicion).into());
        }
        if !self.recurs_too_often() {
            return None;
        }
        Some(recurring_reason(finding, &finding.scope(self.finding_route_name(finding))).into())
    }

    /// Whether the suspicion recurred too often to be chance.
    pub(crate) fn recurs_too_often(&self) -> bool {
        self.collects_evidence()
            && self.check.is_some()
            && self.recurrences >= RECURRENCES_FOR_ROLLBACK
    }

    /// Starts a check, which returns part of the traffic to the old version, if the new version
    /// takes all calls and is suspect and the old version still has slots. Returns whether a
    /// check started.
    pub(crate) fn check_if_suspect(&mut self, now: Now, routes: &BTreeSet<RouteKey>) -> bool {
        if self.state() != MovePhase::Watched
            || self.announced_slots.is_none_or(|slots| slots.old == 0)
        {
            return false;
        }
        let Some(finding) =
            findings::full_share_suspicion(&self.evidence, routes, self.stage_number())
        else {
            return false;
        };
        if !self.fire(MoveEvent::Suspect) {
            return false;
        }
        self.mark_share_change(now);
        let from_time_slot = stages::time_slot(&self.declared, now.wall);
        self.check = Some(Check { index: self.check_count, from_time_slot, finding });
        self.check_count = self.check_count.saturating_add(1);
        true
    }

    /// Records that another share applies from now on. Has to be called before the stage or the
    /// check changes, because it keeps the present stage number for calls in flight.
    pub(crate) fn mark_share_change(&mut self, now: Now) {
        self.previous_stage_number = self.stage_number();
        self.stage_entered = now.mono;
    }

    /// Applies a verdict of done from the log: goes to the last stage without waiting for own
    /// evidence. A move that is scheduled, moving or paused is watched from now on; one in a check
    /// keeps its state. The watch ends at the latest one watch period after the verdict or the
    /// deadline, whichever is later.
    fn apply_done(&mut self, now: Now, verdict: &MoveVerdict) {
        self.fire(MoveEvent::Start);
        self.fire(MoveEvent::Resume);
        if self.stage != LAST_STAGE {
            self.mark_share_change(now);
        }
        self.stage = LAST_STAGE;
        if self.fire(MoveEvent::ReachedFullShare) {
            self.full_share_reached = true;
        }
        let end = verdict.at.max(self.declared.deadline) + self.declared.watch;
        self.watch_ends = self.watch_ends.min(now.mono + end.since(now.wall));
    }

    /// The stage number under which calls are counted. After each check, the period with all
    /// calls on the new version has a number of its own.
    pub(crate) fn stage_number(&self) -> u8 {
        match &self.check {
            Some(check) => check.stage_number(),
            None if self.stage == LAST_STAGE => LAST_STAGE.saturating_add(self.check_count),
            None => self.stage,
        }
    }

    fn finding_route_name(&self, finding: &Finding) -> Option<&RouteName> {
        finding.route.and_then(|route| self.recorder.route_name(route))
    }
}
