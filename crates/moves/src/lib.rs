//! Progressive rollout of a service version ("move"): schedule, evidence, sequential test,
//! automatic rollback.
//!
//! [`Moves`] is a deterministic state machine without I/O. Every daemon runs it over the same
//! declarations and the evidence merged from all daemons; there is no leader. The owner reports
//! finished calls with [`Moves::record_call`], passes in payloads of other daemons with
//! [`Moves::merge_payload`], calls [`Moves::tick`] when [`Moves::next_tick`] is due, and reads the
//! traffic shares with [`Moves::splits`]. Messages to other daemons and verdicts for the log are
//! returned as [`MovesEffect`]s.

mod active_move;
mod append;
mod byte_budget;
mod check;
mod evidence;
mod explanations;
mod findings;
mod keys;
mod latency_reference;
mod move_chart;
mod moves;
mod payload;
mod progress;
mod recorder;
mod sequential_test;
mod stages;
mod status;
mod types;

pub use move_chart::MOVE_CHART;
pub use moves::Moves;
pub use status::{MovePhase, MoveStatus, RouteEvidence};
pub use types::{AnnouncedSlotsLookup, CallSample, MoveSplit, MovesEffect, MovesSettings, Side};
