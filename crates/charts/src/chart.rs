//! A verified state chart, its lookups and its rendering as a Mermaid diagram.

use std::fmt::Write;
use std::sync::Arc;

use derive_more::{Display, From, Into};
use thiserror::Error;

use crate::raw::RawChart;
use crate::verify::verify;

/// The position of a state in [`Chart::states`].
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StateIndex(pub u16);

/// The position of an event in [`Chart::events`].
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EventIndex(pub u16);

/// An error in a chart file. [`Chart::load`] returns all of them at once.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChartError {
    /// The file is not valid YAML or does not match the format of a chart.
    #[error("the chart does not parse: {0}")]
    Syntax(String),
    /// The file lists no state, so there is no initial one.
    #[error("the chart lists no state: list at least the initial one")]
    Empty,
    /// A state name or an event name is listed twice.
    #[error("`{0}` is listed twice: remove one")]
    Duplicate(Arc<str>),
    /// The target of a transition is not a listed state.
    #[error("`{from}` goes to `{target}` on `{event}`, and no such state is listed: list it")]
    UnknownTarget {
        /// The state that the transition leaves.
        from: Arc<str>,
        /// The event that triggers it.
        event: Arc<str>,
        /// The target that is not listed.
        target: Arc<str>,
    },
    /// No sequence of events leads from the initial state to this state.
    #[error(
        "no transitions lead from the initial state to `{0}`: add a transition to it or remove it"
    )]
    Unreachable(Arc<str>),
    /// A transition uses an event that is not listed.
    #[error("`{event}` in `{state}` is not among the events: list it")]
    UnknownEvent {
        /// The state that has the transition.
        state: Arc<str>,
        /// The event that is not listed.
        event: Arc<str>,
    },
    /// An event is listed, but no transition uses it.
    #[error("no state takes the event `{0}`: add a transition or remove it")]
    UnusedEvent(Arc<str>),
}

/// A verified chart.
#[derive(Clone, Debug, Default)]
pub struct Chart {
    /// The name of the chart, as written in the file.
    pub name: Arc<str>,
    /// State names in file order; the first is the initial state.
    pub states: Vec<Arc<str>>,
    /// Event names in file order.
    pub events: Vec<Arc<str>>,
    /// Target state by state index and event index; `None` where there is no transition.
    targets: Vec<Vec<Option<StateIndex>>>,
}

impl Chart {
    /// Parses and verifies a chart.
    ///
    /// # Errors
    /// All errors of the file: one [`ChartError::Syntax`] if it does not parse, else every
    /// error that verification finds.
    pub fn load(yaml: &str) -> Result<Self, Vec<ChartError>> {
        let parsed: Result<RawChart, _> = serde_yaml_ng::from_str(yaml);
        let raw = parsed.map_err(|error| vec![ChartError::Syntax(error.to_string())])?;
        let errors = verify(&raw);
        if !errors.is_empty() {
            return Err(errors);
        }
        Ok(Self::build(raw))
    }

    /// The initial state: the first one listed.
    pub fn initial(&self) -> StateIndex {
        StateIndex(0)
    }

    /// Looks up a state by name.
    pub fn state(&self, name: &str) -> Option<StateIndex> {
        position(&self.states, name).map(StateIndex)
    }

    /// Looks up an event by name.
    pub fn event(&self, name: &str) -> Option<EventIndex> {
        position(&self.events, name).map(EventIndex)
    }

    /// The name of a state.
    ///
    /// # Panics
    /// If `state` is not an index of this chart.
    pub fn state_name(&self, state: StateIndex) -> &str {
        &self.states[usize::from(state.0)]
    }

    /// The target of the transition on `event` from `state`, or `None` if there is none or an
    /// index is not one of this chart.
    pub fn next(&self, state: StateIndex, event: EventIndex) -> Option<StateIndex> {
        let targets = self.targets.get(usize::from(state.0))?;
        targets.get(usize::from(event.0)).copied().flatten()
    }

    /// Renders the chart as a Mermaid state diagram, as embedded in the pages of `docs/charts`.
    ///
    /// # Panics
    /// If the chart has no state, like the default one.
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
