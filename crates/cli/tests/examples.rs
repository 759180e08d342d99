//! The settings in `examples/` have no faults.

use std::path::{Path, PathBuf};

use cyclamen_daemon::settings::{ProcessSettings, RawSettings};

const INSTANCES: [&str; 6] = [
    "spolek/praha-a-1",
    "spolek/praha-b-1",
    "spolek/kladno-1",
    "quillfield/providence-1",
    "quillfield/worcester-1",
    "quillfield/hartford-1",
];

fn read_env(name: &str) -> Option<String> {
    (name == "CYCLAMEN_MESH_KEY").then(|| "5a".repeat(32))
}

fn path(instance: &str) -> PathBuf {
    Path::new("../../examples").join(instance).with_extension("yaml")
}

#[test]
fn examples_settings_without_faults() {
    for instance in INSTANCES {
        let raw = RawSettings::read(&path(instance)).expect(instance);
        let raw = RawSettings { read_env, ..raw };
        let settings = ProcessSettings::try_from(raw).expect(instance);
        assert!(instance.ends_with(settings.daemon.instance.as_str()), "{instance}");
        assert_eq!(settings.daemon.peers.len(), 2, "{instance}");
    }
}
