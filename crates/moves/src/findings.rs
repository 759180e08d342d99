//! Decisions on the evidence about a move: roll back, block the next stage, or suspect the new
//! version. All tests for a rollback share one upper bound of the probability that a good version
//! is rolled back. The strength of evidence is given by e-values, see [`paired_log_e_value`].

use std::collections::BTreeSet;

use cyclamen_types::RouteName;

use crate::evidence::{Counts, Evidence, Strata};
use crate::keys::{RouteKey, ServerKey};
use crate::sequential_test::{
    FullShareFilter, Metric, full_share_log_e_value, paired_log_e_value, paired_log_e_value_without,
};
use crate::stages::{FIRST_CHECK_STAGE_NUMBER, LAST_STAGE};

/// Upper bound of the probability that a good version is rolled back, over all tests of a move.
const FALSE_ROLLBACK_PROBABILITY: f64 = 1.0 / 1_000.0;

/// Tests among which the probability is divided evenly: two metrics, each over all routes and by
/// route. The part of a test by route is divided again among the routes.
const TEST_GROUPS: f64 = 4.0;

/// E-value that a rollback because of slow calls requires when the calls of any single backend
/// server of the new version are left out.
const ROLLBACK_CORROBORATION: f64 = 100.0;

/// E-value required for slow calls to block the next stage when the calls of any single backend
/// server of the new version are left out.
const STAGE_BLOCK_CORROBORATION: f64 = 5.0;

/// E-value above which the next stage is blocked.
const STAGE_BLOCK_E_VALUE: f64 = 100.0;

/// E-value from which a version that takes all calls is checked against the old one.
const SUSPICION_E_VALUE: f64 = 300.0;

/// Fewest calls with which a backend server of the new version is one of those that are left out in
/// turn, see [`holds_without_each_server`].
const MIN_SERVER_CALLS: u64 = 5;

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
/// Of `evidence`, only the cached bets are changed.
pub fn rollback_finding(evidence: &mut Evidence, routes: &BTreeSet<RouteKey>) -> Option<Finding> {
    let thresholds = rollback_thresholds(evidence);
    for metric in Metric::ALL {
        if proves_worse(evidence.overall_mut(), metric, thresholds.overall) {
            return Some(finding(None, evidence.overall(), metric, |_| true));
        }
        for route in routes {
            let Some(strata) = evidence.route_mut(*route) else {
                continue;
            };
            if proves_worse(strata, metric, thresholds.single_route) {
                return Some(finding(Some(*route), strata, metric, |_| true));
            }
        }
    }
    None
}

/// Whether no test blocks the next stage. Of `evidence`, only the cached bets are changed.
pub fn allows_next_stage(evidence: &mut Evidence) -> bool {
    let routes: Vec<RouteKey> = evidence.routes().keys().copied().collect();
    for metric in Metric::ALL {
        if blocks_next_stage(evidence.overall_mut(), metric) {
            return false;
        }
        for route in &routes {
            if evidence.route_mut(*route).is_some_and(|strata| blocks_next_stage(strata, metric)) {
                return false;
            }
        }
    }
    true
}

/// The first finding on one of `routes` that makes a version that takes all calls suspect, over the
/// strata from stage number `from_stage` (see [`FIRST_CHECK_STAGE_NUMBER`]) on that are not part of
/// a check. If `from_stage` is the present stage number, these are the strata since the last check.
/// Bets do not keep their losses, see [`FullShareFilter::keeps_losses`].
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
            if worse_at_full_share(strata, metric, from_stage, false, SUSPICION_E_VALUE.ln()) {
                // Selects the same strata as the test.
                let recent = |stage: u8| stage >= from_stage && stage < FIRST_CHECK_STAGE_NUMBER;
                return Some(finding(Some(*route), strata, metric, recent));
            }
        }
    }
    None
}

/// Whether a suspected fault shows over all strata in which the new version took all calls, not
/// only those since the last check. Bets keep their losses, so the good calls between two
/// suspicions count for the new version. A finding without a route is tested over all routes; those
/// of [`full_share_suspicion`] always name one.
pub fn persists(evidence: &Evidence, suspected: &Finding) -> bool {
    let thresholds = rollback_thresholds(evidence);
    let (strata, min_log_e_value) = match suspected.route {
        Some(route) => (evidence.routes().get(&route), thresholds.single_route),
        None => (Some(evidence.overall()), thresholds.overall),
    };
    strata.is_some_and(|strata| {
        worse_at_full_share(strata, suspected.metric, LAST_STAGE, true, min_log_e_value)
    })
}

/// The logarithms of the e-values required for a rollback.
#[derive(Clone, Copy, Debug)]
pub struct RollbackThresholds {
    /// For a test over all routes.
    pub overall: f64,
    /// For a test on one route.
    pub single_route: f64,
}

/// The thresholds for a rollback with the routes known so far.
pub fn rollback_thresholds(evidence: &Evidence) -> RollbackThresholds {
    let overall = (TEST_GROUPS / FALSE_ROLLBACK_PROBABILITY).ln();
    let routes = evidence.routes().len().max(1) as f64;
    RollbackThresholds { overall, single_route: overall + routes.ln() }
}

/// Whether the evidence suffices for a rollback. `min_log_e_value` is the logarithm of an e-value.
fn proves_worse(strata: &mut Strata, metric: Metric, min_log_e_value: f64) -> bool {
    paired_log_e_value(strata, metric) >= min_log_e_value
        && holds_without_each_server(strata, metric, ROLLBACK_CORROBORATION)
}

/// Whether the evidence blocks the next stage. If at least two backend servers have enough calls,
/// evidence of slow calls also has to hold when any single one is left out. With fewer servers it
/// blocks the stage without this condition, although a rollback for slow calls always needs two.
fn blocks_next_stage(strata: &mut Strata, metric: Metric) -> bool {
    if paired_log_e_value(strata, metric) <= STAGE_BLOCK_E_VALUE.ln() {
        return false;
    }
    metric == Metric::Failed
        || servers_with_calls(strata).len() < 2
        || holds_without_each_server(strata, metric, STAGE_BLOCK_CORROBORATION)
}

/// Whether the e-value is at least `min_e_value` (not a logarithm) when any single backend server
/// of the new version is left out, of at least two with enough calls. One slow server does not make
/// a slow version; failures always count, because to callers a failing server is a fault of the
/// version.
fn holds_without_each_server(strata: &Strata, metric: Metric, min_e_value: f64) -> bool {
    if metric == Metric::Failed {
        return true;
    }
    let servers = servers_with_calls(strata);
    servers.len() >= 2
        && servers
            .iter()
            .all(|server| paired_log_e_value_without(strata, metric, *server) >= min_e_value.ln())
}

/// Whether the evidence over strata in which the new version takes all calls reaches
/// `min_log_e_value`; for slow calls, also when any single backend server is left out, of at least
/// two with enough calls. `from_stage` and `keeps_losses` are explained at [`FullShareFilter`].
fn worse_at_full_share(
    strata: &Strata,
    metric: Metric,
    from_stage: u8,
    keeps_losses: bool,
    min_log_e_value: f64,
) -> bool {
    let filter = FullShareFilter { from_stage, keeps_losses, skipped: None };
    if full_share_log_e_value(strata, metric, filter) < min_log_e_value {
        return false;
    }
    if metric == Metric::Failed {
        return true;
    }
    let without = |server| FullShareFilter { skipped: Some(server), ..filter };
    let servers = servers_with_calls(strata);
    servers.len() >= 2
        && servers.iter().all(|server| {
            full_share_log_e_value(strata, metric, without(*server)) >= min_log_e_value
        })
}

/// Backend servers of the new version with at least [`MIN_SERVER_CALLS`] calls.
fn servers_with_calls(strata: &Strata) -> Vec<ServerKey> {
    let mut seen = Vec::new();
    for (server, calls) in strata.new_calls() {
        if *calls >= MIN_SERVER_CALLS {
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
    for ((stratum, _), versions) in strata.version_counts() {
        let new = versions.new_total_without(None);
        if new.calls == 0 || !includes_stage(stratum.stage) {
            continue;
        }
        finding.old += versions.old;
        finding.new += new;
    }
    finding
}
