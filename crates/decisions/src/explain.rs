//! Explanation of what happened to one call, from the log lines of all daemons.

use std::sync::Arc;

use crate::line::{AttemptEnd, CallDecision, CallEnd, Decision, LogLine, SlotAnswer};

/// Time before the first line of a call from which changes of belief are included, in milliseconds.
const LOOKBACK_MS: u64 = 5_000;

/// Places in the order of the decisions of one attempt: placed, slot, ran, attempted.
const STEPS_PER_ATTEMPT: u32 = 4;

/// What the log lines show about one call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Explanation {
    /// One line of text for each decision, in time order.
    pub steps: Vec<String>,
    /// Changes of belief of the daemons that handled the call, shortly before and during it, in
    /// time order.
    pub beliefs: Vec<String>,
    /// Why the call ended as it did, in one sentence; `None` if no line is about the call.
    pub cause: Option<String>,
}

/// Explains the call with this id from `lines`, which may come from several daemons in any order.
pub fn explain(id: &str, lines: &[LogLine]) -> Explanation {
    let mut call_lines: Vec<(&LogLine, &CallDecision)> = Vec::new();
    for line in lines {
        if let Decision::Call { call, decision } = &line.decision
            && &**call == id
        {
            call_lines.push((line, decision));
        }
    }
    let times = attempt_times(&call_lines);
    call_lines.sort_by_key(|(line, decision)| {
        (line.at_ms, order_within_millisecond(line, decision, &times))
    });
    let mut explanation = Explanation::default();
    for (line, decision) in &call_lines {
        explanation.steps.push(format!("{} {}: {}", line.at_ms, line.instance, describe(decision)));
    }
    explanation.beliefs = beliefs_around(&call_lines, lines);
    explanation.cause = cause(&call_lines);
    explanation
}

/// Where an attempt of a call was made, and when.
struct AttemptTime<'a> {
    attempt: u32,
    server: &'a str,
    placed_at_ms: u64,
    /// `u64::MAX` if no line tells.
    ended_at_ms: u64,
}

/// The placed attempts of a call, in the order in which they were made.
fn attempt_times<'a>(call_lines: &[(&LogLine, &'a CallDecision)]) -> Vec<AttemptTime<'a>> {
    let mut times = Vec::new();
    for (line, decision) in call_lines {
        let CallDecision::Placed { attempt, server, .. } = decision else {
            continue;
        };
        let ended = call_lines.iter().find(|(_, decision)| {
            matches!(decision, CallDecision::Attempted { attempt: ended, .. } if ended == attempt)
        });
        times.push(AttemptTime {
            attempt: *attempt,
            server,
            placed_at_ms: line.at_ms,
            ended_at_ms: ended.map_or(u64::MAX, |(line, _)| line.at_ms),
        });
    }
    times.sort_by_key(|time| time.attempt);
    times
}

/// The attempt that a line of the hosting daemon of `server` belongs to, which carries no attempt
/// number: the first one there that was under way at the time of the line, or else the first one
/// there. Attempts at one server that share the millisecond of the line cannot be told apart. The
/// line counts as of the first attempt if none at that server is known.
fn attempt_of_hosting_line(line: &LogLine, server: &str, times: &[AttemptTime<'_>]) -> u32 {
    let there = || times.iter().filter(|time| time.server == server);
    let under_way =
        |time: &&AttemptTime<'_>| (time.placed_at_ms..=time.ended_at_ms).contains(&line.at_ms);
    there().find(under_way).or_else(|| there().next()).map_or(1, |time| time.attempt)
}

/// Sort key that puts decisions of the same millisecond into the order in which they are made.
fn order_within_millisecond(
    line: &LogLine,
    decision: &CallDecision,
    times: &[AttemptTime<'_>],
) -> u32 {
    match decision {
        CallDecision::Placed { attempt, .. } => attempt * STEPS_PER_ATTEMPT,
        CallDecision::Slot { server, .. } => {
            attempt_of_hosting_line(line, server, times) * STEPS_PER_ATTEMPT + 1
        }
        CallDecision::Ran { server, .. } => {
            attempt_of_hosting_line(line, server, times) * STEPS_PER_ATTEMPT + 2
        }
        CallDecision::Attempted { attempt, .. } => attempt * STEPS_PER_ATTEMPT + 3,
        CallDecision::Ended { .. } => u32::MAX - 1,
        CallDecision::Unanswered { .. } => u32::MAX,
    }
}

/// Text for one decision.
fn describe(decision: &CallDecision) -> String {
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
        CallDecision::Unanswered { loss, took_ms } => {
            format!("no whole answer reached the caller after {took_ms:.1} ms: {loss}")
        }
    }
}

/// Why the call with these lines ended as it did.
fn cause(call_lines: &[(&LogLine, &CallDecision)]) -> Option<String> {
    let loss = call_lines.iter().rev().find_map(|(_, decision)| match decision {
        CallDecision::Unanswered { loss, .. } => Some(*loss),
        _ => None,
    });
    if let Some(loss) = loss {
        return Some(format!("no whole answer reached the caller: {loss}"));
    }
    let last_attempt = call_lines.iter().rev().find_map(|(_, decision)| match decision {
        CallDecision::Attempted { end, server, .. } => Some((*end, Arc::clone(server))),
        _ => None,
    });
    let slot = call_lines.iter().rev().find_map(|(_, decision)| match decision {
        CallDecision::Slot { answer, running, waiting, limit, .. } => {
            Some((*answer, *running, *waiting, *limit))
        }
        _ => None,
    });
    let end = call_lines.iter().rev().find_map(|(_, decision)| match decision {
        CallDecision::Ended { end, status, reason, .. } => Some((*end, *status, reason.clone())),
        _ => None,
    });
    let Some((end, status, reason)) = end else {
        return (!call_lines.is_empty()).then(|| {
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
        (CallEnd::NoAccount, ..) => {
            "its key is of no client account of the configuration in force; it was not run".into()
        }
        (CallEnd::OverAllowance, ..) => match reason {
            Some(reason) => format!("its client account calls more than it may: {reason}"),
            None => "its client account calls more than it may; it was not run".into(),
        },
        (CallEnd::Unknown, Some((AttemptEnd::TimedOut, server)), _) => {
            format!("{server} gave no answer in time; it may have run")
        }
        (CallEnd::Unknown, Some((AttemptEnd::Crashed, server)), _) => {
            format!("{server} crashed while it ran the call")
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

/// Changes of belief of the daemons that handled a call, from [`LOOKBACK_MS`] before its first line
/// to its last line.
fn beliefs_around(call_lines: &[(&LogLine, &CallDecision)], lines: &[LogLine]) -> Vec<String> {
    let (Some((first, _)), Some((last, _))) = (call_lines.first(), call_lines.last()) else {
        return Vec::new();
    };
    let mut found: Vec<(u64, String)> = Vec::new();
    for line in lines {
        let Decision::Belief(belief) = &line.decision else {
            continue;
        };
        let in_window = line.at_ms + LOOKBACK_MS >= first.at_ms && line.at_ms <= last.at_ms;
        let took_part = call_lines.iter().any(|(call_line, _)| call_line.instance == line.instance);
        if in_window && took_part {
            found.push((line.at_ms, format!("{} {}: {}", line.at_ms, line.instance, belief)));
        }
    }
    found.sort();
    found.into_iter().map(|(_, text)| text).collect()
}
