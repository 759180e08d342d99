//! State charts: loaded from YAML, verified, interpreted.
//!
//! A chart lists states, events and transitions; the code asks it for the next state and never
//! branches on transitions of its own. The charts are compiled in with `include_str!`.

mod chart;

pub use chart::{Chart, ChartFault, EventIndex, StateIndex};
