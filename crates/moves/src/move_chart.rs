//! The state chart of a move, with event and state names resolved to enum variants.

use std::sync::Arc;

use cyclamen_charts::{Chart, ChartError, EventIndex, StateIndex};
use derive_more::{Display, Error};

use crate::status::MovePhase;

/// The YAML state chart of a move.
pub const MOVE_CHART: &str = include_str!("../charts/move.yaml");

/// The events in the chart of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum MoveEvent {
    Start,
    ReachedFullShare,
    Suspect,
    Cleared,
    Pause,
    Resume,
    /// The watch after the move reached its full share has ended.
    WatchOver,
    /// The move is rolled back, which takes it to [`MovePhase::TakenBack`].
    RollBack,
}

/// The name of each event in the chart file.
const EVENT_NAMES: [(MoveEvent, &str); 8] = [
    (MoveEvent::Start, "start"),
    (MoveEvent::ReachedFullShare, "arrived"),
    (MoveEvent::Suspect, "suspect"),
    (MoveEvent::Cleared, "cleared"),
    (MoveEvent::Pause, "pause"),
    (MoveEvent::Resume, "resume"),
    (MoveEvent::WatchOver, "watch-over"),
    (MoveEvent::RollBack, "convict"),
];

/// The name of each state in the chart file. Each state of the chart stands for one [`MovePhase`].
const STATE_NAMES: [(MovePhase, &str); 7] = [
    (MovePhase::Scheduled, "scheduled"),
    (MovePhase::Moving, "moving"),
    (MovePhase::Checking, "checking"),
    (MovePhase::Paused, "paused"),
    (MovePhase::Watched, "watched"),
    (MovePhase::Done, "done"),
    (MovePhase::TakenBack, "taken-back"),
];

/// Why the chart of a move cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub(crate) enum MoveChartError {
    /// The chart itself has an error.
    #[display("{_0}")]
    Chart(ChartError),
    /// The code fires an event that the chart does not list.
    #[display("the chart lists no event `{_0}`, which the code fires: list it")]
    MissingEvent(#[error(not(source))] Arc<str>),
    /// The chart lists an event that the code does not fire.
    #[display("the code fires no event `{_0}`: remove it from the chart")]
    UnknownEvent(#[error(not(source))] Arc<str>),
    /// The chart lists no state for a phase.
    #[display("the chart lists no state `{_0}`, which stands for a phase: list it")]
    MissingState(#[error(not(source))] Arc<str>),
    /// The chart lists a state that stands for no phase.
    #[display("the state `{_0}` stands for no phase: remove it from the chart")]
    UnknownState(#[error(not(source))] Arc<str>),
}

/// The chart of a move with its names resolved.
#[derive(Clone, Debug)]
pub(crate) struct MoveChart {
    chart: Chart,
    /// The chart's index of each event, in the order of [`EVENT_NAMES`].
    events: Vec<EventIndex>,
    /// The phase that each chart state stands for, by [`StateIndex`].
    states: Vec<MovePhase>,
}

impl MoveChart {
    /// Loads [`MOVE_CHART`] and resolves its names.
    ///
    /// # Errors
    /// See [`MoveChart::parse`].
    pub(crate) fn load() -> Result<Self, Vec<MoveChartError>> {
        Self::parse(MOVE_CHART)
    }

    /// Loads a chart and resolves its names.
    ///
    /// # Errors
    /// All errors of the chart. If the chart itself has none, every event and state that only the
    /// chart or only the code has.
    fn parse(yaml: &str) -> Result<Self, Vec<MoveChartError>> {
        let chart = Chart::load(yaml)
            .map_err(|errors| errors.into_iter().map(MoveChartError::Chart).collect::<Vec<_>>())?;
        let mut errors = Vec::new();
        let mut events = Vec::new();
        for (_, name) in EVENT_NAMES {
            match chart.event(name) {
                Some(event) => events.push(event),
                None => errors.push(MoveChartError::MissingEvent(name.into())),
            }
        }
        for name in &chart.events {
            if !EVENT_NAMES.iter().any(|(_, listed)| **listed == **name) {
                errors.push(MoveChartError::UnknownEvent(name.clone()));
            }
        }
        let mut states = Vec::new();
        for name in &chart.states {
            match STATE_NAMES.iter().find(|(_, listed)| **listed == **name) {
                Some((state, _)) => states.push(*state),
                None => errors.push(MoveChartError::UnknownState(name.clone())),
            }
        }
        for (_, name) in STATE_NAMES {
            if chart.state(name).is_none() {
                errors.push(MoveChartError::MissingState(name.into()));
            }
        }
        if errors.is_empty() { Ok(Self { chart, events, states }) } else { Err(errors) }
    }

    /// The state of a new move.
    pub(crate) fn initial(&self) -> StateIndex {
        self.chart.initial()
    }

    /// The target of the transition on `event` from `state`, or `None` if the chart has none.
    pub(crate) fn next(&self, state: StateIndex, event: MoveEvent) -> Option<StateIndex> {
        let position = EVENT_NAMES.iter().position(|(listed, _)| *listed == event)?;
        self.chart.next(state, self.events[position])
    }

    /// The [`MovePhase`] that a chart state stands for.
    pub(crate) fn state(&self, state: StateIndex) -> MovePhase {
        self.states[usize::from(state.0)]
    }
}

#[cfg(test)]
mod tests;
