//! The course of a move: what the clock, the orders and the evidence allow next.

use std::time::Duration;

use cyclamen_declarations::{ClashRule, OrderAction};
use cyclamen_types::Now;

use crate::active::{ActiveMove, AnnouncedSlots, Wait};
use crate::check::{Cleared, RECURRENCES};
use crate::findings;
use crate::ladder::{self, LAST_STAGE};
use crate::move_chart::MoveEvent;
use crate::status::MoveStage;

/// Time between two looks at evidence that holds a stage.
const DOUBT_PERIOD: Duration = Duration::from_secs(1);

impl ActiveMove {
    /// Fires what is allowed now; at most one stage at a time.
    pub(crate) fn advance(&mut self, now: Now, slots: AnnouncedSlots) {
        self.slots = Some(slots);
        let paused = self.order == Some(OrderAction::Pause);
        match self.at() {
            MoveStage::Scheduled if !paused => self.start(now),
            MoveStage::Moving if paused => {
                self.fire(MoveEvent::Pause);
            }
            MoveStage::Moving => self.climb(now),
            MoveStage::Paused if !paused => {
                self.fire(MoveEvent::Resume);
            }
            MoveStage::Checking => self.end_check(now),
            MoveStage::Watched if now.mono >= self.watch_ends => {
                self.fire(MoveEvent::WatchOver);
            }
            _ => {}
        }
        self.note_lateness(now);
    }

    fn start(&mut self, now: Now) {
        if now.wall < self.declared.start {
            return;
        }
        self.fire(MoveEvent::Start);
        self.enter(now);
    }

    fn climb(&mut self, now: Now) {
        if self.stage == LAST_STAGE {
            self.arrive(now);
            return;
        }
        let dwelt = now.mono.since(self.entered) >= ladder::dwell(&self.declared);
        if !dwelt || now.mono < self.next_climb {
            return;
        }
        if let Some(wait) = self.obstacle(now) {
            self.wait = wait;
            return;
        }
        self.enter(now);
        self.stage += 1;
        self.arrive(now);
    }

    /// What keeps the move at its stage.
    fn obstacle(&mut self, now: Now) -> Option<Wait> {
        let hasten = self.order == Some(OrderAction::Hasten);
        if !hasten && now.wall < ladder::entry(&self.declared, self.stage + 1) {
            return Some(Wait::Schedule);
        }
        if self.carried_ppm() <= ladder::rung(&self.declared, self.stage).share_ppm {
            return Some(Wait::Slots);
        }
        let seen = self.evidence.new_calls_from(self.stage);
        let wanted = ladder::rung(&self.declared, self.stage).calls;
        if seen < wanted && !self.deadline_wins(now) {
            return Some(Wait::Calls { seen, wanted });
        }
        if !findings::clean(&mut self.evidence) {
            self.next_climb = now.mono + DOUBT_PERIOD;
            return Some(Wait::Doubt);
        }
        None
    }

    fn arrive(&mut self, now: Now) {
        if self.stage < LAST_STAGE {
            return;
        }
        if self.carried_ppm() < ladder::WHOLE_PPM {
            self.wait = Wait::Slots;
            return;
        }
        if !self.fire(MoveEvent::Arrived) || self.arrived_once {
            return;
        }
        self.arrived_once = true;
        self.late = now.wall > self.declared.deadline;
        let until_deadline = self.declared.deadline.since(now.wall);
        self.watch_ends = now.mono + until_deadline + self.declared.watch;
    }

    fn end_check(&mut self, now: Now) {
        let Some(check) = &self.check else {
            return;
        };
        if now.mono.since(self.entered) < check.shortest(ladder::dwell(&self.declared)) {
            return;
        }
        let Some(cleared) = check.cleared(&self.evidence) else {
            return;
        };
        if cleared == Cleared::Unexplained && findings::lasting(&self.evidence, &check.finding) {
            self.recurrences += 1;
        }
        if self.recurrences >= RECURRENCES {
            return;
        }
        self.fire(MoveEvent::Cleared);
        self.watch_ends = self.watch_ends + now.mono.since(self.entered);
        self.enter(now);
        self.check = None;
        self.arrive(now);
    }

    fn deadline_wins(&self, now: Now) -> bool {
        let rest = ladder::shortest_rest(&self.declared, self.stage);
        self.declared.clash == ClashRule::Deadline && now.wall + rest >= self.declared.deadline
    }

    /// Notes whether the deadline was missed, or cannot be met any more, and why.
    fn note_lateness(&mut self, now: Now) {
        if self.arrived_once || self.at() == MoveStage::TakenBack {
            return;
        }
        let rest = ladder::shortest_rest(&self.declared, self.stage);
        self.late = now.wall + rest > self.declared.deadline;
        if self.late && self.at() == MoveStage::Moving {
            self.late_because = Some(self.wait);
        }
    }
}
