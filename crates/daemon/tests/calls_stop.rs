//! Tests daemons that stop or are killed, and backend servers that drain, under load: no call runs
//! twice, and its caller sees the right outcome.

mod mesh;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cyclamen_standins::{CallKey, Client, RunRecord, Told};
use http::Method;
use mesh::{DECLARATIONS, Mesh, call_plan};
use tokio::task::JoinSet;

/// Number of concurrent callers; each makes one call at a time.
const CALLERS: usize = 8;

/// The outcome that the caller saw, by call key.
type ToldByKey = Vec<(CallKey, Told)>;

/// Callers that make calls until stopped, or until they get no connection or no response.
struct Callers {
    stopped: Arc<AtomicBool>,
    tasks: JoinSet<ToldByKey>,
}

impl Callers {
    fn start(name: &str, to: SocketAddr) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        for caller in 0..CALLERS {
            let name = format!("{name}-{caller}");
            tasks.spawn(call_repeatedly(name, to, Arc::clone(&stopped)));
        }
        Self { stopped, tasks }
    }

    async fn finish(mut self) -> ToldByKey {
        self.stopped.store(true, Ordering::Relaxed);
        let mut told = Vec::new();
        while let Some(ended) = self.tasks.join_next().await {
            told.extend(ended.expect("no panic"));
        }
        told
    }
}

async fn call_repeatedly(name: String, to: SocketAddr, stopped: Arc<AtomicBool>) -> ToldByKey {
    let client = Client::default();
    let mut told = Vec::new();
    while !stopped.load(Ordering::Relaxed) {
        let key = format!("{name}-{}", told.len());
        let answer = client.call(to, &call_plan(Method::POST, "/once?ms=3", &key)).await;
        told.push((CallKey::from(key.as_str()), answer.told));
        if matches!(answer.told, Told::NoAnswer | Told::NotConnected) {
            break;
        }
    }
    told
}

/// Asserts that every call ran at most once, and that no caller got a failed or wrong response or
/// was told wrongly whether its call ran.
fn check_outcomes(told: &ToldByKey, record: &RunRecord) {
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

/// Waits until more than 200 further calls have run.
async fn wait_for_calls(mesh: &Mesh) {
    let so_far = mesh.record.calls();
    mesh.wait_until(|mesh| mesh.record.calls() > so_far + 200).await;
}

#[tokio::test]
async fn stop_under_load() {
    let mut mesh = Mesh::start(3, 8, DECLARATIONS).await;
    let affected = Callers::start("here", mesh.members[0].calls);
    let other = Callers::start("there", mesh.members[1].calls);
    wait_for_calls(&mesh).await;
    let daemon = mesh.members[0].daemon.take().expect("a running daemon");
    daemon.stop().await;
    wait_for_calls(&mesh).await;
    let (affected, other) = (affected.finish().await, other.finish().await);
    check_outcomes(&affected, &mesh.record);
    check_outcomes(&other, &mesh.record);
    for told in [&affected, &other] {
        for fault in [Told::Unknown, Told::Cut, Told::TimedOut, Told::NoAnswer] {
            assert_eq!(count(told, fault), 0, "{fault}");
        }
    }
    // Each caller of the stopped daemon fails to connect exactly once, at its end.
    assert_eq!(count(&affected, Told::NotConnected), CALLERS);
    assert_eq!(count(&other, Told::NotConnected), 0);
}

#[tokio::test]
async fn kill_under_load() {
    let mut mesh = Mesh::start(3, 8, DECLARATIONS).await;
    let affected = Callers::start("here", mesh.members[0].calls);
    let other = Callers::start("there", mesh.members[1].calls);
    wait_for_calls(&mesh).await;
    let daemon = mesh.members[0].daemon.take().expect("a running daemon");
    daemon.kill().await;
    wait_for_calls(&mesh).await;
    let (affected, other) = (affected.finish().await, other.finish().await);
    check_outcomes(&affected, &mesh.record);
    check_outcomes(&other, &mesh.record);
    assert_eq!(count(&other, Told::NoAnswer) + count(&other, Told::Cut), 0);
    assert!(count(&other, Told::Answered) > count(&other, Told::Unknown));
}

#[tokio::test]
async fn draining_server_gets_no_new_calls() {
    let mesh = Mesh::start(3, 8, DECLARATIONS).await;
    let callers = Callers::start("caller", mesh.members[0].calls);
    wait_for_calls(&mesh).await;
    mesh.members[1].drain();
    mesh.wait_until(|mesh| mesh.members[1].server.in_flight() == 0).await;
    wait_for_calls(&mesh).await;
    assert_eq!(mesh.members[1].server.in_flight(), 0);
    let told = callers.finish().await;
    check_outcomes(&told, &mesh.record);
    assert_eq!(count(&told, Told::Answered), told.len());
}
