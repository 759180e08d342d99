//! Tests of the route table: precedence of routes, selection by instance labels, and faults.

mod common;

use common::{config, head, table};
use cyclamen_declarations::{HeaderMatch, HostPattern, Labels, Route};
use cyclamen_ledger::Config;
use cyclamen_routing::{CallHead, RouteTable, TableFault};
use cyclamen_types::RouteName;
use proptest::prelude::*;

const PRECEDENCE: &str = "
declarations:
- name: dvere
  service: {version: v1}
- name: dvere/v1
  version: {}
- name: any
  route: {service: dvere, timeout: 1s, match: {path_prefix: /doors/school}}
- name: wild
  route: {service: dvere, timeout: 1s, match: {hosts: ['*.doors.example']}}
- name: wild-long
  route: {service: dvere, timeout: 1s, match: {hosts: ['*.example'], path_prefix: /doors}}
- name: exact
  route: {service: dvere, timeout: 1s, match: {hosts: [a.doors.example]}}
- name: exact-header
  route:
    service: dvere
    timeout: 1s
    match: {hosts: [a.doors.example], headers: [{name: x-kind, value: school}]}
- name: exact-high
  route: {service: dvere, timeout: 1s, priority: 5, match: {hosts: [b.doors.example]}}
- name: exact-low
  route: {service: dvere, timeout: 1s, match: {hosts: [b.doors.example]}}
- name: elsewhere
  route: {service: dvere, timeout: 1s, proxies: region=other, match: {path_prefix: /}}
";

fn route_of(table: &RouteTable, host: &str, path: &str, kind: Option<&'static str>) -> String {
    let header = |name: &str| kind.filter(|_| name == "x-kind");
    let head = CallHead { host, header: &header, ..head("GET", path) };
    let name = table.find(&head).and_then(|index| table.route_name(index));
    name.map_or("none".into(), |name| name.to_string())
}

#[test]
fn find_by_precedence() {
    let table = table(PRECEDENCE);
    let find = |host, path| route_of(&table, host, path, None);
    assert_eq!(find("a.doors.example", "/doors/school"), "exact");
    assert_eq!(find("c.doors.example", "/doors/school"), "wild-long");
    assert_eq!(find("c.doors.example", "/doorstep"), "wild");
    assert_eq!(find("doors.example", "/doors"), "wild-long");
    assert_eq!(find("other", "/doors/school/7"), "any");
    assert_eq!(find("other", "/doors/schools"), "none");
    assert_eq!(find("b.doors.example", "/"), "exact-high");
    assert_eq!(route_of(&table, "a.doors.example", "/", Some("school")), "exact-header");
    assert_eq!(route_of(&table, "a.doors.example", "/", Some("flat")), "exact");
}

#[test]
fn build_by_selector() {
    let mut labels = Labels::default();
    labels.0.insert("region".into(), "other".into());
    let table = RouteTable::build(&config(PRECEDENCE), &labels).expect("table has no faults");
    assert_eq!(route_of(&table, "nowhere", "/x", None), "elsewhere");
}

#[test]
fn build_reports_all_faults() {
    let mut config = Config::clone(&config(PRECEDENCE));
    config.versions.clear();
    let faults = RouteTable::build(&config, &Labels::default()).expect_err("table has faults");
    // All routes but `elsewhere`, which is not selected.
    assert_eq!(faults.len(), 7);
    assert!(faults.iter().all(|fault| matches!(fault, TableFault::MissingVersion { .. })));
    config.services.clear();
    let faults = RouteTable::build(&config, &Labels::default()).expect_err("table has faults");
    assert_eq!(faults.len(), 7);
    assert!(faults.iter().all(|fault| matches!(fault, TableFault::MissingService { .. })));
}

#[test]
fn find_path_of_many_slashes() {
    let table = table(PRECEDENCE);
    let path = "/".repeat(20_000);
    assert!(table.find(&head("GET", &path)).is_none());
}

const SLASHES: &str = "
declarations:
- name: dvere
  service: {version: v1}
- name: dvere/v1
  version: {}
- name: doors
  route: {service: dvere, timeout: 1s, match: {hosts: [a.example], path_prefix: /doors/}}
- name: doors-today
  route: {service: dvere, timeout: 1s, match: {hosts: [a.example], path_prefix: /doors/today/}}
- name: solo
  route: {service: dvere, timeout: 1s, match: {hosts: [a.example], path_prefix: /solo/}}
- name: so
  route: {service: dvere, timeout: 1s, match: {hosts: [a.example], path_prefix: /so/}}
- name: both
  route: {service: dvere, timeout: 1s, match: {hosts: [b.example], path_prefix: /both}}
- name: both-slash
  route: {service: dvere, timeout: 1s, match: {hosts: [b.example], path_prefix: /both/}}
";

/// Guards against calls that run at a service to which no configuration sends them: a path that
/// equals a prefix without its last slash does not begin with that prefix.
#[test]
fn find_path_without_the_last_slash_of_a_prefix() {
    let table = table(SLASHES);
    for (path, expected) in [
        ("/doors/today", "doors"),
        ("/doors/today/", "doors-today"),
        ("/doors/today/7", "doors-today"),
        ("/doors/todays", "doors"),
        ("/doors/", "doors"),
        ("/doors", "none"),
        ("/solo", "none"),
        ("/solo/", "solo"),
        ("/so", "none"),
        ("/solo%2F", "none"),
        ("/doors%2Ftoday/", "none"),
        ("/doors/today%2F", "doors"),
        ("/", "none"),
    ] {
        assert_eq!(route_of(&table, "a.example", path, None), expected, "{path}");
    }
    for (path, expected) in
        [("/both", "both"), ("/both/", "both-slash"), ("/both/x", "both-slash"), ("/bothx", "none")]
    {
        assert_eq!(route_of(&table, "b.example", path, None), expected, "{path}");
    }
}

/// A slow reference implementation of the documented precedence, to check the table against.
fn reference_find(
    config: &Config,
    host: &str,
    path: &str,
    kind: Option<&str>,
) -> Option<RouteName> {
    let mut best: Option<(Rank<'_>, &Route)> = None;
    for declared in config.routes.values() {
        let Some(rank) = rank(&declared.body, host, path, kind) else {
            continue;
        };
        if best.as_ref().is_none_or(|(other, _)| rank < *other) {
            best = Some((rank, &declared.body));
        }
    }
    best.map(|(_, route)| route.name.clone())
}

type Rank<'a> = (u8, std::cmp::Reverse<(usize, usize, i32)>, &'a RouteName);

fn rank<'a>(route: &'a Route, host: &str, path: &str, kind: Option<&str>) -> Option<Rank<'a>> {
    let mut class = if route.matches.hosts.is_empty() { Some(2) } else { None };
    for pattern in &route.matches.hosts {
        let rank = match pattern {
            HostPattern::Exact(name) => (&**name == host).then_some(0),
            HostPattern::Suffix(end) => {
                (host.len() > end.len() && host.ends_with(&**end)).then_some(1)
            }
        };
        class = class.into_iter().chain(rank).min();
    }
    let prefix = &*route.matches.path_prefix;
    let rest = path.strip_prefix(prefix)?;
    if !prefix.ends_with('/') && !rest.is_empty() && !rest.starts_with('/') {
        return None;
    }
    for HeaderMatch { value, .. } in &route.matches.headers {
        let actual = kind?;
        if value.as_deref().is_some_and(|value| value != actual) {
            return None;
        }
    }
    let order = (prefix.len(), route.matches.headers.len(), route.priority);
    Some((class?, std::cmp::Reverse(order), &route.name))
}

fn routes() -> impl Strategy<Value = String> {
    let hosts = prop::sample::subsequence(vec!["a.x", "b.a.x", "'*.x'", "'*.a.x'"], 0..3);
    let prefix = prop::sample::select(vec!["''", "/", "/p", "/p/", "/p/q", "/p/q/", "/pq"]);
    let kind = prop::sample::select(vec!["", "{name: x-kind}", "{name: x-kind, value: s}"]);
    let route = (hosts, prefix, kind, -1..2);
    prop::collection::vec(route, 1..12).prop_map(|routes| {
        let mut yaml = "declarations:\n- name: dvere\n  service: {version: v1}\n".to_owned();
        yaml.push_str("- name: dvere/v1\n  version: {}\n");
        for (number, (hosts, prefix, kind, priority)) in routes.into_iter().enumerate() {
            let hosts = hosts.join(", ");
            let matches = format!("{{hosts: [{hosts}], path_prefix: {prefix}, headers: [{kind}]}}");
            yaml.push_str(&format!(
                "- name: r{number}\n  route: {{service: dvere, timeout: 1s, priority: {priority}, match: {matches}}}\n"
            ));
        }
        yaml
    })
}

/// Prefixes that begin and end with a slash, and segments that make many of them nested.
fn slash_prefix() -> impl Strategy<Value = String> {
    prop::collection::vec(prop::sample::select(vec!["a", "b", "ab", "%2F", ""]), 0..4).prop_map(
        |segments| {
            let mut prefix = String::from("/");
            for segment in segments {
                prefix.push_str(segment);
                prefix.push('/');
            }
            prefix
        },
    )
}

fn path() -> impl Strategy<Value = String> {
    (slash_prefix(), prop::sample::select(vec!["", "a", "b", "ab", "a%2F", "%2Fa"]))
        .prop_map(|(start, end)| start + end)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// The platform's rule: of the routes of a host, the one with the longest prefix that begins the
    /// path.
    #[test]
    fn find_longest_prefix_that_begins_the_path(
        prefixes in prop::collection::btree_set(slash_prefix(), 1..8),
        path in path(),
    ) {
        let mut yaml = "declarations:\n- name: dvere\n  service: {version: v1}\n".to_owned();
        yaml.push_str("- name: dvere/v1\n  version: {}\n");
        for (number, prefix) in prefixes.iter().enumerate() {
            yaml.push_str(&format!(
                "- name: r{number}\n  route: {{service: dvere, timeout: 1s, match: {{hosts: [a.x], path_prefix: '{prefix}'}}}}\n"
            ));
        }
        let begins = |prefix: &&String| path.starts_with(prefix.as_str());
        let longest = prefixes.iter().filter(begins).max_by_key(|prefix| prefix.len());
        let number = longest.and_then(|longest| prefixes.iter().position(|prefix| prefix == longest));
        let expected = number.map_or("none".into(), |number| format!("r{number}"));
        prop_assert_eq!(route_of(&table(&yaml), "a.x", &path, None), expected);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn find_matches_reference(
        yaml in routes(),
        host in prop::sample::select(vec!["a.x", "b.a.x", "c.a.x", "x", "other", ""]),
        path in prop::sample::select(vec![
            "/", "//", "/p", "/p/", "/p//", "/p/q", "/p/q/", "/p/q/r", "/pq", "/pqr", "",
        ]),
        kind in prop::sample::select(vec![None, Some("s"), Some("t")]),
    ) {
        let config = config(&yaml);
        let table = RouteTable::build(&config, &Labels::default()).expect("table has no faults");
        let expected = reference_find(&config, host, path, kind);
        let expected = expected.map_or("none".into(), |name| name.to_string());
        prop_assert_eq!(route_of(&table, host, path, kind), expected);
    }
}
