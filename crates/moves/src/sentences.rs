//! Why a move stands where it stands, in one sentence.

use std::sync::Arc;

use crate::active::{ActiveMove, Wait};
use crate::evidence::Counts;
use crate::status::{EvidenceLine, MoveStage};

/// Parts per million in one percent.
const PPM_PER_PERCENT: u32 = 10_000;

/// The reason an operator reads.
pub(crate) fn reason(active: &ActiveMove) -> Arc<str> {
    if let Some(conviction) =
        active.conviction.as_ref().filter(|_| at(active, MoveStage::TakenBack))
    {
        return Arc::clone(&conviction.reason);
    }
    let percent = active.share_ppm() / PPM_PER_PERCENT;
    let text = match active.at() {
        MoveStage::Scheduled => "the start is not reached".to_owned(),
        MoveStage::Moving => moving(active, percent),
        MoveStage::Checking => {
            format!("{percent}% of calls go to the new version while a suspicion is checked")
        }
        MoveStage::Paused => format!("an operator paused it at {percent}% of calls"),
        MoveStage::Watched | MoveStage::Done => done(active),
        MoveStage::TakenBack => "it was taken back".to_owned(),
    };
    if active.late { format!("late: {text}").into() } else { text.into() }
}

/// The sentence of a verdict that says done.
pub(crate) fn done(active: &ActiveMove) -> String {
    let (old, new) = sums(active);
    format!(
        "all calls go to the new version, which failed {} of {} calls; the old one failed {} of {}",
        new.failed, new.calls, old.failed, old.calls,
    )
}

/// The figures behind a verdict, by route, for the routes that this daemon knows by name.
pub(crate) fn lines(active: &ActiveMove) -> Vec<EvidenceLine> {
    let mut lines = Vec::new();
    for (key, strata) in active.evidence.routes() {
        let Some(route) = active.route_name(*key) else {
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

fn at(active: &ActiveMove, stage: MoveStage) -> bool {
    active.at() == stage
}

fn moving(active: &ActiveMove, percent: u32) -> String {
    match active.wait {
        Wait::Schedule => format!("{percent}% of calls go to the new version, as scheduled"),
        Wait::Calls { seen, wanted } => format!(
            "{percent}% of calls go to the new version, and {seen} calls of the {wanted} that the \
             next stage takes were seen: too little traffic"
        ),
        Wait::Doubt => format!(
            "{percent}% of calls go to the new version, and what it did wrong so far is too much \
             to go on and too little to take it back"
        ),
        Wait::Slots => format!(
            "{percent}% of calls go to the new version, and its announced slots carry no more: \
             start more of its backend servers"
        ),
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
