//! Exit statuses of commands against a real daemon with a log service beside it.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;

use cyclamen_cli::{Status, run};
use cyclamen_daemon::settings::{ProcessSettings, RawSettings};
use cyclamen_daemon::{OperatorToken, Settings, TokenHash, start};
use cyclamen_standins::{LogOptions, LogService};
use tempfile::NamedTempFile;
use tokio::runtime::Builder;
use tokio::sync::oneshot;

const TOKEN: &str = "try-cyclamen";

/// A daemon on a thread of its own, since a command blocks the one it runs on.
struct Bench {
    admin: SocketAddr,
    token: NamedTempFile,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

fn settings(log_service: SocketAddr) -> Settings {
    let raw = RawSettings::read("../../examples/spolek/praha-a-1.yaml".as_ref()).expect("a file");
    let raw = RawSettings { read_env: |_| Some("5a".repeat(32)), ..raw };
    let mut settings = ProcessSettings::try_from(raw).expect("no faults").daemon;
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    settings.listen.calls = free;
    settings.listen.peer = free;
    settings.listen.admin = free;
    settings.peers.clear();
    settings.log_service = log_service;
    let team = "provoz".parse().expect("a name");
    settings.tokens = vec![OperatorToken { team, hash: TokenHash::of(TOKEN) }];
    settings
}

async fn serve(addresses: mpsc::Sender<SocketAddr>, stop: oneshot::Receiver<()>) {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let log = LogService::start(free, LogOptions::default()).await.expect("a free port");
    let running = start(settings(log.address()), None).await.expect("free ports");
    addresses.send(running.addresses.admin).expect("the test waits");
    stop.await.expect("the test stops it");
    running.stop().await;
    log.stop().await;
}

fn file(text: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().expect("a file");
    file.write_all(text.as_bytes()).expect("a file that can be written");
    file
}

impl Bench {
    fn start() -> Self {
        let (addresses, admin) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let thread = thread::spawn(|| {
            let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime.block_on(serve(addresses, stopped));
        });
        let admin = admin.recv().expect("a daemon");
        Self { admin, token: file(TOKEN), stop: Some(stop), thread: Some(thread) }
    }

    fn run(&self, line: &str) -> Status {
        let token = self.token.path().display();
        let line = format!("{line} --daemon {} --token-file {token} --json", self.admin);
        let args: Vec<String> = line.split_whitespace().map(String::from).collect();
        run(&args)
    }

    fn publish(&self, text: &str) -> Status {
        let file = file(text);
        self.run(&format!("publish --wait -f {}", file.path().display()))
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        let stopped = self.stop.take().map(|stop| stop.send(()));
        let ended = self.thread.take().map(thread::JoinHandle::join);
        if !thread::panicking() {
            assert!(stopped.is_some_and(|sent| sent.is_ok()));
            assert!(ended.is_some_and(|end| end.is_ok()));
        }
    }
}

const MOVE: &str = "
declarations:
- {name: dvere/v2, version: {}}
- name: dvere-v2
  move: {service: dvere, from: v1, to: v2, start: '2100-01-01T00:00:00Z', deadline: '2100-01-02T00:00:00Z'}
";

#[test]
fn commands_whole_life() {
    let bench = Bench::start();
    let declarations = "../../examples/spolek/declarations.yaml";
    assert_eq!(bench.run(&format!("publish --dry-run -f {declarations}")), Status::Done);
    assert_eq!(bench.run("get service dvere"), Status::NotFound);
    assert_eq!(bench.run(&format!("publish --wait -f {declarations}")), Status::Done);
    assert_eq!(bench.run("get"), Status::Done);
    assert_eq!(bench.run("get service dvere"), Status::Done);
    assert_eq!(bench.run("get version dvere/v1"), Status::Done);
    assert_eq!(bench.run("get colour red"), Status::Usage);
    assert_eq!(bench.publish("declarations: [{name: r, route: {service: x}}]"), Status::Refused);
    assert_eq!(bench.run("members"), Status::Done);
    assert_eq!(bench.run("state"), Status::Done);
    assert_eq!(bench.run("state --instance praha-a-1"), Status::Done);
    assert_eq!(bench.run("state --instance absent"), Status::NotFound);
    assert_eq!(bench.run("blocked"), Status::Done);
    assert_eq!(bench.run("unblock 0123456789abcdef"), Status::NotFound);
    assert_eq!(bench.run("unblock everything"), Status::Usage);
}

#[test]
fn commands_move_taken_back() {
    let bench = Bench::start();
    let declarations = "../../examples/spolek/declarations.yaml";
    assert_eq!(bench.run(&format!("publish -f {declarations}")), Status::Done);
    assert_eq!(bench.run("verdict dvere-v2"), Status::NotFound);
    assert_eq!(bench.publish(MOVE), Status::Done);
    assert_eq!(bench.run("moves"), Status::Done);
    assert_eq!(bench.run("verdict dvere-v2"), Status::Pending);
    assert_eq!(bench.run("verdict dvere-v2 --wait --timeout 0"), Status::Pending);
    assert_eq!(bench.run("order dvere-v2 take-back"), Status::Done);
    assert_eq!(bench.run("verdict dvere-v2 --wait"), Status::TakenBack);
}

#[test]
fn commands_wrong_token() {
    let mut bench = Bench::start();
    bench.token = file("wrong");
    assert_eq!(bench.publish("declarations: []"), Status::Unauthorized);
    assert_eq!(bench.run("order m pause"), Status::Unauthorized);
    assert_eq!(bench.run("unblock 0123456789abcdef"), Status::Unauthorized);
}

#[test]
fn commands_next_daemon() {
    let bench = Bench::start();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let gone = listener.local_addr().expect("its address");
    drop(listener);
    let line = format!("members --daemon {gone} --daemon {}", bench.admin);
    let args: Vec<String> = line.split_whitespace().map(String::from).collect();
    assert_eq!(run(&args), Status::Done);
}
