//! Which calls start: when there is a slot for a call, and which queued calls get one.

use std::time::Duration;

use cyclamen_declarations::Criticality;
use cyclamen_types::Mono;

use crate::slots::queue::{CLASSES, QueuePriority, QueuedCall};
use crate::slots::{CallFacts, CallId, Running, Slots};

/// One in this many slots, rounded up, is not available to bulk calls.
const BULK_RESERVE_DIVISOR: u32 = 4;

impl Slots {
    /// Notes when the next queued call may start, if only the time has to pass for that.
    pub(super) fn plan_next_start(&mut self, now: Mono) {
        self.next_start = match self.waiting() > 0 && !self.cold.has_room(now) {
            true => self.cold.room_at(now, 0),
            false => Mono::NEVER,
        };
    }

    /// Whether a call of this priority, which is expected to hold its slot for `hold`, may start.
    pub(super) fn has_slot(&self, now: Mono, priority: QueuePriority, hold: Duration) -> bool {
        let limit = self.limit.get();
        if !self.cold.has_room(now) {
            return false;
        }
        if self.running() >= limit || !self.reentry.has_room(priority.ancestors, limit) {
            return false;
        }
        if !self.leaves_room_above(now, priority, hold) {
            return false;
        }
        let unreserved = priority.criticality != Criticality::Bulk || !self.settings.adaptive;
        unreserved || self.running_bulk < bulk_limit(limit)
    }

    /// Gives a slot to a call.
    pub(super) fn start(&mut self, now: Mono, call: CallId, facts: CallFacts) {
        if facts.criticality == Criticality::Bulk {
            self.running_bulk += 1;
        }
        self.reentry.start(facts.ancestors);
        self.cold.record_start(now);
        self.counters.repeats += u64::from(facts.repeat >= 1.0);
        self.running.insert(call, Running { started: now, facts });
        self.limit.observe_running(self.running());
        self.counters.run += 1;
        self.counters.peak = self.counters.peak.max(self.running.len() as u64);
    }

    /// Starts the queued calls that there are slots for, and returns them: first those that can still
    /// meet their targets, then the late ones, each by class.
    pub(super) fn start_queued(&mut self, now: Mono) -> Vec<CallId> {
        let mut run = Vec::new();
        for criticality in CLASSES {
            while let Some(next) = self.queue.next_on_time(now, criticality, self.settings.order) {
                if !self.start_next(now, criticality, next, &mut run) {
                    break;
                }
            }
        }
        for criticality in CLASSES {
            while let Some(next) = self.queue.next_late(now, criticality, self.settings.order) {
                if !self.start_next(now, criticality, next, &mut run) {
                    break;
                }
            }
        }
        self.plan_next_start(now);
        run
    }

    /// Starts a queued call if there is a slot for it. Returns whether it did, so that the next one
    /// of the class may be tried.
    fn start_next(
        &mut self,
        now: Mono,
        criticality: Criticality,
        next: QueuedCall,
        run: &mut Vec<CallId>,
    ) -> bool {
        let priority = QueuePriority { criticality, ancestors: next.ancestors };
        if !self.has_slot(now, priority, next.hold) {
            return false;
        }
        self.queue.remove(next.call);
        let Some(facts) = self.queued.remove(&next.call) else {
            return true;
        };
        self.start(now, next.call, facts);
        run.push(next.call);
        true
    }
}

/// How many bulk calls may run at a time. They tend to hold their slots for long, so some slots
/// are reserved for other calls. At least one may run.
fn bulk_limit(limit: u32) -> u32 {
    let reserved = limit.div_ceil(BULK_RESERVE_DIVISOR);
    limit.saturating_sub(reserved).max(1)
}
