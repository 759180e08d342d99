//! Slots kept for calls that come back to a service from its own running calls.
//!
//! This answers the load at which calls from outside would take all slots: each of them then waits
//! for a slot that only another one of them can give back. Calls from outside get the share of the
//! slots that they are of the calls, so that those on which others wait find room.

use crate::slots::Around;

/// Calls after which older ones count half.
const HALVED_AT: u32 = 400;

/// What runs at one backend server, by where it came from.
#[derive(Debug, Default)]
pub(super) struct Returning {
    /// Calls begun lately that came from outside the service.
    outer: u32,
    /// Calls begun lately that came from running calls of the service.
    inner: u32,
    /// Calls from outside that run now.
    running: u32,
}

impl Returning {
    /// Whether a call may take one of `limit` slots as far as it leaves enough to others.
    pub(super) fn leaves_room(&self, around: Around, limit: u32) -> bool {
        around.same_service || self.running < self.outer_limit(limit)
    }

    /// A call begins.
    pub(super) fn start(&mut self, around: Around) {
        if around.same_service {
            self.inner += 1;
        } else {
            self.outer += 1;
            self.running += 1;
        }
        if self.outer + self.inner >= HALVED_AT {
            self.outer = self.outer.div_ceil(2);
            self.inner /= 2;
        }
    }

    /// A call ended.
    pub(super) fn finish(&mut self, around: Around) {
        if !around.same_service {
            self.running -= 1;
        }
    }

    fn outer_limit(&self, limit: u32) -> u32 {
        if self.inner == 0 {
            return limit;
        }
        let share = f64::from(self.outer) / f64::from(self.outer + self.inner);
        let room = (f64::from(limit) * share).ceil();
        (room as u32).clamp(1, limit)
    }
}
