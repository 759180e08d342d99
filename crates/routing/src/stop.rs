//! Which calls a daemon takes while it stops.
//!
//! A daemon that is ordered to stop ends at a fixed time. A call that is under way then loses its
//! answer, and one that may run once cannot be sent again. So a call is taken only if it can be
//! expected to be answered before, and its server is told to have ended it by then.

use std::time::Duration;

use cyclamen_types::Mono;

/// Time that an answer may take from its server to the caller.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// A call rarely takes more than this many times the average.
const RARELY_EXCEEDED_FACTOR: u32 = 3;

/// Shortest retry hint.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// The times of a daemon that stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    /// Until when callers may not know that the daemon stops, and still turn to it.
    pub callers_leave_by: Mono,
    /// When the calls that are still under way are given up.
    pub calls_end: Mono,
}

/// What becomes of an attempt that a stopping daemon could make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopDecision {
    /// It is made, with this deadline, which is no later than the call's own.
    Make(Mono),
    /// It is not made, since the call would probably get no answer. Whoever sends the call again is
    /// expected to reach another daemon after this time.
    Refuse(Duration),
}

impl StopTimes {
    /// Decides on an attempt that begins at `now`, of a call that is given up at `deadline` and takes
    /// `average` as a rule, as far as that is known.
    pub fn decide(&self, now: Mono, deadline: Mono, average: Option<Duration>) -> StopDecision {
        let latest = self.calls_end - ANSWER_TIME;
        if deadline <= latest {
            return StopDecision::Make(deadline);
        }
        match average {
            Some(average) if now + average * RARELY_EXCEEDED_FACTOR <= latest => {
                StopDecision::Make(latest)
            }
            _ => StopDecision::Refuse(self.callers_leave_by.since(now).max(MIN_RETRY_AFTER)),
        }
    }
}
