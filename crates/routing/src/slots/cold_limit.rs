//! The limit of calls that start at a backend server while it is cold.
//!
//! A cold server bears few calls per second and crashes under many more. The limit holds in every
//! window of a second, also in one that began before the server was known to be cold: the starts of
//! calls are recorded at all times.

use std::collections::VecDeque;
use std::num::NonZeroU32;
use std::time::Duration;

use cyclamen_types::Mono;

/// Span in which no more than the borne calls start.
const WINDOW: Duration = Duration::from_secs(1);

/// The recent starts of calls at one server, and until when it is cold.
#[derive(Debug)]
pub(super) struct ColdLimit {
    /// Calls that may start within [`WINDOW`] while the server is cold; `None` without a bound.
    calls: Option<NonZeroU32>,
    cold_until: Mono,
    /// Before that, starts that were not recorded may still count: no call starts while the server
    /// is cold.
    closed_until: Mono,
    /// The latest starts, oldest first; no more than `calls`.
    starts: VecDeque<Mono>,
}

impl Default for ColdLimit {
    fn default() -> Self {
        Self { calls: None, cold_until: Mono(0), closed_until: Mono(0), starts: VecDeque::new() }
    }
}

impl ColdLimit {
    /// Takes over how many calls the server bears per second. If that rises, starts from before
    /// `unrecorded_until` are not all known.
    pub(super) fn set_calls(&mut self, calls: Option<NonZeroU32>, unrecorded_until: Mono) {
        if calls > self.calls {
            self.closed_until = self.closed_until.max(unrecorded_until + WINDOW);
        }
        self.calls = calls;
        self.forget_old_starts();
    }

    /// Takes over until when the server is cold.
    pub(super) fn set_cold_until(&mut self, cold_until: Mono) {
        self.cold_until = cold_until;
    }

    /// How much longer the server is cold; zero if it is warm, or if what it bears is not bounded.
    pub(super) fn cold_left(&self, now: Mono) -> Duration {
        match self.calls {
            Some(_) => self.cold_until.since(now),
            None => Duration::ZERO,
        }
    }

    /// Records the start of a call.
    pub(super) fn record_start(&mut self, now: Mono) {
        if self.calls.is_some() {
            self.starts.push_back(now);
            self.forget_old_starts();
        }
    }

    /// Whether a call may start now.
    pub(super) fn has_room(&self, now: Mono) -> bool {
        self.room_at(now, 0) <= now
    }

    /// When a call may start before which `ahead` others start; `now` if it may start at once.
    pub(super) fn room_at(&self, now: Mono, ahead: usize) -> Mono {
        let Some(calls) = self.calls else {
            return now;
        };
        if self.cold_left(now).is_zero() {
            return now;
        }
        let calls = calls.get() as usize;
        let (rounds, nth) = (ahead / calls, ahead % calls);
        let never_used = calls - self.starts.len();
        let first_round = match nth.checked_sub(never_used) {
            Some(index) => self.starts[index] + WINDOW,
            None => now,
        };
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        let room_at = first_round.max(now).max(self.closed_until) + WINDOW.saturating_mul(rounds);
        room_at.min(self.cold_until)
    }

    fn forget_old_starts(&mut self) {
        let kept = self.calls.map_or(0, NonZeroU32::get) as usize;
        while self.starts.len() > kept {
            self.starts.pop_front();
        }
    }
}
