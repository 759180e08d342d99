//! Verdicts on suspected calls: calls that crash servers are blocked after few crashes, and calls
//! that merely ran when servers crashed never are.

mod common;

use std::time::Duration;

use common::{Mesh, at, call, key, server};
use cyclamen_blocklist::{Blocklist, Denial, DigestKey, ENTRY_PERIOD, RunId, Scope};

/// Longest time from a crash to its verdict.
const VERDICT: u64 = 500;

/// Time between two visits of callers, and between two waves of crashes, in milliseconds.
const PERIOD: u64 = 3_500;

#[test]
fn blocked_after_two_crashes_of_a_lone_call() {
    let mut mesh = Mesh::new(3);
    mesh.crash(100, 0, "a", &[key(1)], None);
    mesh.crash(150, 1, "b", &[key(1)], Some("a"));
    mesh.settle(150 + VERDICT);
    assert_eq!(mesh.blocked(), [key(1)]);
}

#[test]
fn blocked_after_two_crashes_at_daemons_that_were_not_told_by_the_caller() {
    let mut mesh = Mesh::new(3);
    mesh.crash(100, 0, "a", &[key(1)], None);
    mesh.settle(1_000);
    mesh.crash(1_000, 1, "b", &[key(1)], None);
    mesh.settle(1_000 + VERDICT);
    assert_eq!(mesh.blocked(), [key(1)]);
}

#[test]
fn blocked_after_three_crashes_among_many_calls() {
    let mut mesh = Mesh::new(3);
    let others: Vec<u64> = (10..22).collect();
    let with_crasher = |from: usize, to: usize| {
        let mut keys: Vec<_> = others[from..to].iter().map(|call| key(*call)).collect();
        keys.push(key(1));
        keys
    };
    // All calls of the first server are tried again, half of them at the second one.
    mesh.crash(100, 0, "a", &with_crasher(0, 12), None);
    mesh.crash(200, 1, "b", &with_crasher(0, 6), Some("a"));
    mesh.settle(200 + VERDICT);
    assert!(mesh.blocked().is_empty());
    mesh.crash(1_500, 2, "c", &[key(1), key(50), key(51)], None);
    mesh.settle(1_500 + VERDICT);
    assert_eq!(mesh.blocked(), [key(1)]);
}

#[test]
fn blocked_while_another_call_crashes_servers_too() {
    let mut mesh = Mesh::new(3);
    for visit in 0..5 {
        let now = 1_000 * (visit + 1);
        let names = ["a", "b"].map(|name| format!("{name}-{visit}"));
        for (index, (name, crasher)) in names.iter().zip([1, 2]).enumerate() {
            if !mesh.blocked().contains(&key(crasher)) {
                mesh.crash(now + 100 * index as u64, index, name, &[key(crasher)], None);
            }
        }
        mesh.settle(now + 200 + VERDICT);
    }
    assert_eq!(mesh.blocked(), [key(1), key(2)]);
}

#[test]
fn blocked_without_retries_while_many_crashes_of_a_blocked_call_are_repeated() {
    let mut mesh = Mesh::new(3);
    for crash in 0..6 {
        mesh.crash(100 + 30 * crash, (crash % 3) as usize, &format!("a-{crash}"), &[key(1)], None);
    }
    mesh.settle(1_000);
    mesh.crash(1_000, 0, "b", &[key(1)], None);
    mesh.settle(2_000);
    assert_eq!(mesh.blocked(), [key(1)]);
    for crash in 0..2 {
        let now = 20_000 + 3_000 * crash;
        mesh.repeat_summaries(now - 100);
        mesh.crash(now, crash as usize, &format!("c-{crash}"), &[key(2)], None);
        mesh.settle(now + VERDICT);
    }
    assert_eq!(mesh.blocked(), [key(1), key(2)]);
}

#[test]
fn unblocked_if_all_servers_crash_at_once_again_and_again() {
    let mut mesh = Mesh::new(6);
    for wave in 0..30 {
        let now = 1_000 + PERIOD * wave;
        // All calls of the service are the same one.
        mesh.crash_all(now, wave, key(1));
        mesh.settle(now + VERDICT);
        assert!(mesh.blocked().is_empty(), "wave {wave}");
        // The servers serve again before each third wave only.
        if wave % 3 == 2 {
            mesh.answer(now + 3_000, 0, key(1));
        }
    }
}

#[test]
fn unblocked_if_all_servers_crash_one_after_the_other() {
    let mut mesh = Mesh::new(6);
    for wave in 0..10 {
        let now = 1_000 + 10_000 * wave;
        // Each call is tried again once, at the server that crashes next, and runs there alone.
        for step in 0..6 {
            let name = format!("server-{step}-{wave}");
            let last = (step % 2 == 1).then(|| format!("server-{}-{wave}", step - 1));
            let call = key(step / 2);
            mesh.crash(now + 150 * step, step as usize, &name, &[call], last.as_deref());
        }
        mesh.settle(now + 900 + VERDICT);
        assert!(mesh.blocked().is_empty(), "wave {wave}");
        for call in 0..3 {
            mesh.answer(now + 4_000, 0, key(call));
        }
    }
}

#[test]
fn unblocked_if_half_of_the_servers_crash_under_calls_that_are_answered_between() {
    let mut mesh = Mesh::new(6);
    for wave in 0..20 {
        let now = 1_000 + PERIOD * wave;
        for daemon in 0..3 {
            let daemon = (daemon + wave as usize) % 6;
            let name = format!("server-{daemon}-{wave}");
            let keys: Vec<_> = (0..10).map(|call| key(daemon as u64 * 5 + call)).collect();
            mesh.crash(now + daemon as u64 * 30, daemon, &name, &keys, None);
        }
        // The calls are tried again at the servers that live.
        for call in 0..40 {
            mesh.answer(now + 150, (call % 6) as usize, key(call));
        }
        mesh.settle(now + 180 + VERDICT);
        assert!(mesh.blocked().is_empty(), "wave {wave}");
    }
}

#[test]
fn unblocked_if_servers_crash_one_at_a_time_under_many_calls() {
    let mut mesh = Mesh::new(6);
    for crash in 0..100 {
        let now = 1_000 + 900 * crash;
        let daemon = (crash % 6) as usize;
        // Every call meets a crash more than once, and is answered before the next.
        let keys: Vec<_> = (0..8).map(|call| key((crash * 3 + call) % 30)).collect();
        mesh.crash(now, daemon, &format!("server-{crash}"), &keys, None);
        mesh.settle(now + VERDICT);
        for key in keys {
            mesh.answer(now + VERDICT, (daemon + 1) % 6, key);
        }
        assert!(mesh.blocked().is_empty(), "crash {crash}");
    }
}

#[test]
fn unblocked_if_answered_after_a_crash() {
    let mut mesh = Mesh::new(2);
    for crash in 0..20 {
        let now = 1_000 + 2_000 * crash;
        mesh.crash(now, 0, &format!("server-{crash}"), &[key(1)], None);
        mesh.settle(now + VERDICT);
        mesh.answer(now + 1_000, 1, key(1));
    }
    assert!(mesh.blocked().is_empty());
}

#[test]
fn blocked_for_other_callers_and_versions_after_one_crash_of_theirs() {
    let mut mesh = Mesh::new(2);
    mesh.block(key(1));
    let elsewhere = call(1, 7);
    assert!(mesh.daemons.iter().all(|list| !list.is_blocked(elsewhere)));
    assert!(mesh.daemons.iter().all(|list| !list.is_blocked(key(2))));
    mesh.crash(20_000, 0, "other", &[elsewhere], None);
    mesh.settle(20_000 + VERDICT);
    assert!(mesh.daemons.iter().all(|list| list.is_blocked(elsewhere)));
}

#[test]
fn digest_differs_by_body_and_scope_by_caller_and_version() {
    let digests = DigestKey::new(&[7; 32]);
    let content = |body| cyclamen_blocklist::CallContent {
        method: "POST",
        host: "doors.example",
        target: "/notices/1",
        body,
    };
    assert_eq!(digests.call(&content(b"one")), digests.call(&content(b"one")));
    assert_ne!(digests.call(&content(b"one")), digests.call(&content(b"two")));
    let service = "zpravy".try_into().expect("a name");
    let [v1, v2] = ["v1", "v2"].map(|name| name.try_into().expect("a name"));
    let caller = "dvere".try_into().expect("a name");
    let scopes = [
        Scope { caller: None, service: &service, version: &v1 },
        Scope { caller: Some(&caller), service: &service, version: &v1 },
        Scope { caller: None, service: &service, version: &v2 },
    ];
    for (index, one) in scopes.iter().enumerate() {
        for other in &scopes[index + 1..] {
            assert_ne!(digests.scope(one), digests.scope(other));
        }
    }
    assert_ne!(digests.call(&content(b"one")), DigestKey::new(&[8; 32]).call(&content(b"one")));
}

#[test]
fn begin_run_denied_if_blocked() {
    let mut mesh = Mesh::new(2);
    mesh.block(key(1));
    for list in &mut mesh.daemons {
        let begun = list.begin_run(at(20_000), &server("new"), RunId(900), key(1), None);
        assert_eq!(begun, Err(Denial::Blocked));
    }
}

#[test]
fn begin_run_of_suspects_one_at_a_time() {
    let mut mesh = Mesh::new(2);
    let suspects = [key(1), key(2)];
    mesh.crash(100, 0, "a", &suspects, None);
    mesh.settle(1_000);
    mesh.crash(1_000, 1, "b", &suspects, None);
    mesh.settle(1_000 + VERDICT);
    assert!(mesh.blocked().is_empty());
    let list = &mut mesh.daemons[0];
    let mut begin = |id, key| list.begin_run(at(3_000), &server("c"), RunId(id), key, None);
    assert_eq!(begin(901, key(1)), Ok(()));
    assert_eq!(begin(902, key(2)), Err(Denial::SuspectRuns));
    assert_eq!(begin(903, key(3)), Ok(()));
    list.end_run(at(3_100), &server("c"), RunId(901), true);
    let begun = list.begin_run(at(3_100), &server("c"), RunId(904), key(2), None);
    assert_eq!(begun, Ok(()));
}

#[test]
fn lift_holds_against_outdated_copies() {
    let mut mesh = Mesh::new(3);
    mesh.block(key(1));
    let outdated = mesh.daemons[2].summary(0);
    assert!(mesh.daemons[0].lift(at(20_000), key(1).call));
    assert!(!mesh.daemons[0].lift(at(20_000), key(2).call));
    mesh.settle(20_100);
    assert!(mesh.blocked().is_empty());
    for payload in outdated {
        mesh.daemons[0].merge(at(20_200), &payload);
    }
    assert!(!mesh.daemons[0].is_blocked(key(1)));
    // The daemon that sent the outdated copy is told.
    assert!(!mesh.daemons[0].take_updates().is_empty());
}

#[test]
fn summary_tells_a_daemon_that_starts_again() {
    let mut mesh = Mesh::new(2);
    mesh.block(key(1));
    let mut restarted = Blocklist::default();
    for payload in mesh.daemons[0].summary(0) {
        restarted.merge(at(20_000), &payload);
    }
    assert!(restarted.is_blocked(key(1)));
}

#[test]
fn summary_is_bounded_and_all_rounds_hold_every_call() {
    let mut list = Blocklist::default();
    for number in 0..500 {
        for crash in 0..2 {
            let now = at(10_000 * (number + 1) / 10 + 500 * crash);
            let name = server(&format!("i-{number:08x}-{crash}"));
            let (id, key) = (RunId(number * 2 + crash), call(u64::MAX - number, u64::MAX));
            list.begin_run(now, &name, id, key, None).expect("not blocked yet");
            list.server_crashed(now, &name);
            list.tick(now + Duration::from_millis(VERDICT));
        }
    }
    let blocked = list.blocked_calls().len();
    assert!(blocked > 200, "{blocked}");
    let mut other = Blocklist::default();
    for round in 0..blocked {
        let summary = list.summary(round);
        let bytes: usize = summary.iter().map(|payload| payload.len()).sum();
        assert!(bytes <= 4_000, "{bytes}");
        summary.iter().for_each(|payload| other.merge(at(600_000), payload));
    }
    assert_eq!(other.blocked_calls().len(), blocked);
}

#[test]
fn blocked_ends_by_itself() {
    let mut mesh = Mesh::new(2);
    mesh.block(key(1));
    let end = u64::try_from(ENTRY_PERIOD.as_millis()).expect("a short time") + 20_000;
    mesh.settle(end);
    assert!(mesh.blocked().is_empty());
    assert!(mesh.daemons[0].is_empty());
}

#[test]
fn blocked_outlasts_a_flood_of_other_calls() {
    let mut mesh = Mesh::new(1);
    mesh.block(key(1));
    for crash in 0..400 {
        let keys: Vec<_> = (0..20).map(|call| key(1_000 + crash * 20 + call)).collect();
        mesh.crash(20_000 + 10 * crash, 0, &format!("server-{crash}"), &keys, None);
    }
    mesh.settle(30_000);
    assert_eq!(mesh.blocked(), [key(1)]);
    let listed = mesh.daemons[0].blocked_calls();
    assert_eq!(listed.len(), 1);
    assert_eq!(listed[0].crashed_servers.len(), 2);
}

/// Bytes of the updates while 500 servers crash within half a second, each with this many calls.
fn bytes_in_a_mass_crash(calls: u64) -> usize {
    let mut list = Blocklist::default();
    let mut bytes = 0;
    for crash in 0..500 {
        let now = at(1_000 + crash);
        let name = server(&format!("server-{crash}"));
        for number in crash * calls..(crash + 1) * calls {
            let key = call(u64::MAX - number, u64::MAX);
            let begun = list.begin_run(now, &name, RunId(number), key, None);
            begun.expect("no suspect");
        }
        list.server_crashed(now, &name);
        list.tick(now);
        let updates = list.take_updates();
        bytes += updates.iter().map(|update| update.payload.len()).sum::<usize>();
    }
    list.tick(at(3_000));
    bytes + list.take_updates().iter().map(|update| update.payload.len()).sum::<usize>()
}

#[test]
fn first_crashes_are_not_sent_in_a_mass_crash() {
    for calls in [1, 13] {
        let bytes = bytes_in_a_mass_crash(calls);
        assert!(bytes < 4_000, "{bytes} bytes with {calls} calls a server");
    }
}

#[test]
fn clearing_a_call_that_no_other_daemon_knows_is_not_sent() {
    let mut list = Blocklist::default();
    for crash in 0..100 {
        let name = server(&format!("server-{crash}"));
        list.begin_run(at(1_000), &name, RunId(crash), key(crash), None).expect("no suspect");
        list.server_crashed(at(1_000), &name);
    }
    list.take_updates();
    for crash in 50..100 {
        let id = RunId(1_000 + crash);
        list.begin_run(at(1_100), &server("sound"), id, key(crash), None).expect("no suspect");
        list.end_run(at(1_200), &server("sound"), id, true);
    }
    assert!(list.take_updates().is_empty());
    assert_eq!(list.counters().calls_cleared, 50);
}

#[test]
fn merge_of_malformed_payloads_changes_nothing() {
    let mut list = Blocklist::default();
    for payload in [&[][..], &[2], &[2, 0xff, 0xff], &[1, 2, 3], &[2; 900]] {
        list.merge(at(1), payload);
        assert!(list.blocked_calls().is_empty());
    }
}
