//! The way from text to a checked change, and its check against what a daemon holds.

use cyclamen_declarations::{
    Change, ChangeEntry, Declaration, EntryAction, Faults, Labels, Requirement, Selector,
    parse_change,
};
use cyclamen_ledger::{Caution, Finding, verify};
use cyclamen_types::{ChangeId, TeamName, Wall};
use cyclamenmoor::Instance;

/// The labels that every proxy has, so that this daemon knows them of all members.
const COMMON_LABELS: [&str; 3] = ["instance", "failure-domain", "region"];

/// What the verifier says of a change.
pub(super) struct Findings {
    pub(super) faults: Vec<String>,
    pub(super) stale_base: bool,
    pub(super) warnings: Vec<String>,
}

/// Reads a change file.
pub(super) fn read_change(
    text: &str,
    id: ChangeId,
    team: TeamName,
    now: Wall,
) -> Result<Change, Vec<String>> {
    parse_change(text, id, team, now).map_err(|Faults(faults)| texts(&faults))
}

/// Checks a change against what a daemon holds.
pub(super) fn check_change(change: &Change, instance: &Instance) -> Findings {
    let report = verify(change, instance.config());
    let mut warnings = texts(&report.warnings);
    warnings.extend(texts(&unmatched_proxies(change, &known_proxies(instance))));
    Findings { faults: texts(&report.faults), stale_base: report.stale_base(), warnings }
}

fn texts<T: ToString>(findings: &[T]) -> Vec<String> {
    findings.iter().map(ToString::to_string).collect()
}

/// Warns of proxy selectors that match no proxy, where the common labels are enough to tell.
fn unmatched_proxies(change: &Change, proxies: &[Labels]) -> Vec<Finding<Caution>> {
    let mut warnings = Vec::new();
    for (index, entry) in change.entries.iter().enumerate() {
        let Some((kind, selector)) = proxy_selector(entry) else {
            continue;
        };
        let known = selector.requirements.iter().all(is_common);
        if !known || proxies.iter().any(|labels| selector.matches(labels)) {
            continue;
        }
        let place = format!("declarations[{index}].{kind}.proxies").into();
        warnings.push(Finding { place, what: Caution::MatchesNothing(selector.to_string()) });
    }
    warnings
}

fn proxy_selector(entry: &ChangeEntry) -> Option<(&'static str, &Selector)> {
    match &entry.action {
        EntryAction::Put(Declaration::Route(route)) => Some(("route", &route.proxies)),
        EntryAction::Put(Declaration::Policy(policy)) => Some(("policy", &policy.proxies)),
        _ => None,
    }
}

fn is_common(requirement: &Requirement) -> bool {
    let (Requirement::In(key, _)
    | Requirement::NotIn(key, _)
    | Requirement::Exists(key)
    | Requirement::Absent(key)) = requirement;
    COMMON_LABELS.contains(&key.as_ref())
}

fn known_proxies(instance: &Instance) -> Vec<Labels> {
    let mut proxies = Vec::new();
    for view in instance.membership().members() {
        let record = view.record;
        let values = [record.instance.as_str(), record.domain.as_str(), record.region.as_str()];
        let mut labels = Labels::default();
        for (key, value) in COMMON_LABELS.into_iter().zip(values) {
            labels.0.insert(key.into(), value.into());
        }
        proxies.push(labels);
    }
    proxies
}
