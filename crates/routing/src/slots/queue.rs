//! The calls that wait for a slot, by criticality.

use std::collections::VecDeque;

use cyclamen_declarations::Criticality;
use cyclamen_types::Mono;

use crate::slots::CallId;

/// All classes, the one that goes first in front.
pub(super) const CLASSES: [Criticality; 3] =
    [Criticality::Critical, Criticality::Normal, Criticality::Bulk];

/// Which of two waiting calls of one class goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// The one that came first.
    #[default]
    OldestFirst,
    /// The one that came last.
    NewestFirst,
}

/// A call that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) call: CallId,
    /// When it stops waiting.
    pub(super) until: Mono,
}

/// The calls that wait.
#[derive(Debug, Default)]
pub(super) struct Queue {
    classes: [VecDeque<Waiting>; CLASSES.len()],
}

/// The place of a class in [`CLASSES`].
pub(super) fn rank(criticality: Criticality) -> usize {
    match criticality {
        Criticality::Critical => 0,
        Criticality::Normal => 1,
        Criticality::Bulk => 2,
    }
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.classes.iter().map(VecDeque::len).sum()
    }

    /// Calls that go before a new one of this class.
    pub(super) fn ahead_of(&self, criticality: Criticality) -> usize {
        self.classes[..=rank(criticality)].iter().map(VecDeque::len).sum()
    }

    pub(super) fn push(&mut self, criticality: Criticality, waiting: Waiting) {
        self.classes[rank(criticality)].push_back(waiting);
    }

    /// The next call of a class.
    pub(super) fn pop(&mut self, criticality: Criticality, order: QueueOrder) -> Option<Waiting> {
        let class = &mut self.classes[rank(criticality)];
        match order {
            QueueOrder::OldestFirst => class.pop_front(),
            QueueOrder::NewestFirst => class.pop_back(),
        }
    }

    /// Makes way for a call of this class: takes out one of the lowest class below it, the one
    /// that would go last.
    pub(super) fn evict_below(
        &mut self,
        criticality: Criticality,
        order: QueueOrder,
    ) -> Option<CallId> {
        let first_below = rank(criticality) + 1;
        for class in self.classes[first_below..].iter_mut().rev() {
            let last = match order {
                QueueOrder::OldestFirst => class.pop_back(),
                QueueOrder::NewestFirst => class.pop_front(),
            };
            if let Some(last) = last {
                return Some(last.call);
            }
        }
        None
    }

    /// Takes a call out; false when it does not wait.
    pub(super) fn remove(&mut self, call: CallId) -> bool {
        for class in &mut self.classes {
            let before = class.len();
            class.retain(|waiting| waiting.call != call);
            if class.len() < before {
                return true;
            }
        }
        false
    }

    /// Takes out all calls whose wait ends by `now`.
    pub(super) fn expire(&mut self, now: Mono, out: &mut Vec<CallId>) {
        for class in &mut self.classes {
            class.retain(|waiting| {
                let expired = waiting.until <= now;
                if expired {
                    out.push(waiting.call);
                }
                !expired
            });
        }
    }

    /// When the next wait ends.
    pub(super) fn next_expiry(&self) -> Mono {
        let waits = self.classes.iter().flatten().map(|waiting| waiting.until);
        waits.min().unwrap_or(Mono::NEVER)
    }
}
