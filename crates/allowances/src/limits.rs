//! What follows from an allowance: the depth of its buckets, and the times of leases.

use std::time::Duration;

use cyclamen_declarations::Allowance;

/// Shortest lease of a share.
const MIN_LEASE: Duration = Duration::from_secs(10);

/// Shortest pause between two reports of a holder about an account.
pub(crate) const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Pause for each holder of an account, so that the reports to its owner stay few.
const PAUSE_PER_HOLDER: Duration = Duration::from_millis(12);

/// Pauses in a lease, so that lost reports do not end it.
const PAUSES_PER_LEASE: u32 = 4;

/// Time within which the allowance is counted.
const WINDOW: Duration = Duration::from_secs(5);

/// Excess over the allowance that is put up with in each [`WINDOW`].
const EXCESS_SHARE: f64 = 0.1;
const EXCESS_CALLS: f64 = 20.0;

/// Part of the excess that is put into the depth of the buckets, so that daemons with few calls of
/// an account can take two of them at once. The rest covers tokens that are on their way back, and
/// calls ahead of a lease.
const EXCESS_IN_DEPTH: f64 = 0.5;

/// Calls over the allowance that are put up with in a window.
pub(crate) fn excess(allowance: Allowance) -> f64 {
    let allowed = allowance.calls_per_second * WINDOW.as_secs_f64() + allowance.burst;
    allowed * EXCESS_SHARE + EXCESS_CALLS
}

/// Calls that the buckets of all daemons together may hold.
pub(crate) fn depth(allowance: Allowance) -> f64 {
    allowance.burst + excess(allowance) * EXCESS_IN_DEPTH
}

/// Pause between two reports of a holder that needs more than there is.
pub(crate) fn long_pause(holders: usize) -> Duration {
    MIN_PAUSE.max(PAUSE_PER_HOLDER * u32::try_from(holders).unwrap_or(u32::MAX))
}

/// Lease of a share of an account that has so many holders.
pub(crate) fn lease(holders: usize) -> Duration {
    MIN_LEASE.max(long_pause(holders).saturating_mul(PAUSES_PER_LEASE))
}
