//! The check of a version that runs alone: part of the traffic goes back to the old version, so
//! that both can be compared over the same calls.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::evidence::{Counts, Evidence, Strata};
use crate::findings::Finding;
use crate::ladder::LONE_STRATA_END;
use crate::sequential::{Class, HIGHEST_RATE, rate_before};

/// Evidence against the suspicion that ends a check.
const CLEARED: f64 = 20.0;

/// Fewest calls of the new version that end a check.
const FEWEST_CALLS: u64 = 3;

/// Fewest calls of the old version that show that it has no trouble.
const FEWEST_OLD_CALLS: u64 = 20;

/// Least and most excess rate that a check looks for.
const LEAST_EXCESS: f64 = 0.02;
const MOST_EXCESS: f64 = 0.9;

/// Times that the shortest check doubles.
const MOST_DOUBLINGS: u8 = 4;

/// Evidence that the old version has trouble as well.
const COMMON: f64 = 10.0;

/// Calls at the rate of before that are added to those of the old version.
const OLD_PRIOR_CALLS: f64 = 10.0;

/// Unexplained suspicions that convict: the fault shows only with all traffic.
pub(crate) const RECURRENCES: u32 = 3;

/// A check under way.
#[derive(Clone, Debug)]
pub(crate) struct Check {
    /// Which one of the move's checks.
    pub(crate) round: u8,
    /// The time slot in which it began.
    pub(crate) from_slot: u16,
    /// What raised the suspicion.
    pub(crate) finding: Finding,
}

/// How a check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cleared {
    /// The old version had the same trouble.
    Common,
    /// Neither version had it any more.
    Unexplained,
}

impl Check {
    /// The stage number under which calls are counted while the check goes on.
    pub(crate) fn stage(&self) -> u8 {
        LONE_STRATA_END.saturating_add(self.round)
    }

    /// Shortest time that the check goes on; later checks of a move take longer.
    pub(crate) fn shortest(&self, dwell: Duration) -> Duration {
        dwell * 2_u32.pow(u32::from(self.round.min(MOST_DOUBLINGS)))
    }

    /// Whether the calls since the check began speak clearly enough against the suspicion. Slots
    /// in which the old version has trouble as well say nothing.
    pub(crate) fn cleared(&self, evidence: &Evidence) -> Option<Cleared> {
        let strata = self.strata(evidence)?;
        let class = self.finding.class;
        let before = rate_before(strata, class);
        let suspected = self.suspected_excess(before);
        let seen = self.seen(strata, before);
        if seen.new.calls < FEWEST_CALLS {
            return None;
        }
        let old_calls = seen.old.calls as f64 + OLD_PRIOR_CALLS;
        let rate = (class.bad(seen.old) as f64 + before * OLD_PRIOR_CALLS) / old_calls;
        if log_ratio(class, seen.new, rate, rate + suspected / 2.0) > -CLEARED.ln() {
            return None;
        }
        if seen.common {
            return Some(Cleared::Common);
        }
        (seen.old.calls >= FEWEST_OLD_CALLS).then_some(Cleared::Unexplained)
    }

    /// Whether the new version goes on failing as it was suspected to, while the old one beside
    /// it does as well as ever. Failures count once a slot, so that no single burst convicts.
    pub(crate) fn confirmed(&self, evidence: &Evidence, limit: f64) -> bool {
        let class = self.finding.class;
        let Some(strata) = self.strata(evidence).filter(|_| class == Class::Failed) else {
            return false;
        };
        let before = rate_before(strata, class);
        let suspected = self.suspected_excess(before);
        let seen = self.seen(strata, before);
        let calm = log_ratio(class, seen.old, before, before + suspected / 2.0);
        let new = Counts { failed: seen.bad_slots, ..seen.new };
        calm < -CLEARED.ln() && log_ratio(class, new, before, before + suspected) > limit
    }

    fn strata<'a>(&self, evidence: &'a Evidence) -> Option<&'a Strata> {
        match self.finding.route {
            Some(route) => evidence.routes().get(&route),
            None => Some(evidence.overall()),
        }
    }

    fn suspected_excess(&self, before: f64) -> f64 {
        let bad = self.finding.class.bad(self.finding.new) as f64;
        let calls = (self.finding.new.calls as f64).max(1.0);
        (bad / calls - before).clamp(LEAST_EXCESS, MOST_EXCESS)
    }

    fn seen(&self, strata: &Strata, before: f64) -> Seen {
        let mut slots: BTreeMap<u16, (Counts, Counts)> = BTreeMap::new();
        for ((stratum, _), pair) in strata.pairs() {
            if stratum.stage < LONE_STRATA_END || stratum.slot < self.from_slot {
                continue;
            }
            let (old, new) = slots.entry(stratum.slot).or_default();
            *old += pair.old;
            *new += pair.new_without(None);
        }
        let mut seen = Seen::default();
        for (old, new) in slots.into_values() {
            if common(self.finding.class.bad(old) as f64, old.calls as f64, before) {
                seen.common = true;
                continue;
            }
            seen.old += old;
            seen.new += new;
            seen.bad_slots += u64::from(self.finding.class.bad(new) > 0);
        }
        seen
    }
}

/// Both versions over the slots of a check in which the old one did as before.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    old: Counts,
    new: Counts,
    /// Of these slots, those in which the new version did wrong.
    bad_slots: u64,
    /// Whether there were other slots.
    common: bool,
}

/// The logarithm of how much better `worse` explains the counts than `rate`.
fn log_ratio(class: Class, counts: Counts, rate: f64, worse: f64) -> f64 {
    let worse = worse.min(HIGHEST_RATE);
    let bad = class.bad(counts) as f64;
    let good = counts.calls as f64 - bad;
    bad * (worse / rate).ln() + good * ((1.0 - worse) / (1.0 - rate)).ln()
}

/// Whether the old version did worse than before, too.
fn common(bad: f64, calls: f64, before: f64) -> bool {
    if bad <= before * calls {
        return false;
    }
    let rate = bad / calls;
    let good = calls - bad;
    let of_good = if good > 0.0 { good * ((1.0 - rate) / (1.0 - before)).ln() } else { 0.0 };
    bad * (rate / before).ln() + of_good > COMMON.ln()
}

/// The sentence of a conviction by a check.
pub(crate) fn went_on(alone: &str) -> String {
    format!("the new version goes on failing beside the old one, after {alone}")
}

/// The sentence of a conviction after recurring suspicions.
pub(crate) fn recurred(finding: &Finding, place: &str) -> String {
    let verb = match finding.class {
        Class::Failed => "failed",
        Class::Slow => "was slow on",
    };
    format!(
        "the new version {verb} {} of {} calls {place} with all traffic, {RECURRENCES} times over, \
         and only then",
        finding.class.bad(finding.new),
        finding.new.calls,
    )
}
