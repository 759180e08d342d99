//! What the evidence about a move amounts to, with the false alarm budget spread over the tests.

use std::collections::BTreeSet;

use cyclamen_types::RouteName;

use crate::evidence::{Counts, Evidence, Strata};
use crate::keys::{RouteKey, ServerKey};
use crate::ladder::{LAST_STAGE, LONE_STRATA_END};
use crate::sequential::{Class, Lone, absolute, paired, paired_without};

/// Chance that a good version is taken back, over all tests of a move.
const FALSE_ALARM: f64 = 1.0 / 1_000.0;

/// Tests over all routes: failures and slowness.
const OVERALL_TESTS: f64 = 4.0;

/// Evidence that the rest must show when the worst backend server is left out.
const CORROBORATION: f64 = 1_000.0;

/// The same for holding a stage.
const DOUBT_CORROBORATION: f64 = 5.0;

/// Evidence above which a stage does not grow.
const CLEAN: f64 = 100.0;

/// Evidence above which a version that runs alone is checked against the old one.
const SUSPICION: f64 = 300.0;

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

    /// What the new version did alone, in one clause.
    pub fn alone(&self, name: Option<&RouteName>) -> String {
        let verb = match self.class {
            Class::Failed => "failed",
            Class::Slow => "was slow on",
        };
        let (bad, calls) = (self.class.bad(self.new), self.new.calls);
        format!("it {verb} {bad} of {calls} calls {} with all traffic", self.place(name))
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

/// The test that convicts the new version, if one does: over all routes, or on one of `routes`.
pub fn conviction(evidence: &mut Evidence, routes: &BTreeSet<RouteKey>) -> Option<Finding> {
    let (overall, single) = limits(evidence);
    for class in Class::ALL {
        if convicts(evidence.overall_mut(), class, overall) {
            return Some(finding(None, evidence.overall(), class, |_| true));
        }
        for route in routes {
            let Some(strata) = evidence.route_mut(*route) else {
                continue;
            };
            if convicts(strata, class, single) {
                return Some(finding(Some(*route), strata, class, |_| true));
            }
        }
    }
    None
}

/// Whether nothing speaks against a larger share.
pub fn clean(evidence: &mut Evidence) -> bool {
    let routes: Vec<RouteKey> = evidence.routes().keys().copied().collect();
    for class in Class::ALL {
        if doubtful(evidence.overall_mut(), class) {
            return false;
        }
        for route in &routes {
            if evidence.route_mut(*route).is_some_and(|strata| doubtful(strata, class)) {
                return false;
            }
        }
    }
    true
}

/// The test that makes a version that runs alone suspect, if one does, over strata of the stages
/// from `from_stage` on.
pub fn suspicion(
    evidence: &Evidence,
    routes: &BTreeSet<RouteKey>,
    from_stage: u8,
) -> Option<Finding> {
    for class in Class::ALL {
        for route in routes {
            let Some(strata) = evidence.routes().get(route) else {
                continue;
            };
            if alone_worse(strata, class, from_stage, false, SUSPICION.ln()) {
                let recent = |stage: u8| stage >= from_stage && stage < LONE_STRATA_END;
                return Some(finding(Some(*route), strata, class, recent));
            }
        }
    }
    None
}

/// Whether a fault that was suspected shows over all calls that the version ran alone, the ones
/// between two suspicions included.
pub fn lasting(evidence: &Evidence, suspected: &Finding) -> bool {
    let (overall, single) = limits(evidence);
    let (strata, limit) = match suspected.route {
        Some(route) => (evidence.routes().get(&route), single),
        None => (Some(evidence.overall()), overall),
    };
    strata.is_some_and(|strata| alone_worse(strata, suspected.class, LAST_STAGE, true, limit))
}

/// The limits of the tests over all routes and on one route, in logarithms.
pub fn limits(evidence: &Evidence) -> (f64, f64) {
    let overall = (OVERALL_TESTS / FALSE_ALARM).ln();
    (overall, overall + (evidence.routes().len().max(1) as f64).ln())
}

fn convicts(strata: &mut Strata, class: Class, limit: f64) -> bool {
    paired(strata, class) >= limit && shared(strata, class, CORROBORATION)
}

fn doubtful(strata: &mut Strata, class: Class) -> bool {
    if paired(strata, class) <= CLEAN.ln() {
        return false;
    }
    class == Class::Failed
        || seen_servers(strata).len() < 2
        || shared(strata, class, DOUBT_CORROBORATION)
}

/// Whether a fault shows without the backend server that shows it most. A slow server is no slow
/// version; a failing one is a fault of the version as far as callers can tell.
fn shared(strata: &Strata, class: Class, limit: f64) -> bool {
    if class == Class::Failed {
        return true;
    }
    let servers = seen_servers(strata);
    servers.len() >= 2
        && servers.iter().all(|server| paired_without(strata, class, *server) >= limit.ln())
}

fn alone_worse(strata: &Strata, class: Class, from_stage: u8, whole: bool, limit: f64) -> bool {
    let lone = Lone { from_stage, whole, skipped: None };
    if absolute(strata, class, lone) < limit {
        return false;
    }
    if class == Class::Failed {
        return true;
    }
    let without = |server| Lone { skipped: Some(server), ..lone };
    let servers = seen_servers(strata);
    servers.len() >= 2
        && servers.iter().all(|server| absolute(strata, class, without(*server)) >= limit)
}

fn seen_servers(strata: &Strata) -> Vec<ServerKey> {
    let mut seen = Vec::new();
    for (server, calls) in strata.new_calls() {
        if *calls >= SEEN_CALLS {
            seen.push(*server);
        }
    }
    seen
}

fn finding(
    route: Option<RouteKey>,
    strata: &Strata,
    class: Class,
    counted: impl Fn(u8) -> bool,
) -> Finding {
    let mut finding = Finding { route, class, old: Counts::default(), new: Counts::default() };
    for ((stratum, _), pair) in strata.pairs() {
        let new = pair.new_without(None);
        if new.calls == 0 || !counted(stratum.stage) {
            continue;
        }
        finding.old += pair.old;
        finding.new += new;
    }
    finding
}
