//! One chart.

use std::fmt::Write;
use std::sync::Arc;

use derive_more::{Display, From, Into};
use thiserror::Error;

use crate::raw::RawChart;
use crate::verify::verify;

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
    /// The file lists no state.
    #[error("the chart lists no state: list at least the initial one")]
    Empty,
    /// A state or an event is listed twice.
    #[error("`{0}` is listed twice: remove one")]
    Doubled(Arc<str>),
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
    /// An event listed but not used.
    #[error("no state takes the event `{0}`: add a transition or remove it")]
    UnusedEvent(Arc<str>),
}

/// A verified chart.
#[derive(Clone, Debug, Default)]
pub struct Chart {
    /// Its name, as written in the file.
    pub name: Arc<str>,
    /// States in the order of the file; the first is the initial one.
    pub states: Vec<Arc<str>>,
    /// Events in the order of the file.
    pub events: Vec<Arc<str>>,
    /// Targets by state, then by event.
    targets: Vec<Vec<Option<StateIndex>>>,
}

impl Chart {
    /// Loads and verifies a chart.
    ///
    /// # Errors
    /// All faults of the file.
    pub fn load(yaml: &str) -> Result<Self, Vec<ChartFault>> {
        let parsed: Result<RawChart, _> = serde_yaml_ng::from_str(yaml);
        let raw = parsed.map_err(|error| vec![ChartFault::Syntax(error.to_string())])?;
        let faults = verify(&raw);
        if !faults.is_empty() {
            return Err(faults);
        }
        Ok(Self::build(raw))
    }

    /// The state that a new thing is in.
    pub fn initial(&self) -> StateIndex {
        StateIndex(0)
    }

    /// The state by name.
    pub fn state(&self, name: &str) -> Option<StateIndex> {
        position(&self.states, name).map(StateIndex)
    }

    /// The event by name.
    pub fn event(&self, name: &str) -> Option<EventIndex> {
        position(&self.events, name).map(EventIndex)
    }

    /// The name of a state.
    pub fn state_name(&self, state: StateIndex) -> &str {
        &self.states[usize::from(state.0)]
    }

    /// Where `event` leads from `state`; `None` when it is not expected there.
    pub fn next(&self, state: StateIndex, event: EventIndex) -> Option<StateIndex> {
        let targets = self.targets.get(usize::from(state.0))?;
        targets.get(usize::from(event.0)).copied().flatten()
    }

    /// The chart as a Mermaid diagram, for docs/.
    pub fn mermaid(&self) -> String {
        let mut text = String::from("stateDiagram-v2\n");
        let _ = writeln!(text, "    [*] --> {}", self.states[0]);
        for (state, targets) in self.states.iter().zip(&self.targets) {
            for (event, target) in self.events.iter().zip(targets) {
                let Some(target) = target else {
                    continue;
                };
                let _ = writeln!(text, "    {state} --> {}: {event}", self.state_name(*target));
            }
            if targets.iter().all(Option::is_none) {
                let _ = writeln!(text, "    {state} --> [*]");
            }
        }
        text
    }

    fn build(raw: RawChart) -> Self {
        let states: Vec<Arc<str>> =
            raw.states.iter().map(|state| Arc::clone(&state.name)).collect();
        let mut targets = Vec::new();
        for state in &raw.states {
            let mut row = Vec::new();
            for event in &raw.events {
                let target = state.on.get(event);
                row.push(target.and_then(|target| position(&states, target)).map(StateIndex));
            }
            targets.push(row);
        }
        Self { name: raw.name, states, events: raw.events, targets }
    }
}

fn position(names: &[Arc<str>], name: &str) -> Option<u16> {
    let found = names.iter().position(|listed| **listed == *name)?;
    u16::try_from(found).ok()
}
