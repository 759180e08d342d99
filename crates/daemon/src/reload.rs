//! Checks the settings file again on SIGHUP and when it changes.
//!
//! The result is only reported: a running daemon keeps the settings that it was started with until
//! its next start, even if the file has changed. A file with faults has no effect either.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use log::{info, warn};
use tokio::signal::unix::Signal;

use crate::settings::{ProcessSettings, RawSettings, SettingsFaults};

/// How often the modification time of the file is checked.
const CHECK_PERIOD: Duration = Duration::from_secs(5);

/// A settings file and the signal that asks to read it again.
#[derive(Debug)]
pub struct SettingsFile {
    /// The path given on the command line.
    pub path: PathBuf,
    /// SIGHUP, registered before the daemon started.
    pub hup: Signal,
}

/// The result of reading the file again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReloadResult {
    /// The settings equal those first read by `watch`, apart from secrets.
    Unchanged,
    /// The settings differ; the new ones apply from the next start on.
    Changed,
    /// The file has faults, listed here as text; the settings are kept.
    Faults(String),
}

impl ReloadResult {
    /// Compares the settings just read with the fingerprint of those that were read first.
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

/// Reads the file again on SIGHUP and when its modification time has changed, and calls `report`
/// with each result, until dropped. Returns at once if the file cannot be read or has faults at
/// first, because there is nothing to compare with; also returns when the signal stream ends.
pub(crate) async fn watch(mut file: SettingsFile, report: impl Fn(&ReloadResult)) {
    let Ok(started_with) = read(&file.path).as_ref().map(fingerprint) else {
        warn!(
            "the settings file cannot be read or has faults; later changes to it will not be noticed"
        );
        return;
    };
    let mut modified_at = modified_at(&file.path);
    loop {
        let requested = tokio::select! {
            signal = file.hup.recv() => match signal {
                Some(()) => true,
                None => return,
            },
            () = tokio::time::sleep(CHECK_PERIOD) => false,
        };
        let latest = self::modified_at(&file.path);
        if !requested && latest == modified_at {
            continue;
        }
        modified_at = latest;
        let result = ReloadResult::compare(&started_with, read(&file.path));
        info!("settings read again: {}", result.description());
        report(&result);
    }
}

fn read(path: &Path) -> Result<ProcessSettings, SettingsFaults> {
    RawSettings::read(path)?.try_into()
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}
