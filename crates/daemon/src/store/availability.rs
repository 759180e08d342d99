//! Backoff while the store does not answer.

use std::time::Duration;

use cyclamen_platform::StoreError;
use log::{info, warn};
use rand::Rng;

/// Bounds of the backoff after a failed request. It doubles with each failure, and a random part of
/// up to one half is taken off.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Counts consecutive failed reads and writes of records, from the store or a peer, to log an
/// outage once and to back off.
#[derive(Default)]
pub(super) struct StoreAvailability {
    failures: u32,
}

impl StoreAvailability {
    /// Whether the latest request failed.
    pub(super) fn is_failing(&self) -> bool {
        self.failures > 0
    }

    pub(super) fn succeeded(&mut self) {
        if self.failures > 0 {
            info!("the store answers again after {} failed requests", self.failures);
        }
        self.failures = 0;
    }

    /// Counts a failure; returns the pause before the next attempt.
    pub(super) fn failed(&mut self, error: &StoreError) -> Duration {
        if self.failures == 0 {
            warn!("{error}");
        }
        let bound = MIN_BACKOFF.saturating_mul(2_u32.saturating_pow(self.failures));
        self.failures = self.failures.saturating_add(1);
        bound.min(MAX_BACKOFF).mul_f64(rand::rng().random_range(0.5..=1.0))
    }
}
