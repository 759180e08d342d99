//! Which backend server a call goes to: the one at which it is expected to end first.
//!
//! This answers the load at which servers of one service differ in speed by more than two times:
//! equal shares fill the slow ones first, while the fast ones still have slots. What a server is
//! expected to take grows with the calls that it already has, so that calls move on to slower
//! servers before the fast ones are full.

use std::time::Duration;

/// Added time of a call to a backend server of another failure domain of the own region.
const OTHER_DOMAIN: Duration = Duration::from_millis(3);

/// Added time of a call to a backend server of another region.
const OTHER_REGION: Duration = Duration::from_millis(25);

/// Bytes between failure domains that are worth a second of a caller's time.
const BYTES_PER_SECOND: f64 = 300_000.0;

/// Share of the slots in use from which a server is taken to slow down.
const CROWDED_FROM: f64 = 0.6;

/// How much longer a call takes at a server whose slots are all in use.
const CROWDED_FACTOR: f64 = 1.0;

/// How much a server that fails all its calls is worse than one that fails none.
const FAILURE_FACTOR: f64 = 8.0;

/// Where a backend server is, as seen from the daemon that chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Distance {
    /// In the own failure domain.
    Near,
    /// In another failure domain of the own region.
    Region,
    /// In another region.
    Far,
}

/// What is known of a backend server when a call is placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Prospect {
    /// How long it holds a call, in seconds.
    pub(super) hold: f64,
    /// Calls that it runs or that wait for it.
    pub(super) load: u32,
    /// Calls that it runs at a time.
    pub(super) slots: u32,
    /// Share of its calls that fail, from 0 to 1.
    pub(super) failing: f64,
    /// Its share while it comes up, up to 1.
    pub(super) weight: f64,
    /// Where it is.
    pub(super) distance: Distance,
    /// Bytes that the call and its answer are expected to have.
    pub(super) bytes: f64,
}

impl Prospect {
    /// How long a call placed now is expected to take, in seconds; lower is better.
    pub(super) fn expected(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let in_use = f64::from(self.load + 1) / slots;
        let crowded = (in_use.min(1.0) - CROWDED_FROM).max(0.0) / (1.0 - CROWDED_FROM);
        let turns = (in_use - 1.0).max(0.0);
        let service = self.hold * (1.0 + CROWDED_FACTOR * crowded + turns);
        let trouble = 1.0 + FAILURE_FACTOR * self.failing;
        service * trouble / self.weight + self.way()
    }

    /// The time that the way adds, in seconds: large answers are better kept in the own failure
    /// domain, since all domains share what lies between them.
    fn way(&self) -> f64 {
        let added = match self.distance {
            Distance::Near => return 0.0,
            Distance::Region => OTHER_DOMAIN,
            Distance::Far => OTHER_REGION,
        };
        added.as_secs_f64() + self.bytes / BYTES_PER_SECOND
    }
}
