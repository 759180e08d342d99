//! Parses change files, and checks changes against the state of a daemon.
//!
//! The check runs the verifier of the ledger, and adds warnings about selectors that match no known
//! instance.

use cyclamen_declarations::{
    Change, ChangeEntry, Declaration, EntryAction, Faults, Labels, Requirement, Selector,
    parse_change,
};
use cyclamen_ledger::{Caution, Finding, verify};
use cyclamen_types::{ChangeId, TeamName, Wall};
use cyclamenmoor::Instance;

/// The labels that every instance has.
///
/// Their values are known for all members, unlike those of the other labels.
const COMMON_LABELS: [&str; 3] = ["instance", "failure-domain", "region"];

/// The result of checking a change.
pub(super) struct Findings {
    /// Why the change would be refused; empty if it has no fault.
    pub(super) faults: Vec<String>,
    /// Whether the change edits a declaration that another change has replaced since.
    pub(super) stale_base: bool,
    /// What the operator should look at, though it does not prevent the change.
    pub(super) warnings: Vec<String>,
}

/// Parses a change file.
///
/// # Errors
/// Every fault of the file, each with its place and remedy.
pub(super) fn parse_change_file(
    text: &str,
    id: ChangeId,
    team: TeamName,
    now: Wall,
) -> Result<Change, Vec<String>> {
    parse_change(text, id, team, now).map_err(|Faults(faults)| to_strings(&faults))
}

/// Checks a change against the configuration and the known members of a daemon.
pub(super) fn check_change(change: &Change, instance: &Instance) -> Findings {
    let report = verify(change, instance.config());
    let mut warnings = to_strings(&report.warnings);
    warnings.extend(to_strings(&unmatched_proxies(change, &known_proxies(instance))));
    Findings { faults: to_strings(&report.faults), stale_base: report.stale_base(), warnings }
}

fn to_strings<T: ToString>(findings: &[T]) -> Vec<String> {
    findings.iter().map(ToString::to_string).collect()
}

/// Warnings about proxy selectors that match no known instance.
///
/// Selectors that use other labels than the common ones are not checked, because the labels of
/// other instances are not known.
fn unmatched_proxies(change: &Change, proxies: &[Labels]) -> Vec<Finding<Caution>> {
    let mut warnings = Vec::new();
    for (index, entry) in change.entries.iter().enumerate() {
        let Some((kind, selector)) = proxy_selector(entry) else {
            continue;
        };
        let uses_common_labels = selector.requirements.iter().all(is_common);
        if !uses_common_labels || proxies.iter().any(|labels| selector.matches(labels)) {
            continue;
        }
        let place = format!("declarations[{index}].{kind}.proxies").into();
        warnings.push(Finding { place, what: Caution::MatchesNothing(selector.to_string()) });
    }
    warnings
}

/// The kind and the proxy selector of a route or policy that an entry declares.
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

/// The common labels of every known member.
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
