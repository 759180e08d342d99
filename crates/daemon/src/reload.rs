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

/// How often the content of the file is compared with that last read.
const CHECK_PERIOD: Duration = Duration::from_secs(5);

/// A settings file and the signal that asks to read it again.
#[derive(Debug)]
pub struct SettingsFile {
    /// The path given on the command line.
    pub path: PathBuf,
    /// [`fingerprint`] of the settings that the daemon runs with.
    pub started_with: String,
    /// SIGHUP, registered before the daemon started.
    pub hup: Signal,
}

/// The result of reading the file again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReloadResult {
    /// The settings equal those that the daemon runs with, apart from secrets.
    Unchanged,
    /// The settings differ; the new ones apply from the next start on.
    Changed,
    /// The file has faults, listed here as text; the settings are kept.
    Faults(String),
}

impl ReloadResult {
    /// Compares the settings just read with the fingerprint of those that the daemon runs with.
    pub fn compare(started_with: &str, read: Result<ProcessSettings, SettingsFaults>) -> Self {
        match read {
            Ok(settings) if fingerprint(&settings) == started_with => Self::Unchanged,
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

/// Returns a text that is equal for equal settings. Secrets are redacted in it, so a change of a
/// secret alone does not show.
pub fn fingerprint(settings: &ProcessSettings) -> String {
    format!("{settings:?}")
}

/// Reads the file again at the start, on SIGHUP and when its content has changed, and calls `report`
/// with each result, until dropped; at the start only if there is something to tell. Returns when
/// the signal stream ends.
///
/// Modification times are not enough: a file that is read half written may be completed within the
/// resolution of its modification time, and a replaced file may keep the time of the old one.
pub(crate) async fn watch(mut file: SettingsFile, report: impl Fn(&ReloadResult)) {
    // Outer `None` before the first look.
    let mut seen = None;
    let mut requested = false;
    loop {
        let latest = content_hash(&file.path);
        let first = seen.is_none();
        if requested || seen != Some(latest) {
            seen = Some(latest);
            let result = ReloadResult::compare(&file.started_with, read(&file.path));
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

/// A hash of what a file contains; `None` if it cannot be read.
fn content_hash(path: &Path) -> Option<blake3::Hash> {
    std::fs::read(path).ok().map(|content| blake3::hash(&content))
}
