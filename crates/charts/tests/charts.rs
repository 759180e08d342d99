//! Charts: loading, faults, transitions.

use cyclamen_charts::{Chart, ChartFault, MEMBER_CHART, SERVER_CHART};

#[test]
fn load_shipped_charts() {
    for yaml in [SERVER_CHART, MEMBER_CHART] {
        Chart::load(yaml).expect("a shipped chart has no fault");
    }
}

#[test]
fn load_reports_all_faults() {
    let yaml = "
name: broken
events: [go, idle, go]
states:
  - name: first
    on: { go: nowhere, jump: first }
  - name: lost
    on: { go: first }
";
    let faults = Chart::load(yaml).expect_err("the chart has faults");
    let expected = vec![
        ChartFault::Doubled("go".into()),
        ChartFault::Dangling { from: "first".into(), event: "go".into(), target: "nowhere".into() },
        ChartFault::UnknownEvent { state: "first".into(), event: "jump".into() },
        ChartFault::UnusedEvent("idle".into()),
        ChartFault::Unreachable("lost".into()),
    ];
    assert_eq!(faults, expected);
}

#[test]
fn load_empty_and_syntax() {
    let empty = Chart::load("{name: none, events: [], states: []}");
    assert_eq!(empty.expect_err("no state"), vec![ChartFault::Empty]);
    let syntax = Chart::load("states: 3").expect_err("no chart");
    assert!(matches!(syntax.as_slice(), [ChartFault::Syntax(_)]));
}

#[test]
fn next_follows_file() {
    let chart = Chart::load(MEMBER_CHART).expect("a shipped chart");
    let alive = chart.state("alive").expect("listed");
    let silence = chart.event("silence").expect("listed");
    let expire = chart.event("expire").expect("listed");
    let suspect = chart.next(alive, silence).expect("expected there");
    assert_eq!(chart.state_name(suspect), "suspect");
    assert_eq!(chart.next(alive, expire), None);
    assert_eq!(chart.initial(), alive);
}
