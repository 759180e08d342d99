//! The state chart of a move, with event and state names resolved to enum variants.

use cyclamen_charts::{Chart, ChartError, EventIndex, StateIndex};

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
    /// Loads the chart and resolves its names.
    ///
    /// # Errors
    /// All errors of the chart. If the chart itself has none, names that do not match the enums are
    /// reported with two of its variants, whose messages do not fit this case: a [`MoveEvent`] that
    /// the chart does not list as [`ChartError::UnusedEvent`], and a chart state without a
    /// [`MovePhase`] as [`ChartError::Unreachable`].
    pub(crate) fn load() -> Result<Self, Vec<ChartError>> {
        let chart = Chart::load(MOVE_CHART)?;
        let mut errors = Vec::new();
        let mut events = Vec::new();
        for (_, name) in EVENT_NAMES {
            match chart.event(name) {
                Some(event) => events.push(event),
                None => errors.push(ChartError::UnusedEvent(name.into())),
            }
        }
        let mut states = Vec::new();
        for name in &chart.states {
            match STATE_NAMES.iter().find(|(_, listed)| **listed == **name) {
                Some((state, _)) => states.push(*state),
                None => errors.push(ChartError::Unreachable(name.clone())),
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
