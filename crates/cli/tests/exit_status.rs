//! Arguments and exit statuses of the command line.

use cyclamen_cli::{Status, hoist, run};

fn args(line: &str) -> Vec<String> {
    line.split_whitespace().map(String::from).collect()
}

/// An address that takes no connection: the port of a listener that is gone.
fn nobody() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address").to_string()
}

#[test]
fn hoist_globals_anywhere() {
    let hoisted = hoist(&args("verdict m --json --daemon 127.0.0.1:1 --wait --token-file t"));
    assert_eq!(hoisted, args("--json --daemon 127.0.0.1:1 --token-file t verdict m --wait"));
}

#[test]
fn hoist_nothing_after_dashes() {
    let hoisted = hoist(&args("get route -- --json"));
    assert_eq!(hoisted, args("get route -- --json"));
}

#[test]
fn hoist_option_without_value() {
    assert_eq!(hoist(&args("members --daemon")), args("--daemon members"));
}

#[test]
fn status_help() {
    assert_eq!(run(&args("--help")), Status::Done);
    assert_eq!(run(&args("publish --help")), Status::Done);
}

#[test]
fn status_usage() {
    for line in [
        "",
        "unknown",
        "publish",
        "publish -f absent.yaml",
        "order m explode",
        "members --colour",
        "members --daemon nowhere",
        "members --token-file absent",
        "get route a b --daemon 127.0.0.1:1",
    ] {
        assert_eq!(run(&args(line)), Status::Usage, "{line:?}");
    }
}

#[test]
fn status_unreachable() {
    let daemons = format!("{},{}", nobody(), nobody());
    for command in ["members", "state", "moves", "get", "verdict m", "order m pause"] {
        let line = format!("{command} --daemon {daemons}");
        assert_eq!(run(&args(&line)), Status::Unreachable, "{line:?}");
    }
}

#[test]
fn status_check() {
    let spolek = "../../examples/spolek";
    let quillfield = "../../examples/quillfield";
    for (files, status) in [
        (format!("-f {spolek}/declarations.yaml -f {spolek}/move.yaml"), Status::Done),
        (format!("-f {quillfield}/declarations.yaml -f {quillfield}/move.yaml"), Status::Done),
        (format!("-f {spolek}/move.yaml"), Status::Refused),
        (format!("-f {spolek}/praha-a-1.yaml"), Status::Refused),
        (String::new(), Status::Usage),
    ] {
        assert_eq!(run(&args(&format!("check {files}"))), status, "{files}");
    }
}
