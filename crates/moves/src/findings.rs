//! What the evidence about a move amounts to, with the false alarm budget spread over the tests.

use std::collections::{BTreeMap, BTreeSet};

use cyclamen_types::RouteName;

use crate::evidence::{Counts, Evidence, Strata};
use crate::keys::{RouteKey, ServerKey};
use crate::sequential::{Class, absolute, paired};

/// Chance that a good version is taken back, over all tests of a move.
const FALSE_ALARM: f64 = 1.0 / 1_000.0;

/// Tests over all routes: failures and slowness.
const OVERALL_TESTS: f64 = 4.0;

/// Evidence that the rest must show when the worst backend server is left out.
const CORROBORATION: f64 = 10.0;

/// Evidence above which a stage does not grow.
const CLEAN: f64 = 20.0;

/// Evidence above which a version that runs alone is checked against the old one.
const SUSPICION: f64 = 1_000.0;

/// Calls per backend server that count as having seen it.
const SEEN_CALLS: u64 = 5;

/// A test that speaks against the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// The route; `None` for all routes together.
    pub route: Option<RouteKey>,
    /// Failures or slowness.
    pub class: Class,
    /// Calls to the old version, over the strata with both.
    pub old: Counts,
    /// Calls to the new version, over the strata with both.
    pub new: Counts,
}

impl Finding {
    /// The finding in one sentence.
    pub fn sentence(&self, name: Option<&RouteName>) -> String {
        let place = self.place(name);
        let verb = match self.class {
            Class::Failed => "failed",
            Class::Slow => "was slow on",
        };
        format!(
            "the new version {verb} {} of {} calls {place} and the old one {} of {}",
            self.class.bad(self.new),
            self.new.calls,
            self.class.bad(self.old),
            self.old.calls,
        )
    }

    /// Where it was found.
    pub fn place(&self, name: Option<&RouteName>) -> String {
        match (self.route, name) {
            (None, _) => "over all routes".to_owned(),
            (Some(_), Some(name)) => format!("on route `{name}`"),
            (Some(_), None) => "on one route".to_owned(),
        }
    }
}

/// The test that convicts the new version, if one does.
pub fn conviction(evidence: &Evidence) -> Option<Finding> {
    let routes = evidence.routes().len().max(1) as f64;
    let overall = (OVERALL_TESTS / FALSE_ALARM).ln();
    let single = overall + routes.ln();
    for class in Class::ALL {
        if convicts(evidence.overall(), class, overall) {
            return Some(finding(None, evidence.overall(), class, |_| true));
        }
        for (route, strata) in evidence.routes() {
            if convicts(strata, class, single) {
                return Some(finding(Some(*route), strata, class, |_| true));
            }
        }
    }
    None
}

/// Whether nothing speaks against a larger share.
pub fn clean(evidence: &Evidence) -> bool {
    let limit = CLEAN.ln();
    for class in Class::ALL {
        if paired(evidence.overall(), class, None) > limit {
            return false;
        }
        for strata in evidence.routes().values() {
            if paired(strata, class, None) > limit {
                return false;
            }
        }
    }
    true
}

/// The test that makes a version that runs alone suspect, if one does, over strata of the stages
/// from `from_stage` to before `to_stage`.
pub fn suspicion(evidence: &Evidence, from_stage: u8, to_stage: u8) -> Option<Finding> {
    let limit = SUSPICION.ln();
    for class in Class::ALL {
        for (route, strata) in evidence.routes() {
            if absolute(strata, class, from_stage, to_stage) > limit {
                let recent = |stage: u8| stage >= from_stage && stage < to_stage;
                return Some(finding(Some(*route), strata, class, recent));
            }
        }
    }
    None
}

fn convicts(strata: &Strata, class: Class, limit: f64) -> bool {
    if paired(strata, class, None) < limit {
        return false;
    }
    if class == Class::Failed {
        return true;
    }
    let servers = seen_servers(strata);
    if servers.len() < 2 {
        return false;
    }
    servers.iter().all(|server| paired(strata, class, Some(*server)) >= CORROBORATION.ln())
}

fn seen_servers(strata: &Strata) -> BTreeSet<ServerKey> {
    let mut calls: BTreeMap<ServerKey, u64> = Default::default();
    for pair in strata.values() {
        for (server, counts) in &pair.new {
            *calls.entry(*server).or_default() += counts.calls;
        }
    }
    calls.into_iter().filter(|(_, calls)| *calls >= SEEN_CALLS).map(|(server, _)| server).collect()
}

fn finding(
    route: Option<RouteKey>,
    strata: &Strata,
    class: Class,
    counted: impl Fn(u8) -> bool,
) -> Finding {
    let mut finding = Finding { route, class, old: Counts::default(), new: Counts::default() };
    for ((stratum, _), pair) in strata {
        let new = pair.new_without(None);
        if new.calls == 0 || !counted(stratum.stage) {
            continue;
        }
        finding.old += pair.old;
        finding.new += new;
    }
    finding
}
