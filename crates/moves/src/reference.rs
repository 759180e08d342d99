//! The old version's latency, from which a call is told to be slow.

use std::time::Duration;

/// Buckets of a doubling of latency.
const BUCKETS_PER_DOUBLING: f64 = 8.0;

/// Buckets in all: up to 2^32 microseconds.
const BUCKETS: usize = 256;

/// Calls after which older ones count half.
const HALVING_CALLS: u32 = 4_000;

/// Calls below which no call is told to be slow.
const FEWEST_CALLS: u32 = 20;

/// Calls that are above the reference, of those it is made from, at least.
const CALLS_ABOVE: f64 = 3.0;

/// Highest quantile taken as the reference.
const QUANTILE: f64 = 0.99;

/// How far above that quantile a call is slow, so that few calls of the old version are.
const MARGIN: f64 = 1.5;

/// A histogram of recent latencies of the old version on one route.
#[derive(Clone, Debug)]
pub struct Reference {
    buckets: Vec<u32>,
    calls: u32,
    limit: Option<Duration>,
    recount: u32,
}

impl Default for Reference {
    fn default() -> Self {
        Self { buckets: vec![0; BUCKETS], calls: 0, limit: None, recount: FEWEST_CALLS }
    }
}

impl Reference {
    /// Learns from a call of the old version.
    pub fn add(&mut self, latency: Duration) {
        self.buckets[bucket(latency)] += 1;
        self.calls += 1;
        if self.calls >= HALVING_CALLS {
            self.halve();
        }
        if self.calls < self.recount {
            return;
        }
        self.limit = Some(self.quantile().mul_f64(MARGIN));
        self.recount = (self.calls + self.calls / 4).min(HALVING_CALLS - 1);
    }

    /// Whether a call is slow; `None` while too few calls of the old version are known.
    pub fn slow(&self, latency: Duration) -> Option<bool> {
        self.limit.map(|limit| latency > limit)
    }

    fn quantile(&self) -> Duration {
        let calls = f64::from(self.calls);
        let rank = calls * QUANTILE.min(1.0 - CALLS_ABOVE / calls);
        let mut below = 0.0;
        for (index, count) in self.buckets.iter().enumerate() {
            below += f64::from(*count);
            if below >= rank {
                return upper_edge(index);
            }
        }
        upper_edge(BUCKETS - 1)
    }

    fn halve(&mut self) {
        self.calls = 0;
        for count in &mut self.buckets {
            *count /= 2;
            self.calls += *count;
        }
        self.recount = self.calls;
    }
}

fn bucket(latency: Duration) -> usize {
    let micros = latency.as_micros().max(1) as f64;
    ((micros.log2() * BUCKETS_PER_DOUBLING) as usize).min(BUCKETS - 1)
}

fn upper_edge(index: usize) -> Duration {
    let micros = ((index + 1) as f64 / BUCKETS_PER_DOUBLING).exp2();
    Duration::from_micros(micros as u64)
}
