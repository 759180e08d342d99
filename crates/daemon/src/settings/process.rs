//! Settings of a whole process: one daemon and its log lines.

use std::path::PathBuf;

use super::Settings;

/// What `cyclamend` reads from its settings file.
#[derive(Clone, Debug)]
pub struct ProcessSettings {
    /// The daemon.
    pub daemon: Settings,
    /// Where log lines go.
    pub logging: LoggingSettings,
}

/// Where log lines go.
#[derive(Clone, Debug, Default)]
pub enum LoggingSettings {
    /// To standard error, from level `info` on.
    #[default]
    Stderr,
    /// As the log4rs configuration in this file says.
    File(PathBuf),
    /// As this log4rs configuration says.
    Inline(serde_yaml_ng::Value),
}
