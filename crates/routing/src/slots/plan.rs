//! What awaits a call that finds no free slot: how long it is expected to wait, and whether and how
//! it is queued.

use std::time::Duration;

use cyclamen_declarations::Criticality;
use cyclamen_types::Mono;

use crate::slots::queue::{QueuePriority, QueuedCall, class_index};
use crate::slots::{CallFacts, CallId, MAX_EXPECTED_WAIT, SlotRequest, Slots};

/// A call has to start this many average hold times before its target, so that it meets the target
/// even if it takes longer than the average.
pub(super) const HOLD_TIME_MARGIN: f64 = 1.5;

/// How much longer a call that was queued in time may wait after it has missed its latest start.
const START_GRACE: Duration = Duration::from_millis(50);

/// Factor on the expected wait of a call that can no longer meet its target, since calls that
/// arrive after it may still go before it.
const LATE_WAIT_MARGIN: f64 = 1.5;

/// A call of a lower class is long if this many times the wait for a slot, while such calls hold all,
/// is at least the time for which a call of the classes above holds its own.
const LONG_WAIT_FACTOR: u32 = 2;

/// How a call is queued.
#[derive(Clone, Copy, Debug)]
pub(super) enum QueuePlan {
    /// Among the calls that can still meet their target or have none, by priority.
    OnTime(QueuedCall),
    /// Behind all those calls, since it can no longer meet its target.
    Late(QueuedCall),
}

impl QueuePlan {
    /// The queued call, and whether it is on time.
    pub(super) fn parts(&self) -> (&QueuedCall, bool) {
        match self {
            Self::OnTime(queued) => (queued, true),
            Self::Late(queued) => (queued, false),
        }
    }
}

impl Slots {
    /// How a nested call is queued; `None` if it is not expected to start in time.
    ///
    /// It may wait for as long as the call that made it can still use the answer. A call nested in
    /// one of the same service waits for the queue wait at most: the slots that it waits for may
    /// be held by calls that wait for nested calls themselves, and without a limit all of them
    /// could wait for each other.
    pub(super) fn plan_nested_wait(
        &self,
        now: Mono,
        call: CallId,
        request: &SlotRequest,
        facts: &CallFacts,
    ) -> Option<QueuePlan> {
        let hold = self.hold_times.estimate(facts.criticality, request.route.as_ref());
        let latest_start = request.deadline - hold;
        let expires_at = match facts.ancestors.same_service {
            true => latest_start.min(now + self.settings.queue_wait),
            false => latest_start,
        };
        let queued = facts.queued(call, expires_at, expires_at);
        let wait = self.wait_behind(self.queue.work_ahead_of(facts.criticality, &queued));
        (now + wait <= expires_at).then_some(QueuePlan::OnTime(queued))
    }

    /// How a call that is not nested is queued, see [`Slots::plan_wait`]. If it can meet its target
    /// only in place of a call of its class that needs far more work, that one becomes late.
    pub(super) fn plan_wait_beside_longer(
        &mut self,
        now: Mono,
        call: CallId,
        request: &SlotRequest,
        facts: &CallFacts,
    ) -> Option<QueuePlan> {
        let plan = self.plan_wait(now, call, request, facts);
        if request.target_at == Mono::NEVER || matches!(plan, Some(QueuePlan::OnTime(_))) {
            return plan;
        }
        let hold = self.hold_times.estimate(facts.criticality, request.route.as_ref());
        let start_by = self.latest_start_for_target(now, request, hold);
        let queued =
            facts.queued(call, (request.deadline - hold).min(start_by + START_GRACE), start_by);
        let Some(longest) = self.queue.longest_ahead_of(facts.criticality, &queued) else {
            return plan;
        };
        let ahead = self.queue.work_ahead_of(facts.criticality, &queued);
        let starts_at = now + self.wait_behind(ahead.saturating_sub(longest.hold));
        if starts_at > start_by.min(queued.expires_at) {
            return plan;
        }
        self.queue.make_late(facts.criticality, longest.call);
        Some(QueuePlan::OnTime(queued))
    }

    /// How a call that is not nested is queued; `None` if it is not expected to start in time.
    ///
    /// A call without a target waits for the queue wait at most. One with a target is queued on
    /// time if it is expected to start early enough to meet the target, else behind all calls that
    /// are on time, for the queue wait at most.
    pub(super) fn plan_wait(
        &self,
        now: Mono,
        call: CallId,
        request: &SlotRequest,
        facts: &CallFacts,
    ) -> Option<QueuePlan> {
        let hold = self.hold_times.estimate(facts.criticality, request.route.as_ref());
        if request.target_at == Mono::NEVER {
            let max_wait = request.deadline.since(now).saturating_sub(hold);
            let max_wait = max_wait.min(self.settings.queue_wait);
            let queued = facts.queued(call, now + max_wait, Mono::NEVER);
            let wait = self.wait_behind(self.queue.work_ahead_of(facts.criticality, &queued));
            return (wait <= max_wait).then_some(QueuePlan::OnTime(queued));
        }
        let latest_start = request.deadline - hold;
        let start_by = self.latest_start_for_target(now, request, hold);
        let queued = facts.queued(call, latest_start.min(start_by + START_GRACE), start_by);
        let ahead = self.queue.work_ahead_of(facts.criticality, &queued);
        if now + self.wait_behind(ahead) <= start_by.min(queued.expires_at) {
            return Some(QueuePlan::OnTime(queued));
        }
        let expires_at = latest_start.min(now + self.settings.queue_wait);
        let expected_start = now + self.wait_behind(self.queue.work()).mul_f64(LATE_WAIT_MARGIN);
        let late = QueuedCall { expires_at, ..queued };
        (expected_start <= expires_at).then_some(QueuePlan::Late(late))
    }

    /// Latest start at which a call that holds its slot for `hold` meets its target; without
    /// samples, half of the time until the target is left for running it.
    fn latest_start_for_target(&self, now: Mono, request: &SlotRequest, hold: Duration) -> Mono {
        let scaled_hold = hold.mul_f64(HOLD_TIME_MARGIN);
        let margin = if hold.is_zero() { request.target_at.since(now) / 2 } else { scaled_hold };
        request.target_at - margin
    }

    /// Expected wait of a call if the calls ahead of it hold their slots for this time, added up.
    pub(super) fn wait_behind(&self, work_ahead: Duration) -> Duration {
        let wait = self.next_slot_wait() + work_ahead / self.limit.get().max(1);
        wait.min(MAX_EXPECTED_WAIT)
    }

    /// The slots that the classes above this one leave to it on average, at least one.
    pub(super) fn slots_left_to(&self, now: Mono, criticality: Criticality) -> f64 {
        let (slots_above, _) = self.shares.asked_above(now, criticality);
        (f64::from(self.limit.get()) - slots_above).max(1.0)
    }

    /// Expected time until the next slot is free, if each running call ends at the rate of its
    /// kind, whenever it started.
    pub(super) fn next_slot_wait(&self) -> Duration {
        let limit = self.limit.get().max(1);
        let holds = self.running.values().map(|running| running.facts.hold.as_secs_f64());
        let (mut ends_per_second, mut known) = (0.0, 0.0);
        for hold in holds.filter(|hold| *hold > 0.0) {
            ends_per_second += 1.0 / hold;
            known += 1.0;
        }
        if known == 0.0 {
            return self.hold_times.overall_now() / limit;
        }
        Duration::from_secs_f64(known / ends_per_second / f64::from(limit))
    }

    /// Whether a call of a lower class leaves as many slots free as the classes above it need on
    /// average. A call that holds its slot only briefly by their measure may take any slot.
    pub(super) fn leaves_room_above(
        &self,
        now: Mono,
        priority: QueuePriority,
        hold: Duration,
    ) -> bool {
        let limit = self.limit.get();
        let (slots_above, hold_above) = self.shares.asked_above(now, priority.criticality);
        let wait_above = hold / limit.max(1);
        if slots_above == 0.0 || wait_above * LONG_WAIT_FACTOR < hold_above {
            return true;
        }
        let class = class_index(priority.criticality);
        let running = self
            .running
            .values()
            .filter(|running| class_index(running.facts.criticality) >= class)
            .count();
        running < (limit as usize).saturating_sub(slots_above.round() as usize).max(1)
    }
}
