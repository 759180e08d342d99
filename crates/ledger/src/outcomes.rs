//! What became of recent changes.

use std::collections::VecDeque;

use cyclamen_types::{ChangeId, SeededMap};

use crate::ledger::ChangeOutcome;

/// Changes remembered, so that a repeated append counts once: the newest 2,048. At 430 changes a
/// day that is more than four days; at 300 appends a second it is more than six seconds.
pub const OUTCOMES_KEPT: usize = 2_048;

/// Outcomes by change, the oldest forgotten first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcomes {
    by_id: SeededMap<ChangeId, ChangeOutcome>,
    order: VecDeque<ChangeId>,
}

impl Outcomes {
    pub(crate) fn get(&self, id: &ChangeId) -> Option<&ChangeOutcome> {
        self.by_id.get(id)
    }

    /// Adds the outcome of a change that is not held; returns the one forgotten for it.
    pub(crate) fn push(
        &mut self,
        id: ChangeId,
        outcome: ChangeOutcome,
    ) -> Option<(ChangeId, ChangeOutcome)> {
        self.order.push_back(id.clone());
        self.by_id.insert(id, outcome);
        if self.order.len() <= OUTCOMES_KEPT {
            return None;
        }
        let oldest = self.order.pop_front()?;
        self.by_id.remove_entry(&oldest)
    }

    /// The outcomes, oldest first.
    pub(crate) fn oldest_first(&self) -> impl Iterator<Item = (&ChangeId, &ChangeOutcome)> {
        self.order.iter().filter_map(|id| self.by_id.get_key_value(id))
    }
}
