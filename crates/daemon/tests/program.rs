//! Tests of the program `cyclamend`: exit statuses, and the graceful stop on signals.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Output, Stdio};

use tempfile::NamedTempFile;

const KEY: &str = "5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a";

/// A settings file with this administration address.
fn settings_file(admin: SocketAddr) -> NamedTempFile {
    let mut file = NamedTempFile::new().expect("a file");
    write!(
        file,
        "instance: {{name: praha-a-1, failure_domain: praha-a, region: cz-stred}}\n\
         listen: {{calls: 127.0.0.1:0, peer: 127.0.0.1:0, admin: '{admin}'}}\n\
         log_service: 127.0.0.1:9\n\
         mesh_key: {{env: MESH_KEY}}\n"
    )
    .expect("a file that can be written");
    file
}

/// The command `cyclamend` with these arguments and a mesh key in its environment.
fn cyclamend(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cyclamend"));
    command.args(args).env("MESH_KEY", KEY).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Runs `cyclamend` to its end; returns its exit status and its standard error.
fn run_to_end(args: &[&str]) -> (Option<i32>, String) {
    let Output { status, stderr, .. } = cyclamend(args).output().expect("the program");
    (status.code(), String::from_utf8_lossy(&stderr).into_owned())
}

/// Reads standard error up to the line that contains `wanted`, and returns the rest.
fn wait_for_line(child: &mut Child, wanted: &str) -> BufReader<std::process::ChildStderr> {
    let mut lines = BufReader::new(child.stderr.take().expect("standard error"));
    let mut line = String::new();
    while lines.read_line(&mut line).expect("a line") > 0 {
        if line.contains(wanted) {
            return lines;
        }
        line.clear();
    }
    panic!("the program ended before it said {wanted:?}");
}

#[test]
fn check_without_faults() {
    let file = settings_file(SocketAddr::from(([127, 0, 0, 1], 0)));
    let path = file.path().to_string_lossy();
    assert_eq!(run_to_end(&["--check", &path]).0, Some(0));
}

#[test]
fn check_with_faults() {
    let (status, text) = run_to_end(&["--check", "tests/settings/five_faults.yaml"]);
    assert_eq!(status, Some(2));
    assert!(text.contains("the settings have 5 faults"), "{text}");
}

#[test]
fn arguments_none_or_both() {
    for args in [&[][..], &["--check", "a", "--settings", "b"][..], &["--colour"][..]] {
        assert_eq!(run_to_end(args).0, Some(2), "{args:?}");
    }
}

#[test]
fn run_port_in_use() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = taken.local_addr().expect("its address");
    let file = settings_file(address);
    let (status, text) = run_to_end(&["--settings", &file.path().to_string_lossy()]);
    assert_eq!(status, Some(3));
    let wanted = format!("cannot listen on {address} for administration");
    assert!(text.contains(&wanted) && text.contains("free the port or choose another"), "{text}");
}

#[test]
fn run_stop_on_signals() {
    for signal in ["TERM", "INT"] {
        let file = settings_file(SocketAddr::from(([127, 0, 0, 1], 0)));
        let path = file.path().to_string_lossy().into_owned();
        let mut child = cyclamend(&["--settings", &path]).spawn().expect("the program");
        let mut lines = wait_for_line(&mut child, "started: ");
        let pid = child.id().to_string();
        let sent = Command::new("kill").args(["-s", signal, &pid]).status().expect("kill");
        assert!(sent.success());
        let mut rest = String::new();
        while lines.read_line(&mut rest).expect("a line") > 0 {}
        assert_eq!(child.wait().expect("its status").code(), Some(0), "{signal}: {rest}");
        assert!(rest.contains("stopping") && rest.contains("stopped"), "{signal}: {rest}");
    }
}
