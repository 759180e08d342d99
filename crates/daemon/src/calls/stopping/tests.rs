//! Tests of the times of a stop.

use std::time::Duration;

use super::StopSchedule;
use crate::settings::LimitSettings;

const MS: Duration = Duration::from_millis(1);

fn schedule(limits: LimitSettings) -> [u128; 3] {
    let schedule = StopSchedule::from(&limits);
    [schedule.listeners_close, schedule.calls_end, schedule.connections_close]
        .map(|time| time.as_millis())
}

/// Guards against calls that are cut although there is time left: the platform says how long a stop
/// may take.
#[test]
fn schedule_uses_the_time_that_a_stop_may_take() {
    let linger = LimitSettings { stop_linger: Some(2_500 * MS), ..LimitSettings::default() };
    let within = |millis: u32| LimitSettings { stop_within: Some(millis * MS), ..linger };
    assert_eq!(schedule(within(6_000)), [2_500, 5_700, 5_800]);
    assert_eq!(schedule(within(10_000)), [2_500, 9_700, 9_800]);
    assert_eq!(schedule(within(3_000)), [1_400, 2_700, 2_800], "callers get half of a short one");
    assert_eq!(schedule(within(100)), [0, 0, 0]);
}

/// Guards against a stop that changes where nothing says how long it may take.
#[test]
fn schedule_without_a_bound_on_the_stop() {
    let limits = LimitSettings { stop_grace: 4_000 * MS, ..LimitSettings::default() };
    assert_eq!(schedule(limits), [1_000, 4_900, 5_000]);
    let limits = LimitSettings { stop_linger: Some(3_000 * MS), ..limits };
    assert_eq!(schedule(limits), [3_000, 6_900, 7_000]);
}
