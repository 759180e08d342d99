//! The sequential test for whether the new version is worse than the old one. It may be evaluated
//! any number of times.
//!
//! Each stratum (time slot, stage, failure domain) contributes betting factors. Their expectation
//! is at most one as long as both versions fail at the same rate, whatever that rate is in the
//! stratum. The product of the factors, mixed over alternatives and over the time slot in which the
//! fault began, exceeds `1 / a` with probability at most `a` (Ville's inequality). A stratum with
//! calls of only one version has the factor one.

use crate::evidence::{Counts, Strata, Stratum, VersionCounts};
use crate::keys::{DomainKey, ServerKey};
use crate::stages::FIRST_CHECK_STAGE_NUMBER;

/// A property by which the versions are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Metric {
    /// The share of failed calls.
    Failed,
    /// The share of slow calls.
    Slow,
}

impl Metric {
    /// Both metrics.
    pub const ALL: [Self; 2] = [Self::Failed, Self::Slow];

    /// The number of calls that are failed or slow, depending on the metric.
    pub fn bad_calls(self, counts: Counts) -> u64 {
        match self {
            Self::Failed => counts.failed,
            Self::Slow => counts.slow,
        }
    }

    /// Prior of the old version's rate: calls assumed before the first one is counted, and how many
    /// of them are bad.
    fn prior(self) -> (f64, f64) {
        match self {
            Self::Failed => (500.0, 0.5),
            Self::Slow => (300.0, 1.5),
        }
    }
}

/// Excess rates of bad calls of the new version, each an alternative that bets are placed on.
const EXCESS_RATES: [f64; 5] = [0.02, 0.06, 0.15, 0.4, 0.9];

/// The smallest excess rate bet on, in multiples of the tolerated one. A version that adds only
/// what is tolerated loses these bets.
const MIN_EXCESS_TOLERANCES: f64 = 4.0;

/// Highest rate of bad calls that an alternative assumes. It is below one, so that the logarithm of
/// the rate of good calls is finite.
pub const MAX_RATE: f64 = 0.98;

/// Share of the initial wealth staked on a fault that is present from the first time slot.
const INITIAL_ONSET_WEIGHT: f64 = 0.3;

/// Upper bound of the time slots up to the planned end of the watch: the planned number of time
/// slots (see [`crate::stages::time_slot`]) and a margin.
const MAX_PLANNED_TIME_SLOTS: u16 = 56;

/// Share of the initial wealth staked on a fault that begins after the planned end of the watch.
const LATE_ONSET_WEIGHT: f64 = 0.05;

/// Number of time slots before the latest one whose bets are not cached, because evidence for them
/// usually still arrives. Later evidence for an earlier time slot clears the cache. The recent rate
/// of the old version is computed over the same time slots and the latest one.
const UNCACHED_TIME_SLOTS: u16 = 2;

/// Fewest calls of the old version from which its recent rate is computed.
const MIN_RECENT_OLD_CALLS: u64 = 20;

/// The contingency table of one stratum: calls and bad calls of both versions.
#[derive(Clone, Copy, Debug)]
struct Table {
    old_calls: f64,
    old_bad: f64,
    new_calls: f64,
    new_bad: f64,
}

/// Calls of the old version so far, including the prior.
#[derive(Clone, Copy, Debug)]
struct OldHistory {
    calls: f64,
    bad: f64,
}

impl OldHistory {
    fn new(metric: Metric) -> Self {
        let (calls, bad) = metric.prior();
        Self { calls, bad }
    }

    fn add(&mut self, counts: Counts, metric: Metric) {
        self.calls += counts.calls as f64;
        self.bad += metric.bad_calls(counts) as f64;
    }

    fn rate(self) -> f64 {
        self.bad / self.calls
    }
}

/// The bets of one test, a conditional and an informed one per excess rate. Wealth is kept as a
/// logarithm.
#[derive(Clone, Copy, Debug)]
struct Bets {
    /// Log wealth of the conditional bets, in the order of `excesses`; see [`paired_log_e_value`].
    conditional: [f64; EXCESS_RATES.len()],
    /// Log wealth of the informed bets, in the same order.
    informed: [f64; EXCESS_RATES.len()],
    /// Calls of the old version before the current time slot.
    history: OldHistory,
    /// Calls of the old version including the current time slot.
    pending: OldHistory,
    /// The current time slot; `None` before the first one with calls.
    time_slot: Option<u16>,
    /// Excess rates that are bet on.
    excesses: [f64; EXCESS_RATES.len()],
}

impl Bets {
    fn new(metric: Metric, tolerated: f64) -> Self {
        let history = OldHistory::new(metric);
        Self {
            excesses: excess_rates(tolerated),
            conditional: [f64::NEG_INFINITY; EXCESS_RATES.len()],
            informed: [f64::NEG_INFINITY; EXCESS_RATES.len()],
            history,
            pending: history,
            time_slot: None,
        }
    }

    fn add_stratum(
        &mut self,
        time_slot: u16,
        versions: &VersionCounts,
        metric: Metric,
        skipped: Option<ServerKey>,
    ) {
        self.enter_time_slot(time_slot);
        self.pending.add(versions.old, metric);
        let new = versions.new_total_without(skipped);
        if versions.old.calls == 0 || new.calls == 0 {
            return;
        }
        let table = Table {
            old_calls: versions.old.calls as f64,
            old_bad: metric.bad_calls(versions.old) as f64,
            new_calls: new.calls as f64,
            new_bad: metric.bad_calls(new) as f64,
        };
        let rate = self.history.rate();
        if table.old_bad + table.new_bad > 0.0 {
            for (wealth, excess) in self.conditional.iter_mut().zip(self.excesses) {
                *wealth += conditional_factor(&table, 1.0 + excess / rate);
            }
        }
        let (bad, calls) = (table.old_bad + table.new_bad, table.old_calls + table.new_calls);
        let base = log_likelihood(table.old_bad, table.old_calls, rate)
            - log_likelihood(bad, calls, bad / calls);
        for (wealth, excess) in self.informed.iter_mut().zip(self.excesses) {
            let worse = (rate + excess).min(MAX_RATE);
            *wealth += base + log_likelihood(table.new_bad, table.new_calls, worse);
        }
    }

    /// Starts a time slot: closes the history of the old version and stakes the share of wealth
    /// that is reserved for a fault beginning in this slot. The first slot with calls counts as
    /// slot 0.
    fn enter_time_slot(&mut self, time_slot: u16) {
        if self.time_slot == Some(time_slot) {
            return;
        }
        let weight = onset_weight(if self.time_slot.is_none() { 0 } else { time_slot }).ln();
        self.time_slot = Some(time_slot);
        self.history = self.pending;
        for wealth in self.conditional.iter_mut().chain(&mut self.informed) {
            *wealth = log_add(*wealth, weight);
        }
    }

    fn log_e_value(&self) -> f64 {
        log_mean(self.conditional.iter().chain(&self.informed))
    }
}

/// The cached bets over all time slots before `end_time_slot`, so that an evaluation processes only
/// the latest ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct CachedBets {
    end_time_slot: u16,
    bets: Option<Bets>,
}

impl CachedBets {
    /// Clears the cache if it covers `time_slot`.
    pub fn invalidate_from(&mut self, time_slot: u16) {
        if time_slot < self.end_time_slot {
            *self = Self::default();
        }
    }
}

/// The logarithm of the e-value (final over initial wealth of the bets) for the new version being
/// worse, paired over the strata.
///
/// Every bet takes the old version's rate from earlier time slots and assumes an excess for the new
/// version. The conditional bets condition on the number of bad calls in a stratum and bet that the
/// new version has more than its share of them. The informed bets bet on the rates of both
/// versions, against the common rate that fits the stratum best.
pub fn paired_log_e_value(strata: &mut Strata, metric: Metric) -> f64 {
    let cache = *strata.cached_bets(metric);
    let mut bets = cache.bets.unwrap_or_else(|| Bets::new(metric, strata.tolerated()));
    let last =
        strata.version_counts().last_key_value().map_or(0, |((stratum, _), _)| stratum.time_slot);
    let first_uncached_time_slot = last.saturating_sub(UNCACHED_TIME_SLOTS);
    let from = (Stratum { time_slot: cache.end_time_slot, stage: 0 }, DomainKey::default());
    let mut updated_cache = cache;
    for ((stratum, _), versions) in strata.version_counts().range(from..) {
        if stratum.time_slot >= first_uncached_time_slot
            && updated_cache.end_time_slot < first_uncached_time_slot
        {
            updated_cache =
                CachedBets { end_time_slot: first_uncached_time_slot, bets: Some(bets) };
        }
        bets.add_stratum(stratum.time_slot, versions, metric, None);
    }
    *strata.cached_bets(metric) = updated_cache;
    bets.log_e_value()
}

/// [`paired_log_e_value`] without the calls of one backend server of the new version. Nothing is
/// cached.
pub fn paired_log_e_value_without(strata: &Strata, metric: Metric, skipped: ServerKey) -> f64 {
    let mut bets = Bets::new(metric, strata.tolerated());
    for ((stratum, _), versions) in strata.version_counts() {
        bets.add_stratum(stratum.time_slot, versions, metric, Some(skipped));
    }
    bets.log_e_value()
}

/// Selects the strata in which the new version takes all calls.
#[derive(Clone, Copy, Debug)]
pub struct FullShareFilter {
    /// The lowest stage number that is selected; at least [`crate::stages::LAST_STAGE`].
    pub from_stage: u8,
    /// Whether bets keep their losses. If false, a bet whose wealth has fallen below its initial
    /// value is reset to it before each stratum, as in a CUSUM test, so that good calls before the
    /// onset of a fault do not hide it.
    pub keeps_losses: bool,
    /// A backend server whose calls are left out.
    pub skipped: Option<ServerKey>,
}

/// The logarithm of the e-value for the new version being worse than the old version's recorded
/// rate, the larger of its overall and its recent one, over strata in which the new version takes
/// all calls. Trouble common to both versions looks the same here, so the result may start a check
/// but proves nothing alone.
pub fn full_share_log_e_value(strata: &Strata, metric: Metric, filter: FullShareFilter) -> f64 {
    let rate = old_rate(strata, metric).max(recent_rate(strata, metric));
    let excesses = excess_rates(strata.tolerated());
    let mut bets = [0.0_f64; EXCESS_RATES.len()];
    for ((stratum, _), versions) in strata.version_counts() {
        if stratum.stage < filter.from_stage || stratum.stage >= FIRST_CHECK_STAGE_NUMBER {
            continue;
        }
        let new = versions.new_total_without(filter.skipped);
        let bad = metric.bad_calls(new) as f64;
        let good = new.calls as f64 - bad;
        for (wealth, excess) in bets.iter_mut().zip(excesses) {
            let worse = (rate + excess).min(MAX_RATE);
            if !filter.keeps_losses {
                *wealth = wealth.max(0.0);
            }
            *wealth += bad * (worse / rate).ln() + good * ((1.0 - worse) / (1.0 - rate)).ln();
        }
    }
    log_mean(bets.iter())
}

/// The rate of bad calls of the old version over all strata, with the prior.
pub fn old_rate(strata: &Strata, metric: Metric) -> f64 {
    let mut history = OldHistory::new(metric);
    history.add(strata.old(), metric);
    history.rate()
}

/// The rate of bad calls of the old version over the latest time slots; 0 if it had too few calls
/// there. It raises the baseline if both versions had trouble in the latest
/// [`UNCACHED_TIME_SLOTS`] + 1 time slots.
fn recent_rate(strata: &Strata, metric: Metric) -> f64 {
    let Some(((last, _), _)) = strata.version_counts().last_key_value() else {
        return 0.0;
    };
    let mut old = Counts::default();
    for ((stratum, _), versions) in strata.version_counts().iter().rev() {
        if stratum.time_slot + UNCACHED_TIME_SLOTS < last.time_slot {
            break;
        }
        old += versions.old;
    }
    if old.calls < MIN_RECENT_OLD_CALLS {
        return 0.0;
    }
    metric.bad_calls(old) as f64 / old.calls as f64
}

/// The share of the initial wealth that is staked on a fault beginning in a time slot; the shares
/// sum to one.
fn onset_weight(time_slot: u16) -> f64 {
    if time_slot == 0 {
        return INITIAL_ONSET_WEIGHT;
    }
    if time_slot <= MAX_PLANNED_TIME_SLOTS {
        return (1.0 - INITIAL_ONSET_WEIGHT - LATE_ONSET_WEIGHT)
            / f64::from(MAX_PLANNED_TIME_SLOTS);
    }
    let late = f64::from(time_slot - MAX_PLANNED_TIME_SLOTS);
    LATE_ONSET_WEIGHT / (late * (late + 1.0))
}

/// The excess rates that bets are placed on, for a tolerated excess rate.
fn excess_rates(tolerated: f64) -> [f64; EXCESS_RATES.len()] {
    EXCESS_RATES.map(|excess| excess.max(MIN_EXCESS_TOLERANCES * tolerated).min(MAX_RATE))
}

/// The logarithm of the betting factor of a stratum, given its number of bad calls. `ratio` is the
/// assumed rate of the new version over that of the old one.
fn conditional_factor(table: &Table, ratio: f64) -> f64 {
    let share = table.new_calls / (table.old_calls + table.new_calls);
    let bet = ratio * share / (1.0 - share + ratio * share);
    table.new_bad * (bet / share).ln() + table.old_bad * ((1.0 - bet) / (1.0 - share)).ln()
}

/// The log-likelihood of `bad` calls among `calls` under `rate`.
fn log_likelihood(bad: f64, calls: f64, rate: f64) -> f64 {
    let of_bad = if bad > 0.0 { bad * rate.ln() } else { 0.0 };
    let of_good = if bad < calls { (calls - bad) * (1.0 - rate).ln() } else { 0.0 };
    of_bad + of_good
}

/// The logarithm of the mean of wealths that are given as logarithms.
fn log_mean<'a>(wealths: impl Iterator<Item = &'a f64>) -> f64 {
    let mut sum = f64::NEG_INFINITY;
    let mut count = 0.0_f64;
    for wealth in wealths {
        sum = log_add(sum, *wealth);
        count += 1.0;
    }
    sum - count.ln()
}

/// `ln(exp(a) + exp(b))` without overflow.
fn log_add(a: f64, b: f64) -> f64 {
    let (low, high) = if a < b { (a, b) } else { (b, a) };
    if low == f64::NEG_INFINITY {
        return high;
    }
    high + (low - high).exp().ln_1p()
}
