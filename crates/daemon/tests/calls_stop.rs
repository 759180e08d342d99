//! Daemons that stop, drain or are killed under load.

mod mesh;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cyclamen_standins::{CallKey, Client, RunRecord, Told};
use http::Method;
use mesh::{DOORS, Mesh, plan};
use tokio::task::JoinSet;

/// Callers that call one after the other.
const CALLERS: usize = 8;

/// What callers were told, by key.
type ToldByKey = Vec<(CallKey, Told)>;

/// Callers that call until they are told to stop, or get no connection.
struct Callers {
    done: Arc<AtomicBool>,
    tasks: JoinSet<ToldByKey>,
}

impl Callers {
    fn start(name: &str, to: SocketAddr) -> Self {
        let done = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        for caller in 0..CALLERS {
            let name = format!("{name}-{caller}");
            tasks.spawn(call_on(name, to, Arc::clone(&done)));
        }
        Self { done, tasks }
    }

    async fn finish(mut self) -> ToldByKey {
        self.done.store(true, Ordering::Relaxed);
        let mut told = Vec::new();
        while let Some(ended) = self.tasks.join_next().await {
            told.extend(ended.expect("no panic"));
        }
        told
    }
}

async fn call_on(name: String, to: SocketAddr, done: Arc<AtomicBool>) -> ToldByKey {
    let client = Client::default();
    let mut told = Vec::new();
    while !done.load(Ordering::Relaxed) {
        let key = format!("{name}-{}", told.len());
        let answer = client.call(to, &plan(Method::POST, "/once?ms=3", &key)).await;
        told.push((CallKey::from(key.as_str()), answer.told));
        if matches!(answer.told, Told::NoAnswer | Told::NotConnected) {
            break;
        }
    }
    told
}

/// Every call ran at most once, and as its caller was told.
fn check(told: &ToldByKey, record: &RunRecord) {
    for (key, told) in told {
        let runs = record.times(key);
        assert!(runs <= 1, "{key} ran {runs} times");
        match told {
            Told::Answered => assert_eq!(runs, 1, "{key}"),
            Told::NotRun | Told::NotConnected => assert_eq!(runs, 0, "{key}"),
            Told::Unknown | Told::NoAnswer | Told::Cut | Told::TimedOut => {}
            Told::Failed | Told::Wrong => panic!("{key} was told {told}"),
        }
    }
}

fn count(told: &ToldByKey, wanted: Told) -> usize {
    told.iter().filter(|(_, told)| *told == wanted).count()
}

async fn some_calls(mesh: &Mesh) {
    let so_far = mesh.record.calls();
    mesh.until(|mesh| mesh.record.calls() > so_far + 200).await;
}

#[tokio::test]
async fn stop_under_load() {
    let mut mesh = Mesh::start(3, 8, DOORS).await;
    let here = Callers::start("here", mesh.members[0].calls);
    let there = Callers::start("there", mesh.members[1].calls);
    some_calls(&mesh).await;
    let daemon = mesh.members[0].daemon.take().expect("a running daemon");
    daemon.stop().await;
    some_calls(&mesh).await;
    let (here, there) = (here.finish().await, there.finish().await);
    check(&here, &mesh.record);
    check(&there, &mesh.record);
    for told in [&here, &there] {
        for fault in [Told::Unknown, Told::Cut, Told::TimedOut, Told::NoAnswer] {
            assert_eq!(count(told, fault), 0, "{fault}");
        }
    }
    // Each caller of the stopped daemon meets a closed port at the end, and nothing before.
    assert_eq!(count(&here, Told::NotConnected), CALLERS);
    assert_eq!(count(&there, Told::NotConnected), 0);
}

#[tokio::test]
async fn kill_under_load() {
    let mut mesh = Mesh::start(3, 8, DOORS).await;
    let here = Callers::start("here", mesh.members[0].calls);
    let there = Callers::start("there", mesh.members[1].calls);
    some_calls(&mesh).await;
    let daemon = mesh.members[0].daemon.take().expect("a running daemon");
    daemon.kill().await;
    some_calls(&mesh).await;
    let (here, there) = (here.finish().await, there.finish().await);
    check(&here, &mesh.record);
    check(&there, &mesh.record);
    assert_eq!(count(&there, Told::NoAnswer) + count(&there, Told::Cut), 0);
    assert!(count(&there, Told::Answered) > count(&there, Told::Unknown));
}

#[tokio::test]
async fn drain_gets_nothing_new() {
    let mesh = Mesh::start(3, 8, DOORS).await;
    let callers = Callers::start("caller", mesh.members[0].calls);
    some_calls(&mesh).await;
    mesh.members[1].announce(true);
    mesh.until(|mesh| mesh.members[1].server.in_flight() == 0).await;
    some_calls(&mesh).await;
    assert_eq!(mesh.members[1].server.in_flight(), 0);
    let told = callers.finish().await;
    check(&told, &mesh.record);
    assert_eq!(count(&told, Told::Answered), told.len());
}
