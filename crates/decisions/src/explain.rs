//! The way of one call, told from the lines of all daemons.

use std::sync::Arc;

use crate::line::{AttemptEnd, CallDecision, CallEnd, Decision, Line, SlotAnswer};

/// Time before a call in which changes of belief are told with it, in milliseconds.
const BEFORE_MS: u64 = 5_000;

/// What the lines say of a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Explanation {
    /// One sentence for each decision, in time order.
    pub steps: Vec<String>,
    /// What its daemons began to believe shortly before and during it.
    pub beliefs: Vec<String>,
    /// Why it ended as it did, in one sentence; `None` when no line is about it.
    pub cause: Option<String>,
}

/// Tells the way of a call.
pub fn explain(id: &str, lines: &[Line]) -> Explanation {
    let mut own: Vec<(&Line, &CallDecision)> = Vec::new();
    for line in lines {
        if let Decision::Call { call, decision } = &line.decision
            && &**call == id
        {
            own.push((line, decision));
        }
    }
    own.sort_by_key(|(line, decision)| (line.at_ms, rank(decision)));
    let mut explanation = Explanation::default();
    for (line, decision) in &own {
        explanation.steps.push(format!("{} {}: {}", line.at_ms, line.instance, step(decision)));
    }
    explanation.beliefs = beliefs_around(&own, lines);
    explanation.cause = cause(&own);
    explanation
}

/// Orders the decisions of one millisecond as they are made.
fn rank(decision: &CallDecision) -> u32 {
    match decision {
        CallDecision::Placed { attempt, .. } => attempt * 4,
        CallDecision::Slot { .. } => 5,
        CallDecision::Ran { .. } => 6,
        CallDecision::Attempted { attempt, .. } => attempt * 4 + 3,
        CallDecision::Ended { .. } => u32::MAX,
    }
}

fn step(decision: &CallDecision) -> String {
    match decision {
        CallDecision::Placed {
            attempt,
            route,
            config,
            service,
            version,
            server,
            load,
            expected_ms,
            told_ms_ago,
            runner_up,
            left_ms,
        } => {
            let told = match told_ms_ago {
                Some(age) => format!("told {age} ms ago"),
                None => "not told by its daemon".into(),
            };
            let other = runner_up.as_deref().unwrap_or("none");
            format!(
                "attempt {attempt} on route {route} of configuration {config} goes to {server} \
                 ({service}/{version}): load {load}, {told}; {expected_ms:.1} ms expected of \
                 {left_ms} ms left; next best {other}"
            )
        }
        CallDecision::Attempted { attempt, server, end, took_ms } => {
            format!("attempt {attempt} at {server} {end} after {took_ms:.1} ms")
        }
        CallDecision::Slot { server, answer, running, waiting, limit, left_ms } => format!(
            "at {server} it {answer}: {running} of {limit} slots in use, {waiting} waiting, \
             {left_ms} ms left"
        ),
        CallDecision::Ran { server, end, took_ms } => {
            format!("at {server} it {end} after {took_ms:.1} ms")
        }
        CallDecision::Ended { end, status, reason, come_back_ms, took_ms } => {
            let mut text = format!("status {status} after {took_ms:.1} ms: {end}");
            if let Some(reason) = reason {
                text += &format!(" ({reason})");
            }
            if let Some(millis) = come_back_ms {
                text += &format!("; to come back after {millis} ms");
            }
            text
        }
    }
}

fn cause(own: &[(&Line, &CallDecision)]) -> Option<String> {
    let last_attempt = own.iter().rev().find_map(|(_, decision)| match decision {
        CallDecision::Attempted { end, server, .. } => Some((*end, Arc::clone(server))),
        _ => None,
    });
    let slot = own.iter().rev().find_map(|(_, decision)| match decision {
        CallDecision::Slot { answer, running, waiting, limit, .. } => {
            Some((*answer, *running, *waiting, *limit))
        }
        _ => None,
    });
    let end = own.iter().rev().find_map(|(_, decision)| match decision {
        CallDecision::Ended { end, status, reason, .. } => Some((*end, *status, reason.clone())),
        _ => None,
    });
    let Some((end, status, reason)) = end else {
        return (!own.is_empty()).then(|| {
            "no line tells how it ended: its daemon ended first, the caller left, or the line was \
             left out (look for `omitted` lines)"
                .into()
        });
    };
    Some(match (end, last_attempt, slot) {
        (CallEnd::Answered, Some((_, server)), _) if status >= 500 => {
            format!("the backend server {server} itself failed it with status {status}")
        }
        (CallEnd::Answered, ..) => format!("it was answered with status {status}"),
        (CallEnd::NoRoute, ..) => {
            "no route of the configuration in force takes its host and path".into()
        }
        (CallEnd::Unknown, Some((AttemptEnd::TimedOut, server)), _) => {
            format!("{server} gave no answer in time; it may have run")
        }
        (CallEnd::Unknown, Some((_, server)), _) => {
            format!("the connection to {server} broke before the answer; it may have run")
        }
        (CallEnd::Unknown, None, _) => "it may have run; no line tells of an attempt".into(),
        (
            CallEnd::Refused,
            _,
            Some((SlotAnswer::Refused | SlotAnswer::Expired, running, waiting, limit)),
        ) => {
            format!(
                "overload: {running} of {limit} slots were in use and {waiting} calls waited; it \
                 was not run"
            )
        }
        (CallEnd::Refused, Some((end, server)), _) => format!("its last attempt at {server} {end}"),
        (CallEnd::Refused, None, _) => match reason {
            Some(reason) => format!("no attempt was made: {reason}"),
            None => "no backend server could take it, so no attempt was made".into(),
        },
    })
}

/// What the daemons that had a part in a call began to believe around it.
fn beliefs_around(own: &[(&Line, &CallDecision)], lines: &[Line]) -> Vec<String> {
    let (Some((first, _)), Some((last, _))) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let mut told: Vec<(u64, String)> = Vec::new();
    for line in lines {
        let Decision::Belief(belief) = &line.decision else {
            continue;
        };
        let around = line.at_ms + BEFORE_MS >= first.at_ms && line.at_ms <= last.at_ms;
        let had_part = own.iter().any(|(own, _)| own.instance == line.instance);
        if around && had_part {
            told.push((line.at_ms, format!("{} {}: {}", line.at_ms, line.instance, belief)));
        }
    }
    told.sort();
    told.into_iter().map(|(_, text)| text).collect()
}
