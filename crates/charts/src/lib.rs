//! State charts: loaded from YAML, verified, interpreted.
//!
//! A chart lists states, events and transitions; the code asks it for the next state and never
//! branches on transitions of its own. The charts are compiled in with `include_str!`.

mod chart;
mod raw;
mod verify;

pub use chart::{Chart, ChartFault, EventIndex, StateIndex};

/// The chart of a backend server as the daemon beside it tells.
pub const SERVER_CHART: &str = include_str!("../charts/server.yaml");

/// The chart of a member as another daemon sees it.
pub const MEMBER_CHART: &str = include_str!("../charts/member.yaml");
