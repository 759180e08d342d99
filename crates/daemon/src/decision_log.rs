//! Writes the decision log: structured lines about calls and about the daemon's beliefs, which are
//! its view of its own state and of the mesh, such as which members are alive.
//!
//! Calls that went well are sampled by their id. A rate limit bounds the number of lines; lines
//! that it leaves out, or that standard output is too slow for, are counted and reported.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cyclamen_decisions::{Belief, CallDecision, Decision, LineBudget, LineKind, LogLine, Sampling};
use cyclamen_types::{InstanceName, Mono, Now, Wall};

use crate::bounded_writer::BoundedWriter;

/// Sampling and rate limit of the decision log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecisionLogSettings {
    /// One in this many successful calls is written; 0 writes none.
    pub sample_one_in: u32,
    /// Maximum number of lines per second, and the maximum burst.
    pub lines_per_second: u32,
}

impl Default for DecisionLogSettings {
    fn default() -> Self {
        Self { sample_one_in: 100, lines_per_second: 200 }
    }
}

/// Writes the decision log of one daemon. Clones share the rate limit and the writer.
#[derive(Clone)]
pub struct DecisionLog(Arc<Inner>);

struct Inner {
    instance: Arc<str>,
    sampling: Sampling,
    budget: Mutex<LineBudget>,
    writer: BoundedWriter,
}

impl DecisionLog {
    /// Creates the decision log of `instance`, to be written by `writer`.
    pub fn new(
        instance: &InstanceName,
        settings: DecisionLogSettings,
        writer: BoundedWriter,
    ) -> Self {
        Self(Arc::new(Inner {
            instance: instance.as_str().into(),
            sampling: Sampling::new(settings.sample_one_in),
            budget: Mutex::new(LineBudget::new(settings.lines_per_second)),
            writer,
        }))
    }

    /// Whether the call with this id is in the sample, so that it is written even if it succeeds.
    pub fn is_sampled(&self, id: &[u8]) -> bool {
        self.0.sampling.selects(id)
    }

    /// Writes a line about a changed belief, if the rate limit allows it.
    pub fn write_belief(&self, now: Now, belief: Belief) {
        if self.budget().try_take(now.mono, LineKind::Belief, 1) {
            self.write(now.wall, Decision::Belief(belief));
        }
    }

    /// Writes the decisions about a call, each with the time at which it was made.
    ///
    /// The rate limit allows all of them or none, so that no call is shown in part.
    pub fn write_call(
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
            self.write(at, Decision::Call { call: Arc::clone(call), decision });
        }
    }

    /// Writes a line with the number of lines omitted since it was last reported, if there are any.
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
        self.write(now.wall, Decision::Belief(belief));
    }

    fn write(&self, at: Wall, decision: Decision) {
        let line = LogLine { at_ms: at.0, instance: Arc::clone(&self.0.instance), decision };
        self.0.writer.queue_line(line.to_json());
    }

    fn budget(&self) -> MutexGuard<'_, LineBudget> {
        self.0.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
