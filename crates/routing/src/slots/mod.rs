//! Admission control at the daemon that hosts a backend server: its slots and its queue.
//!
//! Each running call holds one slot. [`Slots::admit`] lets a new call run, queues it or refuses it.
//! [`Slots::finish`] frees the slot of a call and returns the queued calls to run next.
//! [`Slots::expire`] returns the queued calls whose longest wait is over. A call that was
//! refused, evicted or expired has not been run.

mod adaptive_limit;
mod cold_limit;
mod fair_share;
mod hold_times;
mod nested_routes;
mod pace;
mod plan;
mod queue;
mod rate_limit;
mod reentry;
mod refusals;
mod starting;
mod turned_away;
mod types;

use std::num::NonZeroU32;
use std::time::Duration;

use cyclamen_declarations::Criticality;
use cyclamen_types::{AccountName, FastMap, Mono, Now, RouteName};

use crate::call::Refusal;
use crate::router::{RouteHoldTime, ServerLoad};
use crate::slots::adaptive_limit::AdaptiveLimit;
use crate::slots::cold_limit::ColdLimit;
use crate::slots::fair_share::FairShares;
use crate::slots::hold_times::HoldTimes;
use crate::slots::nested_routes::NestedRoutes;
use crate::slots::plan::{HOLD_TIME_MARGIN, QueuePlan};
pub use crate::slots::queue::QueueOrder;
use crate::slots::queue::{Queue, QueuePriority, QueuedCall};
use crate::slots::rate_limit::RateLimit;
use crate::slots::reentry::ReentryReserve;
use crate::slots::refusals::{cold, draining, emptied, expired, overloaded, rate_limited};
use crate::slots::turned_away::TurnAwayReason;
pub use crate::slots::turned_away::{TurnedAway, TurnedAwayByClass};
pub use crate::slots::types::{
    Admission, AncestorCalls, CallId, RunOutcome, RunningRepeats, SlotRequest, SlotsCounters,
    SlotsSettings,
};

/// Shortest retry hint that is given to refused calls.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(5);

/// Cap on the expected wait in the queue, and on the retry hint that is given to refused calls.
const MAX_EXPECTED_WAIT: Duration = Duration::from_secs(5);

/// Time that it may take to send a call on to another server.
const SEND_ON_TIME: Duration = Duration::from_millis(20);

/// What is kept of a request while its call is queued or running.
#[derive(Clone, Debug)]
struct CallFacts {
    /// The class by which it is handled: the highest one for nested calls.
    criticality: Criticality,
    ancestors: AncestorCalls,
    route: Option<RouteName>,
    /// See [`SlotRequest::repeat`].
    repeat: f64,
    account: Option<AccountName>,
    /// How long it was expected to hold its slot when it arrived.
    hold: Duration,
    /// Whether it was queued beyond the fair share of its account.
    beyond_share: bool,
}

/// A call that holds a slot.
#[derive(Clone, Debug)]
struct Running {
    started: Mono,
    facts: CallFacts,
}

impl CallFacts {
    fn priority(&self) -> QueuePriority {
        QueuePriority { criticality: self.criticality, ancestors: self.ancestors }
    }

    fn queued(&self, call: CallId, expires_at: Mono, start_by: Mono) -> QueuedCall {
        QueuedCall {
            call,
            ancestors: self.ancestors,
            expires_at,
            start_by,
            hold: self.hold,
            beyond_share: self.beyond_share,
        }
    }
}

/// The slots and the queue of one backend server.
#[derive(Debug)]
pub struct Slots {
    settings: SlotsSettings,
    limit: AdaptiveLimit,
    running: FastMap<CallId, Running>,
    queued: FastMap<CallId, CallFacts>,
    running_bulk: u32,
    queue: Queue,
    hold_times: HoldTimes,
    shares: FairShares,
    nested: NestedRoutes,
    reentry: ReentryReserve,
    /// The limit that the server names in its answers, if it does.
    rate_limit: Option<RateLimit>,
    cold: ColdLimit,
    /// When a queued call may start that now waits for the server to bear it; [`Mono::NEVER`] if
    /// none does.
    next_start: Mono,
    draining: bool,
    /// Whether the server gets no calls because its failure domain is emptied.
    emptied: bool,
    counters: SlotsCounters,
}

impl Slots {
    /// Creates slots that are all free, with an empty queue.
    pub fn new(settings: SlotsSettings) -> Self {
        Self {
            limit: AdaptiveLimit::new(settings.slots),
            settings,
            running: FastMap::default(),
            queued: FastMap::default(),
            running_bulk: 0,
            queue: Queue::default(),
            hold_times: HoldTimes::default(),
            shares: FairShares::default(),
            nested: NestedRoutes::default(),
            reentry: ReentryReserve::default(),
            rate_limit: None,
            cold: ColdLimit::default(),
            next_start: Mono::NEVER,
            draining: false,
            emptied: false,
            counters: SlotsCounters::default(),
        }
    }

    /// Replaces the settings. Calls that are running or queued are kept. Without
    /// [`SlotsSettings::adaptive`], the limit becomes the announced slots.
    pub fn set_settings(&mut self, settings: SlotsSettings) {
        match settings.adaptive {
            true => self.limit.set_slots(settings.slots),
            // No outcome would raise a limit that was lowered before, or by fewer announced slots.
            false => self.limit = AdaptiveLimit::new(settings.slots),
        }
        self.settings = settings;
    }

    /// Takes over the calls per second that the server takes at most, by its latest answer; `None`
    /// if it names no limit (any more). Calls beyond it are refused at once. Calls that are queued
    /// already are not held back.
    pub fn set_rate_limit(&mut self, now: Now, calls_per_second: Option<f64>) {
        let now = now.mono;
        match (&mut self.rate_limit, calls_per_second) {
            (Some(limit), Some(rate)) => limit.set(rate, now),
            (None, Some(rate)) => self.rate_limit = Some(RateLimit::new(rate, now)),
            (_, None) => self.rate_limit = None,
        }
    }

    /// The calls per second that the server takes at most; `None` if it names no limit.
    pub fn rate_limit(&self) -> Option<f64> {
        self.rate_limit.as_ref().map(RateLimit::calls_per_second)
    }

    /// Takes over how many calls the server bears per second while it is cold; `None` if that is not
    /// bounded. Calls that began before `unrecorded_until` may be unknown here.
    pub fn set_cold_calls(&mut self, calls: Option<NonZeroU32>, unrecorded_until: Mono) {
        self.cold.set_calls(calls, unrecorded_until);
    }

    /// Takes over until when the server is cold, by what it said last. Queued calls are held back
    /// like new ones.
    pub fn set_cold_until(&mut self, cold_until: Mono) {
        self.cold.set_cold_until(cold_until);
    }

    /// How much longer the server is cold; zero if it is warm, or if what it bears is not bounded.
    pub fn cold_left(&self, now: Now) -> Duration {
        self.cold.cold_left(now.mono)
    }

    /// Takes over how long work takes at the server at present, in percent of the usual, by its latest
    /// answer; `None` if it does not say (any more).
    pub fn set_pace(&mut self, now: Now, percent: Option<u16>) {
        self.hold_times.set_pace(now.mono, percent);
    }

    /// How long work takes at the server at present, in percent of what it usually takes there; 0 if
    /// it does not say.
    pub fn pace_percent(&self, now: Now) -> u16 {
        self.hold_times.pace_percent(now.mono)
    }

    /// Decides on a call that arrives. Nested calls are handled as [`Criticality::Critical`],
    /// whatever their class. Queued calls that lose their place or their time to this one are
    /// pushed to `evicted` and will not be run.
    pub fn admit(
        &mut self,
        now: Now,
        call: CallId,
        request: &SlotRequest,
        evicted: &mut Vec<CallId>,
    ) -> Admission {
        let now = now.mono;
        let nested = request.ancestors.depth > 0 || self.observe_origin(request);
        let criticality = if nested { Criticality::Critical } else { request.criticality };
        if let Some(refusal) = self.refusal_regardless_of_load(now, request) {
            self.counters.refused += 1;
            return Admission::Refused(refusal);
        }
        if let Some(wait) = self.rate_limit_wait(now) {
            self.counters.refused += 1;
            return Admission::Refused(rate_limited(wait));
        }
        let mut facts = self.facts(criticality, request);
        self.shares.ask(now, criticality, facts.account.as_ref(), facts.hold);
        if self.can_start_now(now, facts.priority(), facts.hold) {
            self.take_rate_token(now);
            self.shares.admit(now, criticality, facts.account.as_ref(), facts.hold);
            self.start(now, call, facts);
            return Admission::Run;
        }
        let excess_wait = if nested { Duration::ZERO } else { self.excess_wait(now, &facts) };
        facts.beyond_share = !excess_wait.is_zero();
        let plan = match nested {
            true => self.plan_nested_wait(now, call, request, &facts),
            false => self.plan_wait_beside_longer(now, call, request, &facts),
        };
        let Some(plan) = plan else {
            return self.turn_away_new(now, &facts, TurnAwayReason::NoTime, excess_wait);
        };
        if let Some(wait) = self.cold_wait_beyond(now, criticality, &plan) {
            self.counters.refused += 1;
            self.counters.refused_cold += 1;
            return Admission::Refused(cold(wait));
        }
        if self.queue_full() {
            let (new, on_time) = plan.parts();
            let order = self.settings.order;
            let Some(victim) = self.queue.evict_for(criticality, new, on_time, order) else {
                return self.turn_away_new(now, &facts, TurnAwayReason::QueueFull, excess_wait);
            };
            self.turn_away_queued(now, victim, TurnAwayReason::Displaced);
            evicted.push(victim);
        }
        self.take_rate_token(now);
        self.shares.admit(now, criticality, facts.account.as_ref(), facts.hold);
        self.queued.insert(call, facts);
        match plan {
            QueuePlan::OnTime(queued) => {
                self.queue.push(criticality, queued);
                self.turn_away_hopeless(now, evicted);
            }
            QueuePlan::Late(queued) => self.queue.push_late(criticality, queued),
        }
        self.plan_next_start(now);
        Admission::Queued
    }

    /// The refusal by which a call that would have to wait here is sent on to another server; `None` if
    /// it is to be admitted: it can start now, the time left is too short for another server, or the
    /// server does not say its pace. The call has not been run.
    ///
    /// The daemon that placed the call knew of this server by a figure of some time ago, and this one
    /// knows now that the call would wait.
    pub fn refusal_to_send_on(&self, now: Now, request: &SlotRequest) -> Option<Refusal> {
        let now = now.mono;
        if !self.hold_times.knows_pace() || self.draining {
            return None;
        }
        let route = request.route.as_ref();
        let nested = request.ancestors.depth > 0
            || route.is_some_and(|route| self.is_nested_route(route) == Some(true));
        let criticality = if nested { Criticality::Critical } else { request.criticality };
        let priority = QueuePriority { criticality, ancestors: request.ancestors };
        if self.can_start_now(now, priority, self.hold_times.expected(criticality, route)) {
            return None;
        }
        let hold = self.hold_times.estimate(criticality, route).mul_f64(HOLD_TIME_MARGIN);
        let wanted_by = request.target_at.min(request.deadline);
        let is_in_time = now + SEND_ON_TIME + hold < wanted_by;
        is_in_time.then(|| overloaded(self.room_in(now, criticality)))
    }

    /// Frees the slot of a call that ended, or removes a call that was cancelled while it was
    /// queued. Returns the queued calls to run now.
    pub fn finish(&mut self, now: Now, call: CallId, outcome: RunOutcome) -> Vec<CallId> {
        let now = now.mono;
        let Some(running) = self.running.remove(&call) else {
            self.queue.remove(call);
            if let Some(facts) = self.queued.remove(&call) {
                self.give_back_share(now, &facts);
            }
            // It may have been the one that the calls behind it waited for.
            return self.start_queued(now);
        };
        if running.facts.criticality == Criticality::Bulk {
            self.running_bulk -= 1;
        }
        self.reentry.finish(running.facts.ancestors);
        self.record_end(now, &running, outcome);
        self.start_queued(now)
    }

    /// Removes and returns the queued calls whose longest wait is over; they are refused as not
    /// run.
    pub fn expire(&mut self, now: Now) -> Vec<CallId> {
        let mut expired = Vec::new();
        self.queue.expire(now.mono, &mut expired);
        for call in &expired {
            self.turn_away_queued(now.mono, *call, TurnAwayReason::Expired);
        }
        expired
    }

    /// Returns the queued calls to run now, after a change that may have made room for some: of the
    /// settings, or of the queue.
    pub fn run_waiting(&mut self, now: Now) -> Vec<CallId> {
        self.start_queued(now.mono)
    }

    /// Ends the queue of a server that is gone. Returns all queued calls, which have not run.
    pub fn into_queued(self) -> Vec<CallId> {
        self.queued.into_keys().collect()
    }

    /// When [`Slots::expire`] is to be called next; [`Mono::NEVER`] while no call is queued.
    pub fn next_expiry(&self) -> Mono {
        self.queue.next_expiry()
    }

    /// When [`Slots::run_waiting`] is to be called next, because a queued call may start then;
    /// [`Mono::NEVER`] while no call waits for the time only.
    pub fn next_start(&self) -> Mono {
        self.next_start
    }

    /// Number of queued calls.
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Whether no call is running or queued.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting() == 0
    }

    /// The current load of the server, with the average hold time of all its calls at its usual pace;
    /// [`Slots::pace_percent`] gives the present one.
    pub fn load(&self) -> ServerLoad {
        ServerLoad {
            running: self.running(),
            waiting: self.waiting(),
            limit: self.usable_limit(),
            hold_us: u64::try_from(self.hold_times.overall().as_micros()).unwrap_or(u64::MAX),
            ..ServerLoad::default()
        }
    }

    /// Average time that calls of each route held their slots.
    pub fn route_hold_times(&self) -> impl Iterator<Item = RouteHoldTime<'_>> {
        self.hold_times.by_route()
    }

    /// Retry hint for a refused call of a class: when the calls that go before a new one of that
    /// class are expected to have started.
    pub fn retry_after(&self, now: Now, criticality: Criticality) -> Duration {
        self.room_in(now.mono, criticality)
    }

    /// Refuses new calls from now on. Calls that are running are still served, and queued ones if
    /// they start before `serves_queue_until`; [`Slots::expire`] returns the others.
    pub fn drain(&mut self, serves_queue_until: Mono) {
        self.draining = true;
        self.queue.expire_by(serves_queue_until);
    }

    /// Accepts new calls again after [`Slots::drain`].
    pub fn resume(&mut self) {
        self.draining = false;
    }

    /// Refuses new calls while the failure domain of the server is emptied; running calls end as
    /// usual. Returns all queued calls once it begins, which have not run.
    pub fn set_emptied(&mut self, emptied: bool) -> Vec<CallId> {
        self.emptied = emptied;
        if !emptied {
            return Vec::new();
        }
        self.queue = Queue::default();
        self.next_start = Mono::NEVER;
        let refused: Vec<CallId> = self.queued.drain().map(|(call, _)| call).collect();
        self.counters.refused += refused.len() as u64;
        refused
    }

    /// Number of running calls, and how many of them are repeats, see [`SlotRequest::repeat`].
    pub fn running_repeats(&self) -> RunningRepeats {
        let repeats = self.running.values().map(|running| running.facts.repeat).sum();
        RunningRepeats { running: self.running(), repeats }
    }

    /// Whether calls of a route are taken for nested calls because of where they come from; `None`
    /// while that is not known.
    pub fn is_nested_route(&self, route: &RouteName) -> Option<bool> {
        self.nested.is_nested(route)
    }

    /// Counters since the slots were created.
    pub fn counters(&self) -> &SlotsCounters {
        &self.counters
    }

    fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// How many calls may run at a time: no more than the rate limit allows if each holds its slot
    /// for the average time.
    fn usable_limit(&self) -> u32 {
        let slots = self.limit.get();
        let hold = self.hold_times.overall();
        match &self.rate_limit {
            Some(limit) if !hold.is_zero() => {
                let calls = (limit.calls_per_second() * hold.as_secs_f64()).ceil();
                slots.min((calls as u32).max(1))
            }
            _ => slots,
        }
    }

    /// How long the rate limit holds a new call back; `None` if it may start or be queued now.
    fn rate_limit_wait(&mut self, now: Mono) -> Option<Duration> {
        let wait = self.rate_limit.as_mut()?.wait(now);
        (!wait.is_zero()).then_some(wait)
    }

    fn take_rate_token(&mut self, now: Mono) {
        if let Some(limit) = &mut self.rate_limit {
            limit.take(now);
        }
    }

    fn queue_full(&self) -> bool {
        self.waiting() >= self.settings.queue
    }

    /// The refusal of a call for reasons other than load: the server is draining, or the deadline
    /// of the call has passed.
    fn refusal_regardless_of_load(&self, now: Mono, request: &SlotRequest) -> Option<Refusal> {
        if self.draining {
            return Some(draining());
        }
        if self.emptied {
            return Some(emptied());
        }
        (request.deadline <= now).then(expired)
    }

    fn can_start_now(&self, now: Mono, priority: QueuePriority, hold: Duration) -> bool {
        !self.queue.is_any_ahead_of(now, priority) && self.has_slot(now, priority, hold)
    }

    /// Records the origin of a call and returns whether its route carries nested calls: calls that
    /// a backend server makes while it runs another one.
    fn observe_origin(&mut self, request: &SlotRequest) -> bool {
        match (&request.route, &request.origin) {
            (Some(route), Some(origin)) => self.nested.observe(route, origin),
            _ => false,
        }
    }

    fn facts(&self, criticality: Criticality, request: &SlotRequest) -> CallFacts {
        CallFacts {
            criticality,
            ancestors: request.ancestors,
            route: request.route.clone(),
            repeat: request.repeat,
            account: request.account.clone(),
            hold: self.hold_times.expected(criticality, request.route.as_ref()),
            beyond_share: false,
        }
    }

    /// How long a call that is not nested has to wait to be within the fair share of its account.
    fn excess_wait(&self, now: Mono, facts: &CallFacts) -> Duration {
        let account = facts.account.as_ref();
        self.shares.excess_wait(now, facts.criticality, account, facts.hold, self.limit.get())
    }

    fn give_back_share(&mut self, now: Mono, facts: &CallFacts) {
        self.shares.give_back(now, facts.criticality, facts.account.as_ref(), facts.hold);
    }

    /// When the queued calls that go before a new one of a class are expected to have started, if
    /// calls of the classes above go on to arrive.
    fn room_in(&self, now: Mono, criticality: Criticality) -> Duration {
        let work = self.queue.work_down_to(criticality);
        let wait = self.next_slot_wait() + work.div_f64(self.slots_left_to(now, criticality));
        wait.clamp(MIN_RETRY_AFTER, MAX_EXPECTED_WAIT)
    }

    /// Refuses a call that is not queued, with a hint when there will be room for it.
    fn turn_away_new(
        &mut self,
        now: Mono,
        facts: &CallFacts,
        reason: TurnAwayReason,
        excess_wait: Duration,
    ) -> Admission {
        self.counters.refused += 1;
        self.counters.turned_away.count(facts.criticality, reason, facts.beyond_share);
        let retry_after = self.room_in(now, facts.criticality).max(excess_wait);
        Admission::Refused(overloaded(retry_after.min(MAX_EXPECTED_WAIT)))
    }

    /// Counts a call that has left the queue without having run.
    fn turn_away_queued(&mut self, now: Mono, call: CallId, reason: TurnAwayReason) {
        self.counters.refused += 1;
        let Some(facts) = self.queued.remove(&call) else {
            return;
        };
        self.counters.turned_away.count(facts.criticality, reason, facts.beyond_share);
        self.give_back_share(now, &facts);
    }

    /// Turns away the queued calls that cannot start in time any more, since others now go before
    /// them. With [`QueueOrder::NewestFirst`] calls that come later may leave them time again.
    fn turn_away_hopeless(&mut self, now: Mono, evicted: &mut Vec<CallId>) {
        if self.settings.order == QueueOrder::NewestFirst {
            return;
        }
        let first = evicted.len();
        let first_wait = self.next_slot_wait();
        self.queue.remove_hopeless(now, first_wait, self.limit.get(), evicted);
        for call in &evicted[first..] {
            self.turn_away_queued(now, *call, TurnAwayReason::Displaced);
        }
    }

    /// Time until the server bears a call that would be queued like this, if the call can't wait that
    /// long.
    fn cold_wait_beyond(
        &self,
        now: Mono,
        criticality: Criticality,
        plan: &QueuePlan,
    ) -> Option<Duration> {
        let (ahead, latest_start) = match plan {
            QueuePlan::OnTime(queued) => {
                let ahead = self.queue.count_ahead_of(criticality, queued);
                (ahead, queued.start_by.min(queued.expires_at))
            }
            QueuePlan::Late(queued) => (self.queue.len(), queued.expires_at),
        };
        let room_at = self.cold.room_at(now, ahead);
        (room_at > latest_start).then(|| room_at.since(now))
    }

    fn record_end(&mut self, now: Mono, running: &Running, outcome: RunOutcome) {
        let hold_time = now.since(running.started);
        let facts = &running.facts;
        self.hold_times.observe(facts.criticality, facts.route.as_ref(), hold_time);
        if facts.criticality == Criticality::Bulk || !self.settings.adaptive {
            return;
        }
        match outcome {
            RunOutcome::Answered(latency) => self.limit.observe_outcome(now, latency, false),
            RunOutcome::Shed(latency) => self.limit.observe_outcome(now, latency, true),
            RunOutcome::Unmeasured => {}
        }
    }
}
