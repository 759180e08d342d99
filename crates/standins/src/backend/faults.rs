//! Faults of a backend server: what goes wrong, for which calls, from when on.

use std::sync::Arc;
use std::time::Duration;

/// One whole, in parts per million.
const WHOLE_PPM: u32 = 1_000_000;

/// Which calls a fault meets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scope {
    /// Only paths that start with this; all when absent.
    pub path_prefix: Option<Arc<str>>,
    /// Share of those calls, in parts per million.
    pub share_ppm: u32,
    /// Only this long after the server started.
    pub after: Duration,
    /// Only while more calls than this run at the server.
    pub above_in_flight: u32,
}

impl Default for Scope {
    fn default() -> Self {
        Self { path_prefix: None, share_ppm: WHOLE_PPM, after: Duration::ZERO, above_in_flight: 0 }
    }
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultEffect {
    /// The call runs and is answered 500.
    Fail,
    /// The call takes this much longer.
    Slow(Duration),
    /// The call runs, and the connection breaks without an answer.
    Reset,
    /// The call begins to run, and the whole server crashes.
    Crash,
    /// The call runs, and the connection breaks in the middle of the answer.
    Truncate,
    /// The call runs, and the answer goes on until its connection is closed.
    Endless,
    /// The call is not run and answered 503, as a server does that sheds load.
    Shed,
}

/// A fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Which calls it meets.
    pub scope: Scope,
    /// What goes wrong.
    pub effect: FaultEffect,
}

/// The state of a server that scopes look at.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Situation<'a> {
    pub(crate) path: &'a str,
    pub(crate) age: Duration,
    pub(crate) in_flight: u32,
    /// A draw from 0 to below one million.
    pub(crate) draw_ppm: u32,
}

impl Scope {
    /// Whether a call in this situation is met.
    pub(crate) fn meets(&self, situation: Situation<'_>) -> bool {
        if situation.age < self.after || situation.draw_ppm >= self.share_ppm {
            return false;
        }
        if self.above_in_flight > 0 && situation.in_flight <= self.above_in_flight {
            return false;
        }
        let Some(prefix) = &self.path_prefix else {
            return true;
        };
        situation.path.starts_with(prefix.as_ref())
    }
}

/// The first effect that meets the situation.
pub(crate) fn pick(faults: &[Fault], situation: Situation<'_>) -> Option<FaultEffect> {
    for fault in faults {
        if fault.scope.meets(situation) {
            return Some(fault.effect);
        }
    }
    None
}
