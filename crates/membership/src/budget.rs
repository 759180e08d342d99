//! The limit on bytes sent: a token bucket. Less important traffic must leave a reserve of tokens
//! for more important traffic.

use std::time::Duration;

use cyclamen_types::{Mono, Now};

/// Capacity of the bucket, in seconds' worth of refill. A full bucket may be sent at once after an
/// idle time.
const BURST_SECONDS: u64 = 32;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// What bytes are sent for, most important first. Each class leaves its own reserve of tokens in
/// the bucket, so that less important traffic never starves more important traffic.
///
/// A class applies to a whole datagram, by the message for which it is sent, and to each queued
/// update that is added to a datagram. Both are checked against the reserve of their own class, so
/// a log record is added to an urgent push only if the reserve of [`TrafficClass::Records`] is
/// left.
///
/// This order decides which traffic stops first when tokens run out. The order of updates within a
/// datagram is that of [`Priority`](crate::update_queue::Priority), which differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrafficClass {
    /// Datagrams: probes, their answers, and joins.
    Probe,
    /// Datagrams: pushes (verdicts, departing members, servers that drain or are gone, new log
    /// records, a newly applied configuration version) and answers to joins. Updates: verdicts,
    /// departing members, and servers that drain or are gone.
    Urgent,
    /// Datagrams: anti-entropy, notices to a member that this daemon considers it suspect or dead,
    /// which prompt it to refute that, and this daemon's own member record, sent to a member that
    /// lacks it. This class precedes ordinary updates because it limits its own rate, whereas the
    /// flow of updates may never end.
    Repair,
    /// Updates: all others of members and backend servers, and evidence reports.
    Updates,
    /// Updates: log records, which members can also pull.
    Records,
    /// Datagrams: those sent only to forward evidence reports. The reports in them are updates of
    /// the class [`TrafficClass::Updates`].
    Bulk,
}

impl TrafficClass {
    /// Tokens that this class must leave in the bucket, in quarters of a second's refill.
    fn reserve_quarters(self) -> u64 {
        match self {
            Self::Probe => 0,
            Self::Urgent => 1,
            Self::Repair => 2,
            Self::Updates => 8,
            Self::Records => 12,
            Self::Bulk => 64,
        }
    }
}

/// A token bucket in which one token is one byte.
#[derive(Debug)]
pub(crate) struct Budget {
    /// Refill rate, in bytes per second.
    rate: u64,
    /// Capacity, in bytes.
    burst: u64,
    /// Millionths of a byte, so that a refill of one microsecond adds exactly `rate`.
    micro_tokens: u64,
    last_refill: Mono,
}

impl Budget {
    pub(crate) fn new(bytes_per_second: u32, now: Now) -> Self {
        let rate = u64::from(bytes_per_second);
        let burst = rate * BURST_SECONDS;
        Self { rate, burst, micro_tokens: burst * MICROS_PER_SECOND, last_refill: now.mono }
    }

    /// Adds the tokens gained since the last call.
    pub(crate) fn refill(&mut self, now: Now) {
        let passed = now.mono.since(self.last_refill);
        self.last_refill = self.last_refill.max(now.mono);
        let passed_us = u64::try_from(passed.as_micros()).unwrap_or(u64::MAX);
        let gained = passed_us.saturating_mul(self.rate);
        self.micro_tokens =
            self.micro_tokens.saturating_add(gained).min(self.burst * MICROS_PER_SECOND);
    }

    /// Bytes that may be sent now for a class of traffic.
    pub(crate) fn available(&self, class: TrafficClass) -> usize {
        let floor = self.rate * class.reserve_quarters() / 4;
        let available = (self.micro_tokens / MICROS_PER_SECOND).saturating_sub(floor);
        usize::try_from(available).unwrap_or(usize::MAX)
    }

    /// Takes tokens for `bytes`. Returns false, and takes none, if the bucket holds too few. The
    /// reserves are not checked here: the caller first compares the length of the datagram with
    /// [`Budget::available`], for the class of its message and for that of each update added.
    pub(crate) fn try_spend(&mut self, bytes: usize) -> bool {
        let micro_cost = (bytes as u64).saturating_mul(MICROS_PER_SECOND);
        if micro_cost > self.micro_tokens {
            return false;
        }
        self.micro_tokens -= micro_cost;
        true
    }

    /// The most bytes that may be sent within any window of length `span`: a full bucket and its
    /// refill, rounded up.
    pub(crate) fn max_bytes(bytes_per_second: u32, span: Duration) -> u64 {
        let rate = u64::from(bytes_per_second);
        let span_us = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        rate * BURST_SECONDS + rate.saturating_mul(span_us) / MICROS_PER_SECOND + 1
    }
}
