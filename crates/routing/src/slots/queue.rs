//! The queue of calls that wait for a slot.
//!
//! It is ordered by criticality class, then by nesting depth, deepest first, then calls within the
//! fair share of their client account before those beyond it, then by the latest start at which a
//! call still meets its target. Calls that can no longer meet their target are late and wait behind
//! all others.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

use cyclamen_declarations::Criticality;
use cyclamen_types::Mono;

use crate::slots::{AncestorCalls, CallId, MAX_EXPECTED_WAIT};

/// All criticality classes, in the order in which they are served.
pub(super) const CLASSES: [Criticality; 3] =
    [Criticality::Critical, Criticality::Normal, Criticality::Bulk];

/// A call is short beside another one if that one needs at least this many times its work.
const SHORT_WORK_FACTOR: u32 = 2;

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
    /// How long it is expected to hold its slot.
    pub(super) hold: Duration,
    /// Whether it is beyond the fair share of its client account.
    pub(super) beyond_share: bool,
}

/// What callers lose if a call is turned away, in ascending order of the loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TurnAwayLoss {
    on_time: bool,
    class: Reverse<usize>,
    /// The calls that a nested call was made for hold slots, and their work is lost with it.
    depth: u8,
    within_share: bool,
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

    /// Expected hold times, added up, of the calls that go before a new one of this class with this
    /// nesting, share and latest start.
    pub(super) fn work_ahead_of(&self, criticality: Criticality, new: &QueuedCall) -> Duration {
        self.calls_ahead_of(criticality, new).map(|queued| queued.hold).sum()
    }

    /// Number of the calls that go before a new one of this class.
    pub(super) fn count_ahead_of(&self, criticality: Criticality, new: &QueuedCall) -> usize {
        self.calls_ahead_of(criticality, new).count()
    }

    fn calls_ahead_of(
        &self,
        criticality: Criticality,
        new: &QueuedCall,
    ) -> impl Iterator<Item = &QueuedCall> {
        let class = class_index(criticality);
        let key = new.sort_key();
        let in_class =
            self.on_time[class].iter().take_while(move |queued| queued.sort_key() <= key);
        self.on_time[..class].iter().flatten().chain(in_class)
    }

    /// Expected hold times, added up, of the calls of this class and the classes above that are not
    /// late.
    pub(super) fn work_down_to(&self, criticality: Criticality) -> Duration {
        let class = class_index(criticality);
        self.on_time[..=class].iter().flatten().map(|queued| queued.hold).sum()
    }

    /// Expected hold times of all calls, added up.
    pub(super) fn work(&self) -> Duration {
        self.on_time.iter().chain(&self.late).flatten().map(|queued| queued.hold).sum()
    }

    /// The call with the most work among those that go before a new one of the same class, are not
    /// nested, and beside which the new one is short. A call within the share of its account is
    /// none for one that is beyond it.
    pub(super) fn longest_ahead_of(
        &self,
        criticality: Criticality,
        new: &QueuedCall,
    ) -> Option<QueuedCall> {
        let class = &self.on_time[class_index(criticality)];
        let key = new.sort_key();
        let ahead = class.iter().take_while(|queued| queued.sort_key() <= key);
        let candidates = ahead.filter(|queued| {
            queued.ancestors.depth == 0
                && queued.start_by < Mono::NEVER
                && queued.beyond_share >= new.beyond_share
                && new.is_short_beside(queued)
        });
        candidates.max_by_key(|queued| queued.hold).copied()
    }

    /// Moves a call to the late ones.
    pub(super) fn make_late(&mut self, criticality: Criticality, call: CallId) {
        let class = class_index(criticality);
        let place = self.on_time[class].iter().position(|queued| queued.call == call);
        let queued = place.and_then(|place| self.on_time[class].remove(place));
        self.late[class].extend(queued);
    }

    /// Removes the calls that are not late and would expire before they start if calls started in
    /// the order of the queue, after `first_wait` and what the work ahead takes with this many
    /// slots. Nested calls are kept.
    pub(super) fn remove_hopeless(
        &mut self,
        now: Mono,
        first_wait: Duration,
        slots: u32,
        out: &mut Vec<CallId>,
    ) {
        let mut ahead = Duration::ZERO;
        for class in &mut self.on_time {
            class.retain(|queued| {
                let wait = first_wait + ahead / slots.max(1);
                let starts_at = now + wait.min(MAX_EXPECTED_WAIT);
                let hopeless = queued.ancestors.depth == 0 && starts_at > queued.expires_at;
                match hopeless {
                    true => out.push(queued.call),
                    false => ahead += queued.hold,
                }
                !hopeless
            });
        }
    }

    /// Whether a call that has not expired goes before a new one with this priority that may wait
    /// for as long as it takes. Late calls do not.
    pub(super) fn is_any_ahead_of(&self, now: Mono, priority: QueuePriority) -> bool {
        let class = class_index(priority.criticality);
        let key = (Reverse(priority.ancestors.depth), true, Mono::NEVER);
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

    /// The next late call of a class that has not expired, without removing it. Calls within the
    /// share of their account go first, whatever their latest start.
    pub(super) fn next_late(
        &self,
        now: Mono,
        criticality: Criticality,
        order: QueueOrder,
    ) -> Option<QueuedCall> {
        let late = &self.late[class_index(criticality)];
        let mut next: Option<&QueuedCall> = None;
        for queued in late.iter().filter(|queued| queued.expires_at > now) {
            let goes_first = next.is_none_or(|next| queued.goes_before_late(next, order));
            if goes_first {
                next = Some(queued);
            }
        }
        next.copied()
    }

    /// Removes the call that costs callers least to make room for a new one of this class, if
    /// turning away the new one costs more. Returns it.
    pub(super) fn evict_for(
        &mut self,
        criticality: Criticality,
        new: &QueuedCall,
        on_time: bool,
        order: QueueOrder,
    ) -> Option<CallId> {
        let class = class_index(criticality);
        let new_loss = turn_away_loss(on_time, class, new);
        let (loss, victim) = self.cheapest(class, new, order)?;
        let is_beyond_in_class =
            loss.class == new_loss.class && victim.beyond_share && !new.beyond_share;
        // The newest of several late calls of equal priority goes first, so the oldest has no hope.
        let replaces_equal = !on_time && order == QueueOrder::NewestFirst;
        let is_cheaper = is_beyond_in_class
            || loss < new_loss
            || loss == new_loss && (replaces_equal || new.is_short_beside(&victim));
        if !is_cheaper {
            return None;
        }
        self.remove(victim.call);
        Some(victim.call)
    }

    /// The call that costs callers least if it is turned away for a new one: among those of equal
    /// loss the one with the most work if the others are short beside it, else the last one, or
    /// the first one for [`QueueOrder::NewestFirst`].
    ///
    /// A call within the share of its account is not turned away while one of its class is beyond
    /// it, queued or new.
    fn cheapest(
        &self,
        new_class: usize,
        new: &QueuedCall,
        order: QueueOrder,
    ) -> Option<(TurnAwayLoss, QueuedCall)> {
        let mut cheapest: Option<(TurnAwayLoss, QueuedCall)> = None;
        for class in 0..CLASSES.len() {
            let is_new_beyond = class == new_class && new.beyond_share;
            let mut in_class = self.late[class].iter().chain(&self.on_time[class]);
            let is_any_beyond = is_new_beyond || in_class.any(|queued| queued.beyond_share);
            for (on_time, calls) in [(false, &self.late[class]), (true, &self.on_time[class])] {
                for queued in calls.iter().filter(|queued| queued.beyond_share || !is_any_beyond) {
                    let loss = turn_away_loss(on_time, class, queued);
                    let is_cheaper = cheapest.as_ref().is_none_or(|(least, victim)| {
                        loss < *least
                            || loss == *least && queued.is_turned_away_before(victim, order)
                    });
                    if is_cheaper {
                        cheapest = Some((loss, *queued));
                    }
                }
            }
        }
        cheapest
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

    /// Lets all calls expire by `until` at the latest.
    pub(super) fn expire_by(&mut self, until: Mono) {
        for queued in self.on_time.iter_mut().chain(&mut self.late).flatten() {
            queued.expires_at = queued.expires_at.min(until);
        }
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
    /// Sort key within a class: the most deeply nested calls first, then those within the share of
    /// their account, then those with the smallest `start_by`.
    fn sort_key(&self) -> (Reverse<u8>, bool, Mono) {
        (Reverse(self.ancestors.depth), self.beyond_share, self.start_by)
    }

    /// Whether it needs so much less work than the other call that it goes first among equals.
    fn is_short_beside(&self, other: &QueuedCall) -> bool {
        !other.hold.is_zero() && self.hold * SHORT_WORK_FACTOR <= other.hold
    }

    /// Whether it is turned away before a call of equal loss that is ahead of it.
    fn is_turned_away_before(&self, ahead: &QueuedCall, order: QueueOrder) -> bool {
        match order {
            QueueOrder::OldestFirst => !self.is_short_beside(ahead),
            QueueOrder::NewestFirst => ahead.is_short_beside(self),
        }
    }

    /// Whether it goes before a late call that became late before it.
    fn goes_before_late(&self, earlier: &QueuedCall, order: QueueOrder) -> bool {
        if self.beyond_share != earlier.beyond_share {
            return earlier.beyond_share;
        }
        match order {
            QueueOrder::OldestFirst => self.is_short_beside(earlier),
            QueueOrder::NewestFirst => true,
        }
    }
}

fn turn_away_loss(on_time: bool, class: usize, queued: &QueuedCall) -> TurnAwayLoss {
    TurnAwayLoss {
        on_time,
        class: Reverse(class),
        depth: queued.ancestors.depth,
        within_share: !queued.beyond_share,
    }
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
