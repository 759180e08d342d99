//! Tests that reloads go on after a faulty file, and that every change of the file or of a secret
//! is reported.

use std::fs::{self, File};
use std::process::Command;
use std::time::SystemTime;

use tempfile::TempDir;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::*;

/// Longest wait for a report; longer than [`CHECK_PERIOD`].
const REPORT_TIMEOUT: Duration = Duration::from_secs(15);

/// The signal of the only test that raises one.
const RAISED: SignalKind = SignalKind::user_defined1();

/// The signal of tests in which none arrives.
const NEVER_RAISED: SignalKind = SignalKind::user_defined2();

const KEY: &str = "5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a";
const OTHER_KEY: &str = "6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b";

/// A folder with a settings file and the file of its mesh key.
struct Case {
    dir: TempDir,
    /// What the daemon runs with: the first content of the file.
    started_with: Fingerprint,
}

impl Case {
    fn new() -> Self {
        let dir = TempDir::new().expect("a folder");
        fs::write(dir.path().join("mesh.key"), KEY).expect("a key file");
        let path = dir.path().join("settings.yaml");
        fs::write(&path, settings_text(dir.path(), "praha-a", KEY)).expect("a settings file");
        let started_with = Fingerprint::of(&read(&path).expect("settings"));
        Self { dir, started_with }
    }

    fn path(&self) -> PathBuf {
        self.dir.path().join("settings.yaml")
    }

    /// Settings with this failure domain and this hash of a token.
    fn text(&self, domain: &str, token: &str) -> String {
        settings_text(self.dir.path(), domain, token)
    }

    fn write(&self, text: &str) {
        fs::write(self.path(), text).expect("a settings file");
    }

    /// Watches the file; each result arrives at the receiver. A signal reaches all tests of the
    /// process, so `kind` stands in for SIGHUP.
    fn watch(&self, kind: SignalKind) -> Watch {
        let hup = signal(kind).expect("a signal handler");
        let (tx, results) = mpsc::unbounded_channel();
        let started_with = self.started_with;
        let file = SettingsFile { path: self.path(), started_with, hup };
        let task = tokio::spawn(watch(file, move |result| {
            let _ = tx.send(result.clone());
        }));
        Watch { results, _task: task }
    }
}

fn settings_text(dir: &Path, domain: &str, token: &str) -> String {
    format!(
        "instance: {{name: praha-a-1, failure_domain: {domain}, region: cz-stred}}\n\
         listen: {{calls: 127.0.0.1:0, peer: 127.0.0.1:0, admin: 127.0.0.1:0}}\n\
         log_service: 127.0.0.1:9\n\
         mesh_key: {{file: {}}}\n\
         tokens: [{{team: provoz, hash: '{token}'}}]\n",
        dir.join("mesh.key").display()
    )
}

struct Watch {
    results: mpsc::UnboundedReceiver<ReloadResult>,
    _task: JoinHandle<()>,
}

impl Watch {
    async fn next(&mut self) -> ReloadResult {
        let next = tokio::time::timeout(REPORT_TIMEOUT, self.results.recv()).await;
        next.expect("a report in time").expect("a watch that goes on")
    }
}

/// Sends this process [`RAISED`].
fn raise() {
    let pid = std::process::id().to_string();
    let sent = Command::new("kill").args(["-s", "USR1", &pid]).status().expect("kill");
    assert!(sent.success());
}

fn set_modified(path: &Path, at: SystemTime) {
    let file = File::options().write(true).open(path).expect("a file");
    file.set_modified(at).expect("a modification time");
}

#[tokio::test]
async fn watch_goes_on_after_faulty_file_at_start() {
    let case = Case::new();
    let right = case.text("praha-a", KEY);
    case.write(&right[..right.len() / 2]);
    let mut watch = case.watch(RAISED);
    assert!(matches!(watch.next().await, ReloadResult::Faults(_)));
    case.write(&case.text("praha-b", KEY));
    raise();
    assert_eq!(watch.next().await, ReloadResult::Changed);
    case.write(&right);
    raise();
    assert_eq!(watch.next().await, ReloadResult::Unchanged);
}

#[tokio::test]
async fn watch_reports_change_before_start() {
    let case = Case::new();
    case.write(&case.text("praha-b", KEY));
    assert_eq!(case.watch(NEVER_RAISED).next().await, ReloadResult::Changed);
}

#[tokio::test]
async fn watch_without_hup_goes_on_after_half_written_file() {
    let case = Case::new();
    let mut watch = case.watch(NEVER_RAISED);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let right = case.text("praha-b", KEY);
    case.write(&right[..right.len() / 2]);
    assert!(matches!(watch.next().await, ReloadResult::Faults(_)));
    case.write(&right);
    assert_eq!(watch.next().await, ReloadResult::Changed);
}

#[tokio::test]
async fn watch_reports_change_with_same_modification_time() {
    let case = Case::new();
    let modified = fs::metadata(case.path()).and_then(|file| file.modified()).expect("a time");
    let mut watch = case.watch(NEVER_RAISED);
    tokio::time::sleep(Duration::from_millis(100)).await;
    case.write(&case.text("praha-b", KEY));
    set_modified(&case.path(), modified);
    assert_eq!(watch.next().await, ReloadResult::Changed);
}

#[tokio::test]
async fn watch_reports_changed_key_file() {
    let case = Case::new();
    let mut watch = case.watch(NEVER_RAISED);
    tokio::time::sleep(Duration::from_millis(100)).await;
    fs::write(case.dir.path().join("mesh.key"), OTHER_KEY).expect("a key file");
    assert_eq!(watch.next().await, ReloadResult::Changed);
}

#[test]
fn compare_changed_secret_alone() {
    let case = Case::new();
    let result = || ReloadResult::compare(case.started_with, read(&case.path()));
    assert_eq!(result(), ReloadResult::Unchanged);
    case.write(&case.text("praha-a", OTHER_KEY));
    assert_eq!(result(), ReloadResult::Changed);
    case.write(&case.text("praha-a", KEY));
    fs::write(case.dir.path().join("mesh.key"), OTHER_KEY).expect("a key file");
    assert_eq!(result(), ReloadResult::Changed);
}
