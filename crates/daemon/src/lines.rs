//! Structured lines about calls and beliefs: which are written, and how many at most.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cyclamen_decisions::{Belief, CallDecision, Decision, LineBudget, LineKind, LogLine, Sampling};
use cyclamen_types::{InstanceName, Mono, Now, Wall};

use crate::bounded_writer::BoundedWriter;

/// How lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineSettings {
    /// One call in so many is written though it went well; zero for none.
    pub sample_one_in: u32,
    /// Lines a second at most.
    pub per_second: u32,
}

impl Default for LineSettings {
    fn default() -> Self {
        Self { sample_one_in: 100, per_second: 200 }
    }
}

/// Writes the lines of one daemon; cheap to clone.
#[derive(Clone)]
pub struct Lines(Arc<Inner>);

struct Inner {
    instance: Arc<str>,
    sampling: Sampling,
    budget: Mutex<LineBudget>,
    writer: BoundedWriter,
}

impl Lines {
    /// Lines of an instance, written by `writer`.
    pub fn new(instance: &InstanceName, settings: LineSettings, writer: BoundedWriter) -> Self {
        Self(Arc::new(Inner {
            instance: instance.as_str().into(),
            sampling: Sampling::new(settings.sample_one_in),
            budget: Mutex::new(LineBudget::new(settings.per_second)),
            writer,
        }))
    }

    /// Whether a call of this id is written though it went well.
    pub fn samples(&self, id: &[u8]) -> bool {
        self.0.sampling.selects(id)
    }

    /// Writes a change of belief.
    pub fn belief(&self, now: Now, belief: Belief) {
        if self.budget().try_take(now.mono, LineKind::Belief, 1) {
            self.put(now.wall, Decision::Belief(belief));
        }
    }

    /// Writes decisions about a call, each under the time at which it was made; all or none.
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

    /// Tells of lines that were left out since this was last called.
    pub fn tell_omitted(&self, now: Now) {
        let lost = self.0.writer.take_lost();
        let omitted = {
            let mut budget = self.budget();
            budget.count_unwritten(lost);
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
        self.0.writer.put(line.to_json());
    }

    fn budget(&self) -> MutexGuard<'_, LineBudget> {
        self.0.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
