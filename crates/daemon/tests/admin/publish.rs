//! Tests of publishing, orders to moves and announcements through the administration API.

use crate::harness::{Harness, OTHER_TOKEN, TOKEN};
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

/// Query parameter: a wait that is long enough for every outcome that the tests expect.
const WAIT: &str = "wait_ms=20000";

/// Limit on the time that a daemon takes to stop; shorter than the maximum wait of a request, so
/// that a stop that waits for such a request fails the test.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn publish_accepted() {
    let harness = Harness::start().await;
    insta::assert_json_snapshot!(harness.publish("one", WAIT, SERVICE).await.stable());
    let read = harness.get("/v1/changes/one").await;
    assert_eq!(read.body["outcome"], "accepted");
    insta::assert_json_snapshot!("declarations", harness.get("/v1/declarations").await.stable());
    let version = harness.get("/v1/declarations/version/dvere%2Fv1").await;
    insta::assert_json_snapshot!("declaration", version.stable());
    assert_eq!(harness.get("/v1/ready").await.status, 200);
    harness.stop().await;
}

#[tokio::test]
async fn publish_json_body() {
    let harness = Harness::start().await;
    let text = r#"{"declarations": [{"name": "dvere", "service": {"version": "v1"}},
                   {"name": "dvere/v1", "version": {}}]}"#;
    assert_eq!(harness.publish("json", WAIT, text).await.body["outcome"], "accepted");
    harness.stop().await;
}

#[tokio::test]
async fn publish_dry_run() {
    let harness = Harness::start().await;
    let reply = harness.publish("dry", "dry_run=true", SERVICE).await;
    assert_eq!(reply.body["outcome"], "checked");
    assert_eq!(harness.log.next().0, 0, "nothing may be published");
    assert_eq!(harness.get("/v1/changes/dry").await.status, 404);
    harness.stop().await;
}

#[tokio::test]
async fn publish_same_id_counts_once() {
    let harness = Harness::start().await;
    let first = harness.publish("one", WAIT, SERVICE).await;
    let second = harness.publish("one", WAIT, SERVICE).await;
    assert_eq!(first.body["offset"], second.body["offset"]);
    assert_eq!(harness.log.next().0, 1, "one record");
    harness.stop().await;
}

#[tokio::test]
async fn publish_selector_matches_nothing() {
    let harness = Harness::start().await;
    let text = "
declarations:
- {name: dvere, service: {version: v1}}
- {name: dvere/v1, version: {}}
- {name: far, route: {service: dvere, proxies: region=mars}}
- {name: near, route: {service: dvere, proxies: region=cz-stred}}
- {name: other, route: {service: dvere, proxies: colour=red}}
- {name: none, policy: {services: tier=absent, limits: {queue: 3}}}
";
    insta::assert_json_snapshot!(harness.publish("warned", WAIT, text).await.stable());
    harness.stop().await;
}

#[tokio::test]
async fn publish_stale_base() {
    let harness = Harness::start().await;
    harness.publish("one", WAIT, SERVICE).await;
    let edit = "declarations: [{name: dvere/v1, base: 0, version: {labels: {a: b}}}]";
    assert_eq!(harness.publish("two", WAIT, edit).await.body["outcome"], "accepted");
    insta::assert_json_snapshot!(harness.publish("three", WAIT, edit).await.stable());
    harness.stop().await;
}

/// Two operators edit the same version of a declaration at different daemons: one change is
/// accepted, the other one is answered with a conflict.
#[tokio::test]
async fn publish_race_of_two_operators() {
    let harness = Harness::start().await;
    let (second, api) = harness.start_second().await;
    harness.publish("one", WAIT, SERVICE).await;
    let edit = |tier| {
        format!(
            "declarations: [{{name: dvere/v1, base: 0, version: {{labels: {{tier: {tier}}}}}}}]"
        )
    };
    let (edit_a, edit_b) = (edit("a"), edit("b"));
    let (a, b) = tokio::join!(harness.publish("a", WAIT, &edit_a), api.publish("b", WAIT, &edit_b));
    let mut statuses = [a.status.as_u16(), b.status.as_u16()];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{a:?} {b:?}");
    let winner = if a.status == 200 { "a" } else { "b" };
    for api in [&harness.api, &api] {
        let read = api.get("/v1/declarations/version/dvere%2Fv1").await;
        assert_eq!(read.body["body"]["version"]["labels"]["tier"], winner);
    }
    second.stop().await;
    harness.stop().await;
}

/// The log stores the record, but its answer is lost: the daemon must not count the change twice.
#[tokio::test]
async fn publish_log_answer_lost() {
    let harness = Harness::start().await;
    harness.log.set_faults(LogFaults { lose_answers: 1, ..Default::default() });
    let reply = harness.publish("one", WAIT, SERVICE).await;
    assert_eq!((&reply.body["outcome"], &reply.body["offset"]), (&"accepted".into(), &0.into()));
    harness.publish("after", WAIT, SERVICE).await;
    let state = harness.get("/v1/state").await;
    assert_eq!(state.body["ledger"]["accepted"], 2, "each change counts once");
    harness.stop().await;
}

#[tokio::test]
async fn publish_other_teams_declaration() {
    let harness = Harness::start().await;
    harness.publish("one", WAIT, SERVICE).await;
    let path = "/v1/changes?change_id=theirs";
    let reply = harness.send(Method::POST, path, Some(OTHER_TOKEN), SERVICE).await;
    insta::assert_json_snapshot!(reply.stable());
    harness.stop().await;
}

#[tokio::test]
async fn publish_while_log_is_down() {
    let harness = Harness::start().await;
    harness.log.set_faults(LogFaults { down: true, ..Default::default() });
    let reply = harness.publish("late", "wait_ms=0", SERVICE).await;
    assert_eq!(reply.body["outcome"], "pending");
    harness.log.set_faults(LogFaults::default());
    let read = harness.get(&format!("/v1/changes/late?{WAIT}")).await;
    assert_eq!(read.body["outcome"], "accepted", "the daemon retries by itself");
    harness.stop().await;
}

#[tokio::test]
async fn publish_again_while_log_is_down() {
    let harness = Harness::start().await;
    harness.log.set_faults(LogFaults { down: true, ..Default::default() });
    for _ in 0..5 {
        let reply = harness.publish("late", "wait_ms=0", SERVICE).await;
        assert_eq!(reply.body["outcome"], "pending");
    }
    harness.log.set_faults(LogFaults::default());
    let read = harness.get(&format!("/v1/changes/late?{WAIT}")).await;
    assert_eq!(read.body["outcome"], "accepted");
    assert_eq!(harness.publish("after", WAIT, SERVICE).await.body["outcome"], "accepted");
    assert_eq!(harness.log.next().0, 2, "one record for each id");
    harness.stop().await;
}

#[tokio::test]
async fn publish_over_unconfirmed_limit() {
    let harness =
        Harness::start_with(LogOptions { appends_per_second: 0, ..Default::default() }).await;
    for i in 0..256 {
        let reply = harness.publish(&format!("change-{i}"), "wait_ms=0", SERVICE).await;
        assert_eq!(reply.body["outcome"], "pending", "{i}");
    }
    let reply = harness.publish("change-256", "wait_ms=0", SERVICE).await;
    assert_eq!((reply.status.as_u16(), &reply.body["error_code"]), (503, &"not-ready".into()));
    let repeat = harness.publish("change-0", "wait_ms=0", SERVICE).await;
    assert_eq!(
        repeat.body["outcome"], "pending",
        "an unconfirmed change does not count as a new one"
    );
    harness.stop().await;
}

/// A waiting request is answered when the daemon stops, long before the request's own deadline.
#[tokio::test]
async fn stop_answers_waiting_requests() {
    let harness =
        Harness::start_with(LogOptions { appends_per_second: 0, ..Default::default() }).await;
    let api = harness.api.clone();
    let waiting = tokio::spawn(async move { api.publish("late", "wait_ms=30000", SERVICE).await });
    while harness.log.counters().appends_refused == 0 {
        tokio::task::yield_now().await;
    }
    let stopped = tokio::time::timeout(STOP_TIMEOUT, harness.stop()).await;
    assert!(stopped.is_ok(), "the stop waited for the request");
    let reply = waiting.await.expect("an answer");
    assert_eq!(reply.body["outcome"], "pending");
}

#[tokio::test]
async fn order_move() {
    let harness = Harness::start().await;
    harness.publish("one", WAIT, SERVICE).await;
    harness.publish("two", WAIT, MOVE).await;
    let read = harness.get("/v1/moves/dvere-v2").await;
    assert_eq!(read.body["state"], "scheduled");
    let path = format!("/v1/moves/dvere-v2/orders?{WAIT}");
    let denied = harness.send(Method::POST, &path, None, r#"{"order": "take-back"}"#).await;
    assert_eq!(denied.status, 401);
    let reply = harness.send(Method::POST, &path, Some(TOKEN), r#"{"order": "take-back"}"#).await;
    assert_eq!(reply.body["outcome"], "accepted");
    let read = harness.get(&format!("/v1/moves/dvere-v2?{WAIT}")).await;
    assert_eq!(read.body["state"], "taken-back");
    harness.stop().await;
}

#[tokio::test]
async fn announce_and_withdraw() {
    let harness = Harness::start().await;
    let body = r#"{"service":"dvere","version":"v1","slots":5,"connections":9,
                   "address":"127.0.0.1:9","labels":{"rack":"r1"}}"#;
    let reply = harness.send(Method::PUT, "/v1/servers/dvere-1", None, body).await;
    assert_eq!((reply.status.as_u16(), &reply.body["lease_ms"]), (200, &6_000.into()));
    let state = harness.get("/v1/state").await;
    assert_eq!(state.body["servers"][0]["state"], "ready");
    let reply = harness.send(Method::DELETE, "/v1/servers/dvere-1", None, Bytes::new()).await;
    assert_eq!(reply.status, 204);
    let state = harness.get("/v1/state").await;
    assert_ne!(state.body["servers"][0]["state"], "ready");
    harness.stop().await;
}

#[tokio::test]
async fn state_without_secrets() {
    let harness = Harness::start().await;
    harness.publish("one", WAIT, SERVICE).await;
    let state = harness.get("/v1/state").await;
    assert_eq!(state.status, 200);
    let text = state.body.to_string();
    for secret in [TOKEN, &cyclamen_daemon::TokenHash::of(TOKEN).to_hex(), "7,7,7,7", "07070707"] {
        assert!(!text.contains(secret), "the dump shows {secret}");
    }
    harness.stop().await;
}
