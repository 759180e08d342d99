//! Loading charts, the errors of invalid ones, and transitions.

use cyclamen_charts::{Chart, ChartError, MEMBER_CHART, SERVER_CHART};

#[test]
fn load_shipped_charts() {
    for yaml in [SERVER_CHART, MEMBER_CHART] {
        Chart::load(yaml).expect("a built-in chart is valid");
    }
}

#[test]
fn load_reports_all_errors() {
    let yaml = "
name: broken
events: [go, idle, go]
states:
  - name: first
    on: { go: nowhere, jump: first }
  - name: lost
    on: { go: first }
";
    let errors = Chart::load(yaml).expect_err("the chart is invalid");
    let expected = vec![
        ChartError::Duplicate("go".into()),
        ChartError::UnknownTarget {
            from: "first".into(),
            event: "go".into(),
            target: "nowhere".into(),
        },
        ChartError::UnknownEvent { state: "first".into(), event: "jump".into() },
        ChartError::UnusedEvent("idle".into()),
        ChartError::Unreachable("lost".into()),
    ];
    assert_eq!(errors, expected);
}

#[test]
fn load_rejects_empty_and_malformed_charts() {
    let empty = Chart::load("{name: none, events: [], states: []}");
    assert_eq!(empty.expect_err("no state"), vec![ChartError::Empty]);
    let syntax = Chart::load("states: 3").expect_err("no chart");
    assert!(matches!(syntax.as_slice(), [ChartError::Syntax(_)]));
}

#[test]
fn next_follows_transitions_of_file() {
    let chart = Chart::load(MEMBER_CHART).expect("a shipped chart");
    let alive = chart.state("alive").expect("listed");
    let silence = chart.event("silence").expect("listed");
    let expire = chart.event("expire").expect("listed");
    let suspect = chart.next(alive, silence).expect("alive has a transition on silence");
    assert_eq!(chart.state_name(suspect), "suspect");
    assert_eq!(chart.next(alive, expire), None);
    assert_eq!(chart.initial(), alive);
}
