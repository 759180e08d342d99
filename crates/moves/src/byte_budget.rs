//! The rate limit on the evidence that one daemon sends.

use cyclamen_types::Mono;

/// Refill rate: bytes of evidence that one daemon may send per second on average.
const BYTES_PER_SECOND: i64 = 400;

/// Capacity of the bucket in bytes, and the debt at which reports of failed or slow calls stop. The
/// last report may exceed it.
const BURST_BYTES: i64 = 2_000;

/// A token bucket of bytes. The balance may go negative; refills pay off the debt first.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ByteBudget {
    credit_bytes: i64,
    refilled_at: Mono,
}

impl ByteBudget {
    /// A full bucket.
    pub(crate) fn new(now: Mono) -> Self {
        Self { credit_bytes: BURST_BYTES, refilled_at: now }
    }

    /// Credits the time since the last refill. A refill below one byte leaves the time as it is, so
    /// that calls more frequent than that still accrue credit. Any other refill drops the remainder
    /// below a byte.
    pub(crate) fn refill(&mut self, now: Mono) {
        let passed = now.since(self.refilled_at).as_millis() as i64;
        let earned = passed * BYTES_PER_SECOND / 1_000;
        if earned == 0 {
            return;
        }
        self.refilled_at = now;
        self.credit_bytes = (self.credit_bytes + earned).min(BURST_BYTES);
    }

    /// Whether a routine report may be sent: the balance is positive.
    pub(crate) fn allows_routine(&self) -> bool {
        self.credit_bytes > 0
    }

    /// Whether a report of failed or slow calls may be sent: the debt is below [`BURST_BYTES`].
    pub(crate) fn allows_urgent(&self) -> bool {
        self.credit_bytes > -BURST_BYTES
    }

    /// Charges a report that was sent.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.credit_bytes -= bytes as i64;
    }
}
