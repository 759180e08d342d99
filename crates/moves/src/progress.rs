//! Progress of a move from state to state, as the clock, the orders and the evidence allow.

use std::time::Duration;

use cyclamen_declarations::{ClashRule, OrderAction};
use cyclamen_types::Now;

use crate::active_move::{ActiveMove, AnnouncedSlots, StageBlocker};
use crate::check::{ClearedBy, RECURRENCES_FOR_ROLLBACK};
use crate::findings;
use crate::move_chart::MoveEvent;
use crate::stages::{self, LAST_STAGE};
use crate::status::MovePhase;

/// Time after which the evidence is evaluated again if it was inconclusive.
const INCONCLUSIVE_RETRY_PERIOD: Duration = Duration::from_secs(1);

impl ActiveMove {
    /// Stores the announced slots, applies the transitions that are due and updates the lateness.
    /// Enters at most one further stage.
    pub(crate) fn advance(&mut self, now: Now, slots: AnnouncedSlots) {
        self.announced_slots = Some(slots);
        let paused = self.is_ordered_to_pause();
        match self.state() {
            MovePhase::Scheduled if !paused => self.start(now),
            MovePhase::Moving if paused => {
                self.fire(MoveEvent::Pause);
            }
            MovePhase::Moving => self.try_next_stage(now),
            MovePhase::Paused if !paused => {
                self.fire(MoveEvent::Resume);
            }
            MovePhase::Checking => self.try_end_check(now),
            MovePhase::Watched if now.mono >= self.watch_ends => {
                self.fire(MoveEvent::WatchOver);
            }
            _ => {}
        }
        self.update_lateness(now);
    }

    fn start(&mut self, now: Now) {
        if now.wall < self.declared.start {
            return;
        }
        self.fire(MoveEvent::Start);
        self.mark_share_change(now);
    }

    /// Enters the next stage if the minimum time at the present one has passed and nothing
    /// blocks it.
    fn try_next_stage(&mut self, now: Now) {
        if self.stage == LAST_STAGE {
            self.try_enter_watch(now);
            return;
        }
        let min_dwell_passed =
            now.mono.since(self.stage_entered) >= stages::min_dwell(&self.declared);
        if !min_dwell_passed || now.mono < self.next_stage_check {
            return;
        }
        if let Some(blocker) = self.stage_blocker(now) {
            self.blocker = blocker;
            return;
        }
        self.mark_share_change(now);
        self.stage += 1;
        self.try_enter_watch(now);
    }

    /// What keeps the move from its next stage, if anything.
    fn stage_blocker(&mut self, now: Now) -> Option<StageBlocker> {
        let hasten = self.order == Some(OrderAction::Hasten);
        if !hasten && now.wall < stages::entry_time(&self.declared, self.stage + 1) {
            return Some(StageBlocker::Schedule);
        }
        if self.capacity_share_ppm() <= stages::stage_spec(&self.declared, self.stage).share_ppm {
            return Some(StageBlocker::Capacity);
        }
        let seen = self.evidence.new_calls_from(self.stage);
        let wanted = stages::stage_spec(&self.declared, self.stage).calls;
        if seen < wanted && !self.deadline_waives_min_calls(now) {
            return Some(StageBlocker::Calls { seen, wanted });
        }
        if !findings::allows_next_stage(&mut self.evidence) {
            self.next_stage_check = now.mono + INCONCLUSIVE_RETRY_PERIOD;
            return Some(StageBlocker::Inconclusive);
        }
        None
    }

    /// Enters the watch if the move is at the last stage and the announced slots serve all
    /// calls. The end of the watch is set the first time.
    fn try_enter_watch(&mut self, now: Now) {
        if self.stage < LAST_STAGE {
            return;
        }
        if self.capacity_share_ppm() < stages::FULL_SHARE_PPM {
            self.blocker = StageBlocker::Capacity;
            return;
        }
        if !self.fire(MoveEvent::ReachedFullShare) || self.full_share_reached {
            return;
        }
        self.full_share_reached = true;
        self.late = now.wall > self.declared.deadline;
        let until_deadline = self.declared.deadline.since(now.wall);
        self.watch_ends = now.mono + until_deadline + self.declared.watch;
    }

    /// Ends the check if the suspicion is cleared. A suspicion that recurs too often keeps the
    /// check open; [`ActiveMove::evaluate`] then rolls back.
    fn try_end_check(&mut self, now: Now) {
        let Some(check) = &self.check else {
            return;
        };
        if now.mono.since(self.stage_entered)
            < check.min_duration(stages::min_dwell(&self.declared))
        {
            return;
        }
        let Some(cleared) = check.cleared(&self.evidence) else {
            return;
        };
        if cleared == ClearedBy::NoTrouble && findings::persists(&self.evidence, &check.finding) {
            self.recurrences += 1;
        }
        if self.recurrences >= RECURRENCES_FOR_ROLLBACK {
            return;
        }
        self.fire(MoveEvent::Cleared);
        // The watch is extended by the duration of the check.
        self.watch_ends = self.watch_ends + now.mono.since(self.stage_entered);
        self.mark_share_change(now);
        self.check = None;
        self.try_enter_watch(now);
    }

    /// Whether the minimum number of calls is waived: the declaration ranks the deadline above the
    /// evidence, and no time is left to wait for calls. Inconclusive evidence blocks the next
    /// stage all the same.
    fn deadline_waives_min_calls(&self, now: Now) -> bool {
        let remaining = stages::min_remaining_time(&self.declared, self.stage);
        self.declared.clash == ClashRule::Deadline && now.wall + remaining >= self.declared.deadline
    }

    /// Updates whether the deadline was missed or can no longer be met, and why.
    fn update_lateness(&mut self, now: Now) {
        if self.full_share_reached || self.state() == MovePhase::TakenBack {
            return;
        }
        let remaining = stages::min_remaining_time(&self.declared, self.stage);
        self.late = now.wall + remaining > self.declared.deadline;
        if self.late && self.state() == MovePhase::Moving {
            self.late_cause = Some(self.blocker);
        }
    }
}
