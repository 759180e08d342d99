//! Log lines by log4rs: where they go, and the bridge from the libraries that log by slog.

use std::path::Path;

use anyhow::{Context, anyhow};
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Deserializers, RawConfig, Root};
use log4rs::encode::pattern::PatternEncoder;
use serde::Deserialize;
use serde_yaml_ng::Value;
use slog::Drain;

use crate::settings::LoggingSettings;

/// One line: time, level, module, message.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {t} {m}{n}";

/// Sends all log lines of this process where the settings say. Call it once.
///
/// # Errors
/// A configuration that log4rs refuses, or a second call.
pub fn start(settings: &LoggingSettings) -> anyhow::Result<()> {
    match settings {
        LoggingSettings::Stderr => {
            log4rs::init_config(stderr_config()?)?;
        }
        LoggingSettings::File(path) => {
            log4rs::init_file(path, Deserializers::default())
                .with_context(|| format!("mend the log4rs configuration {}", path.display()))?;
        }
        LoggingSettings::Inline(tree) => {
            let raw = RawConfig::deserialize(tree).context("mend logging.log4rs")?;
            log4rs::config::init_raw_config(raw).context("mend logging.log4rs")?;
        }
    }
    Ok(())
}

/// Whether log4rs takes a configuration; the error says what it refuses.
pub(crate) fn check(tree: &Value) -> Result<(), String> {
    let raw = RawConfig::deserialize(tree).map_err(|error| error.to_string())?;
    let (appenders, errors) = raw.appenders_lossy(&Deserializers::default());
    if !errors.is_empty() {
        // Only the debug form names the faults; its first line holds them without backtraces.
        let text = format!("{errors:?}");
        let first = text.lines().next().unwrap_or_default();
        return Err(first.trim_start_matches("AppenderErrors([").into());
    }
    let config = Config::builder().appenders(appenders).loggers(raw.loggers()).build(raw.root());
    config.map(|_| ()).map_err(|errors| errors.to_string())
}

/// Whether log4rs takes a configuration file; the error says what it refuses.
pub(crate) fn check_file(path: &Path) -> Result<(), String> {
    let config = log4rs::config::load_config_file(path, Deserializers::default());
    config.map(|_| ()).map_err(|error| format!("{error:#}"))
}

/// A slog logger whose warnings and errors become lines of `log`.
pub(crate) fn slog_bridge() -> slog::Logger {
    let drain = slog::LevelFilter::new(slog_stdlog::StdLog, slog::Level::Warning);
    slog::Logger::root(drain.ignore_res(), slog::o!())
}

fn stderr_config() -> anyhow::Result<Config> {
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(PatternEncoder::new(PATTERN)))
        .build();
    Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(appender)))
        .build(Root::builder().appender("stderr").build(LevelFilter::Info))
        .map_err(|errors| anyhow!("{errors}"))
}
