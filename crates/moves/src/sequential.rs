//! The test: evidence that the new version is worse than the old one, valid at any number of
//! looks.
//!
//! Each stratum (time slot, stage, failure domain) yields betting factors whose expectation is at
//! most one as long as both versions fail at the same rate, whatever that rate is there and then.
//! Their running product, mixed over alternatives and over the slot in which the fault began,
//! exceeds `1 / a` with probability at most `a` (Ville's inequality). A stratum that holds only
//! one version has the factor one.

use crate::evidence::{Counts, Strata};
use crate::keys::ServerKey;

/// What is counted against a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Failed calls.
    Failed,
    /// Slow calls.
    Slow,
}

impl Class {
    /// Both classes.
    pub const ALL: [Self; 2] = [Self::Failed, Self::Slow];

    /// The calls of this class.
    pub fn bad(self, counts: Counts) -> u64 {
        match self {
            Self::Failed => counts.failed,
            Self::Slow => counts.slow,
        }
    }

    /// Calls assumed before any were seen, and how many of them were bad.
    fn prior(self) -> (f64, f64) {
        match self {
            Self::Failed => (500.0, 0.5),
            Self::Slow => (300.0, 4.5),
        }
    }
}

/// Ratios of rates that the conditional bets are placed on.
const RATIOS: [f64; 5] = [3.0, 8.0, 25.0, 100.0, 500.0];

/// Excess rates that the informed bets are placed on.
const EXCESSES: [f64; 5] = [0.02, 0.06, 0.15, 0.4, 0.9];

/// Highest rate that an informed bet is placed on.
const HIGHEST_RATE: f64 = 0.98;

/// Old and new over one stratum, by class.
#[derive(Clone, Copy, Debug)]
struct Table {
    old_calls: f64,
    old_bad: f64,
    new_calls: f64,
    new_bad: f64,
}

/// A bet whose wealth is carried in logarithms.
#[derive(Clone, Copy, Debug)]
struct Bet {
    wealth: f64,
}

impl Bet {
    fn stake(&mut self, weight: f64) {
        self.wealth = log_add(self.wealth, weight.ln());
    }
}

/// The rate of the old version as known before a slot.
#[derive(Clone, Copy, Debug)]
struct History {
    calls: f64,
    bad: f64,
}

impl History {
    fn new(class: Class) -> Self {
        let (calls, bad) = class.prior();
        Self { calls, bad }
    }

    fn add(&mut self, counts: Counts, class: Class) {
        self.calls += counts.calls as f64;
        self.bad += class.bad(counts) as f64;
    }

    fn rate(self) -> f64 {
        self.bad / self.calls
    }
}

/// The logarithm of the evidence that the new version is worse, paired over the strata.
pub fn paired(strata: &Strata, class: Class, skipped: Option<ServerKey>) -> f64 {
    let mut conditional = [Bet { wealth: f64::NEG_INFINITY }; RATIOS.len()];
    let mut informed = [Bet { wealth: f64::NEG_INFINITY }; EXCESSES.len()];
    let mut history = History::new(class);
    let mut pending = history;
    let mut slot = None;
    for ((stratum, _), pair) in strata {
        if slot != Some(stratum.slot) {
            let first = if slot.is_none() { 0 } else { stratum.slot };
            slot = Some(stratum.slot);
            history = pending;
            let weight = onset_weight(first);
            conditional.iter_mut().for_each(|bet| bet.stake(weight));
            informed.iter_mut().for_each(|bet| bet.stake(weight));
        }
        pending.add(pair.old, class);
        let new = pair.new_without(skipped);
        if pair.old.calls == 0 || new.calls == 0 {
            continue;
        }
        let table = Table {
            old_calls: pair.old.calls as f64,
            old_bad: class.bad(pair.old) as f64,
            new_calls: new.calls as f64,
            new_bad: class.bad(new) as f64,
        };
        for (bet, ratio) in conditional.iter_mut().zip(RATIOS) {
            bet.wealth += conditional_factor(&table, ratio);
        }
        for (bet, excess) in informed.iter_mut().zip(EXCESSES) {
            bet.wealth += informed_factor(&table, history.rate(), excess);
        }
    }
    let mut sum = f64::NEG_INFINITY;
    for bet in conditional.iter().chain(&informed) {
        sum = log_add(sum, bet.wealth);
    }
    sum - ((RATIOS.len() + EXCESSES.len()) as f64).ln()
}

/// The logarithm of the evidence that the new version is worse than the old one ever was, over
/// the strata from a stage on, in which it runs alone. Trouble common to both looks the same
/// here, so this raises a suspicion and convicts nobody.
pub fn absolute(strata: &Strata, class: Class, from_stage: u8, to_stage: u8) -> f64 {
    let rate = rate_before(strata, class);
    let mut bets = [Bet { wealth: 0.0 }; EXCESSES.len()];
    for ((stratum, _), pair) in strata {
        if stratum.stage < from_stage || stratum.stage >= to_stage {
            continue;
        }
        let new = pair.new_without(None);
        let bad = class.bad(new) as f64;
        let good = new.calls as f64 - bad;
        for (bet, excess) in bets.iter_mut().zip(EXCESSES) {
            let worse = (rate + excess).min(HIGHEST_RATE);
            let factor = bad * (worse / rate).ln() + good * ((1.0 - worse) / (1.0 - rate)).ln();
            bet.wealth = bet.wealth.max(0.0) + factor;
        }
    }
    let mut sum = f64::NEG_INFINITY;
    for bet in bets {
        sum = log_add(sum, bet.wealth);
    }
    sum - (EXCESSES.len() as f64).ln()
}

/// The rate of the old version over all strata.
pub fn rate_before(strata: &Strata, class: Class) -> f64 {
    let mut history = History::new(class);
    for pair in strata.values() {
        history.add(pair.old, class);
    }
    history.rate()
}

/// The share of wealth that is staked on a fault that begins in a slot; the shares sum to one.
fn onset_weight(slot: u16) -> f64 {
    let slot = f64::from(slot);
    1.0 / ((slot + 1.0) * (slot + 2.0))
}

/// Given how many calls were bad in all, bets that more of them than its share are the new
/// version's.
fn conditional_factor(table: &Table, ratio: f64) -> f64 {
    if table.old_bad + table.new_bad == 0.0 {
        return 0.0;
    }
    let share = table.new_calls / (table.old_calls + table.new_calls);
    let bet = ratio * share / (1.0 - share + ratio * share);
    table.new_bad * (bet / share).ln() + table.old_bad * ((1.0 - bet) / (1.0 - share)).ln()
}

/// Bets on the old version's known rate and an excess of the new one, against the common rate
/// that fits the stratum best.
fn informed_factor(table: &Table, rate: f64, excess: f64) -> f64 {
    let worse = (rate + excess).min(HIGHEST_RATE);
    let old = log_likelihood(table.old_bad, table.old_calls, rate);
    let new = log_likelihood(table.new_bad, table.new_calls, worse);
    let bad = table.old_bad + table.new_bad;
    let calls = table.old_calls + table.new_calls;
    old + new - log_likelihood(bad, calls, bad / calls)
}

fn log_likelihood(bad: f64, calls: f64, rate: f64) -> f64 {
    let of_bad = if bad > 0.0 { bad * rate.ln() } else { 0.0 };
    let of_good = if bad < calls { (calls - bad) * (1.0 - rate).ln() } else { 0.0 };
    of_bad + of_good
}

/// `ln(exp(a) + exp(b))` without overflow.
fn log_add(a: f64, b: f64) -> f64 {
    let (low, high) = if a < b { (a, b) } else { (b, a) };
    if low == f64::NEG_INFINITY {
        return high;
    }
    high + (low - high).exp().ln_1p()
}
