//! Evidence about one move: call counters of all reporters, merged by the maximum of each field.
//!
//! A reporter is one incarnation of a daemon. It counts calls by time slot, stage, route and
//! backend server of the new version; the backend servers of the old version are counted as one. A
//! restarted daemon is a new reporter, so a counter never decreases and payloads may arrive
//! repeatedly and in any order. Sums over reporters are kept beside the counters and depend only on
//! the counters, not on the order of arrival.

use std::collections::BTreeMap;
use std::ops::{Add, AddAssign, Sub};

use serde::{Deserialize, Serialize};

use crate::keys::{DomainKey, ReporterKey, RouteKey, ServerKey};
use crate::sequential_test::{CachedBets, Metric};
use crate::stages::{FIRST_CHECK_STAGE_NUMBER, LAST_STAGE};

/// Numbers of finished calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All calls, failed and slow ones included.
    pub calls: u64,
    /// Calls that the backend server failed.
    pub failed: u64,
    /// Calls that did not fail and took longer than the latency limit of the route, except cold
    /// calls and calls of a backend server of the new version that is warming up.
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

/// The period in which a call is counted: the time slot of the move in which it finished, and
/// the stage that applied at the reporter when it started.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stratum {
    /// The time slot; 0 is before the start.
    pub time_slot: u16,
    /// The stage number at the reporter, see [`FIRST_CHECK_STAGE_NUMBER`].
    pub stage: u8,
}

/// What a counter of a reporter counts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CounterKey {
    /// The time slot in which the calls finished and the stage at which they started.
    pub stratum: Stratum,
    /// The route of the calls.
    pub route: RouteKey,
    /// The backend server of the new version, or [`ServerKey::OLD`].
    pub server: ServerKey,
}

/// The counts of both versions in one stratum and failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// The old version, over all its backend servers.
    pub old: Counts,
    /// The new version, by backend server.
    pub new: BTreeMap<ServerKey, Counts>,
}

impl VersionCounts {
    /// Counts of the new version, except those of the backend server `skipped`.
    pub fn new_total_without(&self, skipped: Option<ServerKey>) -> Counts {
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

/// The key of [`VersionCounts`]: stratum and failure domain.
pub type StratumKey = (Stratum, DomainKey);

/// Counts by stratum and failure domain, with the sums that the tests need on every evaluation.
#[derive(Clone, Debug, Default)]
pub struct Strata {
    version_counts: BTreeMap<StratumKey, VersionCounts>,
    new_calls: BTreeMap<ServerKey, u64>,
    old: Counts,
    tolerated: f64,
    cached_bets: [CachedBets; Metric::ALL.len()],
}

impl Strata {
    fn new(tolerated: f64) -> Self {
        Self { tolerated, ..Self::default() }
    }

    /// The counts in order of time slot and stage.
    pub fn version_counts(&self) -> &BTreeMap<StratumKey, VersionCounts> {
        &self.version_counts
    }

    /// Calls of the new version by backend server, over all strata.
    pub fn new_calls(&self) -> &BTreeMap<ServerKey, u64> {
        &self.new_calls
    }

    /// Counts of the old version over all strata.
    pub fn old(&self) -> Counts {
        self.old
    }

    /// Tolerated increase of the rate of bad (failed or slow) calls by the new version, as a share
    /// of calls (0 to 1).
    pub fn tolerated(&self) -> f64 {
        self.tolerated
    }

    /// The cached bets of a metric over the earlier time slots. The cache is cleared if evidence
    /// for one of them arrives late.
    pub fn cached_bets(&mut self, metric: Metric) -> &mut CachedBets {
        &mut self.cached_bets[metric as usize]
    }

    fn add(&mut self, stratum_key: StratumKey, server: ServerKey, counts: Counts) {
        self.version_counts.entry(stratum_key).or_default().add(server, counts);
        if server == ServerKey::OLD {
            self.old += counts;
        } else {
            *self.new_calls.entry(server).or_default() += counts.calls;
        }
        for cache in &mut self.cached_bets {
            cache.invalidate_from(stratum_key.0.time_slot);
        }
    }
}

/// The counters of one reporter.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reporter {
    /// The failure domain of the reporter.
    pub domain: DomainKey,
    /// The counters by what they count.
    pub counters: BTreeMap<CounterKey, Counts>,
}

/// The evidence of all reporters about one move.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    reporters: BTreeMap<ReporterKey, Reporter>,
    routes: BTreeMap<RouteKey, Strata>,
    overall: Strata,
    new_calls: BTreeMap<u8, u64>,
    tolerated: f64,
}

impl Evidence {
    /// No evidence yet. `tolerated` is the increase of the rate of bad (failed or slow) calls
    /// by the new version that is tolerated, as a share of calls.
    pub fn new(tolerated: f64) -> Self {
        Self { overall: Strata::new(tolerated), tolerated, ..Self::default() }
    }

    /// Raises a counter to at least `counts` and returns the increase.
    pub fn merge(
        &mut self,
        reporter: ReporterKey,
        domain: DomainKey,
        key: CounterKey,
        counts: Counts,
    ) -> Counts {
        let entry = self.reporters.entry(reporter).or_default();
        entry.domain = domain;
        let counter = entry.counters.entry(key).or_default();
        let joined = counter.join(counts);
        let growth = joined - *counter;
        *counter = joined;
        self.add_to_sums(domain, key, growth);
        growth
    }

    /// Adds calls to a counter.
    pub fn add(
        &mut self,
        reporter: ReporterKey,
        domain: DomainKey,
        key: CounterKey,
        counts: Counts,
    ) {
        let entry = self.reporters.entry(reporter).or_default();
        entry.domain = domain;
        *entry.counters.entry(key).or_default() += counts;
        self.add_to_sums(domain, key, counts);
    }

    /// Counters by reporter.
    pub fn reporters(&self) -> &BTreeMap<ReporterKey, Reporter> {
        &self.reporters
    }

    /// Whether every reporter with calls since the time slot `since` has its greatest stratum (the
    /// latest time slot, and in it the highest stage number) at the last stage and not in a
    /// check.
    pub fn all_at_last_stage(&self, since: u16) -> bool {
        for reporter in self.reporters.values() {
            let Some((key, _)) = reporter.counters.last_key_value() else {
                continue;
            };
            let last_stage = LAST_STAGE..FIRST_CHECK_STAGE_NUMBER;
            if key.stratum.time_slot >= since && !last_stage.contains(&key.stratum.stage) {
                return false;
            }
        }
        true
    }

    /// Sums over all reporters, by route.
    pub fn routes(&self) -> &BTreeMap<RouteKey, Strata> {
        &self.routes
    }

    /// Sums of one route, for a test that updates their cached bets.
    pub fn route_mut(&mut self, route: RouteKey) -> Option<&mut Strata> {
        self.routes.get_mut(&route)
    }

    /// Sums over all routes.
    pub fn overall(&self) -> &Strata {
        &self.overall
    }

    /// Sums over all routes, for a test that updates their cached bets.
    pub fn overall_mut(&mut self) -> &mut Strata {
        &mut self.overall
    }

    /// Calls of the new version at `stage` and later stages.
    pub fn new_calls_from(&self, stage: u8) -> u64 {
        self.new_calls.range(stage..).map(|(_, calls)| calls).sum()
    }

    fn add_to_sums(&mut self, domain: DomainKey, key: CounterKey, growth: Counts) {
        if growth == Counts::default() {
            return;
        }
        let stratum_key = (key.stratum, domain);
        let new_strata = || Strata::new(self.tolerated);
        self.routes.entry(key.route).or_insert_with(new_strata).add(
            stratum_key,
            key.server,
            growth,
        );
        self.overall.add(stratum_key, key.server, growth);
        if key.server != ServerKey::OLD {
            *self.new_calls.entry(key.stratum.stage).or_default() += growth.calls;
        }
    }
}

#[cfg(test)]
mod tests;
