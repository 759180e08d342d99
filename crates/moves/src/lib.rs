//! Moves of traffic: evidence, the test, stages, verdicts.
//!
//! [`Moves`] is a pure state machine. Every daemon evaluates it over the same declarations and
//! merged evidence; nobody leads. Calls are reported with [`Moves::record`], shares are read with
//! [`Moves::splits`], and what other daemons have to know leaves as opaque payloads.

mod active;
mod check;
mod evidence;
mod findings;
mod keys;
mod ladder;
mod move_chart;
mod moves;
mod payload;
mod reference;
mod sentences;
mod sequential;
mod status;

pub use move_chart::MOVE_CHART;
pub use moves::{CallSample, Capacity, Moves, MovesEffect, MovesSettings, Side, Split};
pub use status::{EvidenceLine, MoveStage, MoveStatus};
