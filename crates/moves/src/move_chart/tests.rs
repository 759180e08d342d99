//! Tests that a chart that does not fit the code is reported as such, with the name that does not
//! fit.

use super::{MOVE_CHART, MoveChart, MoveChartError};

fn errors(yaml: &str) -> Vec<MoveChartError> {
    MoveChart::parse(yaml).expect_err("a chart that does not fit")
}

#[test]
fn load_built_in_chart_fits() {
    assert!(MoveChart::load().is_ok());
}

#[test]
fn parse_names_events_that_do_not_fit() {
    let expected = [
        MoveChartError::MissingEvent("watch-over".into()),
        MoveChartError::UnknownEvent("watch-ends".into()),
    ];
    assert_eq!(errors(&MOVE_CHART.replace("watch-over", "watch-ends")), expected);
}

#[test]
fn parse_names_states_that_do_not_fit() {
    let expected = [
        MoveChartError::UnknownState("halted".into()),
        MoveChartError::MissingState("paused".into()),
    ];
    assert_eq!(errors(&MOVE_CHART.replace("paused", "halted")), expected);
}

#[test]
fn parse_reports_errors_of_the_chart() {
    let errors = errors(&MOVE_CHART.replace("  - suspect\n", ""));
    assert!(matches!(errors[..], [MoveChartError::Chart(_)]), "{errors:?}");
}
