//! Settings of the `cyclamend` process: its daemon, and its logging.

use std::path::PathBuf;

use super::Settings;

/// The content of a settings file of `cyclamend`.
#[derive(Clone, Debug)]
pub struct ProcessSettings {
    /// Settings of the daemon that the process runs.
    pub daemon: Settings,
    /// Settings of the process-wide logger.
    pub logging: LoggingSettings,
}

/// How the process logs.
#[derive(Clone, Debug, Default)]
pub enum LoggingSettings {
    /// To standard error, at level `info` and above.
    #[default]
    Stderr,
    /// As configured by the log4rs configuration file at this path.
    File(PathBuf),
    /// As configured by this log4rs configuration.
    Inline(serde_yaml_ng::Value),
}
