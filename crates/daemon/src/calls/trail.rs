//! The decisions about one call, gathered until its end tells whether they are written.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_decisions::{AttemptEnd, CallDecision, CallEnd, LineKind, SlotAnswer};
use cyclamen_routing::{Attempt, Outcome, Refusal, RefusalKind, ServerLoad};
use cyclamen_types::{Mono, ServerName, Wall};
use http::{HeaderMap, StatusCode};

use crate::calls::plane::Plane;

/// A call that takes longer is written though it went well.
const SLOW: Duration = Duration::from_secs(1);

/// The decisions about one call at one daemon. Dropped before its end, the caller has left.
pub(super) struct Trail {
    plane: Plane,
    call: Arc<str>,
    began: Mono,
    /// Each with the time at which it was made.
    decisions: Vec<(Wall, CallDecision)>,
    sampled: bool,
    ended: bool,
}

impl Trail {
    /// The trail of a call with these headers; `None` where no lines are written.
    pub(super) fn of(plane: &Plane, headers: &HeaderMap) -> Option<Self> {
        let lines = plane.lines.as_ref()?;
        let id = headers.get(&plane.headers.request_id)?;
        Some(Self {
            plane: plane.clone(),
            call: String::from_utf8_lossy(id.as_bytes()).into(),
            began: plane.mono(),
            decisions: Vec::new(),
            sampled: lines.samples(id.as_bytes()),
            ended: false,
        })
    }

    /// A backend server was chosen.
    pub(super) fn placed(&mut self, attempt: &Attempt) {
        let choice = &attempt.choice;
        self.push(CallDecision::Placed {
            attempt: attempt.earlier + 1,
            route: attempt.route.as_str().into(),
            config: attempt.config.0,
            service: attempt.service.as_str().into(),
            version: attempt.version.as_str().into(),
            server: attempt.server.as_str().into(),
            load: choice.load,
            expected_ms: millis(choice.expected),
            told_ms_ago: choice.told_ago.map(whole_millis),
            runner_up: choice.runner_up.as_ref().map(|name| name.as_str().into()),
            left_ms: whole_millis(self.plane.left(attempt.deadline)),
        });
    }

    /// An attempt ended.
    pub(super) fn attempted(
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

    /// The daemon beside a server answered whether the call gets a slot.
    pub(super) fn slot(
        &mut self,
        server: &ServerName,
        answer: SlotAnswer,
        load: ServerLoad,
        deadline: Mono,
    ) {
        let ServerLoad { running, waiting, limit, .. } = load;
        let server = server.as_str().into();
        let left_ms = whole_millis(self.plane.left(deadline));
        let slot = CallDecision::Slot { server, answer, running, waiting, limit, left_ms };
        self.push(slot);
    }

    /// The call ended at the server beside this daemon, or got no slot there.
    pub(super) fn ran(mut self, server: &ServerName, end: AttemptEnd, began: Mono) {
        let took_ms = self.since(began);
        self.push(CallDecision::Ran { server: server.as_str().into(), end, took_ms });
        let good = matches!(end, AttemptEnd::Answered(status) if status < 500);
        self.write(good);
    }

    /// The caller is told a backend server's answer.
    pub(super) fn answered(self, status: StatusCode) {
        let good = !status.is_server_error();
        self.end(CallEnd::Answered, status, None, None, good);
    }

    /// The caller is told that there is none.
    pub(super) fn refused(self, refusal: &Refusal, status: StatusCode) {
        let end = call_end(refusal.kind);
        let come_back = refusal.retry_after.map(whole_millis);
        self.end(end, status, Some(Arc::clone(&refusal.reason)), come_back, false);
    }

    fn end(
        mut self,
        end: CallEnd,
        status: StatusCode,
        reason: Option<Arc<str>>,
        come_back_ms: Option<u64>,
        good: bool,
    ) {
        let took_ms = self.since(self.began);
        let status = status.as_u16();
        self.push(CallDecision::Ended { end, status, reason, come_back_ms, took_ms });
        self.write(good);
    }

    fn write(&mut self, good: bool) {
        self.ended = true;
        let slow = self.plane.mono().since(self.began) >= SLOW;
        let retried = self.attempts() > 1;
        let kind = match good && !slow && !retried {
            true => LineKind::Sample,
            false => LineKind::Failure,
        };
        if kind == LineKind::Sample && !self.sampled {
            return;
        }
        let Some(lines) = &self.plane.lines else {
            return;
        };
        lines.call(self.plane.mono(), kind, &self.call, std::mem::take(&mut self.decisions));
    }

    fn push(&mut self, decision: CallDecision) {
        self.decisions.push((self.plane.wall(), decision));
    }

    fn attempts(&self) -> usize {
        let placed =
            |(_, decision): &&(Wall, CallDecision)| matches!(decision, CallDecision::Placed { .. });
        self.decisions.iter().filter(placed).count()
    }

    fn since(&self, began: Mono) -> f64 {
        millis(self.plane.mono().since(began))
    }
}

impl Drop for Trail {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let took_ms = self.since(self.began);
        let end = AttemptEnd::Cancelled;
        let attempt = u32::try_from(self.attempts()).unwrap_or(u32::MAX);
        let server = "".into();
        self.push(CallDecision::Attempted { attempt, server, end, took_ms });
        self.write(false);
    }
}

/// How a call ended that was refused in this way.
pub(super) fn call_end(kind: RefusalKind) -> CallEnd {
    match kind {
        RefusalKind::NoRoute => CallEnd::NoRoute,
        RefusalKind::OutcomeUnknown => CallEnd::Unknown,
        RefusalKind::Unavailable | RefusalKind::Overloaded | RefusalKind::Expired => {
            CallEnd::Refused
        }
    }
}

/// How an attempt ended, as lines tell it.
pub(super) fn attempt_end(outcome: Outcome) -> AttemptEnd {
    match outcome {
        Outcome::Answered { status } => AttemptEnd::Answered(status),
        Outcome::NotRun { .. } => AttemptEnd::NoSlot,
        Outcome::Shed { .. } => AttemptEnd::Shed,
        Outcome::NotConnected => AttemptEnd::NotConnected,
        Outcome::Reset | Outcome::Truncated => AttemptEnd::Broken,
        Outcome::TimedOut => AttemptEnd::TimedOut,
        Outcome::Cancelled => AttemptEnd::Cancelled,
    }
}

fn millis(span: Duration) -> f64 {
    (span.as_secs_f64() * 1e4).round() / 10.0
}

fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
