//! Calls: route match, choice of backend server, limits, retries.
//!
//! [`Router`] decides at the daemon that a caller reached; [`Slots`] decides at the daemon beside
//! a backend server. Both are pure: calls and their outcomes go in, decisions come out.

mod call;
mod router;
mod slots;
mod table;

pub use call::{Attempt, AttemptId, CallHead, Choice, Hop, Next, Outcome, Refusal, RefusalKind};
pub use router::{
    HeardLoad, RetryLimits, RouteHold, Router, RouterCounters, RouterMode, RouterSettings,
    ServerInfo, ServerLoad, VersionSplit,
};
pub use slots::{
    Admission, Around, CallId, CallNeeds, QueueOrder, Ran, Slots, SlotsCounters, SlotsSettings,
};
pub use table::{RouteIndex, RouteTable, ServiceIndex, ServiceLimits, ServiceRetries, TableFault};
