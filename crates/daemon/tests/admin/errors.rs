//! Tests of requests that the administration API refuses, with its error messages as snapshots.

use crate::harness::{self, Harness, TOKEN};
use http::Method;

const ROUTE: &str = "declarations: [{name: lost, route: {service: nowhere}}]";

#[tokio::test]
async fn publish_without_token() {
    let harness = Harness::start().await;
    let reply = harness.send(Method::POST, "/v1/changes", None, ROUTE).await;
    insta::assert_json_snapshot!(reply.stable());
    harness.stop().await;
}

#[tokio::test]
async fn publish_wrong_token() {
    let harness = Harness::start().await;
    for token in ["wrong", "", "try-cyclame", "try-cyclamen2"] {
        let reply = harness.send(Method::POST, "/v1/changes", Some(token), ROUTE).await;
        assert_eq!(reply.status, 401, "{token:?}");
        assert_eq!(reply.body["error_code"], "unauthorized", "{token:?}");
    }
    assert_eq!(harness.log.next().0, 0, "nothing may be published");
    harness.stop().await;
}

#[tokio::test]
async fn publish_body_over_limit() {
    let harness = Harness::start().await;
    let body = "#".repeat(262_145);
    let reply = harness.send(Method::POST, "/v1/changes", Some(TOKEN), body).await;
    insta::assert_json_snapshot!(reply.stable());
    harness.stop().await;
}

/// A daemon that has not read the configuration yet cannot check a change, so it must not refuse it
/// as faulty but answer that it is not ready.
#[tokio::test]
async fn publish_before_ready() {
    let log = "127.0.0.1:9".parse().expect("an address");
    let running = cyclamen_daemon::start(harness::settings(log), None).await.expect("free ports");
    let api = harness::Api::at(running.addresses.admin);
    let path = "/v1/changes?change_id=early&wait_ms=0";
    let reply = api.send(Method::POST, path, Some(TOKEN), ROUTE).await;
    insta::assert_json_snapshot!(reply.stable());
    assert_eq!(api.get("/v1/ready").await.status, 503);
    running.stop().await;
}

#[tokio::test]
async fn publish_malformed_text() {
    let harness = Harness::start().await;
    let reply = harness.publish("malformed", "", "declarations: [").await;
    insta::assert_json_snapshot!(reply.stable());
    harness.stop().await;
}

#[tokio::test]
async fn publish_unknown_keys() {
    let harness = Harness::start().await;
    let text = "declarations: [{name: dvere, service: {version: v1, colour: red}, speed: 3}]";
    let reply = harness.publish("unknown-keys", "", text).await;
    insta::assert_json_snapshot!(reply.stable());
    harness.stop().await;
}

#[tokio::test]
async fn publish_route_to_undeclared_service() {
    let harness = Harness::start().await;
    let reply = harness.publish("lost", "", ROUTE).await;
    insta::assert_json_snapshot!(reply.stable());
    assert_eq!(harness.log.next().0, 0, "nothing may be published");
    harness.stop().await;
}

#[tokio::test]
async fn publish_bad_change_id() {
    let harness = Harness::start().await;
    let reply = harness.publish("Not%20a%20name", "", ROUTE).await;
    insta::assert_json_snapshot!(reply.stable());
    harness.stop().await;
}

#[tokio::test]
async fn read_unknown_names() {
    let harness = Harness::start().await;
    let mut replies = Vec::new();
    for path in [
        "/v1/changes/absent",
        "/v1/declarations/colour/red",
        "/v1/declarations/route/absent",
        "/v1/declarations/version/dvere%2Fv1",
        "/v1/moves/absent",
        "/v1/moves/Not-A-Name",
    ] {
        replies.push((path, harness.get(path).await.stable()));
    }
    insta::assert_json_snapshot!(replies);
    harness.stop().await;
}

#[tokio::test]
async fn order_unknown_move() {
    let harness = Harness::start().await;
    let path = "/v1/moves/absent/orders";
    let reply = harness.send(Method::POST, path, Some(TOKEN), r#"{"order": "pause"}"#).await;
    insta::assert_json_snapshot!(reply.stable());
    harness.stop().await;
}

#[tokio::test]
async fn announce_faulty() {
    let harness = Harness::start().await;
    let mut replies = Vec::new();
    for body in [
        r#"{"service":"dvere","version":"v1","slots":0,"connections":9,"address":"127.0.0.1:9"}"#,
        r#"{"service":"dvere","version":"v1","slots":5,"connections":0,"address":"127.0.0.1:9"}"#,
        r#"{"service":"Dvere","version":"v1","slots":5,"connections":9,"address":"127.0.0.1:9"}"#,
        r#"{"service":"dvere","version":"v1","slots":5,"connections":9,"address":"nowhere"}"#,
        r#"{"service":"dvere","slots":5,"speed":9}"#,
    ] {
        let reply = harness.send(Method::PUT, "/v1/servers/dvere-1", None, body).await;
        replies.push(reply.stable());
    }
    insta::assert_json_snapshot!(replies);
    harness.stop().await;
}

#[tokio::test]
async fn withdraw_unknown_server() {
    let harness = Harness::start().await;
    let reply = harness.send(Method::DELETE, "/v1/servers/dvere-1", None, "").await;
    insta::assert_json_snapshot!(reply.stable());
    harness.stop().await;
}
