//! The backend server's stand-in runs, fails and remembers as told.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_standins::{
    BackendOptions, BackendServer, CallKey, CallPlan, Client, Fault, FaultEffect, RunRecord, Scope,
    Tally, Told,
};

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn options(faults: Vec<Fault>) -> BackendOptions {
    BackendOptions {
        name: "dvere-1".try_into().expect("a name"),
        service: "dvere".try_into().expect("a name"),
        version: "v1".try_into().expect("a name"),
        slots: 4,
        connections: 130,
        service_time: Duration::ZERO,
        cold_start: Duration::ZERO,
        onward: None,
        faults,
        seed: 1,
    }
}

fn plan(path: &str, key: &str) -> CallPlan {
    CallPlan {
        method: http::Method::POST,
        host: "dvere".into(),
        path: path.into(),
        key: key.into(),
        body_bytes: 10,
        timeout: Duration::from_secs(10),
    }
}

async fn told(faults: Vec<Fault>, path: &str) -> (Told, u32) {
    let record = RunRecord::default();
    let server = BackendServer::start(loopback(), options(faults), record.clone())
        .await
        .expect("a free port");
    let answer = Client::default().call(server.address(), &plan(path, "key-1")).await;
    (answer.told, record.times(&CallKey::from("key-1")))
}

fn fault(effect: FaultEffect, prefix: Option<&str>) -> Fault {
    let path_prefix = prefix.map(Arc::from);
    Fault { scope: Scope { path_prefix, ..Scope::default() }, effect }
}

#[tokio::test]
async fn call_healthy() {
    assert_eq!(told(Vec::new(), "/records?bytes=70000").await, (Told::Answered, 1));
}

#[tokio::test]
async fn call_failing_route() {
    let faults = vec![fault(FaultEffect::Fail, Some("/packs"))];
    assert_eq!(told(faults.clone(), "/packs/1").await, (Told::Failed, 1));
    assert_eq!(told(faults, "/records/1").await, (Told::Answered, 1));
}

#[tokio::test]
async fn call_truncated() {
    let faults = vec![fault(FaultEffect::Truncate, None)];
    assert_eq!(told(faults, "/records").await, (Told::Cut, 1));
}

#[tokio::test]
async fn call_endless_answer() {
    let faults = vec![fault(FaultEffect::Endless, None)];
    let server = BackendServer::start(loopback(), options(faults), RunRecord::default())
        .await
        .expect("a free port");
    let plan = CallPlan { timeout: Duration::from_millis(300), ..plan("/records", "key-1") };
    let answer = Client::default().call(server.address(), &plan).await;
    assert_eq!(answer.told, Told::TimedOut);
}

#[tokio::test]
async fn call_reset() {
    let faults = vec![fault(FaultEffect::Reset, None)];
    assert_eq!(told(faults, "/records").await, (Told::NoAnswer, 1));
}

#[tokio::test]
async fn call_shed() {
    let faults = vec![fault(FaultEffect::Shed, None)];
    assert_eq!(told(faults, "/records").await, (Told::Failed, 0));
}

#[tokio::test]
async fn tally_latency() {
    let mut tally = Tally::default();
    let server = BackendServer::start(loopback(), options(Vec::new()), RunRecord::default())
        .await
        .expect("a free port");
    let plan = plan("/records?ms=20", "key-1");
    tally.add(&plan, &Client::default().call(server.address(), &plan).await);
    assert!(tally.latency.max() >= 20_000);
}
