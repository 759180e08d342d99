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

/// Pairs in the order of time, then of failure domain.
pub type Strata = BTreeMap<(Stratum, DomainKey), Pair>;

/// The lines of one reporter.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reporter {
    /// Its failure domain.
    pub domain: DomainKey,
    /// Its counters.
    pub lines: BTreeMap<LineKey, Counts>,
}

/// All evidence about one move.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    reporters: BTreeMap<ReporterKey, Reporter>,
    routes: BTreeMap<RouteKey, Strata>,
    overall: Strata,
}

impl Evidence {
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

    /// Sums by route.
    pub fn routes(&self) -> &BTreeMap<RouteKey, Strata> {
        &self.routes
    }

    /// Sums over all routes.
    pub fn overall(&self) -> &Strata {
        &self.overall
    }

    fn sum(&mut self, domain: DomainKey, key: LineKey, growth: Counts) {
        if growth == Counts::default() {
            return;
        }
        let place = (key.stratum, domain);
        let strata = self.routes.entry(key.route).or_default();
        strata.entry(place).or_default().add(key.server, growth);
        self.overall.entry(place).or_default().add(key.server, growth);
    }
}
