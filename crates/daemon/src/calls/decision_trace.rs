//! Traces of the decisions about single calls. They are collected while a call runs; its end
//! decides whether they are written to the decision log.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_decisions::{AttemptEnd, CallDecision, CallEnd, LineKind, SlotAnswer};
use cyclamen_routing::{Attempt, Outcome, Refusal, RefusalKind, ServerLoad};
use cyclamen_types::{Mono, ServerName, Wall};
use http::{HeaderMap, StatusCode};

use crate::calls::context::CallContext;

/// A call that takes at least this long is always written, even if it succeeded.
const SLOW_CALL: Duration = Duration::from_secs(1);

/// The decisions about one call at one daemon. Dropping it before it is finished records the call
/// as cancelled: the client disconnected, or the call was rejected because of its body.
pub(super) struct DecisionTrace {
    ctx: CallContext,
    call: Arc<str>,
    began: Mono,
    /// Each with the time of the decision.
    decisions: Vec<(Wall, CallDecision)>,
    sampled: bool,
    finished: bool,
}

impl DecisionTrace {
    /// Starts the trace of a call with these headers; `None` if there is no decision log or no
    /// request id.
    pub(super) fn start(ctx: &CallContext, headers: &HeaderMap) -> Option<Self> {
        let log = ctx.decision_log.as_ref()?;
        let id = headers.get(&ctx.headers.request_id)?;
        Some(Self {
            ctx: ctx.clone(),
            call: String::from_utf8_lossy(id.as_bytes()).into(),
            began: ctx.mono_now(),
            decisions: Vec::new(),
            sampled: log.is_sampled(id.as_bytes()),
            finished: false,
        })
    }

    /// Records that a backend server was chosen.
    pub(super) fn record_placed(&mut self, attempt: &Attempt) {
        let selection = &attempt.selection;
        self.push(CallDecision::Placed {
            attempt: attempt.previous_attempts + 1,
            route: attempt.route.as_str().into(),
            config: attempt.config.0,
            service: attempt.service.as_str().into(),
            version: attempt.version.as_str().into(),
            server: attempt.server.as_str().into(),
            load: selection.load,
            expected_ms: rounded_millis(selection.expected),
            told_ms_ago: selection.report_age.map(whole_millis),
            runner_up: selection.runner_up.as_ref().map(|name| name.as_str().into()),
            left_ms: whole_millis(self.ctx.time_left(attempt.deadline)),
        });
    }

    /// Records the end of an attempt.
    pub(super) fn record_attempt(
        &mut self,
        number: u32,
        server: &ServerName,
        outcome: Outcome,
        began: Mono,
    ) {
        let took_ms = self.since(began);
        let server = server.as_str().into();
        let end = attempt_end(outcome);
        self.push(CallDecision::Attempted { attempt: number, server, end, took_ms });
    }

    /// Records the answer to the request for a slot, at the daemon that hosts the server.
    pub(super) fn record_slot(
        &mut self,
        server: &ServerName,
        answer: SlotAnswer,
        load: ServerLoad,
        deadline: Mono,
    ) {
        let ServerLoad { running, waiting, limit, .. } = load;
        let server = server.as_str().into();
        let left_ms = whole_millis(self.ctx.time_left(deadline));
        let slot = CallDecision::Slot { server, answer, running, waiting, limit, left_ms };
        self.push(slot);
    }

    /// Ends the trace of a call at the daemon that hosts the server, whether it ran or got no slot.
    /// `began` is when the slot was granted or refused.
    pub(super) fn finish_inbound(mut self, server: &ServerName, end: AttemptEnd, began: Mono) {
        let took_ms = self.since(began);
        self.push(CallDecision::Ran { server: server.as_str().into(), end, took_ms });
        let success = matches!(end, AttemptEnd::Answered(status) if status < 500);
        self.write_if_due(success);
    }

    /// Ends the trace of a call whose caller gets a backend server's response.
    pub(super) fn finish_answered(self, status: StatusCode) {
        let success = !status.is_server_error();
        self.end(CallEnd::Answered, status, None, None, success);
    }

    /// Ends the trace of a call that is refused.
    pub(super) fn finish_refused(self, refusal: &Refusal, status: StatusCode) {
        let end = call_end(refusal.kind);
        let retry_after_ms = refusal.retry_after.map(whole_millis);
        self.end(end, status, Some(Arc::clone(&refusal.reason)), retry_after_ms, false);
    }

    fn end(
        mut self,
        end: CallEnd,
        status: StatusCode,
        reason: Option<Arc<str>>,
        retry_after_ms: Option<u64>,
        success: bool,
    ) {
        let took_ms = self.since(self.began);
        let status = status.as_u16();
        self.push(CallDecision::Ended {
            end,
            status,
            reason,
            come_back_ms: retry_after_ms,
            took_ms,
        });
        self.write_if_due(success);
    }

    fn write_if_due(&mut self, success: bool) {
        self.finished = true;
        let slow = self.ctx.mono_now().since(self.began) >= SLOW_CALL;
        let retried = self.attempts() > 1;
        // Slow and retried calls are written like failures, whether or not they are sampled.
        let kind = match success && !slow && !retried {
            true => LineKind::Sample,
            false => LineKind::Failure,
        };
        if kind == LineKind::Sample && !self.sampled {
            return;
        }
        let Some(log) = &self.ctx.decision_log else {
            return;
        };
        log.write_call(self.ctx.mono_now(), kind, &self.call, std::mem::take(&mut self.decisions));
    }

    fn push(&mut self, decision: CallDecision) {
        self.decisions.push((self.ctx.wall_now(), decision));
    }

    fn attempts(&self) -> usize {
        let placed =
            |(_, decision): &&(Wall, CallDecision)| matches!(decision, CallDecision::Placed { .. });
        self.decisions.iter().filter(placed).count()
    }

    fn since(&self, began: Mono) -> f64 {
        rounded_millis(self.ctx.mono_now().since(began))
    }
}

impl Drop for DecisionTrace {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let took_ms = self.since(self.began);
        // The attempt in progress, if any, is the last one placed; its `Placed` decision names the
        // server. The trace of an inbound call has no placed attempt, so its number is 0.
        let end = AttemptEnd::Cancelled;
        let attempt = u32::try_from(self.attempts()).unwrap_or(u32::MAX);
        let server = "".into();
        self.push(CallDecision::Attempted { attempt, server, end, took_ms });
        self.write_if_due(false);
    }
}

/// The end of a call refused with this kind, as logs and metrics name it.
pub(super) fn call_end(kind: RefusalKind) -> CallEnd {
    match kind {
        RefusalKind::NoRoute => CallEnd::NoRoute,
        RefusalKind::NoAccount => CallEnd::NoAccount,
        RefusalKind::OverAllowance => CallEnd::OverAllowance,
        RefusalKind::OutcomeUnknown => CallEnd::Unknown,
        RefusalKind::Unavailable
        | RefusalKind::Overloaded
        | RefusalKind::Expired
        | RefusalKind::Blocked => CallEnd::Refused,
    }
}

/// The end of an attempt with this outcome, as logs and metrics name it.
pub(super) fn attempt_end(outcome: Outcome) -> AttemptEnd {
    match outcome {
        Outcome::Answered { status } => AttemptEnd::Answered(status),
        Outcome::RefusedByDaemon { .. } => AttemptEnd::NoSlot,
        Outcome::Shed { .. } => AttemptEnd::Shed,
        Outcome::Blocked => AttemptEnd::Blocked,
        Outcome::NotConnected => AttemptEnd::NotConnected,
        Outcome::Reset | Outcome::Truncated => AttemptEnd::Broken,
        Outcome::ServerCrashed => AttemptEnd::Crashed,
        Outcome::TimedOut => AttemptEnd::TimedOut,
        Outcome::Cancelled => AttemptEnd::Cancelled,
    }
}

/// A duration in milliseconds, with one decimal.
pub(super) fn rounded_millis(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e4).round() / 10.0
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
