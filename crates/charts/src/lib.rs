//! State charts that are loaded from YAML, verified and interpreted.
//!
//! A chart lists states, events and transitions. Code that owns a state asks [`Chart::next`] for
//! the next state and implements no transitions of its own. The YAML files are compiled in with
//! `include_str!`.

mod chart;
mod raw;
mod verify;

pub use chart::{Chart, ChartError, EventIndex, StateIndex};

/// The YAML chart of a backend server, as seen by the daemon that hosts it.
pub const SERVER_CHART: &str = include_str!("../charts/server.yaml");

/// The YAML chart of a cluster member, as seen by another daemon.
pub const MEMBER_CHART: &str = include_str!("../charts/member.yaml");
