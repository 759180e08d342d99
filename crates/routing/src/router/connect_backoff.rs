//! How long a backend server gets no calls after a connection to it could not be opened.
//!
//! An attempt at a daemon that is away holds its call until the connection times out. After the
//! first such failure the server gets no calls for a while, then one trial call; each failed trial
//! doubles the time until the next.

use std::time::Duration;

use cyclamen_types::Mono;

/// Time without calls after the first failed connection; each further failure doubles it, up to
/// [`MAX_BACKOFF`].
const FIRST_BACKOFF: Duration = Duration::from_secs(1);

/// Longest time without calls after a failed connection.
const MAX_BACKOFF: Duration = Duration::from_secs(16);

/// What failed connections tell of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ConnectBackoff {
    /// Failed connections, one opened after the other, since the last sign that there are others.
    failures: u32,
    /// When the latest of them failed, or the latest sign came.
    known_at: Mono,
    /// Attempts under way that began after a failure.
    trials: u32,
}

impl ConnectBackoff {
    /// Whether the latest connections failed.
    pub(super) fn is_active(&self) -> bool {
        self.failures > 0
    }

    /// When the latest connection failed; `None` unless [`ConnectBackoff::is_active`].
    pub(super) fn failed_at(&self) -> Option<Mono> {
        self.is_active().then_some(self.known_at)
    }

    /// Whether a trial call is under way.
    pub(super) fn in_trial(&self) -> bool {
        self.is_active() && self.trials > 0
    }

    /// Whether the time without calls is over; with `shortened`, it lasts [`FIRST_BACKOFF`] however
    /// many connections failed.
    pub(super) fn trial_due(&self, now: Mono, shortened: bool) -> bool {
        let doublings = if shortened { 0 } else { self.failures.saturating_sub(1) };
        // Bounded against overflow; [`MAX_BACKOFF`] is reached earlier.
        let wait = (FIRST_BACKOFF * (1 << doublings.min(8))).min(MAX_BACKOFF);
        !self.is_active() || self.known_at + wait <= now
    }

    /// Begins an attempt and returns whether it is a trial, which ends with
    /// [`ConnectBackoff::end_trial`].
    pub(super) fn begin_attempt(&mut self) -> bool {
        let trial = self.is_active();
        self.trials += u32::from(trial);
        trial
    }

    pub(super) fn end_trial(&mut self) {
        self.trials = self.trials.saturating_sub(1);
    }

    /// Records that the connection of an attempt begun at `began` could not be opened. Attempts
    /// that began before the latest failure or sign tell nothing new. Returns whether this one
    /// does.
    pub(super) fn record_failure(&mut self, now: Mono, began: Mono) -> bool {
        if began < self.known_at {
            return false;
        }
        self.failures += 1;
        self.known_at = now;
        true
    }

    /// Records a sign that the server can be connected to.
    pub(super) fn clear(&mut self, now: Mono) {
        self.failures = 0;
        self.known_at = now;
    }
}
