//! When a daemon that stops does what. All times count from the order to stop, so that the daemon
//! has ended in time however long a step takes.

use std::time::Duration;

use cyclamen_types::Mono;
use cyclamenmoor::StopTimes;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::settings::LimitSettings;

/// Upper bound on the drain period at shutdown if `stop_linger` is not set; the other bound is a
/// quarter of `stop_grace`. Connections stay open for it so that each can carry one more response,
/// which tells the caller to close.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time for the last gossip, the administration API and the end of the process, before
/// `stop_within` is over.
const END_RESERVE: Duration = Duration::from_millis(200);

/// Time for the last answers to be written, after calls are given up and before connections are
/// closed.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);

/// The times of a stop, after the order to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopSchedule {
    /// When the listeners close. Until then callers may not know of the stop.
    pub(crate) listeners_close: Duration,
    /// When the calls that are still under way are given up.
    pub(crate) calls_end: Duration,
    /// When the connections that are still open are closed.
    pub(crate) connections_close: Duration,
}

impl StopSchedule {
    /// The times of a stop that is ordered at `now`, for the decisions about calls.
    pub(crate) fn times(&self, now: Mono) -> StopTimes {
        StopTimes { callers_leave_by: now + self.listeners_close, calls_end: now + self.calls_end }
    }
}

impl From<&LimitSettings> for StopSchedule {
    fn from(limits: &LimitSettings) -> Self {
        let linger = limits.stop_linger.unwrap_or(MAX_DRAIN_TIME.min(limits.stop_grace / 4));
        let connections_close = match limits.stop_within {
            Some(within) => within.saturating_sub(END_RESERVE),
            None => linger + limits.stop_grace,
        };
        Self {
            listeners_close: linger.min(connections_close / 2),
            calls_end: connections_close.saturating_sub(LAST_ANSWERS_TIME),
            connections_close,
        }
    }
}

/// Tells the tasks of calls when calls that are still under way are given up.
#[derive(Debug, Default)]
pub(crate) struct CallsEnd(watch::Sender<Option<Instant>>);

impl CallsEnd {
    /// Has calls given up at this time.
    pub(crate) fn set(&self, at: Instant) {
        self.0.send_replace(Some(at));
    }

    /// Completes when calls are given up; never while the daemon does not stop.
    pub(crate) async fn reached(&self) {
        let mut times = self.0.subscribe();
        // The sender lives as long as `self`, so there is no error.
        let at = times.wait_for(Option::is_some).await.ok().and_then(|at| *at);
        match at {
            Some(at) => tokio::time::sleep_until(at).await,
            None => std::future::pending().await,
        }
    }
}

#[cfg(test)]
mod tests;
