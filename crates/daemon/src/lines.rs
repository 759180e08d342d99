//! The decision log: structured lines about calls and beliefs, sampled and limited in rate.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cyclamen_decisions::{Belief, CallDecision, Decision, LineBudget, LineKind, LogLine, Sampling};
use cyclamen_types::{InstanceName, Mono, Now, Wall};

use crate::bounded_writer::BoundedWriter;

/// Sampling and rate limit of the decision log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineSettings {
    /// One in this many successful calls is written; zero for none.
    pub sample_one_in: u32,
    /// Most lines per second.
    pub per_second: u32,
}

impl Default for LineSettings {
    fn default() -> Self {
        Self { sample_one_in: 100, per_second: 200 }
    }
}

/// Writes the decision log of one daemon; cheap to clone.
#[derive(Clone)]
pub struct DecisionLog(Arc<Inner>);

struct Inner {
    instance: Arc<str>,
    sampling: Sampling,
    budget: Mutex<LineBudget>,
    writer: BoundedWriter,
}

impl DecisionLog {
    /// Creates the decision log of an instance, whose lines are written by `writer`.
    pub fn new(instance: &InstanceName, settings: LineSettings, writer: BoundedWriter) -> Self {
        Self(Arc::new(Inner {
            instance: instance.as_str().into(),
            sampling: Sampling::new(settings.sample_one_in),
            budget: Mutex::new(LineBudget::new(settings.per_second)),
            writer,
        }))
    }

    /// Whether a successful call with this id is written.
    pub fn samples(&self, id: &[u8]) -> bool {
        self.0.sampling.selects(id)
    }

    /// Writes a change of belief.
    pub fn belief(&self, now: Now, belief: Belief) {
        if self.budget().try_take(now.mono, LineKind::Belief, 1) {
            self.put(now.wall, Decision::Belief(belief));
        }
    }

    /// Writes the decisions about a call, each with the time at which it was made; all or none.
    pub fn call(
        &self,
        now: Mono,
        kind: LineKind,
        call: &Arc<str>,
        decisions: Vec<(Wall, CallDecision)>,
    ) {
        if !self.budget().try_take(now, kind, decisions.len() as u64) {
            return;
        }
        for (at, decision) in decisions {
            self.put(at, Decision::Call { call: Arc::clone(call), decision });
        }
    }

    /// Writes how many lines were omitted since the last call, if any were.
    pub fn report_omitted(&self, now: Now) {
        let dropped = self.0.writer.take_dropped_count();
        let omitted = {
            let mut budget = self.budget();
            budget.count_unwritten(dropped);
            budget.take_omitted()
        };
        let Some(omitted) = omitted else {
            return;
        };
        let belief = Belief::Omitted {
            failures: omitted.failures,
            samples: omitted.samples,
            beliefs: omitted.beliefs,
            unwritten: omitted.unwritten,
        };
        self.put(now.wall, Decision::Belief(belief));
    }

    fn put(&self, at: Wall, decision: Decision) {
        let line = LogLine { at_ms: at.0, instance: Arc::clone(&self.0.instance), decision };
        self.0.writer.queue_line(line.to_json());
    }

    fn budget(&self) -> MutexGuard<'_, LineBudget> {
        self.0.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
