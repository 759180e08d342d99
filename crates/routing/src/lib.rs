//! Call routing: route matching, load balancing over backend servers, concurrency limits, and
//! retries.
//!
//! A call passes one or two daemons. At the daemon that accepts it from the caller, [`Router`]
//! matches a route of the [`RouteTable`], picks a version and a backend server, and decides on
//! retries. At the daemon that hosts the chosen backend server, which may be the same one,
//! [`Slots`] limits how many calls run at a time, queues the rest, and refuses calls that are not
//! expected to start in time.
//!
//! Both types are state machines without I/O or clocks: the daemon passes in the current time,
//! calls and the outcomes of attempts, and carries out the decisions that are returned.

mod call;
mod router;
mod slots;
mod stop;
mod table;

pub use call::{
    Attempt, AttemptId, CallHead, Credential, Hop, Nesting, Next, Outcome, Refusal, RefusalKind,
    ServerSelection,
};
pub use router::{
    MatchedCall, RetryLimits, RouteHoldTime, Router, RouterCounters, RouterMode, RouterSettings,
    ServerInfo, ServerLoad, SharedLoad, VersionSplit,
};
pub use slots::{
    Admission, AncestorCalls, CallId, QueueOrder, RunOutcome, RunningRepeats, SlotRequest, Slots,
    SlotsCounters, SlotsSettings, TurnedAway, TurnedAwayByClass,
};
pub use stop::{StopDecision, StopTimes};
pub use table::{
    AccountTable, RouteIndex, RouteTable, ServiceIndex, ServiceLimits, ServiceRetries, TableFault,
};
