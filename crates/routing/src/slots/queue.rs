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
pub(super) struct Place {
    pub(super) criticality: Criticality,
    pub(super) around: Around,
}

/// A call that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) call: CallId,
    /// What it was made for: of a class, the one with most around it goes first.
    pub(super) around: Around,
    /// When it stops waiting.
    pub(super) until: Mono,
    /// Until when it can start and still be answered as wanted; [`Mono::NEVER`] for a call without
    /// such a time.
    pub(super) in_time: Mono,
}

/// The calls that wait.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Calls that can still be answered as wanted, by the end of that time.
    in_time: [VecDeque<Waiting>; CLASSES.len()],
    /// Calls that cannot.
    late: [VecDeque<Waiting>; CLASSES.len()],
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
        self.in_time.iter().chain(&self.late).map(VecDeque::len).sum()
    }

    /// Calls that go before a new one of this class that has to start by `in_time`.
    pub(super) fn ahead_of(&self, place: Place, in_time: Mono) -> usize {
        let rank = rank(place.criticality);
        let above: usize = self.in_time[..rank].iter().map(VecDeque::len).sum();
        let key = order_key(place.around, in_time);
        above + self.in_time[rank].partition_point(|waiting| waiting.key() <= key)
    }

    /// Adds a call that can be answered as wanted.
    pub(super) fn push(&mut self, criticality: Criticality, waiting: Waiting) {
        let class = &mut self.in_time[rank(criticality)];
        let place = class.partition_point(|other| other.key() <= waiting.key());
        class.insert(place, waiting);
    }

    /// Adds a call that cannot.
    pub(super) fn push_late(&mut self, criticality: Criticality, waiting: Waiting) {
        self.late[rank(criticality)].push_back(waiting);
    }

    /// The next call of a class that can be answered as wanted; those that have missed their time
    /// are put behind. It stays in the queue.
    pub(super) fn first(
        &mut self,
        now: Mono,
        criticality: Criticality,
        order: QueueOrder,
    ) -> Option<Waiting> {
        let rank = rank(criticality);
        while self.in_time[rank].front().is_some_and(|first| first.in_time < now) {
            self.late[rank].extend(self.in_time[rank].pop_front());
        }
        first(&self.in_time[rank], order)
    }

    /// The next call of a class that has missed its time. It stays in the queue.
    pub(super) fn first_late(
        &self,
        criticality: Criticality,
        order: QueueOrder,
    ) -> Option<Waiting> {
        first(&self.late[rank(criticality)], order)
    }

    /// Makes way for a call of this class: takes out one that is late, or one of the lowest class
    /// below it; of these the one that would go last.
    pub(super) fn evict_below(
        &mut self,
        criticality: Criticality,
        order: QueueOrder,
    ) -> Option<CallId> {
        let first_below = rank(criticality) + 1;
        let late = self.late.iter_mut().rev();
        let below = self.in_time[first_below..].iter_mut().rev();
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
        for class in self.in_time.iter_mut().chain(&mut self.late) {
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
        for class in self.in_time.iter_mut().chain(&mut self.late) {
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
        let waiting = self.in_time.iter().chain(&self.late).flatten();
        waiting.map(|waiting| waiting.until).min().unwrap_or(Mono::NEVER)
    }
}

impl Waiting {
    fn key(&self) -> (Reverse<u8>, Mono) {
        order_key(self.around, self.in_time)
    }
}

/// Of the calls of a class, those with most around them go first, then those whose time runs out
/// first.
fn order_key(around: Around, in_time: Mono) -> (Reverse<u8>, Mono) {
    (Reverse(around.depth), in_time)
}

/// The next call of those that end their time alike, in this order.
fn first(class: &VecDeque<Waiting>, order: QueueOrder) -> Option<Waiting> {
    match order {
        QueueOrder::OldestFirst => class.front().copied(),
        QueueOrder::NewestFirst => {
            let key = class.front()?.key();
            let alike = class.partition_point(|waiting| waiting.key() <= key);
            class.get(alike - 1).copied()
        }
    }
}
