//! The test: evidence that the new version is worse than the old one, valid at any number of
//! looks.
//!
//! Each stratum (time slot, stage, failure domain) yields betting factors whose expectation is at
//! most one as long as both versions fail at the same rate, whatever that rate is there and then.
//! Their running product, mixed over alternatives and over the slot in which the fault began,
//! exceeds `1 / a` with probability at most `a` (Ville's inequality). A stratum that holds only
//! one version has the factor one.

use crate::evidence::{Counts, Pair, Strata, Stratum};
use crate::keys::{DomainKey, ServerKey};
use crate::ladder::LONE_STRATA_END;

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
            Self::Slow => (300.0, 1.5),
        }
    }
}

/// Excess rates that bets are placed on.
const EXCESSES: [f64; 5] = [0.02, 0.06, 0.15, 0.4, 0.9];

/// Tolerated excess rates that the least excess bet on is above, so that a version that adds what
/// is tolerated loses the bets.
const TOLERANCES: f64 = 4.0;

/// Highest rate that an informed bet is placed on.
pub const HIGHEST_RATE: f64 = 0.98;

/// Share of wealth staked on a fault that is there from the first.
const FIRST_ONSET: f64 = 0.3;

/// Slots that a move has as planned, with some to spare.
const PLANNED_SLOTS: u16 = 56;

/// Share of wealth staked on a fault that begins after the planned end.
const LATE_ONSET: f64 = 0.05;

/// Latest slots that evidence may still come for without looking back further.
const OPEN_SLOTS: u16 = 2;

/// Fewest calls of the old version that tell its recent rate.
const FEWEST_RECENT_CALLS: u64 = 20;

/// Old and new over one stratum, by class.
#[derive(Clone, Copy, Debug)]
struct Table {
    old_calls: f64,
    old_bad: f64,
    new_calls: f64,
    new_bad: f64,
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

/// All bets of one test, with their wealth in logarithms.
#[derive(Clone, Copy, Debug)]
struct Bets {
    conditional: [f64; EXCESSES.len()],
    informed: [f64; EXCESSES.len()],
    /// The old version before the present slot.
    history: History,
    /// The old version up to now.
    pending: History,
    slot: Option<u16>,
    excesses: [f64; EXCESSES.len()],
}

impl Bets {
    fn new(class: Class, tolerated: f64) -> Self {
        let history = History::new(class);
        Self {
            excesses: excesses(tolerated),
            conditional: [f64::NEG_INFINITY; EXCESSES.len()],
            informed: [f64::NEG_INFINITY; EXCESSES.len()],
            history,
            pending: history,
            slot: None,
        }
    }

    fn take(&mut self, slot: u16, pair: &Pair, class: Class, skipped: Option<ServerKey>) {
        self.enter(slot);
        self.pending.add(pair.old, class);
        let new = pair.new_without(skipped);
        if pair.old.calls == 0 || new.calls == 0 {
            return;
        }
        let table = Table {
            old_calls: pair.old.calls as f64,
            old_bad: class.bad(pair.old) as f64,
            new_calls: new.calls as f64,
            new_bad: class.bad(new) as f64,
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
            let worse = (rate + excess).min(HIGHEST_RATE);
            *wealth += base + log_likelihood(table.new_bad, table.new_calls, worse);
        }
    }

    fn enter(&mut self, slot: u16) {
        if self.slot == Some(slot) {
            return;
        }
        let weight = onset_weight(if self.slot.is_none() { 0 } else { slot }).ln();
        self.slot = Some(slot);
        self.history = self.pending;
        for wealth in self.conditional.iter_mut().chain(&mut self.informed) {
            *wealth = log_add(*wealth, weight);
        }
    }

    fn mean(&self) -> f64 {
        log_mean(self.conditional.iter().chain(&self.informed))
    }
}

/// The bets over all slots before one, so that a look costs the latest slots only.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memo {
    until: u16,
    bets: Option<Bets>,
}

impl Memo {
    /// Drops what was kept if it holds this slot.
    pub fn forget_from(&mut self, slot: u16) {
        if slot < self.until {
            *self = Self::default();
        }
    }
}

/// The logarithm of the evidence that the new version is worse, paired over the strata.
///
/// All bets take the old version's rate as known from earlier slots and add an excess for the new
/// one. The conditional bets take the number of bad calls of a stratum as given and bet that more
/// of them than its share are the new version's; the informed bets bet on both rates, against the
/// common rate that fits the stratum best.
pub fn paired(strata: &mut Strata, class: Class) -> f64 {
    let memo = *strata.memo(class);
    let mut bets = memo.bets.unwrap_or_else(|| Bets::new(class, strata.tolerated()));
    let last = strata.pairs().last_key_value().map_or(0, |((stratum, _), _)| stratum.slot);
    let keep = last.saturating_sub(OPEN_SLOTS);
    let from = (Stratum { slot: memo.until, stage: 0 }, DomainKey::default());
    let mut kept = memo;
    for ((stratum, _), pair) in strata.pairs().range(from..) {
        if stratum.slot >= keep && kept.until < keep {
            kept = Memo { until: keep, bets: Some(bets) };
        }
        bets.take(stratum.slot, pair, class, None);
    }
    *strata.memo(class) = kept;
    bets.mean()
}

/// The same without one backend server of the new version.
pub fn paired_without(strata: &Strata, class: Class, skipped: ServerKey) -> f64 {
    let mut bets = Bets::new(class, strata.tolerated());
    for ((stratum, _), pair) in strata.pairs() {
        bets.take(stratum.slot, pair, class, Some(skipped));
    }
    bets.mean()
}

/// Which strata of a version that runs alone are looked at.
#[derive(Clone, Copy, Debug)]
pub struct Lone {
    /// The first stage number.
    pub from_stage: u8,
    /// Whether calls before the fault count as well.
    pub whole: bool,
    /// A backend server that is left out.
    pub skipped: Option<ServerKey>,
}

/// The logarithm of the evidence that the new version is worse than the old one ever was, over
/// strata in which it runs alone. Trouble common to both looks the same here, so this raises a
/// suspicion and convicts nobody.
pub fn absolute(strata: &Strata, class: Class, lone: Lone) -> f64 {
    let rate = rate_before(strata, class).max(recent_rate(strata, class));
    let excesses = excesses(strata.tolerated());
    let mut bets = [0.0_f64; EXCESSES.len()];
    for ((stratum, _), pair) in strata.pairs() {
        if stratum.stage < lone.from_stage || stratum.stage >= LONE_STRATA_END {
            continue;
        }
        let new = pair.new_without(lone.skipped);
        let bad = class.bad(new) as f64;
        let good = new.calls as f64 - bad;
        for (wealth, excess) in bets.iter_mut().zip(excesses) {
            let worse = (rate + excess).min(HIGHEST_RATE);
            if !lone.whole {
                *wealth = wealth.max(0.0);
            }
            *wealth += bad * (worse / rate).ln() + good * ((1.0 - worse) / (1.0 - rate)).ln();
        }
    }
    log_mean(bets.iter())
}

/// The rate of the old version over all strata.
pub fn rate_before(strata: &Strata, class: Class) -> f64 {
    let mut history = History::new(class);
    history.add(strata.old(), class);
    history.rate()
}

/// The rate of the old version over the latest slots, if it had enough calls there: trouble common
/// to both that was on a moment ago.
fn recent_rate(strata: &Strata, class: Class) -> f64 {
    let Some(((last, _), _)) = strata.pairs().last_key_value() else {
        return 0.0;
    };
    let mut old = Counts::default();
    for ((stratum, _), pair) in strata.pairs().iter().rev() {
        if stratum.slot + OPEN_SLOTS < last.slot {
            break;
        }
        old += pair.old;
    }
    if old.calls < FEWEST_RECENT_CALLS {
        return 0.0;
    }
    class.bad(old) as f64 / old.calls as f64
}

/// The share of wealth that is staked on a fault that begins in a slot; the shares sum to one.
fn onset_weight(slot: u16) -> f64 {
    if slot == 0 {
        return FIRST_ONSET;
    }
    if slot <= PLANNED_SLOTS {
        return (1.0 - FIRST_ONSET - LATE_ONSET) / f64::from(PLANNED_SLOTS);
    }
    let late = f64::from(slot - PLANNED_SLOTS);
    LATE_ONSET / (late * (late + 1.0))
}

fn excesses(tolerated: f64) -> [f64; EXCESSES.len()] {
    EXCESSES.map(|excess| excess.max(TOLERANCES * tolerated).min(HIGHEST_RATE))
}

fn conditional_factor(table: &Table, ratio: f64) -> f64 {
    let share = table.new_calls / (table.old_calls + table.new_calls);
    let bet = ratio * share / (1.0 - share + ratio * share);
    table.new_bad * (bet / share).ln() + table.old_bad * ((1.0 - bet) / (1.0 - share)).ln()
}

fn log_likelihood(bad: f64, calls: f64, rate: f64) -> f64 {
    let of_bad = if bad > 0.0 { bad * rate.ln() } else { 0.0 };
    let of_good = if bad < calls { (calls - bad) * (1.0 - rate).ln() } else { 0.0 };
    of_bad + of_good
}

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
