//! The bound on the evidence that one daemon sends.

use cyclamen_types::Mono;

/// Bytes of evidence that one daemon sends per second.
const BYTES_PER_SECOND: i64 = 400;

/// Bytes that may be sent at once after a pause, and that reports of failures may run ahead.
const BURST_BYTES: i64 = 2_000;

/// A bucket of bytes that fills with time. What is sent beyond it is paid back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    credit_bytes: i64,
    earned: Mono,
}

impl Budget {
    /// A full bucket.
    pub(crate) fn new(now: Mono) -> Self {
        Self { credit_bytes: BURST_BYTES, earned: now }
    }

    /// Credits the time passed.
    pub(crate) fn earn(&mut self, now: Mono) {
        let passed = now.since(self.earned).as_millis() as i64;
        let earned = passed * BYTES_PER_SECOND / 1_000;
        if earned == 0 {
            return;
        }
        self.earned = now;
        self.credit_bytes = (self.credit_bytes + earned).min(BURST_BYTES);
    }

    /// Whether a routine report may be sent.
    pub(crate) fn allows_routine(&self) -> bool {
        self.credit_bytes > 0
    }

    /// Whether a report of failures may be sent.
    pub(crate) fn allows_urgent(&self) -> bool {
        self.credit_bytes > -BURST_BYTES
    }

    /// Takes what was sent.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.credit_bytes -= bytes as i64;
    }
}
