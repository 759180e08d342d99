//! Publishing through the administration API of a real daemon.

use crate::bench::{Bench, OTHER_TOKEN, TOKEN};
use std::time::Duration;

use bytes::Bytes;
use cyclamen_standins::{LogFaults, LogOptions};
use http::Method;

const SERVICE: &str =
    "declarations: [{name: dvere, service: {version: v1}}, {name: dvere/v1, version: {}}]";

const MOVE: &str = "
declarations:
- {name: dvere/v2, version: {}}
- name: dvere-v2
  move: {service: dvere, from: v1, to: v2, start: '2100-01-01T00:00:00Z', deadline: '2100-01-02T00:00:00Z'}
";

/// Long enough for any answer that comes at all.
const WAIT: &str = "wait_ms=20000";

/// Ends a test whose daemon does not stop; shorter than the longest wait of a request.
const STOP_WATCHDOG: Duration = Duration::from_secs(20);

#[tokio::test]
async fn publish_accepted() {
    let bench = Bench::start().await;
    insta::assert_json_snapshot!(bench.publish("one", WAIT, SERVICE).await.stable());
    let read = bench.get("/v1/changes/one").await;
    assert_eq!(read.body["outcome"], "accepted");
    insta::assert_json_snapshot!("declarations", bench.get("/v1/declarations").await.stable());
    let version = bench.get("/v1/declarations/version/dvere%2Fv1").await;
    insta::assert_json_snapshot!("declaration", version.stable());
    assert_eq!(bench.get("/v1/ready").await.status, 200);
    bench.stop().await;
}

#[tokio::test]
async fn publish_json_body() {
    let bench = Bench::start().await;
    let text = r#"{"declarations": [{"name": "dvere", "service": {"version": "v1"}},
                   {"name": "dvere/v1", "version": {}}]}"#;
    assert_eq!(bench.publish("json", WAIT, text).await.body["outcome"], "accepted");
    bench.stop().await;
}

#[tokio::test]
async fn publish_dry_run() {
    let bench = Bench::start().await;
    let reply = bench.publish("dry", "dry_run=true", SERVICE).await;
    assert_eq!(reply.body["outcome"], "checked");
    assert_eq!(bench.log.next().0, 0, "nothing may be published");
    assert_eq!(bench.get("/v1/changes/dry").await.status, 404);
    bench.stop().await;
}

#[tokio::test]
async fn publish_same_id_counts_once() {
    let bench = Bench::start().await;
    let first = bench.publish("one", WAIT, SERVICE).await;
    let second = bench.publish("one", WAIT, SERVICE).await;
    assert_eq!(first.body["offset"], second.body["offset"]);
    assert_eq!(bench.log.next().0, 1, "one record");
    bench.stop().await;
}

#[tokio::test]
async fn publish_selector_matches_nothing() {
    let bench = Bench::start().await;
    let text = "
declarations:
- {name: dvere, service: {version: v1}}
- {name: dvere/v1, version: {}}
- {name: far, route: {service: dvere, proxies: region=mars}}
- {name: near, route: {service: dvere, proxies: region=cz-stred}}
- {name: other, route: {service: dvere, proxies: colour=red}}
- {name: none, policy: {services: tier=absent, limits: {queue: 3}}}
";
    insta::assert_json_snapshot!(bench.publish("warned", WAIT, text).await.stable());
    bench.stop().await;
}

#[tokio::test]
async fn publish_stale_base() {
    let bench = Bench::start().await;
    bench.publish("one", WAIT, SERVICE).await;
    let edit = "declarations: [{name: dvere/v1, base: 0, version: {labels: {a: b}}}]";
    assert_eq!(bench.publish("two", WAIT, edit).await.body["outcome"], "accepted");
    insta::assert_json_snapshot!(bench.publish("three", WAIT, edit).await.stable());
    bench.stop().await;
}

/// Two operators start from the same record, each at another daemon: one wins, the other hears it.
#[tokio::test]
async fn publish_race_of_two_operators() {
    let bench = Bench::start().await;
    let (second, api) = bench.start_second().await;
    bench.publish("one", WAIT, SERVICE).await;
    let edit = |tier| {
        format!(
            "declarations: [{{name: dvere/v1, base: 0, version: {{labels: {{tier: {tier}}}}}}}]"
        )
    };
    let (edit_a, edit_b) = (edit("a"), edit("b"));
    let (a, b) = tokio::join!(bench.publish("a", WAIT, &edit_a), api.publish("b", WAIT, &edit_b));
    let mut statuses = [a.status.as_u16(), b.status.as_u16()];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{a:?} {b:?}");
    let winner = if a.status == 200 { "a" } else { "b" };
    for api in [&bench.api, &api] {
        let read = api.get("/v1/declarations/version/dvere%2Fv1").await;
        assert_eq!(read.body["body"]["version"]["labels"]["tier"], winner);
    }
    second.stop().await;
    bench.stop().await;
}

/// The log takes the append and loses its answer.
#[tokio::test]
async fn publish_answer_of_log_lost() {
    let bench = Bench::start().await;
    bench.log.set_faults(LogFaults { lose_answers: 1, ..Default::default() });
    let reply = bench.publish("one", WAIT, SERVICE).await;
    assert_eq!((&reply.body["outcome"], &reply.body["offset"]), (&"accepted".into(), &0.into()));
    bench.publish("after", WAIT, SERVICE).await;
    let state = bench.get("/v1/state").await;
    assert_eq!(state.body["ledger"]["accepted"], 2, "each change counts once");
    bench.stop().await;
}

#[tokio::test]
async fn publish_other_teams_declaration() {
    let bench = Bench::start().await;
    bench.publish("one", WAIT, SERVICE).await;
    let path = "/v1/changes?change_id=theirs";
    let reply = bench.send(Method::POST, path, Some(OTHER_TOKEN), SERVICE).await;
    insta::assert_json_snapshot!(reply.stable());
    bench.stop().await;
}

#[tokio::test]
async fn publish_while_log_is_down() {
    let bench = Bench::start().await;
    bench.log.set_faults(LogFaults { down: true, ..Default::default() });
    let reply = bench.publish("late", "wait_ms=0", SERVICE).await;
    assert_eq!(reply.body["outcome"], "pending");
    bench.log.set_faults(LogFaults::default());
    let read = bench.get(&format!("/v1/changes/late?{WAIT}")).await;
    assert_eq!(read.body["outcome"], "accepted", "the daemon tries again by itself");
    bench.stop().await;
}

#[tokio::test]
async fn publish_again_while_log_is_down() {
    let bench = Bench::start().await;
    bench.log.set_faults(LogFaults { down: true, ..Default::default() });
    for _ in 0..5 {
        let reply = bench.publish("late", "wait_ms=0", SERVICE).await;
        assert_eq!(reply.body["outcome"], "pending");
    }
    bench.log.set_faults(LogFaults::default());
    let read = bench.get(&format!("/v1/changes/late?{WAIT}")).await;
    assert_eq!(read.body["outcome"], "accepted");
    assert_eq!(bench.publish("after", WAIT, SERVICE).await.body["outcome"], "accepted");
    assert_eq!(bench.log.next().0, 2, "one record for each id");
    bench.stop().await;
}

/// A request that waits is answered when the daemon stops, long before its own deadline.
#[tokio::test]
async fn stop_answers_those_that_wait() {
    let bench = Bench::start_with(LogOptions { appends_per_second: 0, ..Default::default() }).await;
    let api = bench.api.clone();
    let waiting = tokio::spawn(async move { api.publish("late", "wait_ms=30000", SERVICE).await });
    while bench.log.counters().appends_refused == 0 {
        tokio::task::yield_now().await;
    }
    let stopped = tokio::time::timeout(STOP_WATCHDOG, bench.stop()).await;
    assert!(stopped.is_ok(), "the stop waits for the request");
    let reply = waiting.await.expect("an answer");
    assert_eq!(reply.body["outcome"], "pending");
}

#[tokio::test]
async fn order_move() {
    let bench = Bench::start().await;
    bench.publish("one", WAIT, SERVICE).await;
    bench.publish("two", WAIT, MOVE).await;
    let read = bench.get("/v1/moves/dvere-v2").await;
    assert_eq!(read.body["state"], "scheduled");
    let path = format!("/v1/moves/dvere-v2/orders?{WAIT}");
    let denied = bench.send(Method::POST, &path, None, r#"{"order": "take-back"}"#).await;
    assert_eq!(denied.status, 401);
    let reply = bench.send(Method::POST, &path, Some(TOKEN), r#"{"order": "take-back"}"#).await;
    assert_eq!(reply.body["outcome"], "accepted");
    let read = bench.get(&format!("/v1/moves/dvere-v2?{WAIT}")).await;
    assert_eq!(read.body["state"], "taken-back");
    bench.stop().await;
}

#[tokio::test]
async fn announce_and_withdraw() {
    let bench = Bench::start().await;
    let body = r#"{"service":"dvere","version":"v1","slots":5,"connections":9,
                   "address":"127.0.0.1:9","labels":{"rack":"r1"}}"#;
    let reply = bench.send(Method::PUT, "/v1/servers/dvere-1", None, body).await;
    assert_eq!((reply.status.as_u16(), &reply.body["lease_ms"]), (200, &6_000.into()));
    let state = bench.get("/v1/state").await;
    assert_eq!(state.body["servers"][0]["state"], "ready");
    let reply = bench.send(Method::DELETE, "/v1/servers/dvere-1", None, Bytes::new()).await;
    assert_eq!(reply.status, 204);
    let state = bench.get("/v1/state").await;
    assert_ne!(state.body["servers"][0]["state"], "ready");
    bench.stop().await;
}

#[tokio::test]
async fn state_without_secrets() {
    let bench = Bench::start().await;
    bench.publish("one", WAIT, SERVICE).await;
    let state = bench.get("/v1/state").await;
    assert_eq!(state.status, 200);
    let text = state.body.to_string();
    for secret in [TOKEN, &cyclamen_daemon::TokenHash::of(TOKEN).to_hex(), "7,7,7,7", "07070707"] {
        assert!(!text.contains(secret), "the dump shows {secret}");
    }
    bench.stop().await;
}
