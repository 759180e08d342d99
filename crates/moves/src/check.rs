//! The check of a new version that takes all calls and is suspect. Part of the traffic returns to
//! the old version, so that both can be compared over the same period.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::evidence::{Counts, Evidence, Strata};
use crate::findings::Finding;
use crate::sequential_test::{MAX_RATE, Metric, old_rate};
use crate::stages::FIRST_CHECK_STAGE_NUMBER;

/// Evidence against the suspicion, as a likelihood ratio, that ends a check.
const CLEARING_EVIDENCE: f64 = 20.0;

/// Fewest calls of the new version with which a check may end.
const MIN_NEW_CALLS: u64 = 3;

/// Fewest calls of the old version that show that it has no trouble.
const MIN_OLD_CALLS: u64 = 20;

/// Lowest excess rate that a check tests for.
const MIN_EXCESS_RATE: f64 = 0.02;

/// Highest excess rate that a check tests for.
const MAX_EXCESS_RATE: f64 = 0.9;

/// Limit on how often the minimum duration doubles from check to check.
const MAX_DOUBLINGS: u8 = 4;

/// Evidence, as a likelihood ratio, that the old version has trouble as well.
const COMMON_TROUBLE_EVIDENCE: f64 = 10.0;

/// Calls at the baseline rate that are added to those of the old version during the check.
const OLD_PRIOR_CALLS: f64 = 10.0;

/// Number of checks without trouble in either version after which the version is rolled back, if
/// the suspicion persists over all calls: its fault then appears only under full traffic.
pub(crate) const RECURRENCES_FOR_ROLLBACK: u32 = 3;

/// A check in progress.
#[derive(Clone, Debug)]
pub(crate) struct Check {
    /// The number of earlier checks of the move.
    pub(crate) index: u8,
    /// The time slot in which the check began.
    pub(crate) from_time_slot: u16,
    /// The finding that started the check.
    pub(crate) finding: Finding,
}

/// Why the suspicion was cleared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClearedBy {
    /// The old version had the same trouble in some time slots.
    CommonTrouble,
    /// Neither version has trouble any more.
    NoTrouble,
}

impl Check {
    /// The stage number under which calls are counted during the check.
    pub(crate) fn stage_number(&self) -> u8 {
        FIRST_CHECK_STAGE_NUMBER.saturating_add(self.index)
    }

    /// Minimum duration of the check; it doubles with each check of the move, up to
    /// [`MAX_DOUBLINGS`] times.
    pub(crate) fn min_duration(&self, dwell: Duration) -> Duration {
        dwell * 2_u32.pow(u32::from(self.index.min(MAX_DOUBLINGS)))
    }

    /// Why the check may end, or `None` while the calls since its start do not refute the
    /// suspicion clearly enough. Time slots in which the old version has trouble as well are
    /// left out.
    pub(crate) fn cleared(&self, evidence: &Evidence) -> Option<ClearedBy> {
        let strata = self.strata(evidence)?;
        let metric = self.finding.metric;
        let baseline_rate = old_rate(strata, metric);
        let suspected = self.suspected_excess(baseline_rate);
        let counts = self.counts(strata, baseline_rate);
        if counts.new.calls < MIN_NEW_CALLS {
            return None;
        }
        let old_calls = counts.old.calls as f64 + OLD_PRIOR_CALLS;
        let rate =
            (metric.bad_calls(counts.old) as f64 + baseline_rate * OLD_PRIOR_CALLS) / old_calls;
        if log_ratio(metric, counts.new, rate, rate + suspected / 2.0) > -CLEARING_EVIDENCE.ln() {
            return None;
        }
        if counts.common_trouble {
            return Some(ClearedBy::CommonTrouble);
        }
        (counts.old.calls >= MIN_OLD_CALLS).then_some(ClearedBy::NoTrouble)
    }

    /// Whether the new version still fails at the suspected rate while the old version beside
    /// it is as good as over the whole move. `min_log_ratio` is the logarithm of the required
    /// likelihood ratio. Failures count once per time slot, so that a single burst does not
    /// cause a rollback. Slow calls are never confirmed here.
    pub(crate) fn confirmed(&self, evidence: &Evidence, min_log_ratio: f64) -> bool {
        let metric = self.finding.metric;
        let Some(strata) = self.strata(evidence).filter(|_| metric == Metric::Failed) else {
            return false;
        };
        let baseline_rate = old_rate(strata, metric);
        let suspected = self.suspected_excess(baseline_rate);
        let counts = self.counts(strata, baseline_rate);
        let old_excess_log_ratio =
            log_ratio(metric, counts.old, baseline_rate, baseline_rate + suspected / 2.0);
        let new = Counts { failed: counts.bad_time_slots, ..counts.new };
        old_excess_log_ratio < -CLEARING_EVIDENCE.ln()
            && log_ratio(metric, new, baseline_rate, baseline_rate + suspected) > min_log_ratio
    }

    fn strata<'a>(&self, evidence: &'a Evidence) -> Option<&'a Strata> {
        match self.finding.route {
            Some(route) => evidence.routes().get(&route),
            None => Some(evidence.overall()),
        }
    }

    /// The excess over `baseline_rate` that raised the suspicion, within [`MIN_EXCESS_RATE`] and
    /// [`MAX_EXCESS_RATE`].
    fn suspected_excess(&self, baseline_rate: f64) -> f64 {
        let bad = self.finding.metric.bad_calls(self.finding.new) as f64;
        let calls = (self.finding.new.calls as f64).max(1.0);
        (bad / calls - baseline_rate).clamp(MIN_EXCESS_RATE, MAX_EXCESS_RATE)
    }

    /// Counts of the check; `baseline_rate` is the rate of bad calls of the old version over the
    /// whole move.
    fn counts(&self, strata: &Strata, baseline_rate: f64) -> CheckCounts {
        let mut time_slots: BTreeMap<u16, (Counts, Counts)> = BTreeMap::new();
        for ((stratum, _), versions) in strata.version_counts() {
            if stratum.stage < FIRST_CHECK_STAGE_NUMBER || stratum.time_slot < self.from_time_slot {
                continue;
            }
            let (old, new) = time_slots.entry(stratum.time_slot).or_default();
            *old += versions.old;
            *new += versions.new_total_without(None);
        }
        let mut counts = CheckCounts::default();
        for (old, new) in time_slots.into_values() {
            if old_version_is_worse(
                self.finding.metric.bad_calls(old) as f64,
                old.calls as f64,
                baseline_rate,
            ) {
                counts.common_trouble = true;
                continue;
            }
            counts.old += old;
            counts.new += new;
            counts.bad_time_slots += u64::from(self.finding.metric.bad_calls(new) > 0);
        }
        counts
    }
}

/// Counts of both versions over those time slots of a check in which the old version was as good as
/// over the whole move.
#[derive(Clone, Copy, Debug, Default)]
struct CheckCounts {
    old: Counts,
    new: Counts,
    /// Number of these time slots in which the new version had bad calls.
    bad_time_slots: u64,
    /// Whether the old version had trouble in other time slots of the check.
    common_trouble: bool,
}

/// The log-likelihood ratio of the counts under the rates `worse` and `rate`.
fn log_ratio(metric: Metric, counts: Counts, rate: f64, worse: f64) -> f64 {
    let worse = worse.min(MAX_RATE);
    let bad = metric.bad_calls(counts) as f64;
    let good = counts.calls as f64 - bad;
    bad * (worse / rate).ln() + good * ((1.0 - worse) / (1.0 - rate)).ln()
}

/// Whether the old version is worse than `baseline_rate`.
fn old_version_is_worse(bad: f64, calls: f64, baseline_rate: f64) -> bool {
    if bad <= baseline_rate * calls {
        return false;
    }
    let rate = bad / calls;
    let good = calls - bad;
    let of_good = if good > 0.0 { good * ((1.0 - rate) / (1.0 - baseline_rate)).ln() } else { 0.0 };
    bad * (rate / baseline_rate).ln() + of_good > COMMON_TROUBLE_EVIDENCE.ln()
}

/// The reason of a rollback because a check confirmed the suspicion.
pub(crate) fn persisting_reason(suspicion: &str) -> String {
    format!("the new version goes on failing beside the old one, after {suspicion}")
}

/// The reason of a rollback because of recurring suspicions.
pub(crate) fn recurring_reason(finding: &Finding, scope: &str) -> String {
    let verb = match finding.metric {
        Metric::Failed => "failed",
        Metric::Slow => "was slow on",
    };
    format!(
        "the new version {verb} {} of {} calls {scope} with all traffic, \
         {RECURRENCES_FOR_ROLLBACK} times over, and only then",
        finding.metric.bad_calls(finding.new),
        finding.new.calls,
    )
}
