//! Counts of the calls that were turned away, by criticality class and reason.

use cyclamen_declarations::Criticality;
use serde::{Deserialize, Serialize};

/// Why a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TurnAwayReason {
    /// It was not expected to start in time.
    NoTime,
    /// The queue was full of calls that cost callers no less.
    QueueFull,
    /// It was queued, and lost its place or its time to a call that costs callers more.
    Displaced,
    /// Its longest wait was over.
    Expired,
}

/// The calls of one class that were turned away.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TurnedAway {
    /// Calls that could not be expected to start in time.
    pub no_time: u64,
    /// Calls that found the queue full.
    pub queue_full: u64,
    /// Queued calls that gave way to others.
    pub displaced: u64,
    /// Queued calls whose longest wait was over.
    pub expired: u64,
    /// Those of all these that were beyond the fair share of their client account.
    pub beyond_share: u64,
}

/// The calls that were turned away for lack of room, by class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TurnedAwayByClass {
    /// Calls of [`Criticality::Critical`], and nested calls.
    pub critical: TurnedAway,
    /// Calls of [`Criticality::Normal`].
    pub normal: TurnedAway,
    /// Calls of [`Criticality::Bulk`].
    pub bulk: TurnedAway,
}

impl TurnedAway {
    fn plus(self, other: Self) -> Self {
        Self {
            no_time: self.no_time + other.no_time,
            queue_full: self.queue_full + other.queue_full,
            displaced: self.displaced + other.displaced,
            expired: self.expired + other.expired,
            beyond_share: self.beyond_share + other.beyond_share,
        }
    }
}

impl TurnedAwayByClass {
    /// The sums of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            critical: self.critical.plus(other.critical),
            normal: self.normal.plus(other.normal),
            bulk: self.bulk.plus(other.bulk),
        }
    }

    pub(super) fn count(
        &mut self,
        criticality: Criticality,
        reason: TurnAwayReason,
        beyond_share: bool,
    ) {
        let class = match criticality {
            Criticality::Critical => &mut self.critical,
            Criticality::Normal => &mut self.normal,
            Criticality::Bulk => &mut self.bulk,
        };
        let count = match reason {
            TurnAwayReason::NoTime => &mut class.no_time,
            TurnAwayReason::QueueFull => &mut class.queue_full,
            TurnAwayReason::Displaced => &mut class.displaced,
            TurnAwayReason::Expired => &mut class.expired,
        };
        *count += 1;
        class.beyond_share += u64::from(beyond_share);
    }
}
