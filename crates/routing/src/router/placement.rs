//! The cost function of load balancing: how long a call is expected to take at a backend server.
//!
//! Calls go to the server with the lowest cost of those compared. Sharing calls out evenly fails
//! where servers of one service differ in speed by a factor of two or more: the slow servers run
//! out of slots while the fast ones still have some. The cost of a server rises with the calls that
//! it already has, so that calls spill over to slower servers before the fast ones are full.

use std::time::Duration;

/// Cost added for a backend server in another failure domain of the same region.
const OTHER_DOMAIN_DELAY: Duration = Duration::from_millis(3);

/// Cost added for a backend server in another region.
const OTHER_REGION_DELAY: Duration = Duration::from_millis(25);

/// How many bytes sent between failure domains cost as much as a second of latency.
const CROSS_DOMAIN_BYTES_PER_SECOND: f64 = 300_000.0;

/// Slot utilization, from 0 to 1, above which a server is expected to slow down.
const CONGESTION_THRESHOLD: f64 = 0.6;

/// Additional time of a call at a server whose slots are all in use, as a multiple of its time at
/// an idle server: 1.0 doubles it. Between [`CONGESTION_THRESHOLD`] and full use this is scaled
/// linearly.
const CONGESTION_FACTOR: f64 = 1.0;

/// Cost added for a server that fails all its calls, relative to the same server without
/// failures. Scaled by the failure rate.
const FAILURE_PENALTY_FACTOR: f64 = 8.0;

/// Where a backend server is relative to the daemon that picks one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Distance {
    /// In the same failure domain.
    SameDomain,
    /// In another failure domain of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// Share of a route's target latency within which a server that holds no other calls may take for a
/// call without making it late. Servers that are quicker than that are preferred only slightly, so
/// that calls stay in their failure domain. The rest of the target is left for calls that take
/// longer than expected. What load, failures and slow start add to the time always counts in full,
/// so that a queue in the own failure domain does not look as good as a free slot elsewhere.
const COMFORTABLE_SHARE: f64 = 0.4;

/// Weight of the time that an uncongested server takes, where that is comfortable.
const COMFORTABLE_TIME_WEIGHT: f64 = 0.05;

/// What the cost of a backend server is computed from.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementInputs {
    /// Hold time of a call, in seconds, when the server is not congested.
    pub(super) hold_seconds: f64,
    /// Calls running or queued at the server.
    pub(super) load: u32,
    /// How many calls the server is believed to run at a time.
    pub(super) slots: u32,
    /// Share of the server's calls that fail, from 0 to 1.
    pub(super) failure_rate: f64,
    /// Slow-start weight: above 0, and 1 once the slow start is over.
    pub(super) weight: f64,
    /// Where the server is.
    pub(super) distance: Distance,
    /// What the call asks for.
    pub(super) needs: CallNeeds,
}

/// What the cost of a backend server depends on besides the server.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallNeeds {
    /// Expected bytes of the call and its answer together.
    pub(super) bytes: f64,
    /// Target latency of the route; zero for a route without one.
    pub(super) target: Duration,
}

impl PlacementInputs {
    /// Cost of the server for a call that is sent now, in seconds: the expected time of the call,
    /// with penalties. Lower is better.
    pub(super) fn cost_seconds(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let utilization = f64::from(self.load + 1) / slots;
        let congestion =
            (utilization.min(1.0) - CONGESTION_THRESHOLD).max(0.0) / (1.0 - CONGESTION_THRESHOLD);
        let queue_rounds = (utilization - 1.0).max(0.0);
        let server_seconds =
            self.hold_seconds * (1.0 + CONGESTION_FACTOR * congestion + queue_rounds);
        let failure_penalty = 1.0 + FAILURE_PENALTY_FACTOR * self.failure_rate;
        let expected = server_seconds * failure_penalty / self.weight;
        let comfortable = self.needs.target.as_secs_f64() * COMFORTABLE_SHARE;
        let discount = self.hold_seconds.min(comfortable) * (1.0 - COMFORTABLE_TIME_WEIGHT);
        expected - discount + self.network_seconds()
    }

    /// Cost of the network path, in seconds. It grows with the size of the call, because all
    /// calls share the links between failure domains, so large answers are better kept within one
    /// domain.
    fn network_seconds(&self) -> f64 {
        let delay = match self.distance {
            Distance::SameDomain => return 0.0,
            Distance::SameRegion => OTHER_DOMAIN_DELAY,
            Distance::OtherRegion => OTHER_REGION_DELAY,
        };
        delay.as_secs_f64() + self.needs.bytes / CROSS_DOMAIN_BYTES_PER_SECOND
    }
}
