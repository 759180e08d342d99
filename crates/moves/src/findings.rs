//! Decisions on the evidence about a move: roll back, hold the stage, or suspect the new version.
//! The false-rollback probability is divided over all tests.

use std::collections::BTreeSet;

use cyclamen_types::RouteName;

use crate::evidence::{Counts, Evidence, Strata};
use crate::keys::{RouteKey, ServerKey};
use crate::sequential_test::{
    FullShareFilter, Metric, full_share_evidence, paired_evidence, paired_evidence_without,
};
use crate::stages::{FIRST_CHECK_STAGE_NUMBER, LAST_STAGE};

/// Probability that a good version is rolled back, over all tests of a move.
const FALSE_ROLLBACK_PROBABILITY: f64 = 1.0 / 1_000.0;

/// Tests among which the probability is divided evenly: two metrics, each over all routes and by
/// route. The part of a test by route is divided again among the routes.
const OVERALL_TESTS: f64 = 4.0;

/// Evidence (final over initial wealth of the bets) that must remain without any one backend server
/// for a rollback because of slow calls.
const ROLLBACK_CORROBORATION: f64 = 1_000.0;

/// Evidence (final over initial wealth of the bets) that must remain without any one backend server
/// for slow calls to hold a stage.
const GROWTH_CORROBORATION: f64 = 5.0;

/// Evidence (final over initial wealth of the bets) above which the share does not grow.
const GROWTH_EVIDENCE: f64 = 100.0;

/// Evidence (final over initial wealth of the bets) from which a version that takes all calls is
/// checked against the old one.
const SUSPICION_EVIDENCE: f64 = 300.0;

/// Calls of the new version from which a backend server is left out in turn to see whether the
/// evidence holds without it.
const MIN_SEEN_CALLS: u64 = 5;

/// A test result that speaks against the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// The route; `None` for all routes together.
    pub route: Option<RouteKey>,
    /// The metric by which the new version is worse.
    pub metric: Metric,
    /// Calls to the old version, over the strata with calls to the new one.
    pub old: Counts,
    /// Calls to the new version, over the same strata.
    pub new: Counts,
}

impl Finding {
    /// The finding in one sentence; `name` is the name of its route, if known.
    pub fn describe(&self, name: Option<&RouteName>) -> String {
        let scope = self.scope(name);
        let verb = match self.metric {
            Metric::Failed => "failed",
            Metric::Slow => "was slow on",
        };
        format!(
            "the new version {verb} {} of {} calls {scope} and the old one {} of {}",
            self.metric.bad_calls(self.new),
            self.new.calls,
            self.metric.bad_calls(self.old),
            self.old.calls,
        )
    }

    /// What the new version did while it took all calls, as a clause.
    pub fn describe_full_share(&self, name: Option<&RouteName>) -> String {
        let verb = match self.metric {
            Metric::Failed => "failed",
            Metric::Slow => "was slow on",
        };
        let (bad, calls) = (self.metric.bad_calls(self.new), self.new.calls);
        format!("it {verb} {bad} of {calls} calls {} with all traffic", self.scope(name))
    }

    /// The route of the finding, as a phrase.
    pub fn scope(&self, name: Option<&RouteName>) -> String {
        match (self.route, name) {
            (None, _) => "over all routes".to_owned(),
            (Some(_), Some(name)) => format!("on route `{name}`"),
            (Some(_), None) => "on one route".to_owned(),
        }
    }
}

/// The finding that requires a rollback, if there is one: over all routes, or on one of `routes`.
pub fn rollback_finding(evidence: &mut Evidence, routes: &BTreeSet<RouteKey>) -> Option<Finding> {
    let (overall, single) = evidence_limits(evidence);
    for metric in Metric::ALL {
        if proves_worse(evidence.overall_mut(), metric, overall) {
            return Some(finding(None, evidence.overall(), metric, |_| true));
        }
        for route in routes {
            let Some(strata) = evidence.route_mut(*route) else {
                continue;
            };
            if proves_worse(strata, metric, single) {
                return Some(finding(Some(*route), strata, metric, |_| true));
            }
        }
    }
    None
}

/// Whether no test speaks against a larger share.
pub fn allows_growth(evidence: &mut Evidence) -> bool {
    let routes: Vec<RouteKey> = evidence.routes().keys().copied().collect();
    for metric in Metric::ALL {
        if blocks_growth(evidence.overall_mut(), metric) {
            return false;
        }
        for route in &routes {
            if evidence.route_mut(*route).is_some_and(|strata| blocks_growth(strata, metric)) {
                return false;
            }
        }
    }
    true
}

/// The first finding on one of `routes` that makes a version that takes all calls suspect, over
/// strata from stage number `from_stage` on.
pub fn full_share_suspicion(
    evidence: &Evidence,
    routes: &BTreeSet<RouteKey>,
    from_stage: u8,
) -> Option<Finding> {
    for metric in Metric::ALL {
        for route in routes {
            let Some(strata) = evidence.routes().get(route) else {
                continue;
            };
            if worse_at_full_share(strata, metric, from_stage, false, SUSPICION_EVIDENCE.ln()) {
                let recent = |stage: u8| stage >= from_stage && stage < FIRST_CHECK_STAGE_NUMBER;
                return Some(finding(Some(*route), strata, metric, recent));
            }
        }
    }
    None
}

/// Whether a suspected fault shows over all strata in which the new version took all calls,
/// including those between two suspicions.
pub fn persists(evidence: &Evidence, suspected: &Finding) -> bool {
    let (overall, single) = evidence_limits(evidence);
    let (strata, limit) = match suspected.route {
        Some(route) => (evidence.routes().get(&route), single),
        None => (Some(evidence.overall()), overall),
    };
    strata.is_some_and(|strata| {
        worse_at_full_share(strata, suspected.metric, LAST_STAGE, true, limit)
    })
}

/// The logarithms of the evidence required for a rollback: over all routes, and on one route.
pub fn evidence_limits(evidence: &Evidence) -> (f64, f64) {
    let overall = (OVERALL_TESTS / FALSE_ROLLBACK_PROBABILITY).ln();
    (overall, overall + (evidence.routes().len().max(1) as f64).ln())
}

/// Whether the evidence suffices for a rollback. `limit` is a logarithm.
fn proves_worse(strata: &mut Strata, metric: Metric, limit: f64) -> bool {
    paired_evidence(strata, metric) >= limit
        && shows_without_each_server(strata, metric, ROLLBACK_CORROBORATION)
}

fn blocks_growth(strata: &mut Strata, metric: Metric) -> bool {
    if paired_evidence(strata, metric) <= GROWTH_EVIDENCE.ln() {
        return false;
    }
    metric == Metric::Failed
        || seen_servers(strata).len() < 2
        || shows_without_each_server(strata, metric, GROWTH_CORROBORATION)
}

/// Whether the evidence holds without any one backend server. One slow server does not make a slow
/// version; failures always count, because to callers a failing server is a fault of the version.
fn shows_without_each_server(strata: &Strata, metric: Metric, limit: f64) -> bool {
    if metric == Metric::Failed {
        return true;
    }
    let servers = seen_servers(strata);
    servers.len() >= 2
        && servers
            .iter()
            .all(|server| paired_evidence_without(strata, metric, *server) >= limit.ln())
}

/// Whether the evidence over strata in which the new version takes all calls reaches `limit`, a
/// logarithm; for slow calls, also without any one backend server.
fn worse_at_full_share(
    strata: &Strata,
    metric: Metric,
    from_stage: u8,
    whole_history: bool,
    limit: f64,
) -> bool {
    let filter = FullShareFilter { from_stage, whole_history, skipped: None };
    if full_share_evidence(strata, metric, filter) < limit {
        return false;
    }
    if metric == Metric::Failed {
        return true;
    }
    let without = |server| FullShareFilter { skipped: Some(server), ..filter };
    let servers = seen_servers(strata);
    servers.len() >= 2
        && servers
            .iter()
            .all(|server| full_share_evidence(strata, metric, without(*server)) >= limit)
}

/// Backend servers of the new version with at least [`MIN_SEEN_CALLS`] calls.
fn seen_servers(strata: &Strata) -> Vec<ServerKey> {
    let mut seen = Vec::new();
    for (server, calls) in strata.new_calls() {
        if *calls >= MIN_SEEN_CALLS {
            seen.push(*server);
        }
    }
    seen
}

fn finding(
    route: Option<RouteKey>,
    strata: &Strata,
    metric: Metric,
    includes_stage: impl Fn(u8) -> bool,
) -> Finding {
    let mut finding = Finding { route, metric, old: Counts::default(), new: Counts::default() };
    for ((stratum, _), pair) in strata.pairs() {
        let new = pair.new_without(None);
        if new.calls == 0 || !includes_stage(stratum.stage) {
            continue;
        }
        finding.old += pair.old;
        finding.new += new;
    }
    finding
}
