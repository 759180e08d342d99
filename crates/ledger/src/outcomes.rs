//! What became of recent changes.

use std::collections::VecDeque;

use cyclamen_types::{ChangeId, SeededMap};

use crate::hash::Fingerprint;
use crate::ledger::{ChangeOutcome, Refusal};

/// Changes remembered, so that a repeated append counts once: the newest 2,048. At 430 changes a
/// day that is more than four days; at 300 appends a second it is more than six seconds.
pub const OUTCOMES_KEPT: usize = 2_048;

/// Refusals whose faults are kept: the newest 32. Older ones keep that they were refused.
pub const REFUSALS_EXPLAINED: usize = 32;

/// Most faults kept of one refusal.
const MAX_FAULTS: usize = 20;

/// Longest text of a fault, in characters.
const MAX_FAULT_CHARS: usize = 200;

impl Refusal {
    /// A refusal with the first faults, each cut to a bounded length.
    pub(crate) fn new(faults: impl Iterator<Item = String>, stale_base: bool) -> Self {
        let mut kept = Vec::new();
        for fault in faults.take(MAX_FAULTS) {
            kept.push(fault.chars().take(MAX_FAULT_CHARS).collect::<String>().into());
        }
        Self { faults: kept, stale_base }
    }
}

/// What is remembered of a change.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Recorded {
    pub(crate) outcome: ChangeOutcome,
    pub(crate) print: Fingerprint,
}

/// Outcomes by change, the oldest forgotten first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcomes {
    by_id: SeededMap<ChangeId, Recorded>,
    order: VecDeque<ChangeId>,
    explained: VecDeque<ChangeId>,
}

impl Outcomes {
    pub(crate) fn get(&self, id: &ChangeId) -> Option<&Recorded> {
        self.by_id.get(id)
    }

    /// Adds a change that is not held; returns the one forgotten for it.
    pub(crate) fn push(
        &mut self,
        id: ChangeId,
        recorded: Recorded,
    ) -> Option<(ChangeId, Recorded)> {
        self.order.push_back(id.clone());
        if matches!(recorded.outcome, ChangeOutcome::Refused(..)) {
            self.explain(id.clone());
        }
        self.by_id.insert(id, recorded);
        if self.order.len() <= OUTCOMES_KEPT {
            return None;
        }
        let oldest = self.order.pop_front()?;
        self.by_id.remove_entry(&oldest)
    }

    /// Drops the faults of the oldest refusal that has any, when there are too many.
    fn explain(&mut self, id: ChangeId) {
        self.explained.push_back(id);
        if self.explained.len() <= REFUSALS_EXPLAINED {
            return;
        }
        let Some(oldest) = self.explained.pop_front() else {
            return;
        };
        let Some(recorded) = self.by_id.get_mut(&oldest) else {
            return;
        };
        if let ChangeOutcome::Refused(_, refusal) = &mut recorded.outcome {
            refusal.faults.clear();
        }
    }

    /// The outcomes, oldest first.
    pub(crate) fn oldest_first(&self) -> impl Iterator<Item = (&ChangeId, &Recorded)> {
        self.order.iter().filter_map(|id| self.by_id.get_key_value(id))
    }
}
