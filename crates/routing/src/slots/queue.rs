//! The calls that wait for a slot: by criticality, and within it those first whose time to be
//! answered as wanted runs out first. Calls that can no longer make that time wait behind all
//! others.

use std::cmp::Reverse;
use std::collections::VecDeque;

use cyclamen_declarations::Criticality;
use cyclamen_types::Mono;

use crate::slots::{Around, CallId};

/// All classes, the one that goes first in front.
pub(super) const CLASSES: [Criticality; 3] =
    [Criticality::Critical, Criticality::Normal, Criticality::Bulk];

/// Which of two waiting calls of one class and time goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// The one that came first.
    #[default]
    OldestFirst,
    /// The one that came last.
    NewestFirst,
}

/// Where a call stands among those that want a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuePriority {
    pub(super) criticality: Criticality,
    pub(super) around: Around,
}

/// A call that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedCall {
    pub(super) call: CallId,
    /// What it was made for: of a class, the one with most around it goes first.
    pub(super) around: Around,
    /// When it stops waiting.
    pub(super) expires_at: Mono,
    /// Until when it can start and still be answered as wanted; [`Mono::NEVER`] for a call without
    /// such a time.
    pub(super) start_by: Mono,
}

/// The calls that wait.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Calls that can still be answered as wanted, by the end of that time.
    on_time: [VecDeque<QueuedCall>; CLASSES.len()],
    /// Calls that cannot.
    late: [VecDeque<QueuedCall>; CLASSES.len()],
}

/// The place of a class in [`CLASSES`].
pub(super) fn class_index(criticality: Criticality) -> usize {
    match criticality {
        Criticality::Critical => 0,
        Criticality::Normal => 1,
        Criticality::Bulk => 2,
    }
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.on_time.iter().chain(&self.late).map(VecDeque::len).sum()
    }

    /// Calls that go before a new one of this class that has to start by `start_by`.
    pub(super) fn ahead_of(&self, priority: QueuePriority, start_by: Mono) -> usize {
        let class = class_index(priority.criticality);
        let in_higher_classes: usize = self.on_time[..class].iter().map(VecDeque::len).sum();
        let key = sort_key(priority.around, start_by);
        in_higher_classes + self.on_time[class].partition_point(|waiting| waiting.sort_key() <= key)
    }

    /// Adds a call that can be answered as wanted.
    pub(super) fn push(&mut self, criticality: Criticality, waiting: QueuedCall) {
        let class = &mut self.on_time[class_index(criticality)];
        let index = class.partition_point(|other| other.sort_key() <= waiting.sort_key());
        class.insert(index, waiting);
    }

    /// Adds a call that cannot.
    pub(super) fn push_late(&mut self, criticality: Criticality, waiting: QueuedCall) {
        self.late[class_index(criticality)].push_back(waiting);
    }

    /// The next call of a class that can be answered as wanted; those that have missed their time
    /// are put behind. It stays in the queue.
    pub(super) fn next_on_time(
        &mut self,
        now: Mono,
        criticality: Criticality,
        order: QueueOrder,
    ) -> Option<QueuedCall> {
        let class = class_index(criticality);
        while self.on_time[class].front().is_some_and(|waiting| waiting.start_by < now) {
            self.late[class].extend(self.on_time[class].pop_front());
        }
        next_in_class(&self.on_time[class], order)
    }

    /// The next call of a class that has missed its time. It stays in the queue.
    pub(super) fn next_late(
        &self,
        criticality: Criticality,
        order: QueueOrder,
    ) -> Option<QueuedCall> {
        next_in_class(&self.late[class_index(criticality)], order)
    }

    /// Makes way for a call of this class: takes out one that is late, or one of the lowest class
    /// below it; of these the one that would go last.
    pub(super) fn evict_below(
        &mut self,
        criticality: Criticality,
        order: QueueOrder,
    ) -> Option<CallId> {
        let first_below = class_index(criticality) + 1;
        let late = self.late.iter_mut().rev();
        let below = self.on_time[first_below..].iter_mut().rev();
        for class in late.chain(below) {
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
        for class in self.on_time.iter_mut().chain(&mut self.late) {
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
        for class in self.on_time.iter_mut().chain(&mut self.late) {
            class.retain(|waiting| {
                let expired = waiting.expires_at <= now;
                if expired {
                    out.push(waiting.call);
                }
                !expired
            });
        }
    }

    /// When the next wait ends.
    pub(super) fn next_expiry(&self) -> Mono {
        let waiting = self.on_time.iter().chain(&self.late).flatten();
        waiting.map(|waiting| waiting.expires_at).min().unwrap_or(Mono::NEVER)
    }
}

impl QueuedCall {
    fn sort_key(&self) -> (Reverse<u8>, Mono) {
        sort_key(self.around, self.start_by)
    }
}

/// Of the calls of a class, those with most around them go first, then those whose time runs out
/// first.
fn sort_key(around: Around, start_by: Mono) -> (Reverse<u8>, Mono) {
    (Reverse(around.depth), start_by)
}

/// The next call of those that end their time alike, in this order.
fn next_in_class(class: &VecDeque<QueuedCall>, order: QueueOrder) -> Option<QueuedCall> {
    match order {
        QueueOrder::OldestFirst => class.front().copied(),
        QueueOrder::NewestFirst => {
            let key = class.front()?.sort_key();
            let equal_keys = class.partition_point(|waiting| waiting.sort_key() <= key);
            class.get(equal_keys - 1).copied()
        }
    }
}
