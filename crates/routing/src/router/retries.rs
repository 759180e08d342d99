//! What follows an attempt that brought no answer, or a server's failure: another attempt, or what
//! the caller is told.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::Mono;

use crate::call::{Attempt, AttemptId, Next, Outcome, SERVER_FAULT_STATUS};
use crate::router::{Call, Router, RouterMode, Start, refusals};

/// The status of a server that ran out of time.
const GATEWAY_TIMEOUT: u16 = 504;

/// How many times the usual time of a call has to be left for it to be asked of another server.
const REPEAT_MARGIN: f64 = 1.5;

/// First pause before a retry that does not name one.
const RETRY_PAUSE: Duration = Duration::from_millis(2);

/// Longest pause before a retry.
const LONGEST_PAUSE: Duration = Duration::from_millis(100);

impl Router {
    /// Asks another server where one failed an idempotent call, while time, attempts and the budget
    /// of retries allow it. This answers the load of servers that fail a part of their calls.
    pub(super) fn repeat_failed(
        &mut self,
        now: Mono,
        id: AttemptId,
        status: u16,
    ) -> Option<Attempt> {
        let call = self.calls.get(&id)?;
        let last = &call.attempt;
        if status < SERVER_FAULT_STATUS || status == GATEWAY_TIMEOUT || !last.idempotent {
            return None;
        }
        // While a service moves, a repeat would show a bad version to more calls.
        if self.mode == RouterMode::Baseline || self.splits.contains_key(&last.service) {
            return None;
        }
        let retries = self.table.service(&last.service).map(|s| s.retries).unwrap_or_default();
        let allowed = call.route.attempts.unwrap_or(retries.attempts);
        let usual = self.usual.of(&last.route)?;
        let in_time = now + usual.mul_f64(REPEAT_MARGIN) < last.deadline;
        if call.arrived + 1 >= allowed || last.earlier + 1 >= allowed || !in_time {
            return None;
        }
        if !self.budgets.get_mut(&last.service).is_some_and(|budget| budget.withdraw(now)) {
            self.counters.retries_refused += 1;
            return None;
        }
        let mut tried = call.tried.clone();
        tried.insert(last.server.clone());
        let start = Start {
            route: Arc::clone(&call.route),
            service: last.service.clone(),
            aim: last.aim,
            timeout_at: last.timeout_at,
            arrived: call.arrived + 1,
            draw: call.draw,
            tried,
            idempotent: true,
            deadline: last.deadline,
            earlier: last.earlier + 1,
            may_have_run: true,
        };
        let again = self.attempt(now, start).ok()?;
        self.counters.retries += 1;
        if let Some(ended) = self.calls.remove(&id)
            && let Some(server) = self.pool.find_mut(&ended.attempt.server)
        {
            server.ended();
        }
        Some(again)
    }

    /// What follows an attempt that brought no answer. A call of which any attempt may have run
    /// is not refused as not run.
    pub(super) fn follow(&mut self, now: Mono, call: Call, outcome: Outcome) -> Next {
        let earlier_may_have_run = call.may_have_run;
        match self.retry_or_refuse(now, call, outcome) {
            Next::Refuse(_) if earlier_may_have_run => Next::Refuse(refusals::unknown(outcome)),
            next => next,
        }
    }

    fn retry_or_refuse(&mut self, now: Mono, mut call: Call, outcome: Outcome) -> Next {
        let last = &call.attempt;
        let not_run = outcome.not_run();
        let baseline = self.mode == RouterMode::Baseline;
        if outcome == Outcome::Cancelled {
            return Next::Refuse(refusals::cancelled());
        }
        if !not_run && !last.idempotent && !baseline {
            return Next::Refuse(refusals::unknown(outcome));
        }
        let refusal = refusals::after(outcome);
        let pause = pause(outcome, last.earlier);
        if now + pause >= last.deadline {
            return Next::Refuse(refusals::after_deadline(outcome));
        }
        let retries = self.table.service(&last.service).map(|s| s.retries).unwrap_or_default();
        let allowed = call.route.attempts.unwrap_or(retries.attempts);
        if last.earlier + 1 >= allowed + self.settings.retries.unsent_beyond_attempts {
            return Next::Refuse(refusal);
        }
        let arrived = call.arrived + u32::from(outcome.reached_server());
        if arrived >= allowed {
            return Next::Refuse(refusal);
        }
        let draws = arrived > 0 || self.settings.retries.unsent_beyond_attempts == 0;
        let budget = self.budgets.get_mut(&last.service);
        if draws && !baseline && !budget.is_some_and(|budget| budget.withdraw(now)) {
            self.counters.retries_refused += 1;
            return Next::Refuse(refusal);
        }
        call.tried.insert(last.server.clone());
        let start = Start {
            arrived,
            service: last.service.clone(),
            aim: last.aim,
            timeout_at: last.timeout_at,
            deadline: last.deadline,
            idempotent: last.idempotent,
            earlier: last.earlier + 1,
            may_have_run: call.may_have_run || !not_run,
            route: call.route,
            draw: call.draw,
            tried: call.tried,
        };
        match self.attempt(now, start) {
            Ok(attempt) => {
                self.counters.retries += 1;
                Next::Retry(attempt, pause)
            }
            Err(_) => Next::Refuse(refusal),
        }
    }
}

/// The pause before a retry: none before another server that is not full.
fn pause(outcome: Outcome, earlier: u32) -> Duration {
    match outcome {
        Outcome::NotConnected if earlier == 0 => Duration::ZERO,
        Outcome::NotRun { .. } | Outcome::Shed { .. } if earlier == 0 => Duration::ZERO,
        _ => (RETRY_PAUSE * (1 << earlier.min(6))).min(LONGEST_PAUSE),
    }
}
