//! The state chart of a move, as the code asks it.

use cyclamen_charts::{Chart, ChartFault, EventIndex, StateIndex};

use crate::status::MoveStage;

/// The chart of a move.
pub const MOVE_CHART: &str = include_str!("../charts/move.yaml");

/// The events of a move, as its chart lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum MoveEvent {
    Start,
    Arrived,
    Suspect,
    Cleared,
    Pause,
    Resume,
    WatchOver,
    Convict,
}

const EVENTS: [(MoveEvent, &str); 8] = [
    (MoveEvent::Start, "start"),
    (MoveEvent::Arrived, "arrived"),
    (MoveEvent::Suspect, "suspect"),
    (MoveEvent::Cleared, "cleared"),
    (MoveEvent::Pause, "pause"),
    (MoveEvent::Resume, "resume"),
    (MoveEvent::WatchOver, "watch-over"),
    (MoveEvent::Convict, "convict"),
];

const STAGES: [(MoveStage, &str); 7] = [
    (MoveStage::Scheduled, "scheduled"),
    (MoveStage::Moving, "moving"),
    (MoveStage::Checking, "checking"),
    (MoveStage::Paused, "paused"),
    (MoveStage::Watched, "watched"),
    (MoveStage::Done, "done"),
    (MoveStage::TakenBack, "taken-back"),
];

/// The chart of a move with its names resolved.
#[derive(Clone, Debug)]
pub(crate) struct MoveChart {
    chart: Chart,
    events: Vec<EventIndex>,
    stages: Vec<MoveStage>,
}

impl MoveChart {
    /// Loads the chart; all its faults at once.
    pub(crate) fn load() -> Result<Self, Vec<ChartFault>> {
        let chart = Chart::load(MOVE_CHART)?;
        let mut faults = Vec::new();
        let mut events = Vec::new();
        for (_, name) in EVENTS {
            match chart.event(name) {
                Some(event) => events.push(event),
                None => faults.push(ChartFault::UnusedEvent(name.into())),
            }
        }
        let mut stages = Vec::new();
        for name in &chart.states {
            match STAGES.iter().find(|(_, listed)| **listed == **name) {
                Some((stage, _)) => stages.push(*stage),
                None => faults.push(ChartFault::Unreachable(name.clone())),
            }
        }
        if faults.is_empty() { Ok(Self { chart, events, stages }) } else { Err(faults) }
    }

    /// The state of a new move.
    pub(crate) fn initial(&self) -> StateIndex {
        self.chart.initial()
    }

    /// Where an event leads; `None` when it is not expected there.
    pub(crate) fn next(&self, state: StateIndex, event: MoveEvent) -> Option<StateIndex> {
        let place = EVENTS.iter().position(|(listed, _)| *listed == event)?;
        self.chart.next(state, self.events[place])
    }

    /// The stage that an operator reads.
    pub(crate) fn stage(&self, state: StateIndex) -> MoveStage {
        self.stages[usize::from(state.0)]
    }
}
