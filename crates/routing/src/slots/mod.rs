//! Decisions at the daemon beside a backend server: its slots and its queue.
//!
//! [`Slots::admit`] runs, queues or refuses a call; [`Slots::finish`] ends it and names those
//! whose turn it is. A refused or expired call has not been run.

mod adaptive_limit;
mod hold_times;
mod nested_routes;
mod queue;
mod reentry;

use std::time::Duration;

use cyclamen_declarations::Criticality;
use cyclamen_types::{FastMap, Mono, Now, RouteName, ServiceName};
use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::call::{Refusal, RefusalKind};
use crate::router::{RouteHoldTime, ServerLoad};
use crate::slots::adaptive_limit::AdaptiveLimit;
use crate::slots::hold_times::HoldTimes;
use crate::slots::nested_routes::NestedRoutes;
pub use crate::slots::queue::QueueOrder;
use crate::slots::queue::{CLASSES, Queue, QueuePriority, QueuedCall};
use crate::slots::reentry::ReentryReserve;

/// Shortest hint of when to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(5);

/// Longest hint of when to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// How much longer than usual a call may hold its slot and still be answered as wanted.
const HOLD_TIME_MARGIN: f64 = 1.5;

/// How much longer a call may wait that has missed its time while it waited.
const START_GRACE: Duration = Duration::from_millis(50);

/// How much longer than the queue tells a call waits that all others go before.
const LATE_WAIT_MARGIN: f64 = 1.5;

/// Of this many slots, bulk calls leave one to the others.
const BULK_RESERVE_DIVISOR: u32 = 4;

/// A call at the daemon beside the backend server.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Settings of the slots of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotsSettings {
    /// Calls it runs at a time.
    pub slots: u32,
    /// Calls that may wait.
    pub queue: u32,
    /// Longest wait.
    pub queue_wait: Duration,
    /// Which call of a class goes first.
    pub order: QueueOrder,
    /// Whether fewer calls run while the server slows or sheds, and some slots are kept from bulk
    /// calls. Without it all announced slots serve all calls.
    pub adaptive: bool,
}

/// The running calls that a call was made for, as far as they are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Around {
    /// How many they are.
    pub depth: u8,
    /// Whether one of them is a call of the same service.
    pub same_service: bool,
}

/// What a call asks of the slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallNeeds {
    /// What goes first when slots are short.
    pub criticality: Criticality,
    /// Its route, where hold times are to be known by route.
    pub route: Option<RouteName>,
    /// The service beside whose server it began, where that is known.
    pub origin: Option<ServiceName>,
    /// The running calls that it was made for.
    pub around: Around,
    /// When an answer is wanted; [`Mono::NEVER`] for a call that waits like any other.
    pub aim: Mono,
    /// When its caller gives up.
    pub deadline: Mono,
}

impl CallNeeds {
    /// The needs of a call that is not wanted at a certain time.
    pub fn new(criticality: Criticality, deadline: Mono) -> Self {
        let around = Around::default();
        Self { criticality, route: None, origin: None, around, aim: Mono::NEVER, deadline }
    }
}

/// What becomes of a call that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Run it now.
    Run,
    /// It waits; [`Slots::finish`] or [`Slots::expire`] names it later.
    Queued,
    /// Not run.
    Refused(Refusal),
}

/// How a call that ran ended at its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It answered after this time, to the head.
    Answered(Duration),
    /// It refused the call for load after this time.
    Shed(Duration),
    /// The call says nothing about the server's speed.
    Unmeasured,
}

/// Counters for the dump and the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotsCounters {
    /// Calls run.
    pub run: u64,
    /// Calls refused.
    pub refused: u64,
    /// Most calls at a time.
    pub peak: u64,
}

#[derive(Clone, Debug)]
struct Running {
    started: Mono,
    criticality: Criticality,
    route: Option<RouteName>,
    around: Around,
}

/// How a call may wait.
#[derive(Clone, Copy, Debug)]
enum QueuePlan {
    /// In time to be answered as wanted.
    OnTime(QueuedCall),
    /// Behind all that are in time.
    Late(QueuedCall),
}

/// The slots of one backend server.
#[derive(Debug)]
pub struct Slots {
    settings: SlotsSettings,
    limit: AdaptiveLimit,
    running: FastMap<CallId, Running>,
    /// The routes of calls that wait.
    waiting_routes: FastMap<CallId, RouteName>,
    running_bulk: u32,
    queue: Queue,
    hold_times: HoldTimes,
    nested: NestedRoutes,
    reentry: ReentryReserve,
    draining: bool,
    counters: SlotsCounters,
}

impl Slots {
    /// All slots free.
    pub fn new(settings: SlotsSettings) -> Self {
        Self {
            limit: AdaptiveLimit::new(settings.slots),
            settings,
            running: FastMap::default(),
            waiting_routes: FastMap::default(),
            running_bulk: 0,
            queue: Queue::default(),
            hold_times: HoldTimes::default(),
            nested: NestedRoutes::default(),
            reentry: ReentryReserve::default(),
            draining: false,
            counters: SlotsCounters::default(),
        }
    }

    /// Takes new settings; calls that run or wait stay.
    pub fn set(&mut self, settings: SlotsSettings) {
        self.limit.set_slots(settings.slots);
        self.settings = settings;
    }

    /// A call arrives. Calls that had to make way for it are pushed to `evicted`; they are not
    /// run.
    pub fn admit(
        &mut self,
        now: Now,
        call: CallId,
        needs: &CallNeeds,
        evicted: &mut Vec<CallId>,
    ) -> Admission {
        let now = now.mono;
        let nested = needs.around.depth > 0 || self.is_nested(needs);
        let criticality = if nested { Criticality::Critical } else { needs.criticality };
        if let Some(refusal) = self.refusal(now, needs) {
            self.counters.refused += 1;
            return Admission::Refused(refusal);
        }
        let priority = QueuePriority { criticality, around: needs.around };
        if self.can_start_now(priority) {
            self.start(now, call, priority, needs.route.clone());
            return Admission::Run;
        }
        let wait = match nested {
            true => self.plan_nested_wait(now, call, needs),
            false => self.plan_wait(now, call, needs),
        };
        let Some(wait) = wait else {
            self.counters.refused += 1;
            return Admission::Refused(self.overloaded());
        };
        if self.queue_full() {
            let Some(lowest) = self.queue.evict_below(criticality, self.settings.order) else {
                self.counters.refused += 1;
                return Admission::Refused(self.overloaded());
            };
            self.counters.refused += 1;
            self.waiting_routes.remove(&lowest);
            evicted.push(lowest);
        }
        match wait {
            QueuePlan::OnTime(waiting) => self.queue.push(criticality, waiting),
            QueuePlan::Late(waiting) => self.queue.push_late(criticality, waiting),
        }
        if let Some(route) = &needs.route {
            self.waiting_routes.insert(call, route.clone());
        }
        Admission::Queued
    }

    /// A call ended, or was cancelled while it waited; returns the calls to run now.
    pub fn finish(&mut self, now: Now, call: CallId, ran: Ran) -> Vec<CallId> {
        let now = now.mono;
        let Some(running) = self.running.remove(&call) else {
            self.queue.remove(call);
            self.waiting_routes.remove(&call);
            return Vec::new();
        };
        if running.criticality == Criticality::Bulk {
            self.running_bulk -= 1;
        }
        self.reentry.finish(running.around);
        self.record_end(now, &running, ran);
        self.start_waiting(now)
    }

    /// Calls that waited too long; they are refused as not run.
    pub fn expire(&mut self, now: Now) -> Vec<CallId> {
        let mut expired = Vec::new();
        self.queue.expire(now.mono, &mut expired);
        for call in &expired {
            self.waiting_routes.remove(call);
        }
        self.counters.refused += expired.len() as u64;
        expired
    }

    /// When [`Slots::expire`] has something to do.
    pub fn next_expiry(&self) -> Mono {
        self.queue.next_expiry()
    }

    /// Calls that wait.
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Whether no call runs or waits.
    pub fn idle(&self) -> bool {
        self.running.is_empty() && self.waiting() == 0
    }

    /// What the server carries now.
    pub fn load(&self) -> ServerLoad {
        ServerLoad {
            running: self.running(),
            waiting: self.waiting(),
            limit: self.limit.get(),
            hold_us: u64::try_from(self.hold_times.overall().as_micros()).unwrap_or(u64::MAX),
        }
    }

    /// How long calls of each route lately held their slots.
    pub fn route_holds(&self) -> impl Iterator<Item = RouteHoldTime<'_>> {
        self.hold_times.by_route()
    }

    /// When a refused call may come back: the time for those that wait to be served.
    pub fn come_back(&self) -> Duration {
        self.expected_wait(self.queue.len()).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Stops taking calls; those that run or wait stay.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Takes calls again.
    pub fn resume(&mut self) {
        self.draining = false;
    }

    /// Counters so far.
    pub fn counters(&self) -> &SlotsCounters {
        &self.counters
    }

    fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn queue_full(&self) -> bool {
        self.waiting() >= self.settings.queue
    }

    /// The refusal of a call that cannot be run, whatever happens.
    fn refusal(&self, now: Mono, needs: &CallNeeds) -> Option<Refusal> {
        if self.draining {
            return Some(draining());
        }
        (needs.deadline <= now).then(expired)
    }

    fn can_start_now(&self, priority: QueuePriority) -> bool {
        self.queue.ahead_of(priority, Mono::NEVER) == 0 && self.has_slot(priority)
    }

    /// Whether a call is one that a backend server made while it ran another.
    fn is_nested(&mut self, needs: &CallNeeds) -> bool {
        match (&needs.route, &needs.origin) {
            (Some(route), Some(origin)) => self.nested.observe(route, origin),
            _ => false,
        }
    }

    /// How a nested call may wait: for as long as the call around it can use its answer. One that
    /// waits for slots which calls around others of its service hold gives up sooner, so that not
    /// all of them wait for each other.
    fn plan_nested_wait(&self, now: Mono, call: CallId, needs: &CallNeeds) -> Option<QueuePlan> {
        let hold = self.hold_times.estimate(Criticality::Critical, needs.route.as_ref());
        let around = needs.around;
        let latest_start = needs.deadline - hold;
        let expires_at = match around.same_service {
            true => latest_start.min(now + self.settings.queue_wait),
            false => latest_start,
        };
        let priority = QueuePriority { criticality: Criticality::Critical, around };
        let ahead = self.queue.ahead_of(priority, expires_at);
        let waiting = QueuedCall { call, around, expires_at, start_by: expires_at };
        (now + self.expected_wait(ahead) <= expires_at).then_some(QueuePlan::OnTime(waiting))
    }

    /// How a call that finds no slot may wait; `None` when it would wait in vain.
    fn plan_wait(&self, now: Mono, call: CallId, needs: &CallNeeds) -> Option<QueuePlan> {
        let hold = self.hold_times.estimate(needs.criticality, needs.route.as_ref());
        let around = needs.around;
        let priority = QueuePriority { criticality: needs.criticality, around };
        if needs.aim == Mono::NEVER {
            let max_wait = needs.deadline.since(now).saturating_sub(hold);
            let max_wait = max_wait.min(self.settings.queue_wait);
            let ahead = self.queue.ahead_of(priority, Mono::NEVER);
            let expires_at = now + max_wait;
            let waiting = QueuedCall { call, around, expires_at, start_by: Mono::NEVER };
            return (self.expected_wait(ahead) <= max_wait).then_some(QueuePlan::OnTime(waiting));
        }
        let latest_start = needs.deadline - hold;
        let scaled_hold = hold.mul_f64(HOLD_TIME_MARGIN);
        let margin = if hold.is_zero() { needs.aim.since(now) / 2 } else { scaled_hold };
        let start_by = needs.aim - margin;
        let ahead = self.queue.ahead_of(priority, start_by);
        if now + self.expected_wait(ahead) <= start_by {
            let expires_at = latest_start.min(start_by + START_GRACE);
            return Some(QueuePlan::OnTime(QueuedCall { call, around, expires_at, start_by }));
        }
        let expires_at = latest_start.min(now + self.settings.queue_wait);
        let expected_start = now + self.expected_wait(self.queue.len()).mul_f64(LATE_WAIT_MARGIN);
        (expected_start <= expires_at).then_some(QueuePlan::Late(QueuedCall {
            call,
            around,
            expires_at,
            start_by,
        }))
    }

    fn overloaded(&self) -> Refusal {
        let reason = "the backend server is full; the call was not run: come back later".into();
        let retry_after = Some(self.come_back());
        Refusal { kind: RefusalKind::Overloaded, reason, retry_after }
    }

    /// Expected wait behind this many calls.
    fn expected_wait(&self, ahead: usize) -> Duration {
        let rounds = (ahead + 1) as f64 / f64::from(self.limit.get());
        self.hold_times.overall().mul_f64(rounds).min(MAX_RETRY_AFTER)
    }

    fn has_slot(&self, priority: QueuePriority) -> bool {
        let limit = self.limit.get();
        if self.running() >= limit || !self.reentry.has_room(priority.around, limit) {
            return false;
        }
        let unreserved = priority.criticality != Criticality::Bulk || !self.settings.adaptive;
        unreserved || self.running_bulk < bulk_limit(limit)
    }

    fn start(
        &mut self,
        now: Mono,
        call: CallId,
        priority: QueuePriority,
        route: Option<RouteName>,
    ) {
        let QueuePriority { criticality, around } = priority;
        if criticality == Criticality::Bulk {
            self.running_bulk += 1;
        }
        self.reentry.start(around);
        self.running.insert(call, Running { started: now, criticality, route, around });
        self.limit.observe_running(self.running());
        self.counters.run += 1;
        self.counters.peak = self.counters.peak.max(self.running.len() as u64);
    }

    fn start_waiting(&mut self, now: Mono) -> Vec<CallId> {
        let mut run = Vec::new();
        for criticality in CLASSES {
            while let Some(next) = self.queue.next_on_time(now, criticality, self.settings.order) {
                if !self.start_next(now, criticality, next, &mut run) {
                    break;
                }
            }
        }
        for criticality in CLASSES {
            while let Some(next) = self.queue.next_late(criticality, self.settings.order) {
                if !self.start_next(now, criticality, next, &mut run) {
                    break;
                }
            }
        }
        run
    }

    /// Starts a call that waits, if it fits; whether the one behind it may follow.
    fn start_next(
        &mut self,
        now: Mono,
        criticality: Criticality,
        next: QueuedCall,
        run: &mut Vec<CallId>,
    ) -> bool {
        let priority = QueuePriority { criticality, around: next.around };
        // One whose wait is over is left to `expire`, which tells its caller.
        if next.expires_at <= now || !self.has_slot(priority) {
            return false;
        }
        self.queue.remove(next.call);
        let route = self.waiting_routes.remove(&next.call);
        self.start(now, next.call, priority, route);
        run.push(next.call);
        true
    }

    fn record_end(&mut self, now: Mono, running: &Running, ran: Ran) {
        let hold_time = now.since(running.started);
        self.hold_times.observe(running.criticality, running.route.as_ref(), hold_time);
        if running.criticality == Criticality::Bulk || !self.settings.adaptive {
            return;
        }
        match ran {
            Ran::Answered(latency) => self.limit.observe_outcome(now, latency, false),
            Ran::Shed(latency) => self.limit.observe_outcome(now, latency, true),
            Ran::Unmeasured => {}
        }
    }
}

/// Bulk calls that may run at a time: some slots are left to quicker calls.
fn bulk_limit(limit: u32) -> u32 {
    let reserved = limit.div_ceil(BULK_RESERVE_DIVISOR);
    limit.saturating_sub(reserved).max(1)
}

fn draining() -> Refusal {
    Refusal {
        kind: RefusalKind::Unavailable,
        reason: "the backend server is leaving; the call was not run: try another".into(),
        retry_after: None,
    }
}

fn expired() -> Refusal {
    Refusal {
        kind: RefusalKind::Expired,
        reason: "the deadline passed before the call was run: send it again with more time".into(),
        retry_after: None,
    }
}
