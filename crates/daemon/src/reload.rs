//! The settings file is read again on SIGHUP and when it changes.
//!
//! A file with faults changes nothing. What a running daemon was started with stays in force until
//! its next start, which the line says.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use log::{info, warn};
use tokio::signal::unix::Signal;

use crate::settings::{ProcessSettings, RawSettings, SettingsFaults};

/// Pause between two looks at whether the file has changed.
const LOOK_PERIOD: Duration = Duration::from_secs(5);

/// A settings file and the signal that asks to read it again.
#[derive(Debug)]
pub struct SettingsFile {
    /// Its path.
    pub path: PathBuf,
    /// SIGHUP, registered before the daemon started.
    pub hup: Signal,
}

/// What came of reading the file again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reloaded {
    /// It says what the daemon was started with.
    Same,
    /// It says something else, which counts from the next start on.
    Differs,
    /// It has faults, so the settings stay.
    Faults(String),
}

impl Reloaded {
    /// Compares what the file says now with what the daemon was started with.
    pub fn of(started_with: &str, read: Result<ProcessSettings, SettingsFaults>) -> Self {
        match read {
            Ok(settings) if fingerprint(&settings) == started_with => Self::Same,
            Ok(_) => Self::Differs,
            Err(faults) => Self::Faults(faults.to_string()),
        }
    }

    /// What came of it, in one sentence.
    pub fn sentence(&self) -> String {
        match self {
            Self::Same => "nothing has changed".into(),
            Self::Differs => "they differ; the new ones count from the next start on".into(),
            Self::Faults(faults) => {
                format!("the file has faults, so the settings stay; mend it: {faults}")
            }
        }
    }
}

/// Tells settings apart; secrets are hidden in it.
pub fn fingerprint(settings: &ProcessSettings) -> String {
    format!("{settings:?}")
}

/// Reads the file again when asked and when it changed, and tells each time, until dropped.
pub(crate) async fn watch(mut file: SettingsFile, tell: impl Fn(&Reloaded)) {
    let Ok(started_with) = read(&file.path).as_ref().map(fingerprint) else {
        warn!("the settings file cannot be read any more: it is not looked at again");
        return;
    };
    let mut changed_at = changed_at(&file.path);
    loop {
        let asked = tokio::select! {
            signal = file.hup.recv() => match signal {
                Some(()) => true,
                None => return,
            },
            () = tokio::time::sleep(LOOK_PERIOD) => false,
        };
        let now = self::changed_at(&file.path);
        if !asked && now == changed_at {
            continue;
        }
        changed_at = now;
        let reloaded = Reloaded::of(&started_with, read(&file.path));
        info!("settings read again: {}", reloaded.sentence());
        tell(&reloaded);
    }
}

fn read(path: &Path) -> Result<ProcessSettings, SettingsFaults> {
    RawSettings::read(path)?.try_into()
}

fn changed_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}
