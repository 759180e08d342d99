//! Tests of settings files. Each file in `tests/settings` has a snapshot of its checked settings or
//! its faults.

use std::io;
use std::path::{Path, PathBuf};

use cyclamen_daemon::settings::{ProcessSettings, RawSettings, SettingsFaults};
use proptest::prelude::*;
use serde_yaml_ng::{Mapping, Value};

const KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

fn read_file(path: &Path) -> io::Result<String> {
    if path == Path::new("mesh.key") {
        return Ok(format!("{KEY}\n"));
    }
    Err(io::Error::new(io::ErrorKind::NotFound, "no such file"))
}

fn read_env(name: &str) -> Option<String> {
    match name {
        "MESH_KEY" => Some(KEY.into()),
        "SHORT_KEY" => Some("hush".into()),
        _ => None,
    }
}

/// Checks a settings file, with secrets from [`read_file`] and [`read_env`].
fn check(path: &Path) -> Result<ProcessSettings, SettingsFaults> {
    let raw = RawSettings::read(path)?;
    ProcessSettings::try_from(RawSettings { read_file, read_env, ..raw })
}

/// The checked settings of a file, or its faults, as text.
fn report(path: &Path) -> String {
    match check(path) {
        Ok(settings) => format!("{settings:#?}"),
        Err(faults) => faults.to_string(),
    }
}

/// The settings files in `tests/settings`, sorted.
fn settings_files() -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir("tests/settings").expect("the folder of the cases") {
        let path = entry.expect("an entry").path();
        if path.extension().is_some_and(|extension| extension == "yaml") {
            files.push(path);
        }
    }
    files.sort();
    files
}

#[test]
fn settings_every_file() {
    for path in settings_files() {
        let name = path.file_stem().expect("a name").to_string_lossy().into_owned();
        insta::assert_snapshot!(name, report(&path));
    }
}

#[test]
fn settings_five_faults() {
    let faults = check(Path::new("tests/settings/five_faults.yaml")).expect_err("five faults");
    let places: Vec<&str> = faults.0.iter().map(|fault| fault.place.as_str()).collect();
    let wanted =
        ["instance.name", "listen.calls", "listen.debug", "log_service", "limits.queue_wait"];
    assert_eq!(places, wanted);
}

#[test]
fn settings_secrets_hidden() {
    for path in settings_files() {
        let shown = report(&path);
        // The last one is the start of the token hash in `full.yaml` and `clashes.yaml`.
        for secret in [KEY, "hush", "c124743d"] {
            assert!(!shown.contains(secret), "{} shows {secret}", path.display());
        }
    }
}

#[test]
fn settings_unreadable_file() {
    let faults = RawSettings::read(Path::new("tests/settings/absent")).expect_err("no file");
    assert_eq!(faults.0.len(), 1);
    assert_eq!(faults.0[0].place, "tests/settings/absent");
}

/// Random YAML trees of at most this depth, with keys of settings files.
fn yaml_tree(depth: u32) -> BoxedStrategy<Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        prop_oneof!["[a-z]{0,4}", "[0-9]{1,3}(ms|s|h)", "127\\.0\\.0\\.1:[0-9]{1,6}", "\\PC{0,8}"]
            .prop_map(Value::from),
    ];
    if depth == 0 {
        return leaf.boxed();
    }
    let items = prop::collection::vec(yaml_tree(depth - 1), 0..4).prop_map(Value::from);
    let keys = prop::sample::select(vec![
        "instance",
        "listen",
        "peers",
        "log_service",
        "mesh_key",
        "tokens",
        "limits",
        "metrics",
        "logging",
        "name",
        "calls",
        "file",
        "env",
        "team",
        "hash",
        "queue",
        "queue_wait",
        "log4rs",
    ]);
    let map = prop::collection::vec((keys, yaml_tree(depth - 1)), 0..8).prop_map(|pairs| {
        let pairs = pairs.into_iter().map(|(key, value)| (Value::from(key), value));
        Value::Mapping(pairs.collect::<Mapping>())
    });
    prop_oneof![leaf, items, map.clone(), map].boxed()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Checking any tree returns without a panic, and every fault has a place, a problem and a
    /// remedy.
    #[test]
    fn settings_any_tree(tree in yaml_tree(3)) {
        let raw = RawSettings { tree, read_file, read_env };
        let faults = ProcessSettings::try_from(raw).expect_err("no tree here names an instance");
        for fault in &faults.0 {
            prop_assert!(!fault.place.is_empty(), "no place: {}", fault);
            prop_assert!(!fault.problem.is_empty() && !fault.remedy.is_empty());
        }
    }
}
