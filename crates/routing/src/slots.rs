//! Decisions at the daemon beside a backend server: its slots and its queue.

use std::time::Duration;

use cyclamen_declarations::Criticality;
use cyclamen_types::{Mono, Now};
use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::call::Refusal;

/// A call at the daemon beside the backend server.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Settings of the slots of one backend server.
#[derive(Clone, Copy, Debug)]
pub struct SlotsSettings {
    /// Calls it runs at a time.
    pub slots: u32,
    /// Calls that may wait.
    pub queue: u32,
    /// Longest wait.
    pub queue_wait: Duration,
}

/// What becomes of a call that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Run it now.
    Run,
    /// It waits; [`Slots::finish`] or [`Slots::expire`] names it later.
    Queued,
    /// Not run.
    Refused(Refusal),
}

/// Counters for the dump and the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotsCounters {
    /// Calls run.
    pub run: u64,
    /// Calls refused.
    pub refused: u64,
    /// Most calls at a time.
    pub peak: u64,
}

/// The slots of one backend server.
#[derive(Debug)]
pub struct Slots {
    counters: SlotsCounters,
}

impl Slots {
    /// All slots free.
    pub fn new(_settings: SlotsSettings) -> Self {
        Self { counters: Default::default() }
    }

    /// A call arrives.
    pub fn admit(
        &mut self,
        _now: Now,
        _call: CallId,
        _criticality: Criticality,
        _deadline: Mono,
    ) -> Admission {
        self.counters.run += 1;
        Admission::Run
    }

    /// A call ended, or was cancelled while it waited; returns the calls to run now.
    pub fn finish(
        &mut self,
        _now: Now,
        _call: CallId,
        _latency: Duration,
        _ok: bool,
    ) -> Vec<CallId> {
        Vec::new()
    }

    /// Calls that waited too long; they are refused as not run.
    pub fn expire(&mut self, _now: Now) -> Vec<CallId> {
        Vec::new()
    }

    /// Calls that wait.
    pub fn waiting(&self) -> u32 {
        0
    }

    /// Stops taking calls.
    pub fn drain(&mut self) {}

    /// Counters so far.
    pub fn counters(&self) -> &SlotsCounters {
        &self.counters
    }
}
