//! Moves of traffic: evidence, the test, stages, verdicts.
//!
//! [`Moves`] is a pure state machine. Every daemon evaluates it over the same declarations and
//! merged evidence; nobody leads. Calls are reported with [`Moves::record`], shares are read with
//! [`Moves::split`], and what other daemons have to know leaves as opaque payloads.

mod moves;
mod status;

pub use moves::{CallSample, Capacity, Moves, MovesEffect, MovesSettings, Side, Split};
pub use status::{EvidenceLine, MoveStage, MoveStatus};
