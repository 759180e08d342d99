//! Checks the settings file again on SIGHUP and when it changes.
//!
//! The result is only reported: a running daemon keeps the settings that it was started with until
//! its next start, even if the file has changed. A file with faults has no effect either.

use std::path::{Path, PathBuf};
use std::time::Duration;

use log::info;
use tokio::signal::unix::Signal;

use crate::settings::{ProcessSettings, RawSettings, SettingsFaults};

#[cfg(test)]
mod tests;

/// How often the contents of the files are compared with those last read.
const CHECK_PERIOD: Duration = Duration::from_secs(5);

/// A settings file and the signal that asks to read it again.
#[derive(Debug)]
pub struct SettingsFile {
    /// The path given on the command line.
    pub path: PathBuf,
    /// The fingerprint of the settings that the daemon runs with.
    pub started_with: Fingerprint,
    /// SIGHUP, registered before the daemon started.
    pub hup: Signal,
}

/// The result of reading the file again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReloadResult {
    /// The settings and their secrets equal those that the daemon runs with.
    Unchanged,
    /// The settings or their secrets differ; the new ones apply from the next start on.
    Changed,
    /// The file has faults, listed here as text; the settings are kept.
    Faults(String),
}

impl ReloadResult {
    /// Compares the settings just read with the fingerprint of those that the daemon runs with.
    pub fn compare(
        started_with: Fingerprint,
        read: Result<ProcessSettings, SettingsFaults>,
    ) -> Self {
        match read {
            Ok(settings) if Fingerprint::of(&settings) == started_with => Self::Unchanged,
            Ok(_) => Self::Changed,
            Err(faults) => Self::Faults(faults.to_string()),
        }
    }

    /// Describes the result in one sentence, as the process log and the decision log show it.
    pub fn description(&self) -> String {
        match self {
            Self::Unchanged => "nothing has changed".into(),
            Self::Changed => "they differ; the new ones count from the next start on".into(),
            Self::Faults(faults) => {
                format!("the file has faults, so the settings stay; mend it: {faults}")
            }
        }
    }
}

/// Equal for equal settings with equal secrets; neither can be read from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprint(blake3::Hash);

impl Fingerprint {
    /// The fingerprint of these settings.
    pub fn of(settings: &ProcessSettings) -> Self {
        let mut hasher = blake3::Hasher::new();
        // The debug output hides the secrets.
        hasher.update(format!("{settings:?}").as_bytes());
        hasher.update(&settings.daemon.mesh_key.0);
        for token in &settings.daemon.tokens {
            hasher.update(&token.hash.0);
        }
        Self(hasher.finalize())
    }
}

/// What the result of reading the settings depends on.
#[derive(PartialEq)]
struct Contents {
    settings: Option<blake3::Hash>,
    mesh_key: Option<blake3::Hash>,
}

/// Reads the file again at the start, on SIGHUP and when its content or that of the mesh key's file
/// has changed, and calls `report` with each result, until dropped; at the start only if there is
/// something to tell. Returns when the signal stream ends.
///
/// Modification times are not enough: a file that is read half written may be completed within the
/// resolution of its modification time, and a replaced file may keep the time of the old one.
pub(crate) async fn watch(mut file: SettingsFile, report: impl Fn(&ReloadResult)) {
    let mut seen = None;
    let mut mesh_key_path = None;
    let mut requested = false;
    loop {
        let settings = content_hash(&file.path);
        // A file that cannot be parsed tells no path; the last one known is kept.
        mesh_key_path = mesh_key_path_in(&file.path).or(mesh_key_path);
        let mesh_key = mesh_key_path.as_deref().and_then(content_hash);
        let latest = Some(Contents { settings, mesh_key });
        let first = seen.is_none();
        if requested || seen != latest {
            seen = latest;
            let result = ReloadResult::compare(file.started_with, read(&file.path));
            if !first || result != ReloadResult::Unchanged {
                info!("settings read again: {}", result.description());
                report(&result);
            }
        }
        requested = tokio::select! {
            signal = file.hup.recv() => match signal {
                Some(()) => true,
                None => return,
            },
            () = tokio::time::sleep(CHECK_PERIOD) => false,
        };
    }
}

fn read(path: &Path) -> Result<ProcessSettings, SettingsFaults> {
    RawSettings::read(path)?.try_into()
}

/// The path of the mesh key's file that the settings name.
fn mesh_key_path_in(path: &Path) -> Option<PathBuf> {
    RawSettings::read(path).ok()?.mesh_key_path()
}

/// A hash of what a file contains; `None` if it cannot be read.
fn content_hash(path: &Path) -> Option<blake3::Hash> {
    std::fs::read(path).ok().map(|content| blake3::hash(&content))
}
