//! What callers of [`Slots`](crate::Slots) pass in and get back.

use std::time::Duration;

use cyclamen_declarations::Criticality;
use cyclamen_types::{AccountName, Mono, RouteName, ServiceName};
use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::call::Refusal;
use crate::slots::{QueueOrder, TurnedAwayByClass};

/// Identifies a call at the daemon that hosts its backend server.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Settings of the slots of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotsSettings {
    /// How many calls the server runs at a time, as it announced; must be at least 1.
    pub slots: u32,
    /// How many calls may be queued.
    pub queue: u32,
    /// Longest time that a call may be queued. It applies to calls that are not nested and have no
    /// target or can no longer meet it, and to calls nested in one of the same service. Other
    /// calls wait until the latest time at which it is of use to start them.
    pub queue_wait: Duration,
    /// Order of queued calls of equal priority.
    pub order: QueueOrder,
    /// Whether the limit of running calls is lowered while the server slows down or sheds calls,
    /// and some slots are not available to bulk calls. If false, the limit is not adjusted and bulk
    /// calls may take any slot; the reserve for reentrant calls applies in any case.
    pub adaptive: bool,
}

/// The running calls that a nested call was made for, directly or through other calls, as far as
/// they are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AncestorCalls {
    /// Number of these calls; 0 for a call that is not known to be nested.
    pub depth: u8,
    /// Whether one of them is a call to the same service.
    pub same_service: bool,
}

/// What [`Slots::admit`](crate::Slots::admit) needs to know of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotRequest {
    /// Criticality class; the higher class goes first when slots are short.
    pub criticality: Criticality,
    /// Route of the call, by which hold times are measured; `None` to measure by class only.
    pub route: Option<RouteName>,
    /// Service whose server is hosted by the daemon at which the call entered the mesh; `None` if
    /// unknown. Nested calls are recognized by it.
    pub origin: Option<ServiceName>,
    /// The running calls that this call was made for.
    pub ancestors: AncestorCalls,
    /// Time by which an answer is wanted; [`Mono::NEVER`] for a call without a target latency.
    pub target_at: Mono,
    /// When the caller gives up.
    pub deadline: Mono,
    /// How far the call is a repeat, see [`Attempt::repeat`](crate::Attempt::repeat).
    pub repeat: f64,
    /// The client account that made the call; `None` if it is of none.
    pub account: Option<AccountName>,
}

impl SlotRequest {
    /// A call that is not nested and has no route, origin or target latency.
    pub fn new(criticality: Criticality, deadline: Mono) -> Self {
        let ancestors = AncestorCalls::default();
        let target_at = Mono::NEVER;
        Self {
            criticality,
            route: None,
            origin: None,
            ancestors,
            target_at,
            deadline,
            repeat: 0.0,
            account: None,
        }
    }
}

/// The running calls at backend servers, and how many of them are repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunningRepeats {
    /// Number of running calls.
    pub running: u32,
    /// The sum over them of how far each is a repeat.
    pub repeats: f64,
}

impl RunningRepeats {
    /// Share of repeats, from 0 to 1; 0 if no call runs.
    pub fn share(self) -> f64 {
        if self.running == 0 { 0.0 } else { self.repeats / f64::from(self.running) }
    }

    /// The sums over the servers of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { running: self.running + other.running, repeats: self.repeats + other.repeats }
    }
}

/// The decision on a call that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Run the call now.
    Run,
    /// The call is queued until [`Slots::finish`](crate::Slots::finish) or [`Slots::expire`](crate::Slots::expire) returns it, or
    /// [`Slots::admit`](crate::Slots::admit) evicts it for another call.
    Queued,
    /// The call is not run; the caller gets this refusal.
    Refused(Refusal),
}

/// How a call that was admitted ended at its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The head of the answer arrived after this time.
    Answered(Duration),
    /// The server refused the call because of its load, after this time.
    Shed(Duration),
    /// The latency of the call does not count for the adaptive limit, because it says nothing about
    /// the speed of the server. The hold time is recorded all the same.
    Unmeasured,
}

/// Counters since the creation of the slots, for the state dump and the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotsCounters {
    /// Calls that were run.
    pub run: u64,
    /// Calls that were refused, evicted or expired.
    pub refused: u64,
    /// Calls that were refused because the server is cold and bears no more of them in time; part of
    /// `refused`.
    #[serde(default)]
    pub refused_cold: u64,
    /// Highest number of calls running at a time.
    pub peak: u64,
    /// Calls that were run and are surely repeats: an earlier attempt may have reached a server, or
    /// a running repeat made the call.
    pub repeats: u64,
    /// The refused calls for which there was too little room, by class and reason.
    #[serde(default)]
    pub turned_away: TurnedAwayByClass,
}
