//! One move at one daemon: its state, evidence and verdict.

use std::collections::BTreeSet;
use std::sync::Arc;

use cyclamen_charts::StateIndex;
use cyclamen_declarations::{Move, OrderAction};
use cyclamen_ledger::{HeldMove, MoveId, MoveVerdict, VerdictKind};
use cyclamen_types::{InstanceName, Mono, Now, RouteName};

use crate::appends::Append;
use crate::check::{Check, RECURRENCES, recurred, went_on};
use crate::evidence::{Counts, Evidence, LineKey, Stratum};
use crate::findings::{self, Finding};
use crate::keys::{DomainKey, MoveKey, ReporterKey, RouteKey, ServerKey};
use crate::ladder::{self, LAST_STAGE};
use crate::move_chart::{MoveChart, MoveEvent};
use crate::payload::Conviction;
use crate::recorder::Recorder;
use crate::status::MoveStage;
use crate::types::{CallSample, Side};

/// Who this daemon is, as reporter.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) instance: InstanceName,
    pub(crate) reporter: ReporterKey,
    pub(crate) domain: DomainKey,
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

/// What both versions announced in this daemon's failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnnouncedSlots {
    pub(crate) old: u32,
    pub(crate) new: u32,
}

/// One move.
#[derive(Debug)]
pub(crate) struct ActiveMove {
    pub(crate) id: MoveId,
    pub(crate) key: MoveKey,
    pub(crate) declared: Arc<Move>,
    pub(crate) evidence: Evidence,
    pub(crate) recorder: Recorder,
    /// Own lines that other daemons have not been told.
    pub(crate) changed: BTreeSet<LineKey>,
    /// Whether there is trouble of the new version that other daemons have not been told.
    pub(crate) urgent: bool,
    /// Routes with merged trouble of the new version that was not judged.
    pub(crate) unjudged: BTreeSet<RouteKey>,
    pub(crate) next_report: Mono,
    pub(crate) next_reminder: Mono,
    pub(crate) conviction: Option<Conviction>,
    pub(crate) verdict: Option<MoveVerdict>,
    pub(crate) append: Append,
    pub(crate) slots: Option<AnnouncedSlots>,
    pub(crate) wait: Wait,
    pub(crate) late: bool,
    pub(crate) late_because: Option<Wait>,
    pub(crate) stage: u8,
    pub(crate) entered: Mono,
    /// The stage number of calls that began before the present one was entered.
    previous_stage: u8,
    pub(crate) next_climb: Mono,
    pub(crate) arrived_once: bool,
    pub(crate) watch_ends: Mono,
    pub(crate) order: Option<OrderAction>,
    pub(crate) check: Option<Check>,
    pub(crate) checks: u8,
    pub(crate) recurrences: u32,
    me: Identity,
    chart: Arc<MoveChart>,
    state: StateIndex,
}

impl ActiveMove {
    /// A move that this daemon has just heard of.
    pub(crate) fn new(held: &HeldMove, me: &Identity, chart: &Arc<MoveChart>, now: Now) -> Self {
        let id = held.id();
        let tolerated = f64::from(held.held.body.tolerance_ppm) / f64::from(ladder::WHOLE_PPM);
        Self {
            key: MoveKey::from(&id),
            id,
            declared: Arc::clone(&held.held.body),
            evidence: Evidence::new(tolerated),
            recorder: Recorder::default(),
            changed: BTreeSet::new(),
            urgent: false,
            unjudged: BTreeSet::new(),
            next_report: now.mono,
            next_reminder: now.mono,
            conviction: None,
            verdict: None,
            append: Append::Nothing,
            slots: None,
            wait: Wait::Schedule,
            late: false,
            late_because: None,
            stage: 0,
            entered: now.mono,
            previous_stage: 0,
            next_climb: now.mono,
            arrived_once: false,
            watch_ends: Mono::NEVER,
            order: None,
            check: None,
            checks: 0,
            recurrences: 0,
            me: me.clone(),
            chart: Arc::clone(chart),
            state: chart.initial(),
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
            MoveStage::Checking => ladder::rung(&self.declared, ladder::CHECK_STAGE).share_ppm,
            _ => ladder::rung(&self.declared, self.stage).share_ppm,
        };
        share.min(self.carried_ppm())
    }

    /// The share that the announced slots carry; none before they are known.
    pub(crate) fn carried_ppm(&self) -> u32 {
        self.slots.map_or(0, |slots| ladder::carried_ppm(slots.old, slots.new))
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
        self.order = held.order;
        if self.order == Some(OrderAction::TakeBack) && self.at() != MoveStage::TakenBack {
            let (id, by) = (self.key, self.me.instance.clone());
            let reason = "an operator took it back".into();
            self.convict(Conviction { id, at: now.wall, by, reason, repeat: 0 });
        }
        match held.verdict.clone() {
            Some(verdict) if verdict.kind == VerdictKind::TakenBack => {
                let (id, at, by, reason) = (self.key, verdict.at, verdict.by, verdict.reason);
                self.convict(Conviction { id, at, by, reason, repeat: 0 });
            }
            Some(verdict) if self.open() => self.adopt_done(now, &verdict),
            _ => {}
        }
        if self.verdict_shown() {
            self.append = Append::Nothing;
        }
    }

    /// Whether the log holds what this daemon decided.
    pub(crate) fn verdict_shown(&self) -> bool {
        match &self.verdict {
            Some(verdict) => verdict.kind == VerdictKind::TakenBack || self.conviction.is_none(),
            None => false,
        }
    }

    /// Takes the move back; the least of several convictions is kept. Returns whether the state
    /// changed.
    pub(crate) fn convict(&mut self, conviction: Conviction) -> bool {
        let known = self.conviction.as_ref();
        if known.is_none_or(|known| conviction.rank() < known.rank()) {
            self.conviction = Some(conviction);
        }
        self.fire(MoveEvent::Convict)
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
        let slot = ladder::slot(&self.declared, now.wall);
        let began_before = now.mono - sample.latency < self.entered;
        let stage = if began_before { self.previous_stage } else { self.stratum_stage() };
        let stratum = Stratum { slot, stage };
        let counted = self.recorder.count(now, stratum, side, sample);
        let (key, counts) = (counted.key, counted.counts);
        self.evidence.count(self.me.reporter, self.me.domain, key, counts);
        self.changed.insert(key);
        if side == Side::Old || counts.failed + counts.slow == 0 {
            return None;
        }
        self.urgent = true;
        Some(key.route)
    }

    /// Whether calls of the new version were counted since the last report.
    pub(crate) fn new_changed(&self) -> bool {
        self.changed.iter().any(|key| key.server != ServerKey::OLD)
    }

    /// Takes the changed lines of this reporter. All go together: a report of the routes in trouble
    /// alone would show the new version's failures before the old one's.
    pub(crate) fn changed_lines(&mut self) -> Vec<(LineKey, Counts)> {
        self.urgent = false;
        let own = self.evidence.reporters().get(&self.me.reporter);
        let mut lines = Vec::new();
        for key in std::mem::take(&mut self.changed) {
            let counts = own.and_then(|own| own.lines.get(&key)).copied();
            lines.push((key, counts.unwrap_or_default()));
        }
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
        let check = self.check.as_ref()?;
        let finding = &check.finding;
        if check.confirmed(&self.evidence, findings::limits(&self.evidence).1) {
            let alone = finding.alone(self.name_of(finding));
            return Some(went_on(&alone).into());
        }
        if !self.recurs() {
            return None;
        }
        Some(recurred(finding, &finding.place(self.name_of(finding))).into())
    }

    /// Whether a suspicion came back too often to be chance.
    pub(crate) fn recurs(&self) -> bool {
        self.open() && self.check.is_some() && self.recurrences >= RECURRENCES
    }

    /// Sends part of the traffic back when the version that runs alone is suspect, as long as
    /// there are old servers to send it to; returns whether it did.
    pub(crate) fn suspect(&mut self, now: Now, routes: &BTreeSet<RouteKey>) -> bool {
        if self.at() != MoveStage::Watched || self.slots.is_none_or(|slots| slots.old == 0) {
            return false;
        }
        let Some(finding) = findings::suspicion(&self.evidence, routes, self.stratum_stage())
        else {
            return false;
        };
        if !self.fire(MoveEvent::Suspect) {
            return false;
        }
        self.enter(now);
        let from_slot = ladder::slot(&self.declared, now.wall);
        self.check = Some(Check { round: self.checks, from_slot, finding });
        self.checks = self.checks.saturating_add(1);
        true
    }

    /// Notes that another share begins now; call it before the stage or the check changes.
    pub(crate) fn enter(&mut self, now: Now) {
        self.previous_stage = self.stratum_stage();
        self.entered = now.mono;
    }

    fn adopt_done(&mut self, now: Now, verdict: &MoveVerdict) {
        self.fire(MoveEvent::Start);
        if self.stage != LAST_STAGE {
            self.enter(now);
        }
        self.stage = LAST_STAGE;
        if self.fire(MoveEvent::Arrived) {
            self.arrived_once = true;
        }
        let end = verdict.at.max(self.declared.deadline) + self.declared.watch;
        self.watch_ends = self.watch_ends.min(now.mono + end.since(now.wall));
    }

    /// The stage number under which calls are counted. Each return to all traffic after a check
    /// has a number of its own.
    pub(crate) fn stratum_stage(&self) -> u8 {
        match &self.check {
            Some(check) => check.stage(),
            None if self.stage == LAST_STAGE => LAST_STAGE.saturating_add(self.checks),
            None => self.stage,
        }
    }

    fn name_of(&self, finding: &Finding) -> Option<&RouteName> {
        finding.route.and_then(|route| self.recorder.route_name(route))
    }
}
