//! Structured log lines: one for each decision about a call, and one for each change of a daemon's
//! beliefs, which are its view of its own state, of other daemons and of the configuration.
//!
//! A daemon writes each [`LogLine`] to standard output as one JSON object. Both daemons that handle
//! a call put the id of the call into their lines, so that [`explain()`] can combine them.
//! [`Sampling`] selects the successful calls to log, and [`LineBudget`] limits the rate of lines.
//! This crate does no I/O: writing and reading the lines is up to its users.

mod belief_text;
mod budget;
mod explain;
mod line;
mod sampling;

pub use budget::{LineBudget, LineKind, Omitted};
pub use explain::{Explanation, explain};
pub use line::{AttemptEnd, Belief, CallDecision, CallEnd, Decision, LogLine, Loss, SlotAnswer};
pub use sampling::Sampling;
