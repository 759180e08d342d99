//! The check of a version that runs alone: part of the traffic goes back to the old version, so
//! that both can be compared over the same calls.

use std::time::Duration;

use crate::evidence::{Counts, Evidence, Strata};
use crate::findings::Finding;
use crate::ladder::{LONE_STRATA_END, SHORTEST_DWELL};
use crate::sequential::{Class, HIGHEST_RATE, rate_before};

/// Evidence against the suspicion that ends a check.
const CLEARED: f64 = 20.0;

/// Fewest calls of the new version that end a check.
const FEWEST_CALLS: u64 = 3;

/// Fewest calls of the old version that show that it has no trouble.
const FEWEST_OLD_CALLS: u64 = 20;

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
    pub(crate) fn shortest(&self) -> Duration {
        SHORTEST_DWELL * 2_u32.pow(u32::from(self.round.min(MOST_DOUBLINGS)))
    }

    /// Whether the calls since the check began speak clearly enough against the suspicion.
    pub(crate) fn cleared(&self, evidence: &Evidence) -> Option<Cleared> {
        let strata = match self.finding.route {
            Some(route) => evidence.routes().get(&route)?,
            None => evidence.overall(),
        };
        let class = self.finding.class;
        let before = rate_before(strata, class);
        let suspected = self.suspected_excess(before);
        let (old, new) = self.sums(strata);
        if new.calls < FEWEST_CALLS {
            return None;
        }
        let old_calls = old.calls as f64 + OLD_PRIOR_CALLS;
        let rate = (class.bad(old) as f64 + before * OLD_PRIOR_CALLS) / old_calls;
        let worse = (rate + suspected / 2.0).min(HIGHEST_RATE);
        let bad = class.bad(new) as f64;
        let good = new.calls as f64 - bad;
        let ratio = bad * (worse / rate).ln() + good * ((1.0 - worse) / (1.0 - rate)).ln();
        if ratio > -CLEARED.ln() {
            return None;
        }
        if common(class.bad(old) as f64, old.calls as f64, before) {
            return Some(Cleared::Common);
        }
        (old.calls >= FEWEST_OLD_CALLS).then_some(Cleared::Unexplained)
    }

    fn suspected_excess(&self, before: f64) -> f64 {
        let bad = self.finding.class.bad(self.finding.new) as f64;
        let calls = (self.finding.new.calls as f64).max(1.0);
        (bad / calls - before).clamp(0.02, 0.9)
    }

    fn sums(&self, strata: &Strata) -> (Counts, Counts) {
        let (mut old, mut new) = (Counts::default(), Counts::default());
        for ((stratum, _), pair) in strata.pairs() {
            if stratum.stage < LONE_STRATA_END || stratum.slot < self.from_slot {
                continue;
            }
            old += pair.old;
            new += pair.new_without(None);
        }
        (old, new)
    }
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
