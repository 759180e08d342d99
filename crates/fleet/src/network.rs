//! What the fake network does to messages.

use std::time::Duration;

use cyclamen_types::FailureDomain;
use rand::Rng;
use rand::rngs::StdRng;

/// One whole, in parts per million.
const WHOLE_PPM: u32 = 1_000_000;

/// The fake network.
#[derive(Clone, Debug)]
pub struct Network {
    /// Shortest time from one instance to another.
    pub least_delay: Duration,
    /// Longest time; the wider the range, the more messages cross.
    pub most_delay: Duration,
    /// Share of datagrams lost, in parts per million.
    pub loss_ppm: u32,
    /// Share of datagrams that arrive twice, in parts per million.
    pub duplicate_ppm: u32,
    /// Failure domains cut off from all others and from the log.
    pub cut: Vec<FailureDomain>,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            least_delay: Duration::from_millis(1),
            most_delay: Duration::from_millis(3),
            loss_ppm: 0,
            duplicate_ppm: 0,
            cut: Vec::new(),
        }
    }
}

impl Network {
    /// Whether messages get from one failure domain to another.
    pub fn connects(&self, from: &FailureDomain, to: &FailureDomain) -> bool {
        from == to || !(self.cut.contains(from) || self.cut.contains(to))
    }

    /// Whether a failure domain reaches the log.
    pub fn reaches_log(&self, from: &FailureDomain) -> bool {
        !self.cut.contains(from)
    }

    pub(crate) fn delay(&self, rng: &mut StdRng) -> Duration {
        rng.random_range(self.least_delay..=self.most_delay)
    }

    /// How often a datagram arrives: 0, 1 or 2 times.
    pub(crate) fn copies(&self, rng: &mut StdRng) -> u32 {
        if rng.random_range(0..WHOLE_PPM) < self.loss_ppm {
            return 0;
        }
        1 + u32::from(rng.random_range(0..WHOLE_PPM) < self.duplicate_ppm)
    }
}
