//! Reads a settings file and checks it.
//!
//! [`RawSettings::read`] parses the YAML; the conversion into [`ProcessSettings`] checks every
//! section, fills in defaults, and returns all faults at once.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cyclamen_declarations::Labels;
use cyclamen_membership::{Addresses, MeshKey};
use cyclamen_platform::bounds::Bounds;
use cyclamen_types::{FailureDomain, InstanceName, RegionName};
use derive_more::Debug;
use serde_yaml_ng::Value;

use super::fault::{SettingsFault, SettingsFaults};
use super::process::{LoggingSettings, ProcessSettings};
use super::section::{FaultList, InvalidValue, Section};
use super::values::{self, ADDRESS_REMEDY, NAME_REMEDY};
use super::{LimitSettings, OperatorToken, PlatformSettings, Settings};
use crate::decision_log::DecisionLogSettings;
use crate::logging;

const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3_600);

/// A parsed but unchecked settings file, with the functions that read secrets.
///
/// Tests replace the functions to check settings without touching the file system or the
/// environment.
#[derive(Debug)]
pub struct RawSettings {
    /// The YAML tree of the file.
    pub tree: Value,
    /// Returns the content of a file that holds a secret.
    #[debug(skip)]
    pub read_file: fn(&Path) -> io::Result<String>,
    /// Returns the value of an environment variable, or `None` if it is not set.
    #[debug(skip)]
    pub read_env: fn(&str) -> Option<String>,
}

impl RawSettings {
    /// Reads and parses a settings file; secrets are read from the file system and the environment.
    ///
    /// # Errors
    /// The file cannot be read, or is not valid YAML.
    pub fn read(path: &Path) -> Result<Self, SettingsFaults> {
        let text = std::fs::read_to_string(path).map_err(|error| {
            let problem = format!("cannot be read ({error})");
            file_fault(path, problem, "name a file that this process may read")
        })?;
        let tree = serde_yaml_ng::from_str(&text).map_err(|error| {
            file_fault(
                path,
                format!("not valid YAML ({error})"),
                "fix the file at the position given",
            )
        })?;
        Ok(Self {
            tree,
            read_file: |path| std::fs::read_to_string(path),
            read_env: |name| std::env::var(name).ok(),
        })
    }

    /// The file that the mesh key is read from; `None` if it comes from the environment, or if the
    /// settings name no source.
    pub(crate) fn mesh_key_path(&self) -> Option<PathBuf> {
        let file = self.tree.get("mesh_key")?.get("file")?;
        values::path(file).ok()
    }
}

fn file_fault(path: &Path, problem: String, remedy: &str) -> SettingsFaults {
    let place = path.display().to_string();
    SettingsFaults(vec![SettingsFault { place, problem, remedy: remedy.into() }])
}

impl TryFrom<RawSettings> for ProcessSettings {
    type Error = SettingsFaults;

    fn try_from(raw: RawSettings) -> Result<Self, SettingsFaults> {
        let faults = FaultList::default();
        let settings = read_process_settings(&raw, &faults);
        let faults = faults.into_inner();
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(SettingsFaults(faults)),
        }
    }
}

/// Reads every section before returning early for a missing value, so that all faults are
/// reported. `None` means that a required value is missing or invalid.
fn read_process_settings(raw: &RawSettings, faults: &FaultList) -> Option<ProcessSettings> {
    let mut root = Section::new(String::new(), Some(&raw.tree), faults);
    let instance = read_instance(root.section("instance"));
    let listen = read_listen(root.section("listen"));
    let peers = read_peers(root.items("peers"), faults);
    let mut bounds = Bounds::default();
    let platform = root.section_if_present("platform");
    let platform = platform.map(|section| read_platform(section, &mut bounds));
    let log_service = match &platform {
        Some(platform) => platform.as_ref().map(|platform| platform.store),
        None => root.required("log_service", ADDRESS_REMEDY, values::destination),
    };
    let mesh_key = read_mesh_key(raw, root.section("mesh_key"));
    let tokens = read_tokens(root.items("tokens"), faults);
    let mut limits = read_limits(root.section("limits"));
    limits.stop_within = bounds.stop_within.or(limits.stop_within);
    limits.drain_time = bounds.drain_time.unwrap_or(limits.drain_time);
    let metrics = root.section_if_present("metrics").map(read_metrics).unwrap_or_default();
    let decision_log = root.section_if_present("decisions").map(read_decisions);
    let logging = root.section_if_present("logging").map(read_logging);
    let seed = root.optional("seed", values::seed);
    root.finish();
    let instance = instance?;
    let daemon = Settings {
        instance: instance.name,
        domain: instance.domain,
        region: instance.region,
        labels: instance.labels,
        listen: listen?,
        peers,
        log_service: log_service?,
        platform: platform.flatten(),
        mesh_key: mesh_key?,
        tokens,
        limits,
        statsd: metrics.statsd,
        metrics_listen: metrics.text,
        decision_log,
        seed,
    };
    Some(ProcessSettings { daemon, logging: logging.unwrap_or_default() })
}

/// The `instance` section: identity and labels of the instance.
struct InstanceSection {
    name: InstanceName,
    domain: FailureDomain,
    region: RegionName,
    labels: Labels,
}

fn read_instance(mut section: Section<'_>) -> Option<InstanceSection> {
    let name = section.required("name", NAME_REMEDY, values::name);
    let domain = section.required("failure_domain", NAME_REMEDY, values::name);
    let region = section.required("region", NAME_REMEDY, values::name);
    let labels = section.optional("labels", values::labels).unwrap_or_default();
    section.finish();
    Some(InstanceSection { name: name?, domain: domain?, region: region?, labels })
}

fn read_peers(items: Vec<(String, &Value)>, faults: &FaultList) -> Vec<SocketAddr> {
    let mut peers = Vec::new();
    for (place, item) in items {
        match values::destination(item) {
            Ok(address) => peers.push(address),
            Err(invalid) => faults.push(&place, invalid),
        }
    }
    peers
}

fn read_tokens(items: Vec<(String, &Value)>, faults: &FaultList) -> Vec<OperatorToken> {
    let mut tokens = Vec::new();
    for (place, item) in items {
        tokens.extend(read_token(Section::new(place, Some(item), faults), &tokens));
    }
    tokens
}

fn read_listen(mut section: Section<'_>) -> Option<Addresses> {
    let calls = section.required("calls", ADDRESS_REMEDY, values::listen_address);
    let peer = section.required("peer", ADDRESS_REMEDY, values::listen_address);
    let admin = section.required("admin", ADDRESS_REMEDY, values::listen_address);
    section.finish();
    Some(Addresses { calls: calls?, peer: peer?, admin: admin? })
}

/// The `platform` section. The bounds that it names go to `bounds`.
fn read_platform(mut section: Section<'_>, bounds: &mut Bounds) -> Option<PlatformSettings> {
    let store = section.required("store", ADDRESS_REMEDY, values::destination);
    let hops = section.required("hops", ADDRESS_REMEDY, values::listen_address);
    let ready = section.required("ready", ADDRESS_REMEDY, values::listen_address);
    let announcements = section.required("announcements", ADDRESS_REMEDY, values::listen_address);
    let service = section.required("service", NAME_REMEDY, values::name);
    let server = section.optional("server", values::destination);
    *bounds = section.optional("bounds", values::bounds).unwrap_or_default();
    section.finish();
    Some(PlatformSettings {
        store: store?,
        hops: hops?,
        ready: ready?,
        announcements: announcements?,
        service: service?,
        server,
    })
}

fn read_mesh_key(raw: &RawSettings, mut section: Section<'_>) -> Option<MeshKey> {
    let file = section.optional("file", values::path);
    let env = section.optional("env", |value| values::string(value).map(String::from));
    let key = match (file, env) {
        (Some(path), None) => value_or_report(&section, "file", mesh_key_from_file(raw, &path)),
        (None, Some(name)) => value_or_report(&section, "env", mesh_key_from_env(raw, &name)),
        _ => {
            let remedy = "write either `file: PATH` or `env: NAME`";
            section
                .section_fault(InvalidValue::new("expected exactly one source of the key", remedy));
            None
        }
    };
    section.finish();
    key.map(MeshKey)
}

fn mesh_key_from_file(raw: &RawSettings, path: &Path) -> Result<[u8; 32], InvalidValue> {
    let text = (raw.read_file)(path).map_err(|error| {
        let problem = format!("`{}` cannot be read ({error})", path.display());
        InvalidValue::new(problem, "name a file that this process may read")
    })?;
    values::mesh_key(&text)
}

fn mesh_key_from_env(raw: &RawSettings, name: &str) -> Result<[u8; 32], InvalidValue> {
    let text = (raw.read_env)(name).ok_or_else(|| {
        InvalidValue::new(format!("`{name}` is not set"), "set it, or name another variable")
    })?;
    values::mesh_key(&text)
}

/// The value of `result`; an error is reported as a fault of `key`.
fn value_or_report<T>(
    section: &Section<'_>,
    key: &str,
    result: Result<T, InvalidValue>,
) -> Option<T> {
    match result {
        Ok(value) => Some(value),
        Err(invalid) => {
            section.fault(key, invalid);
            None
        }
    }
}

fn read_token(mut section: Section<'_>, known: &[OperatorToken]) -> Option<OperatorToken> {
    let team = section.required("team", NAME_REMEDY, values::name);
    let hash = section.required("hash", "run `cyclamen token`", values::token_hash);
    let token = team.zip(hash).map(|(team, hash)| OperatorToken { team, hash });
    if token.as_ref().is_some_and(|token| known.iter().any(|other| other.hash == token.hash)) {
        section.fault(
            "hash",
            InvalidValue::new("already listed", "create a separate token for each team"),
        );
    }
    section.finish();
    token
}

fn read_limits(mut section: Section<'_>) -> LimitSettings {
    let mut limits = LimitSettings::default();
    section.overwrite("caller_connections", &mut limits.caller_connections, |value| {
        values::integer(value, 1..=100_000)
    });
    section.overwrite("queue", &mut limits.queue, |value| values::integer(value, 0..=10_000));
    section.overwrite("queue_wait", &mut limits.queue_wait, |value| {
        values::duration(value, MILLISECOND..=MINUTE)
    });
    section.overwrite("stop_grace", &mut limits.stop_grace, |value| {
        values::duration(value, Duration::ZERO..=HOUR)
    });
    let within = |value: &_| values::duration(value, SECOND..=HOUR).map(Some);
    section.overwrite("stop_within", &mut limits.stop_within, within);
    let linger = |value: &_| values::duration(value, Duration::ZERO..=MINUTE).map(Some);
    section.overwrite("stop_linger", &mut limits.stop_linger, linger);
    section.overwrite("drain_time", &mut limits.drain_time, |value| {
        values::duration(value, Duration::ZERO..=HOUR)
    });
    section.overwrite("gossip_period", &mut limits.gossip_period, |value| {
        values::duration(value, 50 * MILLISECOND..=MINUTE)
    });
    section.overwrite("gossip_bytes_per_second", &mut limits.gossip_bytes_per_second, |value| {
        values::integer(value, 256..=10_000_000)
    });
    section.overwrite("announcement_lease", &mut limits.announcement_lease, |value| {
        values::duration(value, SECOND..=HOUR)
    });
    section.overwrite("evidence_period", &mut limits.evidence_period, |value| {
        values::duration(value, 50 * MILLISECOND..=MINUTE)
    });
    section.overwrite("adaptive_slots", &mut limits.adaptive_slots, values::boolean);
    section.overwrite("cold_overshoot", &mut limits.cold_overshoot, values::rate);
    let retries = &mut limits.retries;
    section.overwrite("saved_retries", &mut retries.budget_capacity, |value| {
        values::integer(value, 0..=10_000).map(f64::from)
    });
    section.overwrite("retries_per_second", &mut retries.refill_per_second, values::rate);
    section.overwrite("mesh_saved_retries", &mut retries.mesh_reserve, values::rate);
    section.overwrite("unsent_attempts", &mut retries.extra_unsent_attempts, |value| {
        values::integer(value, 0..=100)
    });
    section.finish();
    limits
}

/// The `metrics` section: the statsd receiver, and the address at which metrics are served as text.
#[derive(Default)]
struct MetricsAddresses {
    statsd: Option<SocketAddr>,
    text: Option<SocketAddr>,
}

fn read_metrics(mut section: Section<'_>) -> MetricsAddresses {
    let statsd = section.optional("statsd", values::destination);
    let text = section.optional("text", values::listen_address);
    if !section.has("statsd") && !section.has("text") {
        let remedy = "write `statsd: IP:PORT`, `text: IP:PORT`, or both";
        section.section_fault(InvalidValue::new(
            "neither a statsd receiver nor an address to serve metrics at",
            remedy,
        ));
    }
    section.finish();
    MetricsAddresses { statsd, text }
}

fn read_decisions(mut section: Section<'_>) -> DecisionLogSettings {
    let mut settings = DecisionLogSettings::default();
    section.overwrite("sample_one_in", &mut settings.sample_one_in, |value| {
        values::integer(value, 0..=1_000_000)
    });
    section.overwrite("lines_per_second", &mut settings.lines_per_second, |value| {
        values::integer(value, 1..=100_000)
    });
    section.finish();
    settings
}

fn read_logging(mut section: Section<'_>) -> LoggingSettings {
    let file = section.optional("file", parse_log4rs_file);
    let inline = section.optional("log4rs", parse_log4rs_tree);
    let logging = match (file, inline) {
        (Some(_), Some(_)) => {
            let remedy = "write either `file: PATH` or `log4rs: ...`";
            section.section_fault(InvalidValue::new("two sources of the configuration", remedy));
            LoggingSettings::Stderr
        }
        (Some(path), None) => LoggingSettings::File(path),
        (None, Some(inline)) => LoggingSettings::Inline(inline),
        (None, None) => LoggingSettings::Stderr,
    };
    section.finish();
    logging
}

fn parse_log4rs_file(value: &Value) -> Result<PathBuf, InvalidValue> {
    let path = values::path(value)?;
    let invalid =
        |problem| InvalidValue::new(problem, "name a file with a valid log4rs configuration");
    logging::validate_file(&path).map_err(invalid)?;
    Ok(path)
}

fn parse_log4rs_tree(value: &Value) -> Result<Value, InvalidValue> {
    let invalid = |problem| InvalidValue::new(problem, "write a valid log4rs configuration");
    logging::validate(value).map_err(invalid)?;
    Ok(value.clone())
}
