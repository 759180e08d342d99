//! Why a move stands where it stands, in one sentence.

use std::sync::Arc;

use crate::active::{ActiveMove, Wait};
use crate::evidence::Counts;
use crate::status::{EvidenceLine, MoveStage};

/// Parts per million in one percent.
const PPM_PER_PERCENT: u32 = 10_000;

/// The reason an operator reads.
pub(crate) fn reason(active: &ActiveMove) -> Arc<str> {
    let percent = active.share_ppm() / PPM_PER_PERCENT;
    let text = match (active.at(), &active.conviction) {
        (MoveStage::TakenBack, Some(conviction)) => return Arc::clone(&conviction.reason),
        (MoveStage::TakenBack, None) => "it was taken back".to_owned(),
        (MoveStage::Scheduled, _) => "the start is not reached".to_owned(),
        (MoveStage::Moving, _) => moving(active, percent),
        (MoveStage::Checking, _) => checking(active, percent),
        (MoveStage::Paused, _) => format!("an operator paused it at {percent}% of calls"),
        (MoveStage::Watched, _) => format!("{}{}", done(active), flag(active)),
        (MoveStage::Done, _) => done(active),
    };
    let told = matches!(active.at(), MoveStage::Watched | MoveStage::Done);
    if active.late && !told { format!("late: {text}").into() } else { text.into() }
}

/// The sentence of a verdict that says done.
pub(crate) fn done(active: &ActiveMove) -> String {
    let (old, new) = sums(active);
    let figures = format!(
        "all calls go to the new version, which failed {} of {} calls; the old one failed {} of {}",
        new.failed, new.calls, old.failed, old.calls,
    );
    match active.late_because {
        Some(wait) if active.late => format!("late: {}; {figures}", waited(wait)),
        _ => figures,
    }
}

/// The figures behind a verdict, by route, for the routes that this daemon knows by name.
pub(crate) fn lines(active: &ActiveMove) -> Vec<EvidenceLine> {
    let mut lines = Vec::new();
    for (key, strata) in active.evidence.routes() {
        let Some(route) = active.recorder.route_name(*key) else {
            continue;
        };
        let (mut old, mut new) = (Counts::default(), Counts::default());
        for pair in strata.pairs().values() {
            old += pair.old;
            new += pair.new_without(None);
        }
        lines.push(EvidenceLine {
            route: route.clone(),
            old_calls: old.calls,
            old_failed: old.failed,
            old_slow: old.slow,
            new_calls: new.calls,
            new_failed: new.failed,
            new_slow: new.slow,
        });
    }
    lines.sort_by(|a, b| a.route.cmp(&b.route));
    lines
}

fn moving(active: &ActiveMove, percent: u32) -> String {
    let what = match active.wait {
        Wait::Schedule => "as scheduled".to_owned(),
        wait => format!("and {}", waited(wait)),
    };
    format!("{percent}% of calls go to the new version, {what}")
}

fn waited(wait: Wait) -> String {
    match wait {
        Wait::Schedule => "the schedule left too little time".to_owned(),
        Wait::Calls { seen, wanted } => format!(
            "of the {wanted} calls that the next stage takes {seen} were seen: too little \
             traffic"
        ),
        Wait::Doubt => "what it did wrong so far is too much to go on and too little to take \
                        it back"
            .to_owned(),
        Wait::Slots => {
            "its announced slots carry no more: start more of its backend servers".to_owned()
        }
    }
}

fn checking(active: &ActiveMove, percent: u32) -> String {
    let suspected = active.check.as_ref().map(|check| {
        let name = check.finding.route.and_then(|route| active.recorder.route_name(route));
        check.finding.alone(name)
    });
    format!(
        "{percent}% of calls go to the new version while it is compared with the old one, since {}",
        suspected.unwrap_or_default(),
    )
}

fn flag(active: &ActiveMove) -> &'static str {
    if active.slots.is_some_and(|slots| slots.old == 0) {
        "; no old backend server is left here, so nothing can be taken back to: keep them until \
         the watch ends"
    } else {
        ""
    }
}

fn sums(active: &ActiveMove) -> (Counts, Counts) {
    let (mut old, mut new) = (Counts::default(), Counts::default());
    for pair in active.evidence.overall().pairs().values() {
        old += pair.old;
        new += pair.new_without(None);
    }
    (old, new)
}
