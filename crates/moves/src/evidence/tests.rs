//! When all daemons are known to send all calls to the new version.

use super::{Counts, Evidence, LineKey, Stratum};
use crate::keys::{DomainKey, ReporterKey, RouteKey, ServerKey};
use crate::ladder::{LAST_STAGE, LONE_STRATA_END};

const SLOT: u16 = 20;

/// Evidence of a daemon whose latest calls were counted at this stage.
fn latest_at(stage: u8) -> Evidence {
    let mut evidence = Evidence::new(0.001);
    for (slot, stage) in [(SLOT - 1, LAST_STAGE), (SLOT, stage)] {
        let stratum = Stratum { slot, stage };
        let key = LineKey { stratum, route: RouteKey::default(), server: ServerKey::OLD };
        let counts = Counts { calls: 9, ..Counts::default() };
        evidence.raise(ReporterKey::default(), DomainKey::default(), key, counts);
    }
    evidence
}

#[test]
fn all_at_last_stage_of_returns_after_checks() {
    assert!(latest_at(LAST_STAGE).all_at_last_stage(SLOT));
    assert!(latest_at(LAST_STAGE + 2).all_at_last_stage(SLOT));
}

#[test]
fn all_at_last_stage_not_on_the_way() {
    assert!(!latest_at(LAST_STAGE - 1).all_at_last_stage(SLOT));
    assert!(latest_at(LAST_STAGE - 1).all_at_last_stage(SLOT + 1), "it had no call for long");
}

/// A daemon that checks the version sends most calls to the old one.
#[test]
fn all_at_last_stage_not_during_a_check() {
    assert!(!latest_at(LONE_STRATA_END).all_at_last_stage(SLOT));
    assert!(!latest_at(LONE_STRATA_END + 3).all_at_last_stage(SLOT));
}
