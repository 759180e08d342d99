//! Structured log lines: one for each decision about a call, and for each change of what a daemon
//! believes.
//!
//! [`Line`] is what stands on standard output, as one JSON object. Both daemons of a call write
//! under the id of the call, so that [`explain()`] can join their lines. [`Sampling`] says which calls
//! are written that went well, [`LineBudget`] how many lines a second are written at most.

mod budget;
mod explain;
mod line;
mod sampling;
mod text;

pub use budget::{LineBudget, LineKind, Omitted};
pub use explain::{Explanation, explain};
pub use line::{AttemptEnd, Belief, CallDecision, CallEnd, Decision, Line, SlotAnswer};
pub use sampling::Sampling;
