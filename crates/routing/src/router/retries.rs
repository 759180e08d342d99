//! Retries: what follows an attempt that got no answer, or an answer that is a server error.
//!
//! The result is either another attempt or the refusal for the caller. A call that may have run is
//! tried again only if it is idempotent, except in [`RouterMode::Baseline`].

use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::{Mono, ServiceName};

use crate::call::{
    Attempt, AttemptId, MIN_SERVER_ERROR_STATUS, Next, Outcome, Refusal, ServerSelection,
};
use crate::router::attempts::AttemptPlan;
use crate::router::{ActiveCall, Router, RouterMode, refusals};

/// HTTP status of a server that ran out of time. An answer with it is delivered without a retry.
const GATEWAY_TIMEOUT: u16 = 504;

/// An answer that is a server error is retried only if the time left until the deadline is more
/// than this many times the average time of a call of the route.
const RETRY_TIME_MARGIN: f64 = 1.5;

/// First step of the exponential delay before retries.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(2);

/// Most times that a call is sent on to another server because it would have to wait, so that no call
/// goes round while all servers are full.
const MAX_MOVES: u32 = 2;

/// Longest delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(100);

impl Router {
    /// Starts an attempt at another server after an answer that is a server error, to hide the
    /// errors of servers that fail some of their calls.
    ///
    /// Returns `None` if the answer is to be delivered: for a status that is no server error or is
    /// [`GATEWAY_TIMEOUT`], for calls that are not idempotent, after a failed call that the server
    /// made ([`Router::observe_nested_failure`]), during a move of the service, in
    /// [`RouterMode::Baseline`], while too few calls of the route are measured, where the time
    /// left, the number of attempts or the retry budget does not allow a retry, and where no other
    /// server is left.
    pub(super) fn retry_server_error(
        &mut self,
        now: Mono,
        id: AttemptId,
        status: u16,
    ) -> Option<Attempt> {
        let call = self.calls.get(&id)?;
        let last = &call.attempt;
        if status < MIN_SERVER_ERROR_STATUS || status == GATEWAY_TIMEOUT || !last.idempotent {
            return None;
        }
        if call.nested_failure {
            return None;
        }
        // During a move, a retry would expose more calls to a new version that may be faulty.
        if self.mode == RouterMode::Baseline || self.splits.contains_key(&last.service) {
            return None;
        }
        let retries = self.table.service(&last.service).map(|s| s.retries).unwrap_or_default();
        let allowed = call.route.attempts.unwrap_or(retries.attempts);
        let previous_attempts = last.previous_attempts - call.moves;
        let average = self.route_times.average(&last.route)?;
        let in_time = now + average.mul_f64(RETRY_TIME_MARGIN) < last.deadline;
        if call.reached_attempts + 1 >= allowed || previous_attempts + 1 >= allowed || !in_time {
            return None;
        }
        if !self.budgets.get_mut(&last.service).is_some_and(|budget| budget.try_withdraw(now)) {
            self.counters.retries_refused += 1;
            return None;
        }
        let mut tried = call.tried.clone();
        tried.insert(last.server.clone());
        let plan = AttemptPlan {
            route: Arc::clone(&call.route),
            service: last.service.clone(),
            target_at: last.target_at,
            route_timeout_at: last.route_timeout_at,
            reached_attempts: call.reached_attempts + 1,
            moves: call.moves,
            sent_on_by: None,
            split_point: call.split_point,
            tried,
            idempotent: true,
            deadline: call.deadline,
            previous_attempts: last.previous_attempts + 1,
            crashed_server: last.crashed_server.clone(),
            earlier_run: Some(Outcome::Answered { status }),
            inherited_repeat: call.inherited_repeat,
            nested: call.nested,
            criticality: last.criticality,
            account: last.account.clone(),
            starts_at: now,
        };
        let service = plan.service.clone();
        let Ok(retry) = self.start_attempt(now, plan) else {
            self.put_back_retry(&service);
            return None;
        };
        self.counters.retries += 1;
        self.counters.retries_of_errors += 1;
        if let Some(ended) = self.calls.remove(&id)
            && let Some(server) = self.pool.find_mut(&ended.attempt.server)
        {
            server.end_attempt();
        }
        Some(retry)
    }

    /// Decides what follows an attempt without an answer. If any attempt of the call may have run,
    /// the refusal says that the outcome is unknown, for the reason of the last such attempt.
    pub(super) fn after_unanswered(
        &mut self,
        now: Mono,
        call: ActiveCall,
        outcome: Outcome,
    ) -> Next {
        let earlier_run = call.earlier_run;
        let next = self.retry_or_refuse(now, call, outcome);
        match earlier_run {
            Some(earlier) if outcome.not_run() && matches!(next, Next::Refuse(_)) => {
                Next::Refuse(Refusal::outcome_unknown(earlier))
            }
            _ => next,
        }
    }

    fn retry_or_refuse(&mut self, now: Mono, mut call: ActiveCall, outcome: Outcome) -> Next {
        let last = &call.attempt;
        let not_run = outcome.not_run();
        let baseline = self.mode == RouterMode::Baseline;
        if outcome == Outcome::Cancelled {
            return Next::Refuse(refusals::cancelled());
        }
        let crashed = outcome == Outcome::ServerCrashed;
        // One crash may have any cause. If a second server crashes, the call is the likely one.
        let crashes_servers = crashed && last.crashed_server.is_some() && !baseline;
        if outcome == Outcome::Blocked || crashes_servers {
            return Next::Refuse(refusals::after_attempt(outcome));
        }
        if !not_run && !last.idempotent && !baseline {
            return Next::Refuse(Refusal::outcome_unknown(outcome));
        }
        let refusal = refusals::after_attempt(outcome);
        let moves_on = last.moves_left > 0 && matches!(outcome, Outcome::RefusedByDaemon { .. });
        let previous_attempts = last.previous_attempts - call.moves;
        let delay = match moves_on {
            true => Duration::ZERO,
            false => retry_delay(outcome, previous_attempts),
        };
        if now + delay >= last.deadline {
            return Next::Refuse(refusals::no_time_to_retry(outcome));
        }
        let retries = self.table.service(&last.service).map(|s| s.retries).unwrap_or_default();
        let allowed = call.route.attempts.unwrap_or(retries.attempts);
        let attempts = allowed + self.settings.retries.extra_unsent_attempts;
        if previous_attempts + 1 >= attempts && !moves_on {
            return Next::Refuse(refusal);
        }
        let reached_attempts = call.reached_attempts + u32::from(outcome.reached_server());
        if reached_attempts >= allowed {
            return Next::Refuse(refusal);
        }
        // See [`RetryLimits::extra_unsent_attempts`].
        let draws_on_budget =
            reached_attempts > 0 || self.settings.retries.extra_unsent_attempts == 0;
        let budget = self.budgets.get_mut(&last.service);
        if draws_on_budget && !baseline && !budget.is_some_and(|budget| budget.try_withdraw(now)) {
            self.counters.retries_refused += 1;
            return Next::Refuse(refusal);
        }
        // A call that was sent on may still wait where it would have waited least.
        if !moves_on {
            call.tried.insert(last.server.clone());
        }
        let plan = AttemptPlan {
            reached_attempts,
            moves: call.moves + u32::from(moves_on),
            sent_on_by: moves_on.then(|| last.server.clone()),
            service: last.service.clone(),
            target_at: last.target_at,
            route_timeout_at: last.route_timeout_at,
            deadline: call.deadline,
            idempotent: last.idempotent,
            previous_attempts: last.previous_attempts + 1,
            crashed_server: match crashed {
                true => Some(last.server.clone()),
                false => last.crashed_server.clone(),
            },
            earlier_run: if not_run { call.earlier_run } else { Some(outcome) },
            inherited_repeat: call.inherited_repeat,
            nested: call.nested,
            criticality: last.criticality,
            account: last.account.clone(),
            route: call.route,
            split_point: call.split_point,
            tried: call.tried,
            starts_at: now + delay,
        };
        let service = plan.service.clone();
        match self.start_attempt(now, plan) {
            Ok(attempt) => {
                self.counters.retries += 1;
                Next::Retry(attempt, delay)
            }
            Err(_) => {
                if draws_on_budget && !baseline {
                    self.put_back_retry(&service);
                }
                Next::Refuse(refusal)
            }
        }
    }

    /// How many more times a call may be sent on to another server before it waits. These attempts
    /// draw on no budget and count among no others: only the daemon of a server has seen the call.
    /// A call waits at once where calls are believed to wait at all others.
    pub(super) fn moves_left(&self, plan: &AttemptPlan, selection: &ServerSelection) -> u32 {
        let sends_on = self.settings.retries.extra_unsent_attempts > 0
            && self.mode != RouterMode::Baseline
            && plan.reached_attempts == 0
            && selection.room_elsewhere;
        if sends_on { MAX_MOVES.saturating_sub(plan.moves) } else { 0 }
    }

    /// Puts back a retry that was taken out of the budget although no other server is left.
    fn put_back_retry(&mut self, service: &ServiceName) {
        if let Some(budget) = self.budgets.get_mut(service) {
            budget.put_back();
        }
    }
}

/// The delay before a retry: none if it is the first one and the last attempt was not run, else
/// exponential in the number of attempts.
fn retry_delay(outcome: Outcome, previous_attempts: u32) -> Duration {
    match outcome {
        Outcome::NotConnected if previous_attempts == 0 => Duration::ZERO,
        Outcome::RefusedByDaemon { .. } | Outcome::Shed { .. } if previous_attempts == 0 => {
            Duration::ZERO
        }
        // Bounded against overflow; [`MAX_RETRY_DELAY`] is reached at 6.
        _ => (FIRST_RETRY_DELAY * (1 << previous_attempts.min(6))).min(MAX_RETRY_DELAY),
    }
}
