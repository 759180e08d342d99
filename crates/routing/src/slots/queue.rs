//! The queue of calls that wait for a slot.
//!
//! It is ordered by criticality class, then by nesting depth, deepest first, then by the latest
//! start at which a call still meets its target. Calls that can no longer meet their target are
//! late and wait behind all others.

use std::cmp::Reverse;
use std::collections::VecDeque;

use cyclamen_declarations::Criticality;
use cyclamen_types::Mono;

use crate::slots::{AncestorCalls, CallId};

/// All criticality classes, in the order in which they are served.
pub(super) const CLASSES: [Criticality; 3] =
    [Criticality::Critical, Criticality::Normal, Criticality::Bulk];

/// Which of several queued calls of equal priority goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// The one that was queued first.
    #[default]
    OldestFirst,
    /// The one that was queued last.
    NewestFirst,
}

/// The priority of a call that needs a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuePriority {
    pub(super) criticality: Criticality,
    pub(super) ancestors: AncestorCalls,
}

/// A call in the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedCall {
    pub(super) call: CallId,
    /// The running calls that it was made for; within a class, the most deeply nested call goes
    /// first.
    pub(super) ancestors: AncestorCalls,
    /// When the call is removed from the queue without having run.
    pub(super) expires_at: Mono,
    /// Latest start at which the call still meets its target; [`Mono::NEVER`] for a call without a
    /// target. For a nested call, the same as `expires_at`.
    pub(super) start_by: Mono,
}

/// All queued calls of one backend server.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// By class, the calls that can still meet their target or have none, ordered by [`sort_key`].
    on_time: [VecDeque<QueuedCall>; CLASSES.len()],
    /// By class, the calls that can no longer meet their target, in the order in which they were
    /// found to be late.
    late: [VecDeque<QueuedCall>; CLASSES.len()],
}

/// The index of a class in [`CLASSES`].
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

    /// Number of calls that go before a new one with this priority and latest start.
    pub(super) fn ahead_of(&self, priority: QueuePriority, start_by: Mono) -> usize {
        let class = class_index(priority.criticality);
        let in_higher_classes: usize = self.on_time[..class].iter().map(VecDeque::len).sum();
        let key = sort_key(priority.ancestors, start_by);
        in_higher_classes + self.on_time[class].partition_point(|queued| queued.sort_key() <= key)
    }

    /// Whether a call that has not expired goes before a new one with this priority that may wait
    /// for as long as it takes. Late calls do not.
    pub(super) fn is_any_ahead_of(&self, now: Mono, priority: QueuePriority) -> bool {
        let class = class_index(priority.criticality);
        let key = sort_key(priority.ancestors, Mono::NEVER);
        let mut in_higher_classes = self.on_time[..class].iter().flatten();
        let mut in_class = self.on_time[class].iter().take_while(|queued| queued.sort_key() <= key);
        let alive = |queued: &QueuedCall| queued.expires_at > now;
        in_higher_classes.any(alive) || in_class.any(alive)
    }

    /// Adds a call that can still meet its target or has none.
    pub(super) fn push(&mut self, criticality: Criticality, queued: QueuedCall) {
        let class = &mut self.on_time[class_index(criticality)];
        let index = class.partition_point(|other| other.sort_key() <= queued.sort_key());
        class.insert(index, queued);
    }

    /// Adds a call that can no longer meet its target.
    pub(super) fn push_late(&mut self, criticality: Criticality, queued: QueuedCall) {
        self.late[class_index(criticality)].push_back(queued);
    }

    /// The next call of a class that is neither late nor expired, without removing it. Calls at the
    /// front that have missed their latest start are moved to the late ones first; one behind a
    /// more deeply nested call is found to be late only when it reaches the front.
    pub(super) fn next_on_time(
        &mut self,
        now: Mono,
        criticality: Criticality,
        order: QueueOrder,
    ) -> Option<QueuedCall> {
        let class = class_index(criticality);
        while self.on_time[class].front().is_some_and(|queued| queued.start_by < now) {
            self.late[class].extend(self.on_time[class].pop_front());
        }
        next_in_class(&self.on_time[class], now, order)
    }

    /// The next late call of a class that has not expired, without removing it. Late calls all have
    /// the same priority, whatever their latest start.
    pub(super) fn next_late(
        &self,
        now: Mono,
        criticality: Criticality,
        order: QueueOrder,
    ) -> Option<QueuedCall> {
        let late = &self.late[class_index(criticality)];
        let mut alive = late.iter().filter(|queued| queued.expires_at > now);
        match order {
            QueueOrder::OldestFirst => alive.next().copied(),
            QueueOrder::NewestFirst => alive.next_back().copied(),
        }
    }

    /// Removes a call to make room for one of this class: a late one of any class, else one of a
    /// lower class. The lowest class is searched first; within a class the back of the queue is
    /// removed, or the front for [`QueueOrder::NewestFirst`].
    pub(super) fn evict_for(
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

    /// Removes a call; returns false if it is not queued.
    pub(super) fn remove(&mut self, call: CallId) -> bool {
        for class in self.on_time.iter_mut().chain(&mut self.late) {
            let before = class.len();
            class.retain(|queued| queued.call != call);
            if class.len() < before {
                return true;
            }
        }
        false
    }

    /// Moves all calls that expire by `now` to `out`.
    pub(super) fn expire(&mut self, now: Mono, out: &mut Vec<CallId>) {
        for class in self.on_time.iter_mut().chain(&mut self.late) {
            class.retain(|queued| {
                let expired = queued.expires_at <= now;
                if expired {
                    out.push(queued.call);
                }
                !expired
            });
        }
    }

    /// When the next call expires; [`Mono::NEVER`] for an empty queue.
    pub(super) fn next_expiry(&self) -> Mono {
        let queued = self.on_time.iter().chain(&self.late).flatten();
        queued.map(|queued| queued.expires_at).min().unwrap_or(Mono::NEVER)
    }
}

impl QueuedCall {
    fn sort_key(&self) -> (Reverse<u8>, Mono) {
        sort_key(self.ancestors, self.start_by)
    }
}

/// Sort key within a class: the most deeply nested calls first, then those with the smallest
/// `start_by`.
fn sort_key(ancestors: AncestorCalls, start_by: Mono) -> (Reverse<u8>, Mono) {
    (Reverse(ancestors.depth), start_by)
}

/// The call of a class that goes first and has not expired; `order` decides among those with the
/// same sort key as the first one. An expired call stays queued until [`Queue::expire`] returns it,
/// so that its caller gets a refusal, and must not hold up those behind it until then.
fn next_in_class(class: &VecDeque<QueuedCall>, now: Mono, order: QueueOrder) -> Option<QueuedCall> {
    let mut alive = class.iter().filter(|queued| queued.expires_at > now);
    let first = alive.next()?;
    match order {
        QueueOrder::OldestFirst => Some(*first),
        QueueOrder::NewestFirst => {
            let key = first.sort_key();
            let equal_keys = alive.take_while(|queued| queued.sort_key() == key);
            Some(*equal_keys.last().unwrap_or(first))
        }
    }
}
