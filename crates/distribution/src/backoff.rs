//! Pauses after failures: full jitter under a bound that doubles.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Most doublings of the first bound.
const DOUBLINGS: u32 = 16;

/// The pauses of one kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    first: Duration,
    longest: Duration,
    failures: u32,
}

impl Backoff {
    /// Pauses of up to `first` after one failure, and of up to `longest` after many.
    pub(crate) fn new(first: Duration, longest: Duration) -> Self {
        Self { first, longest, failures: 0 }
    }

    /// The pause after one more failure.
    pub(crate) fn fail(&mut self, rng: &mut SmallRng) -> Duration {
        let bound = self.first.saturating_mul(1 << self.failures.min(DOUBLINGS)).min(self.longest);
        self.failures += 1;
        bound.mul_f64(rng.random_range(0.0..=1.0)).max(self.first / 8)
    }

    /// A request succeeded.
    pub(crate) fn succeed(&mut self) {
        self.failures = 0;
    }
}
