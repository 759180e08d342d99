//! One chart.

use std::sync::Arc;

use derive_more::{Display, From, Into};
use thiserror::Error;

/// A state of a chart.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StateIndex(pub u16);

/// An event of a chart.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EventIndex(pub u16);

/// One fault of a chart file; all faults are reported at once.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChartFault {
    /// The file is no YAML of the expected shape.
    #[error("the chart does not parse: {0}")]
    Syntax(String),
    /// A transition goes to a state that is not listed.
    #[error("`{from}` goes to `{target}` on `{event}`, and no such state is listed: list it")]
    Dangling {
        /// Where it starts.
        from: Arc<str>,
        /// On what.
        event: Arc<str>,
        /// The missing state.
        target: Arc<str>,
    },
    /// A state that nothing reaches.
    #[error("`{0}` is reached from nowhere: add a transition to it or remove it")]
    Unreachable(Arc<str>),
    /// An event used but not listed.
    #[error("`{event}` in `{state}` is not among the events: list it")]
    UnknownEvent {
        /// Where it is used.
        state: Arc<str>,
        /// The event.
        event: Arc<str>,
    },
}

/// A verified chart.
#[derive(Clone, Debug, Default)]
pub struct Chart {
    /// States in the order of the file; the first is the initial one.
    pub states: Vec<Arc<str>>,
    /// Events in the order of the file.
    pub events: Vec<Arc<str>>,
}

impl Chart {
    /// Loads and verifies a chart.
    ///
    /// # Errors
    /// All faults of the file.
    pub fn load(_yaml: &str) -> Result<Self, Vec<ChartFault>> {
        Ok(Self::default())
    }

    /// The state by name.
    pub fn state(&self, _name: &str) -> Option<StateIndex> {
        None
    }

    /// The event by name.
    pub fn event(&self, _name: &str) -> Option<EventIndex> {
        None
    }

    /// Where `event` leads from `state`; `None` when it is not expected there.
    pub fn next(&self, _state: StateIndex, _event: EventIndex) -> Option<StateIndex> {
        None
    }

    /// The chart as a Mermaid diagram, for docs/.
    pub fn mermaid(&self) -> String {
        String::new()
    }
}
