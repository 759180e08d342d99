//! Slots reserved for reentrant calls: calls to a service that are made, directly or through other
//! services, by running calls of the same service.
//!
//! If the other calls, here called external, took all slots, each of them could wait for a
//! reentrant call that finds no free slot: a deadlock until they time out. Therefore external calls
//! get only as large a share of the slots as their share of the recent calls.

use crate::slots::AncestorCalls;

/// Recent calls at which the counts are halved, so that they follow the traffic.
const HALVE_AT_CALLS: u32 = 400;

/// Counts of the reentrant and the external calls at one backend server.
#[derive(Debug, Default)]
pub(super) struct ReentryReserve {
    /// Recently started external calls.
    external_calls: u32,
    /// Recently started reentrant calls.
    reentrant_calls: u32,
    /// External calls that are running.
    running_external: u32,
}

impl ReentryReserve {
    /// Whether a call may take one of `limit` slots: always for a reentrant call, for an external
    /// one only while it leaves the reserve free.
    pub(super) fn has_room(&self, ancestors: AncestorCalls, limit: u32) -> bool {
        ancestors.same_service || self.running_external < self.external_limit(limit)
    }

    /// Counts a call that starts.
    pub(super) fn start(&mut self, ancestors: AncestorCalls) {
        if ancestors.same_service {
            self.reentrant_calls += 1;
        } else {
            self.external_calls += 1;
            self.running_external += 1;
        }
        if self.external_calls + self.reentrant_calls >= HALVE_AT_CALLS {
            // The reentrant calls are rounded down, so that the reserve ends when they cease.
            self.external_calls = self.external_calls.div_ceil(2);
            self.reentrant_calls /= 2;
        }
    }

    /// Counts the end of a call.
    pub(super) fn finish(&mut self, ancestors: AncestorCalls) {
        if !ancestors.same_service {
            self.running_external -= 1;
        }
    }

    /// How many external calls may run: their share of the recent calls, at least one; all slots
    /// without recent reentrant calls.
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
