//! Moves of traffic: evidence, the test, stages, verdicts.
//!
//! [`Moves`] is a pure state machine. Every daemon evaluates it over the same declarations and
//! merged evidence; nobody leads. Calls are reported with [`Moves::record`], shares are read with
//! [`Moves::splits`], and what other daemons have to know leaves as opaque payloads.

mod active;
mod appends;
mod budget;
mod check;
mod course;
mod evidence;
mod findings;
mod keys;
mod ladder;
mod move_chart;
mod moves;
mod payload;
mod recorder;
mod reference;
mod sentences;
mod sequential;
mod status;
mod types;

pub use move_chart::MOVE_CHART;
pub use moves::Moves;
pub use status::{EvidenceLine, MoveStage, MoveStatus};
pub use types::{CallSample, Capacity, MovesEffect, MovesSettings, Side, Split};
