//! Log lines: their JSON form, sampling, rate limit, and explanations of calls.

use std::sync::Arc;

use cyclamen_decisions::{
    AttemptEnd, Belief, CallDecision, CallEnd, Decision, LineBudget, LineKind, LogLine, Loss,
    Sampling, SlotAnswer, explain,
};
use cyclamen_types::Mono;

fn call_line(at_ms: u64, instance: &str, decision: CallDecision) -> LogLine {
    let decision = Decision::Call { call: "c-1".into(), decision };
    LogLine { at_ms, instance: instance.into(), decision }
}

fn belief_line(at_ms: u64, instance: &str, belief: Belief) -> LogLine {
    LogLine { at_ms, instance: instance.into(), decision: Decision::Belief(belief) }
}

fn placed(attempt: u32) -> CallDecision {
    CallDecision::Placed {
        attempt,
        route: "doors".into(),
        config: 12,
        service: "dvere".into(),
        version: "v1".into(),
        server: "dvere-1".into(),
        load: 4,
        expected_ms: 93.5,
        told_ms_ago: Some(12),
        runner_up: Some("dvere-2".into()),
        left_ms: 1_180,
    }
}

fn attempted(attempt: u32, end: AttemptEnd) -> CallDecision {
    CallDecision::Attempted { attempt, server: "dvere-1".into(), end, took_ms: 3.5 }
}

fn slot(answer: SlotAnswer) -> CallDecision {
    let (running, waiting, limit, left_ms) = (13, 9, 13, 1_170);
    CallDecision::Slot { server: "dvere-1".into(), answer, running, waiting, limit, left_ms }
}

fn ended(end: CallEnd, status: u16) -> CallDecision {
    let come_back_ms = (end == CallEnd::Refused).then_some(240);
    let reason = (end == CallEnd::Refused).then(|| "no backend server takes calls".into());
    CallDecision::Ended { end, status, reason, come_back_ms, took_ms: 9.0 }
}

fn unanswered(loss: Loss) -> CallDecision {
    CallDecision::Unanswered { loss, took_ms: 12.5 }
}

#[test]
fn line_round_trips_through_json() {
    let lines = [
        call_line(1, "a", placed(1)),
        call_line(2, "b", slot(SlotAnswer::Expired)),
        call_line(3, "a", attempted(1, AttemptEnd::Answered(500))),
        call_line(4, "a", ended(CallEnd::Refused, 503)),
        call_line(4, "a", unanswered(Loss::EarlierResponseBrokeOff)),
        belief_line(5, "a", Belief::Ready { ready: true }),
        belief_line(6, "a", Belief::Stopping),
    ];
    for line in lines {
        assert_eq!(LogLine::from_json(&line.to_json()), Some(line.clone()), "{}", line.to_json());
    }
    assert_eq!(LogLine::from_json(r#"{"level":"INFO","message":"of another kind"}"#), None);
}

#[test]
fn explain_overload_over_both_daemons() {
    let lines = [
        call_line(14, "a", ended(CallEnd::Refused, 503)),
        call_line(10, "a", placed(1)),
        call_line(12, "b", slot(SlotAnswer::Refused)),
        call_line(13, "a", attempted(1, AttemptEnd::NoSlot)),
        belief_line(9, "b", Belief::Config { version: 12 }),
        belief_line(9, "c", Belief::Config { version: 12 }),
    ];
    insta::assert_debug_snapshot!(explain("c-1", &lines));
}

/// The decisions of an attempt at `server` that it shed, all made at 10 ms.
fn shed_attempt(attempt: u32, server: &str) -> [LogLine; 4] {
    let server: Arc<str> = server.into();
    let mut placed = placed(attempt);
    if let CallDecision::Placed { server: placed_at, .. } = &mut placed {
        *placed_at = server.clone();
    }
    let (answer, running, waiting, limit, left_ms) = (SlotAnswer::Run, 1, 0, 13, 1_170);
    let slot =
        CallDecision::Slot { server: server.clone(), answer, running, waiting, limit, left_ms };
    let end = AttemptEnd::Shed;
    let ran = CallDecision::Ran { server: server.clone(), end, took_ms: 0.1 };
    let attempted = CallDecision::Attempted { attempt, server, end, took_ms: 0.2 };
    [
        call_line(10, "a", placed),
        call_line(10, "b", slot),
        call_line(10, "b", ran),
        call_line(10, "a", attempted),
    ]
}

#[test]
fn explain_attempts_within_a_millisecond() {
    let mut lines = Vec::new();
    for (attempt, server) in [(1, "dvere-1"), (2, "dvere-2"), (3, "dvere-3")] {
        lines.extend(shed_attempt(attempt, server));
    }
    lines.push(call_line(10, "a", ended(CallEnd::Refused, 503)));
    let wanted: Vec<String> =
        lines.iter().flat_map(|line| explain("c-1", std::slice::from_ref(line)).steps).collect();
    lines.reverse();
    assert_eq!(explain("c-1", &lines).steps, wanted);
    // As daemons write them: each its own lines.
    lines.sort_by_key(|line| line.instance.clone());
    assert_eq!(explain("c-1", &lines).steps, wanted);
}

#[test]
fn explain_attempts_at_one_server_in_later_milliseconds() {
    let mut lines = Vec::new();
    for (attempt, at_ms) in [(1, 10), (2, 12)] {
        for line in shed_attempt(attempt, "dvere-1") {
            lines.push(LogLine { at_ms, ..line });
        }
    }
    let wanted: Vec<String> =
        lines.iter().flat_map(|line| explain("c-1", std::slice::from_ref(line)).steps).collect();
    lines.reverse();
    assert_eq!(explain("c-1", &lines).steps, wanted);
}

#[test]
fn explain_each_end() {
    let cases = [
        (attempted(1, AttemptEnd::Answered(200)), ended(CallEnd::Answered, 200)),
        (attempted(1, AttemptEnd::Answered(500)), ended(CallEnd::Answered, 500)),
        (attempted(1, AttemptEnd::TimedOut), ended(CallEnd::Unknown, 502)),
        (attempted(1, AttemptEnd::Broken), ended(CallEnd::Unknown, 502)),
        (attempted(1, AttemptEnd::Crashed), ended(CallEnd::Unknown, 502)),
        (attempted(1, AttemptEnd::Blocked), ended(CallEnd::Refused, 503)),
        (attempted(1, AttemptEnd::NotConnected), ended(CallEnd::Refused, 503)),
        (placed(1), ended(CallEnd::Refused, 503)),
        (placed(1), ended(CallEnd::NoRoute, 404)),
    ];
    let mut causes = Vec::new();
    for (attempt, end) in cases {
        let explained = explain("c-1", &[call_line(1, "a", attempt), call_line(2, "a", end)]);
        causes.push(explained.cause.expect("a cause"));
    }
    insta::assert_debug_snapshot!(causes);
    assert_eq!(explain("c-2", &[call_line(1, "a", placed(1))]).cause, None);
}

#[test]
fn explain_answer_that_did_not_reach_the_caller() {
    let lines = [
        call_line(1, "a", attempted(1, AttemptEnd::Answered(200))),
        call_line(1, "a", unanswered(Loss::ConnectionTimedOut)),
        call_line(1, "a", ended(CallEnd::Answered, 200)),
    ];
    let explained = explain("c-1", &lines);
    let cause = explained.cause.expect("a cause");
    assert!(cause.contains("the caller's connection did not respond in time"), "{cause}");
    let last = explained.steps.last().expect("a step");
    assert!(last.contains("no whole answer reached the caller after 12.5 ms"), "{last}");
}

#[test]
fn budget_keeps_lines_about_losses() {
    let mut budget = LineBudget::new(100);
    while budget.try_take(Mono(0), LineKind::Failure, 1) {}
    assert!(budget.try_take(Mono(0), LineKind::Loss, 1));
    while budget.try_take(Mono(0), LineKind::Loss, 1) {}
    let omitted = budget.take_omitted().expect("lines were left out");
    assert_eq!(omitted.failures, 2);
}

#[test]
fn sampling_depends_only_on_call_id() {
    let (a, b) = (Sampling::new(50), Sampling::new(50));
    let ids: Vec<String> = (0..10_000).map(|number| format!("call-{number}")).collect();
    let written = ids.iter().filter(|id| a.selects(id.as_bytes())).count();
    assert!((100..300).contains(&written), "{written} of 10,000 at one in 50");
    assert!(ids.iter().all(|id| a.selects(id.as_bytes()) == b.selects(id.as_bytes())));
    assert!(!Sampling::new(0).selects(b"any"));
}

#[test]
fn budget_limits_rate_and_counts_omitted_lines() {
    let mut budget = LineBudget::new(100);
    let mut written = 0;
    for number in 0..10_000 {
        written += u64::from(budget.try_take(Mono(number * 100), LineKind::Failure, 3)) * 3;
    }
    assert!(written <= 200, "{written} lines in a second at 100 a second");
    assert!(
        budget.try_take(Mono(1_000_000), LineKind::Belief, 1),
        "part of the budget is reserved for beliefs"
    );
    let omitted = budget.take_omitted().expect("lines were left out");
    assert_eq!(omitted.failures + written, 30_000);
    assert_eq!(budget.take_omitted(), None);
}

#[test]
fn budget_reserves_parts_for_more_important_kinds() {
    let mut budget = LineBudget::new(100);
    let samples = (0..200).filter(|_| budget.try_take(Mono(0), LineKind::Sample, 1)).count();
    assert_eq!(samples, 50);
    let failures = (0..200).filter(|_| budget.try_take(Mono(0), LineKind::Failure, 1)).count();
    assert_eq!(failures, 40);
    budget.count_unwritten(2);
    let omitted = budget.take_omitted().expect("lines were left out");
    assert_eq!((omitted.samples, omitted.failures, omitted.unwritten), (150, 160, 2));
}
