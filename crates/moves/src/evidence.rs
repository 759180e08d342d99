//! Evidence: counters that only grow, merged by the maximum of each field.
//!
//! A reporter is one life of one daemon. It counts calls per line: time slot and stage of the
//! call, route, and backend server of the new version (the old version's servers count as one).
//! A restarted daemon is another reporter, so no counter ever falls. Sums over reporters are kept
//! beside the lines; they depend on the lines only, not on the order in which they came.

use std::collections::BTreeMap;
use std::ops::{Add, AddAssign, Sub};

use serde::{Deserialize, Serialize};

use crate::keys::{DomainKey, ReporterKey, RouteKey, ServerKey};
use crate::ladder::{LAST_STAGE, LONE_STRATA_END};
use crate::sequential::{Class, Memo};

/// Counts of finished calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls.
    pub calls: u64,
    /// Calls that the backend server failed.
    pub failed: u64,
    /// Calls that took longer than the old version's reference.
    pub slow: u64,
}

impl Counts {
    /// The maximum of each field.
    pub fn join(self, other: Self) -> Self {
        Self {
            calls: self.calls.max(other.calls),
            failed: self.failed.max(other.failed),
            slow: self.slow.max(other.slow),
        }
    }
}

impl Add for Counts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            calls: self.calls.saturating_add(other.calls),
            failed: self.failed.saturating_add(other.failed),
            slow: self.slow.saturating_add(other.slow),
        }
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Counts {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            calls: self.calls.saturating_sub(other.calls),
            failed: self.failed.saturating_sub(other.failed),
            slow: self.slow.saturating_sub(other.slow),
        }
    }
}

/// When a call was made: in which time slot of the move, and at which stage of its reporter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stratum {
    /// The time slot; 0 is before the start.
    pub slot: u16,
    /// The index of the stage.
    pub stage: u8,
}

/// What a counter counts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LineKey {
    /// When.
    pub stratum: Stratum,
    /// On which route.
    pub route: RouteKey,
    /// By which backend server.
    pub server: ServerKey,
}

/// Both versions over the same stratum and failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pair {
    /// The old version.
    pub old: Counts,
    /// The new version, by backend server.
    pub new: BTreeMap<ServerKey, Counts>,
}

impl Pair {
    /// The new version without one of its backend servers.
    pub fn new_without(&self, skipped: Option<ServerKey>) -> Counts {
        let mut sum = Counts::default();
        for (server, counts) in &self.new {
            if Some(*server) != skipped {
                sum += *counts;
            }
        }
        sum
    }

    fn add(&mut self, server: ServerKey, counts: Counts) {
        if server == ServerKey::OLD {
            self.old += counts;
        } else {
            *self.new.entry(server).or_default() += counts;
        }
    }
}

/// Where a pair stands: time and stage, then failure domain.
pub type Place = (Stratum, DomainKey);

/// Pairs in the order of time, with the sums that the tests ask for again and again.
#[derive(Clone, Debug, Default)]
pub struct Strata {
    pairs: BTreeMap<Place, Pair>,
    new_calls: BTreeMap<ServerKey, u64>,
    old: Counts,
    tolerated: f64,
    memos: [Memo; Class::ALL.len()],
}

impl Strata {
    fn new(tolerated: f64) -> Self {
        Self { tolerated, ..Self::default() }
    }

    /// The pairs in order.
    pub fn pairs(&self) -> &BTreeMap<Place, Pair> {
        &self.pairs
    }

    /// Calls of the new version by backend server.
    pub fn new_calls(&self) -> &BTreeMap<ServerKey, u64> {
        &self.new_calls
    }

    /// The old version over all pairs.
    pub fn old(&self) -> Counts {
        self.old
    }

    /// Excess of the new version's rate that is tolerated, as a share of calls.
    pub fn tolerated(&self) -> f64 {
        self.tolerated
    }

    /// What the closed slots came to in the test of a class.
    pub fn memo(&mut self, class: Class) -> &mut Memo {
        &mut self.memos[class as usize]
    }

    fn add(&mut self, place: Place, server: ServerKey, counts: Counts) {
        self.pairs.entry(place).or_default().add(server, counts);
        if server == ServerKey::OLD {
            self.old += counts;
        } else {
            *self.new_calls.entry(server).or_default() += counts.calls;
        }
        for memo in &mut self.memos {
            memo.forget_from(place.0.slot);
        }
    }
}

/// The lines of one reporter.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reporter {
    /// Its failure domain.
    pub domain: DomainKey,
    /// Its counters.
    pub lines: BTreeMap<LineKey, Counts>,
}

/// All evidence about one move.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    reporters: BTreeMap<ReporterKey, Reporter>,
    routes: BTreeMap<RouteKey, Strata>,
    overall: Strata,
    new_calls: BTreeMap<u8, u64>,
    tolerated: f64,
}

impl Evidence {
    /// No evidence yet, about a version that may add `tolerated` to the old one's failure rate.
    pub fn new(tolerated: f64) -> Self {
        Self { overall: Strata::new(tolerated), tolerated, ..Self::default() }
    }

    /// Raises a line to at least `counts`; returns by how much it grew.
    pub fn raise(
        &mut self,
        reporter: ReporterKey,
        domain: DomainKey,
        key: LineKey,
        counts: Counts,
    ) -> Counts {
        let entry = self.reporters.entry(reporter).or_default();
        entry.domain = domain;
        let line = entry.lines.entry(key).or_default();
        let joined = line.join(counts);
        let growth = joined - *line;
        *line = joined;
        self.sum(domain, key, growth);
        growth
    }

    /// Counts more calls on a line.
    pub fn count(
        &mut self,
        reporter: ReporterKey,
        domain: DomainKey,
        key: LineKey,
        counts: Counts,
    ) {
        let entry = self.reporters.entry(reporter).or_default();
        entry.domain = domain;
        *entry.lines.entry(key).or_default() += counts;
        self.sum(domain, key, counts);
    }

    /// The reporters heard of.
    pub fn reporters(&self) -> &BTreeMap<ReporterKey, Reporter> {
        &self.reporters
    }

    /// Whether all reporters with calls since a slot counted their latest ones at the last stage,
    /// and none of them while it checked the version.
    pub fn all_at_last_stage(&self, since: u16) -> bool {
        for reporter in self.reporters.values() {
            let Some((key, _)) = reporter.lines.last_key_value() else {
                continue;
            };
            let last_stage = LAST_STAGE..LONE_STRATA_END;
            if key.stratum.slot >= since && !last_stage.contains(&key.stratum.stage) {
                return false;
            }
        }
        true
    }

    /// Sums by route.
    pub fn routes(&self) -> &BTreeMap<RouteKey, Strata> {
        &self.routes
    }

    /// Sums of one route.
    pub fn route_mut(&mut self, route: RouteKey) -> Option<&mut Strata> {
        self.routes.get_mut(&route)
    }

    /// Sums over all routes.
    pub fn overall(&self) -> &Strata {
        &self.overall
    }

    /// Sums over all routes.
    pub fn overall_mut(&mut self) -> &mut Strata {
        &mut self.overall
    }

    /// Calls of the new version at a stage or a later one.
    pub fn new_calls_from(&self, stage: u8) -> u64 {
        self.new_calls.range(stage..).map(|(_, calls)| calls).sum()
    }

    fn sum(&mut self, domain: DomainKey, key: LineKey, growth: Counts) {
        if growth == Counts::default() {
            return;
        }
        let place = (key.stratum, domain);
        let fresh = || Strata::new(self.tolerated);
        self.routes.entry(key.route).or_insert_with(fresh).add(place, key.server, growth);
        self.overall.add(place, key.server, growth);
        if key.server != ServerKey::OLD {
            *self.new_calls.entry(key.stratum.stage).or_default() += growth.calls;
        }
    }
}

#[cfg(test)]
mod tests;
