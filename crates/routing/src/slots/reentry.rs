//! Slots kept for calls that come back to a service from its own running calls.
//!
//! This answers the load at which calls from outside would take all slots: each of them then waits
//! for a slot that only another one of them can give back. Calls from outside get the share of the
//! slots that they are of the calls, so that those on which others wait find room.

use crate::slots::Around;

/// Calls after which older ones count half.
const HALVE_AT_CALLS: u32 = 400;

/// What runs at one backend server, by where it came from.
#[derive(Debug, Default)]
pub(super) struct ReentryReserve {
    /// Calls begun lately that came from outside the service.
    external_calls: u32,
    /// Calls begun lately that came from running calls of the service.
    reentrant_calls: u32,
    /// Calls from outside that run now.
    running_external: u32,
}

impl ReentryReserve {
    /// Whether a call may take one of `limit` slots as far as it leaves enough to others.
    pub(super) fn has_room(&self, around: Around, limit: u32) -> bool {
        around.same_service || self.running_external < self.external_limit(limit)
    }

    /// A call begins.
    pub(super) fn start(&mut self, around: Around) {
        if around.same_service {
            self.reentrant_calls += 1;
        } else {
            self.external_calls += 1;
            self.running_external += 1;
        }
        if self.external_calls + self.reentrant_calls >= HALVE_AT_CALLS {
            self.external_calls = self.external_calls.div_ceil(2);
            self.reentrant_calls /= 2;
        }
    }

    /// A call ended.
    pub(super) fn finish(&mut self, around: Around) {
        if !around.same_service {
            self.running_external -= 1;
        }
    }

    fn external_limit(&self, limit: u32) -> u32 {
        if self.reentrant_calls == 0 {
            return limit;
        }
        let share =
            f64::from(self.external_calls) / f64::from(self.external_calls + self.reentrant_calls);
        let room = (f64::from(limit) * share).ceil();
        (room as u32).clamp(1, limit)
    }
}
