//! Tests of [`Evidence::all_at_last_stage`]. A wrong answer declares a move done while a daemon
//! still sends calls to the old version.

use super::{CounterKey, Counts, Evidence, Stratum};
use crate::keys::{DomainKey, ReporterKey, RouteKey, ServerKey};
use crate::stages::{FIRST_CHECK_STAGE_NUMBER, LAST_STAGE};

const TIME_SLOT: u16 = 20;

/// Evidence of one daemon whose latest calls were counted at `stage`.
fn evidence_with_latest_calls_at(stage: u8) -> Evidence {
    let mut evidence = Evidence::new(0.001);
    for (time_slot, stage) in [(TIME_SLOT - 1, LAST_STAGE), (TIME_SLOT, stage)] {
        let stratum = Stratum { time_slot, stage };
        let key = CounterKey { stratum, route: RouteKey::default(), server: ServerKey::OLD };
        let counts = Counts { calls: 9, ..Counts::default() };
        evidence.merge(ReporterKey::default(), DomainKey::default(), key, counts);
    }
    evidence
}

#[test]
fn all_at_last_stage_after_checks() {
    assert!(evidence_with_latest_calls_at(LAST_STAGE).all_at_last_stage(TIME_SLOT));
    assert!(evidence_with_latest_calls_at(LAST_STAGE + 2).all_at_last_stage(TIME_SLOT));
}

#[test]
fn all_at_last_stage_not_before() {
    assert!(!evidence_with_latest_calls_at(LAST_STAGE - 1).all_at_last_stage(TIME_SLOT));
    assert!(
        evidence_with_latest_calls_at(LAST_STAGE - 1).all_at_last_stage(TIME_SLOT + 1),
        "it had no call for long"
    );
}

/// During a check, a daemon sends most calls to the old version.
#[test]
fn all_at_last_stage_not_during_check() {
    assert!(!evidence_with_latest_calls_at(FIRST_CHECK_STAGE_NUMBER).all_at_last_stage(TIME_SLOT));
    assert!(
        !evidence_with_latest_calls_at(FIRST_CHECK_STAGE_NUMBER + 3).all_at_last_stage(TIME_SLOT)
    );
}
