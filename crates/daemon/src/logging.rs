//! Configures log4rs as the logger of the process, and bridges libraries that use slog to it.
//!
//! In addition to the appenders of log4rs, configurations may use the kind `bounded_stdout`. It
//! queues lines for a thread that writes standard output, so that a slow reader of standard output
//! never blocks the code that logs.

use std::path::Path;
use std::sync::OnceLock;

use anyhow::{Context, anyhow};
use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{
    Appender, Config, Deserialize as Log4rsDeserialize, Deserializers, RawConfig, Root,
};
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;
use log4rs::encode::{Encode, EncoderConfig};
use serde::Deserialize;
use serde_yaml_ng::Value;
use slog::Drain;

use crate::bounded_writer::BoundedWriter;
use crate::settings::LoggingSettings;

/// Format of a line on standard error: UTC time, level, target, message.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {t} {m}{n}";

/// Installs the logger of the process as the settings say. Call it once per process.
///
/// # Errors
/// The configuration is invalid, or a logger is already installed.
pub fn init(settings: &LoggingSettings) -> anyhow::Result<()> {
    match settings {
        LoggingSettings::Stderr => {
            log4rs::init_config(stderr_config()?)?;
        }
        LoggingSettings::File(path) => {
            log4rs::init_file(path, deserializers())
                .with_context(|| format!("invalid log4rs configuration {}", path.display()))?;
        }
        LoggingSettings::Inline(tree) => {
            let config =
                build_config(tree).map_err(|fault| anyhow!("invalid logging.log4rs: {fault}"))?;
            log4rs::init_config(config)?;
        }
    }
    Ok(())
}

/// Checks a log4rs configuration by building it. Its appenders may open their files or start the
/// writer of standard output, but no logger is installed.
///
/// # Errors
/// What log4rs reports as invalid.
pub(crate) fn validate(tree: &Value) -> Result<(), String> {
    build_config(tree).map(|_| ())
}

/// Builds a log4rs configuration from its YAML tree.
fn build_config(tree: &Value) -> Result<Config, String> {
    let raw = RawConfig::deserialize(tree).map_err(|error| error.to_string())?;
    let (appenders, errors) = raw.appenders_lossy(&deserializers());
    if !errors.is_empty() {
        // Only the `Debug` text of the errors names the causes; its first line has them without
        // backtraces. The name of the type is removed, and its end, which stands on the first line
        // only where no backtrace is taken.
        let text = format!("{errors:?}");
        let first = text.lines().next().unwrap_or_default();
        let cause = first.trim_start_matches("AppenderErrors([");
        return Err(cause.strip_suffix(")])").unwrap_or(cause).into());
    }
    let config = Config::builder().appenders(appenders).loggers(raw.loggers()).build(raw.root());
    config.map_err(|errors| errors.to_string())
}

/// Checks a log4rs configuration file in the same way as [`validate`].
///
/// # Errors
/// What log4rs reports as invalid, or why the file cannot be read.
pub(crate) fn validate_file(path: &Path) -> Result<(), String> {
    let config = log4rs::config::load_config_file(path, deserializers());
    config.map(|_| ()).map_err(|error| format!("{error:#}"))
}

/// A slog logger that forwards warnings and errors to `log`, and drops everything below.
pub(crate) fn slog_bridge() -> slog::Logger {
    let drain = slog::LevelFilter::new(slog_stdlog::StdLog, slog::Level::Warning);
    slog::Logger::root(drain.ignore_res(), slog::o!())
}

/// The writer of standard output that the whole process shares; the first call starts it.
///
/// # Errors
/// The writer's thread cannot be started.
pub fn stdout_writer() -> std::io::Result<BoundedWriter> {
    static WRITER: OnceLock<BoundedWriter> = OnceLock::new();
    if let Some(writer) = WRITER.get() {
        return Ok(writer.clone());
    }
    let writer = BoundedWriter::start(std::io::stdout())?;
    Ok(WRITER.get_or_init(|| writer).clone())
}

/// A log4rs appender that queues lines for the shared writer of standard output.
#[derive(Debug)]
struct BoundedStdout {
    writer: BoundedWriter,
    encoder: Box<dyn Encode>,
}

impl Append for BoundedStdout {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::new());
        self.encoder.encode(&mut line, record)?;
        let text = String::from_utf8_lossy(&line.0);
        self.writer.queue_line(text.trim_end().into());
        Ok(())
    }

    fn flush(&self) {}
}

/// Configuration of a `bounded_stdout` appender.
#[derive(Deserialize)]
struct BoundedStdoutConfig {
    encoder: EncoderConfig,
}

struct BoundedStdoutDeserializer;

impl Log4rsDeserialize for BoundedStdoutDeserializer {
    type Trait = dyn Append;
    type Config = BoundedStdoutConfig;

    fn deserialize(
        &self,
        config: BoundedStdoutConfig,
        deserializers: &Deserializers,
    ) -> anyhow::Result<Box<dyn Append>> {
        let EncoderConfig { kind, config } = config.encoder;
        let encoder = deserializers.deserialize(&kind, config)?;
        Ok(Box::new(BoundedStdout { writer: stdout_writer()?, encoder }))
    }
}

/// The deserializers of log4rs, and the one of `bounded_stdout`.
fn deserializers() -> Deserializers {
    let mut deserializers = Deserializers::default();
    deserializers.insert("bounded_stdout", BoundedStdoutDeserializer);
    deserializers
}

/// Writes to standard error, at level `info` and above.
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
