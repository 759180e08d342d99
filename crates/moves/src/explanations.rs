//! Sentences that explain the state of a move to operators and in verdicts.

use std::sync::Arc;

use crate::active_move::{ActiveMove, StageBlocker};
use crate::evidence::Counts;
use crate::status::{MovePhase, RouteEvidence};

const PPM_PER_PERCENT: u32 = 10_000;

/// The reason for the present state of a move.
pub(crate) fn reason(active: &ActiveMove) -> Arc<str> {
    let percent = active.share_ppm() / PPM_PER_PERCENT;
    let text = match (active.state(), &active.rollback) {
        (MovePhase::TakenBack, Some(rollback)) => return Arc::clone(&rollback.reason),
        (MovePhase::TakenBack, None) => "it was taken back".to_owned(),
        (MovePhase::Scheduled, _) => "the start is not reached".to_owned(),
        (MovePhase::Moving, _) => describe_moving(active, percent),
        (MovePhase::Checking, _) => describe_checking(active, percent),
        (MovePhase::Paused, _) => format!("an operator paused it at {percent}% of calls"),
        (MovePhase::Watched, _) => {
            format!("{}{}", done_reason(active), rollback_impossible_note(active))
        }
        (MovePhase::Done, _) => done_reason(active),
    };
    let shows_lateness = matches!(active.state(), MovePhase::Watched | MovePhase::Done);
    if active.late && !shows_lateness { format!("late: {text}").into() } else { text.into() }
}

/// The reason in a verdict that says done.
pub(crate) fn done_reason(active: &ActiveMove) -> String {
    let (old, new) = totals(active);
    let figures = format!(
        "all calls go to the new version, which failed {} of {} calls; the old one failed {} of {}",
        new.failed, new.calls, old.failed, old.calls,
    );
    match active.late_cause {
        Some(blocker) if active.late => format!("late: {}; {figures}", describe_blocker(blocker)),
        _ => figures,
    }
}

/// Call counts by route, for the routes whose names this daemon knows.
pub(crate) fn route_evidence(active: &ActiveMove) -> Vec<RouteEvidence> {
    let mut evidence = Vec::new();
    for (key, strata) in active.evidence.routes() {
        let Some(route) = active.recorder.route_name(*key) else {
            continue;
        };
        let (mut old, mut new) = (Counts::default(), Counts::default());
        for versions in strata.version_counts().values() {
            old += versions.old;
            new += versions.new_total_without(None);
        }
        evidence.push(RouteEvidence {
            route: route.clone(),
            old_calls: old.calls,
            old_failed: old.failed,
            old_slow: old.slow,
            new_calls: new.calls,
            new_failed: new.failed,
            new_slow: new.slow,
        });
    }
    evidence.sort_by(|a, b| a.route.cmp(&b.route));
    evidence
}

fn describe_moving(active: &ActiveMove, percent: u32) -> String {
    let what = match active.blocker {
        StageBlocker::Schedule => "as scheduled".to_owned(),
        blocker => format!("and {}", describe_blocker(blocker)),
    };
    format!("{percent}% of calls go to the new version, {what}")
}

fn describe_blocker(blocker: StageBlocker) -> String {
    match blocker {
        StageBlocker::Schedule => "the schedule left too little time".to_owned(),
        StageBlocker::Calls { seen, wanted } => format!(
            "of the {wanted} calls that the next stage takes {seen} were seen: too little \
             traffic"
        ),
        StageBlocker::Inconclusive => {
            "what it did wrong so far is too much to go on and too little to take \
             it back"
                .to_owned()
        }
        StageBlocker::Capacity => {
            "its announced slots carry no more: start more of its backend servers".to_owned()
        }
    }
}

fn describe_checking(active: &ActiveMove, percent: u32) -> String {
    let suspected = active.check.as_ref().map(|check| {
        let name = check.finding.route.and_then(|route| active.recorder.route_name(route));
        check.finding.describe_full_share(name)
    });
    format!(
        "{percent}% of calls go to the new version while it is compared with the old one, since {}",
        suspected.unwrap_or_default(),
    )
}

fn rollback_impossible_note(active: &ActiveMove) -> &'static str {
    if active.announced_slots.is_some_and(|slots| slots.old == 0) {
        "; no old backend server is left here, so nothing can be taken back to: keep them until \
         the watch ends"
    } else {
        ""
    }
}

fn totals(active: &ActiveMove) -> (Counts, Counts) {
    let (mut old, mut new) = (Counts::default(), Counts::default());
    for versions in active.evidence.overall().version_counts().values() {
        old += versions.old;
        new += versions.new_total_without(None);
    }
    (old, new)
}
