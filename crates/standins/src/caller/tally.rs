//! What callers were told, added up.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::backend::{CallKey, RunRecord};
use crate::caller::client::{Answer, CallPlan, Told};

/// Significant digits of the latencies.
const DIGITS: u8 = 3;

/// Longest latency told apart, in microseconds.
const LONGEST_MICROS: u64 = 60_000_000;

/// What callers were told.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Calls by what was told.
    pub told: BTreeMap<Told, u64>,
    /// Answers by version.
    pub versions: BTreeMap<Arc<str>, u64>,
    /// Latencies of answered calls, in microseconds.
    pub latency: Histogram<u64>,
    /// Calls that must not run twice, with what was told.
    pub once: Vec<OnceCall>,
}

/// A call that must not run twice.
#[derive(Clone, Debug)]
pub struct OnceCall {
    /// Its key.
    pub key: CallKey,
    /// What its caller was told.
    pub told: Told,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            told: BTreeMap::new(),
            versions: BTreeMap::new(),
            latency: Histogram::new_with_bounds(1, LONGEST_MICROS, DIGITS)
                .expect("the bounds are within the library's range"),
            once: Vec::new(),
        }
    }
}

impl Tally {
    /// Adds one call.
    pub fn add(&mut self, plan: &CallPlan, answer: &Answer) {
        *self.told.entry(answer.told).or_insert(0) += 1;
        if let Some(version) = &answer.version {
            *self.versions.entry(Arc::clone(version)).or_insert(0) += 1;
        }
        if answer.told == Told::Answered {
            self.latency.saturating_record(micros(answer.latency));
        }
        if !plan.method.is_idempotent() {
            self.once.push(OnceCall { key: plan.key.clone(), told: answer.told });
        }
    }

    /// Calls that were told this.
    pub fn count(&self, told: Told) -> u64 {
        self.told.get(&told).copied().unwrap_or(0)
    }

    /// All calls.
    pub fn calls(&self) -> u64 {
        self.told.values().sum()
    }

    /// Calls that must not run twice and did.
    pub fn doubled(&self, record: &RunRecord) -> u64 {
        self.count_once(|call| record.times(&call.key) > 1)
    }

    /// Calls that were answered and did not run.
    pub fn lost(&self, record: &RunRecord) -> u64 {
        self.count_once(|call| call.told == Told::Answered && record.times(&call.key) == 0)
    }

    /// Calls that were refused as not run and did run.
    pub fn false_not_run(&self, record: &RunRecord) -> u64 {
        self.count_once(|call| call.told == Told::NotRun && record.times(&call.key) > 0)
    }

    fn count_once(&self, wanted: impl Fn(&OnceCall) -> bool) -> u64 {
        self.once.iter().filter(|call| wanted(call)).count() as u64
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
