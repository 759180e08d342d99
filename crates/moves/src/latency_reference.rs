//! The latency limit of a route, estimated from recent calls of the old version. Calls above it are
//! slow.

use std::time::Duration;

use cyclamen_declarations::Move;

use crate::stages;

/// Histogram buckets per doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 8.0;

/// Number of buckets; they cover latencies up to 2^32 microseconds.
const BUCKET_COUNT: usize = 256;

/// Total count at which all bucket counts are halved, so that older calls lose weight.
const HALVING_CALLS: u32 = 4_000;

/// Fewest calls from which a limit is computed.
const MIN_CALLS: u32 = 20;

/// Number of recorded calls that must lie above the quantile; it lowers the quantile while calls
/// are few.
const MIN_CALLS_ABOVE: f64 = 3.0;

/// Highest quantile that the limit is computed from, for moves that are not short.
const MAX_QUANTILE: f64 = 0.99;

/// [`MAX_QUANTILE`] of short moves, which have to show with few calls that a version is slow: more
/// of its calls lie above a lower limit.
const SHORT_MOVE_MAX_QUANTILE: f64 = 0.95;

/// Factor by which the limit exceeds the quantile, so that few calls of the old version are slow.
const LIMIT_FACTOR: f64 = 1.5;

/// A histogram of recent latencies of the old version on one route.
#[derive(Clone, Debug)]
pub struct LatencyReference {
    max_quantile: f64,
    buckets: Vec<u32>,
    calls: u32,
    limit: Option<Duration>,
    next_update_calls: u32,
}

impl LatencyReference {
    /// A reference without calls, for calls of a move.
    pub fn new(declared: &Move) -> Self {
        let short = stages::is_short(declared);
        Self {
            max_quantile: if short { SHORT_MOVE_MAX_QUANTILE } else { MAX_QUANTILE },
            buckets: vec![0; BUCKET_COUNT],
            calls: 0,
            limit: None,
            next_update_calls: MIN_CALLS,
        }
    }

    /// Records a call of the old version. The limit is recomputed whenever the total count
    /// has grown by a quarter, and after each halving.
    pub fn add(&mut self, latency: Duration) {
        self.buckets[bucket(latency)] += 1;
        self.calls += 1;
        if self.calls >= HALVING_CALLS {
            self.halve();
        }
        if self.calls < self.next_update_calls {
            return;
        }
        self.limit = Some(self.quantile().mul_f64(LIMIT_FACTOR));
        self.next_update_calls = (self.calls + self.calls / 4).min(HALVING_CALLS - 1);
    }

    /// The latency above which a call is slow; `None` before [`MIN_CALLS`] calls.
    pub fn limit(&self) -> Option<Duration> {
        self.limit
    }

    fn quantile(&self) -> Duration {
        let calls = f64::from(self.calls);
        let rank = calls * self.max_quantile.min(1.0 - MIN_CALLS_ABOVE / calls);
        let mut below = 0.0;
        for (index, count) in self.buckets.iter().enumerate() {
            below += f64::from(*count);
            if below >= rank {
                return upper_edge(index);
            }
        }
        upper_edge(BUCKET_COUNT - 1)
    }

    fn halve(&mut self) {
        self.calls = 0;
        for count in &mut self.buckets {
            *count /= 2;
            self.calls += *count;
        }
        self.next_update_calls = self.calls;
    }
}

fn bucket(latency: Duration) -> usize {
    let micros = latency.as_micros().max(1) as f64;
    ((micros.log2() * BUCKETS_PER_DOUBLING) as usize).min(BUCKET_COUNT - 1)
}

fn upper_edge(index: usize) -> Duration {
    let micros = ((index + 1) as f64 / BUCKETS_PER_DOUBLING).exp2();
    Duration::from_micros(micros as u64)
}
