//! Calls that crash the backend servers that run them, on real daemons: how many servers they end,
//! and what other calls get meanwhile.

mod mesh;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use cyclamen_daemon::SharedInstance;
use cyclamen_standins::{
    Answer, BackendOptions, BackendServer, CallKey, Fault, FaultEffect, RunRecord, Scope, Told,
};
use cyclamenmoor::{Announcement, AnnouncementOrder};
use http::Method;
use mesh::{DECLARATIONS, Mesh, announcement, call_plan, loopback};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Paths below this crash the servers that run them.
const CRASHING_PATH: &str = "/crash/";

/// Time from the crash of a server to its return.
const RESTART_TIME: Duration = Duration::from_millis(1_200);

/// Time from the third crash on in which the users still allow any number of runs.
const GRACE: Duration = Duration::from_secs(3);

/// The users' bound on the runs of a call later than [`GRACE`] after its third crash.
const MAX_LATE_RUNS: u64 = 3;

/// Time between two crashing calls.
const CRASHING_CALL_PERIOD: Duration = Duration::from_millis(300);

/// Time for which crashing calls are sent.
const CRASHING_TIME: Duration = Duration::from_secs(9);

/// Time for daemons to agree that a call is blocked.
const VERDICT_TIME: Duration = Duration::from_secs(1);

/// Backend servers beside each daemon.
const SERVERS_PER_DAEMON: usize = 2;

/// A mesh whose backend servers crash at some calls and come back, at the same address under
/// another name.
struct CrashingMesh {
    mesh: Mesh,
    crashes: Arc<AtomicU64>,
    _servers: JoinSet<()>,
}

impl CrashingMesh {
    async fn start(daemons: usize) -> Self {
        let mesh = Mesh::start(daemons, 8, DECLARATIONS).await;
        let crashes = Arc::new(AtomicU64::new(0));
        let mut servers = JoinSet::new();
        for (index, member) in mesh.members.iter().enumerate() {
            member.drain();
            for number in 0..SERVERS_PER_DAEMON {
                let seat = Seat {
                    daemon: member.daemon().shared.clone(),
                    name: format!("records-{index}-{number}"),
                    record: mesh.record.clone(),
                    crashes: Arc::clone(&crashes),
                };
                servers.spawn(seat.keep_running());
            }
        }
        let count = daemons * SERVERS_PER_DAEMON;
        mesh.wait_until(|mesh| mesh.members.iter().all(|member| member.servers_ready() == count))
            .await;
        Self { mesh, crashes, _servers: servers }
    }

    fn crashes(&self) -> u64 {
        self.crashes.load(Ordering::Relaxed)
    }

    fn runs(&self, key: &str) -> u64 {
        u64::from(self.mesh.record.times(&CallKey::from(key)))
    }

    async fn call(&self, daemon: usize, method: Method, path: &str, key: &str) -> Answer {
        let mut plan = call_plan(method, path, key);
        plan.timeout = Duration::from_secs(2);
        self.mesh.call(daemon, &plan).await
    }

    /// Sends a crashing call until it is blocked.
    async fn block(&self, path: &str) {
        for number in 0..20 {
            let key = format!("blocking-{number}");
            self.call(number % self.mesh.members.len(), Method::GET, path, &key).await;
            if number > 0 && self.runs(&key) == 0 {
                return;
            }
            tokio::time::sleep(VERDICT_TIME).await;
        }
        panic!("the call is not blocked in time");
    }

    /// Waits until all servers are back.
    async fn wait_until_whole(&self) {
        tokio::time::sleep(RESTART_TIME * 2).await;
    }
}

/// One place for a backend server.
struct Seat {
    daemon: SharedInstance,
    name: String,
    record: RunRecord,
    crashes: Arc<AtomicU64>,
}

impl Seat {
    /// Runs one server after another at one address.
    async fn keep_running(self) {
        let mut address = loopback();
        for life in 1.. {
            let server = self.start(address, life).await;
            address = server.address();
            self.announce(&server, life);
            server.crashed().await;
            self.crashes.fetch_add(1, Ordering::Relaxed);
            server.stop().await;
            tokio::time::sleep(RESTART_TIME).await;
        }
    }

    async fn start(&self, address: SocketAddr, life: u64) -> BackendServer {
        let scope = Scope { path_prefix: Some(CRASHING_PATH.into()), ..Scope::default() };
        let options = BackendOptions {
            name: format!("{}-{life}", self.name).try_into().expect("a name"),
            service: "dvere".try_into().expect("a name"),
            version: "v1".try_into().expect("a name"),
            slots: 8,
            connections: 130,
            service_time: Duration::from_millis(5),
            cold_start: Duration::ZERO,
            onward: None,
            faults: vec![Fault { scope, effect: FaultEffect::Crash }],
            seed: 1,
        };
        BackendServer::start(address, options, self.record.clone()).await.expect("a free port")
    }

    fn announce(&self, server: &BackendServer, life: u64) {
        let order = AnnouncementOrder { started_at_ms: life, sequence: 1 };
        let announcement = Announcement { order: Some(order), ..announcement(server) };
        self.daemon.with(|instance, now, out| {
            instance.announce_server(now, &announcement, out).expect("an announcement that holds");
        });
    }
}

/// Runs of one crashing call over time.
#[derive(Default)]
struct Runs {
    /// When each run was seen, at the latest.
    seen: Vec<Instant>,
}

impl Runs {
    fn add(&mut self, runs: u64) {
        for _ in 0..runs {
            self.seen.push(Instant::now());
        }
    }

    /// Runs that the users do not allow any number of.
    fn late(&self) -> u64 {
        let Some(third) = self.seen.get(2) else {
            return 0;
        };
        self.seen.iter().filter(|seen| **seen > *third + GRACE).count() as u64
    }
}

#[tokio::test]
async fn crashing_calls_stop_reaching_servers() {
    let mesh = CrashingMesh::start(3).await;
    let (mut reads, mut writes) = (Runs::default(), Runs::default());
    let until = Instant::now() + CRASHING_TIME;
    let mut number = 0;
    while Instant::now() < until {
        let key = format!("read-{number}");
        mesh.call(number % 3, Method::GET, "/crash/records", &key).await;
        reads.add(mesh.runs(&key));
        if number % 3 == 0 {
            let key = format!("write-{number}");
            mesh.call((number + 1) % 3, Method::POST, "/crash/notices", &key).await;
            writes.add(mesh.runs(&key));
        }
        number += 1;
        tokio::time::sleep(CRASHING_CALL_PERIOD).await;
    }
    let (late_reads, late_writes) = (reads.late(), writes.late());
    assert!(late_reads <= MAX_LATE_RUNS, "{late_reads} of {} runs", reads.seen.len());
    assert!(late_writes <= MAX_LATE_RUNS, "{late_writes} of {} runs", writes.seen.len());
    mesh.wait_until_whole().await;
    let crashes = mesh.crashes();
    for number in 0..30 {
        let answer =
            mesh.call(number % 3, Method::GET, "/records", &format!("calm-{number}")).await;
        assert_eq!(answer.told, Told::Answered, "{answer:?}");
        mesh.call(number % 3, Method::GET, "/crash/records", &format!("last-{number}")).await;
    }
    assert_eq!(mesh.crashes(), crashes);
}

#[tokio::test]
async fn blocked_call_is_refused_without_retry_hint() {
    let mesh = CrashingMesh::start(3).await;
    mesh.block("/crash/records").await;
    let req = "GET /crash/records HTTP/1.1\r\nhost: dvere\r\nx-request-deadline-ms: 2000\r\n\
               connection: close\r\ncontent-length: 10\r\n\r\nxxxxxxxxxx";
    let answer = exchange(mesh.mesh.members[0].calls, req).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("x-cyclamen-outcome: not-run"), "{answer}");
    assert!(answer.contains("\"kind\":\"blocked\""), "{answer}");
    assert!(!answer.contains("retry-after"), "{answer}");
}

#[tokio::test]
async fn unblocked_call_reaches_servers_again() {
    let mesh = CrashingMesh::start(3).await;
    mesh.block("/crash/records").await;
    mesh.wait_until_whole().await;
    let blocked = mesh.mesh.members[1].daemon().shared.read(|instance| instance.blocked_calls());
    let digest = blocked[0].digest.parse().expect("a digest");
    let shared = &mesh.mesh.members[2].daemon().shared;
    assert!(shared.with(|instance, now, out| instance.unblock_call(now, digest, out)));
    let no_blocks = |mesh: &Mesh| {
        let blocked = |daemon: &SharedInstance| daemon.read(|instance| instance.blocked_calls());
        mesh.members.iter().all(|member| blocked(&member.daemon().shared).is_empty())
    };
    mesh.mesh.wait_until(no_blocks).await;
    let crashes = mesh.crashes();
    let answer = mesh.call(0, Method::GET, "/crash/records", "after").await;
    assert_eq!(answer.told, Told::Unknown, "{answer:?}");
    assert!(mesh.crashes() > crashes);
}

#[tokio::test]
async fn daemon_that_joins_learns_the_blocked_calls() {
    let mut mesh = CrashingMesh::start(3).await;
    mesh.block("/crash/records").await;
    mesh.mesh.add_member(4).await;
    let knows = |mesh: &Mesh| {
        let joined = mesh.members.last().expect("a member").daemon();
        joined.shared.read(|instance| instance.blocked_calls().len()) == 1
    };
    mesh.mesh.wait_until(knows).await;
    let answer = mesh.call(3, Method::GET, "/crash/records", "joined").await;
    assert_eq!(answer.told, Told::NotRun, "{answer:?}");
    assert_eq!(mesh.runs("joined"), 0);
}

#[tokio::test]
async fn crashing_call_with_a_body_of_unknown_length_is_blocked() {
    let mesh = CrashingMesh::start(3).await;
    let req = "POST /crash/notices HTTP/1.1\r\nhost: dvere\r\nx-request-deadline-ms: 2000\r\n\
               connection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\nnote\r\n0\r\n\r\n";
    for visit in 0..5 {
        let answer = exchange(mesh.mesh.members[visit % 3].calls, req).await;
        if answer.contains("\"kind\":\"blocked\"") {
            return;
        }
        tokio::time::sleep(VERDICT_TIME).await;
    }
    panic!("the call is not blocked in time");
}

/// Sends a request and returns the answer.
async fn exchange(to: SocketAddr, req: &str) -> String {
    let mut stream = TcpStream::connect(to).await.expect("a listener");
    stream.write_all(req.as_bytes()).await.expect("an open connection");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("text");
    answer
}
