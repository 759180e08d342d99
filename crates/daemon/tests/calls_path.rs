//! Calls over both hops: whole answers, and what callers are told when backend servers fail.

mod mesh;

use std::time::Duration;

use cyclamen_standins::{CallKey, Fault, FaultEffect, Scope, Told};
use http::Method;
use mesh::{DOORS, Mesh, plan};

/// A call that must not run twice.
const ONCE: &str = "/once/notices";

fn everywhere(effect: FaultEffect) -> Fault {
    Fault { scope: Scope::default(), effect }
}

#[tokio::test]
async fn call_both_hops() {
    let mesh = Mesh::start(2, 4, DOORS).await;
    for number in 0..40 {
        let key = format!("call-{number}");
        let answer = mesh.call(number % 2, &plan(Method::POST, ONCE, &key)).await;
        assert_eq!(answer.told, Told::Answered, "{answer:?}");
        assert_eq!(mesh.record.times(&CallKey::from(key.as_str())), 1);
    }
}

#[tokio::test]
async fn call_large_answer() {
    let mesh = Mesh::start(2, 4, DOORS).await;
    for member in 0..2 {
        let answer = mesh.call(member, &plan(Method::GET, "/packs?bytes=3000000", "pack")).await;
        assert_eq!(answer.told, Told::Answered, "{answer:?}");
    }
}

#[tokio::test]
async fn call_large_body() {
    let mesh = Mesh::start(2, 4, DOORS).await;
    for number in 0..8 {
        let key = format!("call-{number}");
        let mut call = plan(Method::POST, ONCE, &key);
        call.body_bytes = 1_000_000;
        assert_eq!(mesh.call(number % 2, &call).await.told, Told::Answered);
        assert_eq!(mesh.record.times(&CallKey::from(key.as_str())), 1);
    }
}

#[tokio::test]
async fn call_reset_is_unknown() {
    let mesh = Mesh::start(3, 4, DOORS).await;
    mesh.set_faults(&[everywhere(FaultEffect::Reset)]);
    for number in 0..12 {
        let key = format!("call-{number}");
        let answer = mesh.call(number % 3, &plan(Method::POST, ONCE, &key)).await;
        assert_eq!(answer.told, Told::Unknown, "{answer:?}");
        assert_eq!(mesh.record.times(&CallKey::from(key.as_str())), 1);
    }
}

#[tokio::test]
async fn call_reset_idempotent_retried() {
    let mesh = Mesh::start(3, 4, DOORS).await;
    let server = &mesh.members[1].server;
    server.set_faults(vec![everywhere(FaultEffect::Reset)]);
    for number in 0..12 {
        let key = format!("call-{number}");
        let answer = mesh.call(number % 3, &plan(Method::GET, "/records", &key)).await;
        assert_eq!(answer.told, Told::Answered, "{answer:?}");
    }
}

#[tokio::test]
async fn call_dies_in_answer() {
    let mesh = Mesh::start(2, 4, DOORS).await;
    mesh.set_faults(&[everywhere(FaultEffect::Truncate)]);
    for number in 0..6 {
        let key = format!("call-{number}");
        let answer = mesh.call(number % 2, &plan(Method::POST, ONCE, &key)).await;
        assert_eq!(answer.told, Told::Cut, "{answer:?}");
        assert_eq!(mesh.record.times(&CallKey::from(key.as_str())), 1);
    }
}

#[tokio::test]
async fn call_answers_late() {
    let mesh = Mesh::start(2, 4, DOORS).await;
    mesh.set_faults(&[Fault {
        scope: Scope { path_prefix: Some("/once/slow".into()), ..Scope::default() },
        effect: FaultEffect::Slow(Duration::from_secs(2)),
    }]);
    for number in 0..4 {
        let key = format!("late-{number}");
        let mut call = plan(Method::POST, "/once/slow", &key);
        call.timeout = Duration::from_millis(300);
        let answer = mesh.call(number % 2, &call).await;
        assert!(matches!(answer.told, Told::Unknown | Told::TimedOut), "{answer:?}");
        // The next calls, some over the same daemons' connections, get their own answers.
        for next in 0..4 {
            let key = format!("next-{number}-{next}");
            let answer = mesh.call(next % 2, &plan(Method::POST, ONCE, &key)).await;
            assert_eq!(answer.told, Told::Answered, "{answer:?}");
        }
    }
    assert!(mesh.record.repeated().is_empty());
}

#[tokio::test]
async fn call_server_gone() {
    let mut mesh = Mesh::start(2, 4, DOORS).await;
    let member = mesh.members.remove(1);
    let daemon = member.daemon.expect("a running daemon");
    member.server.stop().await;
    for number in 0..10 {
        let key = format!("call-{number}");
        let answer = mesh.call(0, &plan(Method::POST, ONCE, &key)).await;
        assert_eq!(answer.told, Told::Answered, "{answer:?}");
    }
    let answer = mesh.client.call(daemon.addresses.calls, &plan(Method::POST, ONCE, "far")).await;
    assert_eq!(answer.told, Told::Answered, "{answer:?}");
    daemon.kill().await;
}

#[tokio::test]
async fn call_shed_by_slots() {
    let mesh = Mesh::start(1, 1, DOORS).await;
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..60 {
        let (client, to) = (mesh.client.clone(), mesh.members[0].calls);
        calls.spawn(async move {
            let key = format!("call-{number}");
            let call = plan(Method::POST, "/once?ms=50", &key);
            (key.clone(), client.call(to, &call).await)
        });
    }
    let mut refused = 0;
    while let Some(ended) = calls.join_next().await {
        let (key, answer) = ended.expect("no panic");
        let runs = mesh.record.times(&CallKey::from(key.as_str()));
        match answer.told {
            Told::Answered => assert_eq!(runs, 1),
            Told::NotRun => assert_eq!(runs, 0),
            other => panic!("{key} was told {other}"),
        }
        refused += u32::from(answer.told == Told::NotRun);
    }
    assert!(refused > 0);
    assert_eq!(mesh.members[0].server.peak(), 1);
}

#[tokio::test]
async fn call_cancelled_by_caller() {
    let mesh = Mesh::start(2, 4, DOORS).await;
    mesh.members[0].announce(true);
    mesh.until(|mesh| mesh.members.iter().all(|member| member.servers_ready() == 1)).await;
    let (server, there) = (&mesh.members[1].server, mesh.members[0].calls);
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..3 {
        let client = mesh.client.clone();
        calls.spawn(async move {
            let key = format!("call-{number}");
            client.call(there, &plan(Method::POST, "/once?ms=600000", &key)).await
        });
    }
    mesh.until(|_| server.in_flight() == 3).await;
    calls.shutdown().await;
    mesh.until(|_| server.in_flight() == 0).await;
    let load =
        |mesh: &Mesh| mesh.members[1].daemon().shared.read(|i| i.load(&server.options().name));
    mesh.until(|mesh| load(mesh).running == 0).await;
    let left = |mesh: &Mesh| mesh.members[0].daemon().shared.read(|i| i.router().in_flight());
    mesh.until(|mesh| left(mesh) == 0).await;
}
