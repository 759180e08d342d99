//! Calls at the daemon that a caller reached.

use std::time::Duration;

use cyclamen_moves::{CallSample, MoveStatus};
use cyclamen_routing::{Attempt, CallHead, Next, Outcome, Refusal, RouterMode, ServerLoad};
use cyclamen_types::{MoveName, Now, ServerName};

use crate::event::Effects;
use crate::instance::Instance;

/// Lowest status that is the backend server's own fault.
const SERVER_FAULT: u16 = 500;

/// How an attempt ended, with what the evidence needs.
#[derive(Clone, Copy, Debug)]
pub struct Finished {
    /// How it ended.
    pub outcome: Outcome,
    /// From the choice of the server to the head of the answer, or to the failure.
    pub latency: Duration,
    /// Whether a connection had to be opened for it.
    pub cold: bool,
}

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// All of it was passed on.
    Whole,
    /// It broke off at the server's side.
    Truncated,
    /// The caller went away before its end.
    Cancelled,
}

impl Instance {
    /// Begins a call at the daemon that the caller reached.
    ///
    /// # Errors
    /// The refusal to tell the caller; nothing was run.
    pub fn begin(&mut self, now: Now, head: &CallHead<'_>) -> Result<Attempt, Refusal> {
        self.router.begin(now, head)
    }

    /// Ends an attempt: the router learns from it, and so does the evidence of a move.
    pub fn finish(
        &mut self,
        now: Now,
        attempt: &Attempt,
        finished: Finished,
        out: &mut Effects,
    ) -> Next {
        if let Some(failed) = convicts(finished.outcome) {
            let sample = sample(attempt, failed, finished.latency, finished.cold);
            self.moves.record(now, &sample, &mut self.moves_out);
        }
        let next = self.router.finish(now, attempt.id, finished.outcome);
        if !self.moves_out.is_empty() {
            self.settle(now, out);
        }
        next
    }

    /// Ends the body of an answer that was passed on. A body that broke off at the server's side
    /// counts as a failure of its version.
    pub fn end_body(&mut self, now: Now, attempt: &Attempt, end: BodyEnd, out: &mut Effects) {
        self.router.end_body(now, attempt.id, end != BodyEnd::Truncated);
        if end != BodyEnd::Truncated {
            return;
        }
        let sample = sample(attempt, true, Duration::ZERO, false);
        self.moves.record(now, &sample, &mut self.moves_out);
        if !self.moves_out.is_empty() {
            self.settle(now, out);
        }
    }

    /// Learns from the load that the daemon beside a backend server reported.
    pub fn observe_load(&mut self, now: Now, server: &ServerName, load: ServerLoad) {
        self.router.observe_load(now, server, load);
    }

    /// Changes how calls are decided; for measurements.
    pub fn set_router_mode(&mut self, mode: RouterMode) {
        self.router.set_mode(mode);
    }

    /// One move as an operator reads it.
    pub fn move_status(&self, name: &MoveName) -> Option<MoveStatus> {
        self.moves.status(name)
    }
}

/// What the evidence reads of an attempt.
fn sample(attempt: &Attempt, failed: bool, latency: Duration, cold: bool) -> CallSample<'_> {
    CallSample {
        route: &attempt.route,
        service: &attempt.service,
        version: &attempt.version,
        server: &attempt.server,
        failed,
        latency,
        cold,
    }
}

/// Whether an outcome says something about a version: `Some(true)` for a failure.
fn convicts(outcome: Outcome) -> Option<bool> {
    match outcome {
        Outcome::Answered { status } => Some(status >= SERVER_FAULT),
        Outcome::Reset | Outcome::TimedOut | Outcome::Truncated => Some(true),
        Outcome::NotRun { .. } | Outcome::NotConnected | Outcome::Cancelled => None,
    }
}
