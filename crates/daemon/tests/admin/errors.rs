//! What the administration API says to requests that do not fit.

use crate::bench::{self, Bench, TOKEN};
use http::Method;

const ROUTE: &str = "declarations: [{name: lost, route: {service: nowhere}}]";

#[tokio::test]
async fn publish_without_token() {
    let bench = Bench::start().await;
    let reply = bench.send(Method::POST, "/v1/changes", None, ROUTE).await;
    insta::assert_json_snapshot!(reply.stable());
    bench.stop().await;
}

#[tokio::test]
async fn publish_wrong_token() {
    let bench = Bench::start().await;
    for token in ["wrong", "", "try-cyclame", "try-cyclamen2"] {
        let reply = bench.send(Method::POST, "/v1/changes", Some(token), ROUTE).await;
        assert_eq!(reply.status, 401, "{token:?}");
        assert_eq!(reply.body["error_code"], "unauthorized", "{token:?}");
    }
    assert_eq!(bench.log.next().0, 0, "nothing may be published");
    bench.stop().await;
}

#[tokio::test]
async fn publish_body_over_limit() {
    let bench = Bench::start().await;
    let body = "#".repeat(262_145);
    let reply = bench.send(Method::POST, "/v1/changes", Some(TOKEN), body).await;
    insta::assert_json_snapshot!(reply.stable());
    bench.stop().await;
}

/// A daemon that does not know the configuration cannot say that a change is wrong.
#[tokio::test]
async fn publish_before_ready() {
    let log = "127.0.0.1:9".parse().expect("an address");
    let running = cyclamen_daemon::start(bench::settings(log), None).await.expect("free ports");
    let api = bench::Api::at(running.addresses.admin);
    let path = "/v1/changes?change_id=early&wait_ms=0";
    let reply = api.send(Method::POST, path, Some(TOKEN), ROUTE).await;
    insta::assert_json_snapshot!(reply.stable());
    assert_eq!(api.get("/v1/ready").await.status, 503);
    running.stop().await;
}

#[tokio::test]
async fn publish_malformed_text() {
    let bench = Bench::start().await;
    let reply = bench.publish("malformed", "", "declarations: [").await;
    insta::assert_json_snapshot!(reply.stable());
    bench.stop().await;
}

#[tokio::test]
async fn publish_unknown_keys() {
    let bench = Bench::start().await;
    let text = "declarations: [{name: dvere, service: {version: v1, colour: red}, speed: 3}]";
    let reply = bench.publish("unknown-keys", "", text).await;
    insta::assert_json_snapshot!(reply.stable());
    bench.stop().await;
}

#[tokio::test]
async fn publish_route_to_undeclared_service() {
    let bench = Bench::start().await;
    let reply = bench.publish("lost", "", ROUTE).await;
    insta::assert_json_snapshot!(reply.stable());
    assert_eq!(bench.log.next().0, 0, "nothing may be published");
    bench.stop().await;
}

#[tokio::test]
async fn publish_bad_change_id() {
    let bench = Bench::start().await;
    let reply = bench.publish("Not%20a%20name", "", ROUTE).await;
    insta::assert_json_snapshot!(reply.stable());
    bench.stop().await;
}

#[tokio::test]
async fn read_unknown_names() {
    let bench = Bench::start().await;
    let mut replies = Vec::new();
    for path in [
        "/v1/changes/absent",
        "/v1/declarations/colour/red",
        "/v1/declarations/route/absent",
        "/v1/declarations/version/dvere%2Fv1",
        "/v1/moves/absent",
        "/v1/moves/Not-A-Name",
    ] {
        replies.push((path, bench.get(path).await.stable()));
    }
    insta::assert_json_snapshot!(replies);
    bench.stop().await;
}

#[tokio::test]
async fn order_unknown_move() {
    let bench = Bench::start().await;
    let path = "/v1/moves/absent/orders";
    let reply = bench.send(Method::POST, path, Some(TOKEN), r#"{"order": "pause"}"#).await;
    insta::assert_json_snapshot!(reply.stable());
    bench.stop().await;
}

#[tokio::test]
async fn announce_faulty() {
    let bench = Bench::start().await;
    let mut replies = Vec::new();
    for body in [
        r#"{"service":"dvere","version":"v1","slots":0,"connections":9,"address":"127.0.0.1:9"}"#,
        r#"{"service":"dvere","version":"v1","slots":5,"connections":0,"address":"127.0.0.1:9"}"#,
        r#"{"service":"Dvere","version":"v1","slots":5,"connections":9,"address":"127.0.0.1:9"}"#,
        r#"{"service":"dvere","version":"v1","slots":5,"connections":9,"address":"nowhere"}"#,
        r#"{"service":"dvere","slots":5,"speed":9}"#,
    ] {
        let reply = bench.send(Method::PUT, "/v1/servers/dvere-1", None, body).await;
        replies.push(reply.stable());
    }
    insta::assert_json_snapshot!(replies);
    bench.stop().await;
}

#[tokio::test]
async fn withdraw_unknown_server() {
    let bench = Bench::start().await;
    let reply = bench.send(Method::DELETE, "/v1/servers/dvere-1", None, "").await;
    insta::assert_json_snapshot!(reply.stable());
    bench.stop().await;
}
