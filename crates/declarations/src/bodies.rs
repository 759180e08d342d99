//! Bodies of services, versions, policies and moves into checked types.

use std::str::FromStr;
use std::time::Duration;

use cyclamen_types::{VersionName, Wall};

use crate::checked::{Limits, Move, Policy, Retries, Service, Version, VersionId};
use crate::fault::{Faults, Problem};
use crate::generated::{
    LabelMap, LimitsBody, MoveBody, PolicyBody, RetriesBody, ServiceBody, VersionBody,
};
use crate::labels::{Labels, Selector};
use crate::text;

/// How long a move is watched where it does not say.
const DEFAULT_WATCH: Duration = Duration::from_secs(10 * 60);

/// The added failure rate that a move tolerates where it does not say, in parts per million.
const DEFAULT_TOLERANCE_PPM: u32 = 5_000;

/// Most calls that may wait for a slot.
const MAX_QUEUE: u64 = 100_000;

/// Largest body of a call, in bytes.
const MAX_BODY_BYTES: u64 = 1 << 40;

/// Most attempts of one call.
pub(crate) const MAX_ATTEMPTS: u64 = 10;

/// A border type with the name that stands beside it.
#[derive(Clone, Debug)]
pub(crate) struct Named<B> {
    /// The name; `None` when it was left out.
    pub(crate) name: Option<String>,
    /// The body.
    pub(crate) body: B,
}

pub(crate) fn selector(faults: &mut Faults, place: &str, text: Option<String>) -> Option<Selector> {
    faults.take(place, text.unwrap_or_default().parse::<Selector>())
}

pub(crate) fn span(
    faults: &mut Faults,
    place: &str,
    text: Option<&String>,
    default: Duration,
) -> Duration {
    let Some(text) = text else {
        return default;
    };
    faults.take(place, text::parse_span(text)).unwrap_or(default)
}

fn labels(faults: &mut Faults, place: &str, map: Option<LabelMap>) -> Labels {
    let Some(map) = map else {
        return Labels::default();
    };
    faults.take(place, Labels::try_from(map)).unwrap_or_default()
}

impl TryFrom<Named<ServiceBody>> for Service {
    type Error = Faults;

    fn try_from(raw: Named<ServiceBody>) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        let name = faults.name("name", raw.name);
        let labels = labels(&mut faults, "service.labels", raw.body.labels);
        let version = faults.name("service.version", raw.body.version);
        let (Some(name), Some(version)) = (name, version) else {
            return Err(faults);
        };
        faults.or(Self { name, labels, version })
    }
}

impl FromStr for VersionId {
    type Err = Problem;

    fn from_str(text: &str) -> Result<Self, Problem> {
        let Some((service, version)) = text.split_once('/') else {
            return Err(Problem::VersionName(text.into()));
        };
        Ok(Self { service: service.parse()?, version: version.parse()? })
    }
}

impl TryFrom<Named<VersionBody>> for Version {
    type Error = Faults;

    fn try_from(raw: Named<VersionBody>) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        let text = faults.required("name", raw.name);
        let id = text.and_then(|text| faults.take("name", text.parse()));
        let labels = labels(&mut faults, "version.labels", raw.body.labels);
        let Some(id) = id else {
            return Err(faults);
        };
        faults.or(Self { id, labels })
    }
}

impl TryFrom<Named<PolicyBody>> for Policy {
    type Error = Faults;

    fn try_from(raw: Named<PolicyBody>) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        let body = raw.body;
        if body.limits.is_none() && body.retries.is_none() {
            faults.push("policy", Problem::SetsNothing);
        }
        let name = faults.name("name", raw.name);
        let services = selector(&mut faults, "policy.services", body.services);
        let proxies = selector(&mut faults, "policy.proxies", body.proxies);
        let limits = limits(&mut faults, &body.limits.unwrap_or_default());
        let retries = retries(&mut faults, &body.retries.unwrap_or_default());
        let priority = body.priority.unwrap_or_default();
        let (Some(name), Some(services), Some(proxies)) = (name, services, proxies) else {
            return Err(faults);
        };
        faults.or(Self { name, services, proxies, priority, limits, retries })
    }
}

fn limits(faults: &mut Faults, body: &LimitsBody) -> Limits {
    if let Some(queue) = body.queue {
        faults.range("policy.limits.queue", queue.into(), 0, MAX_QUEUE);
    }
    if let Some(bytes) = body.body_bytes {
        faults.range("policy.limits.body_bytes", bytes, 1, MAX_BODY_BYTES);
    }
    let wait = body.queue_wait.as_ref();
    let queue_wait =
        wait.and_then(|text| faults.take("policy.limits.queue_wait", text::parse_span(text)));
    Limits { queue: body.queue, queue_wait, body_bytes: body.body_bytes }
}

fn retries(faults: &mut Faults, body: &RetriesBody) -> Retries {
    if let Some(attempts) = body.attempts {
        faults.range("policy.retries.attempts", attempts.into(), 1, MAX_ATTEMPTS);
    }
    if let Some(percent) = body.budget_percent {
        faults.range("policy.retries.budget_percent", percent.into(), 0, 100);
    }
    Retries { attempts: body.attempts, budget_percent: body.budget_percent }
}

impl TryFrom<Named<MoveBody>> for Move {
    type Error = Faults;

    fn try_from(raw: Named<MoveBody>) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        let body = raw.body;
        let name = faults.name("name", raw.name);
        let service = faults.name("move.service", body.service);
        let versions = move_versions(&mut faults, body.from, body.to);
        let times = move_times(&mut faults, body.start, body.deadline);
        let watch = span(&mut faults, "move.watch", body.watch.as_ref(), DEFAULT_WATCH);
        let tolerance_ppm = body.tolerance_ppm.unwrap_or(DEFAULT_TOLERANCE_PPM);
        faults.range("move.tolerance_ppm", tolerance_ppm.into(), 0, 1_000_000);
        let clash = body.clash.unwrap_or_default();
        let (Some(name), Some(service)) = (name, service) else {
            return Err(faults);
        };
        let (Some((from, to)), Some((start, deadline))) = (versions, times) else {
            return Err(faults);
        };
        faults.or(Self { name, service, from, to, start, deadline, watch, tolerance_ppm, clash })
    }
}

/// The two versions of a move, which differ.
fn move_versions(
    faults: &mut Faults,
    from: Option<String>,
    to: Option<String>,
) -> Option<(VersionName, VersionName)> {
    let from = faults.name::<VersionName>("move.from", from);
    let to = faults.name::<VersionName>("move.to", to);
    let (from, to) = (from?, to?);
    if from == to {
        faults.push("move.to", Problem::SameVersion(to.to_string()));
        return None;
    }
    Some((from, to))
}

/// The start and the deadline of a move, in this order.
fn move_times(
    faults: &mut Faults,
    start: Option<String>,
    deadline: Option<String>,
) -> Option<(Wall, Wall)> {
    let start = time(faults, "move.start", start);
    let deadline = time(faults, "move.deadline", deadline);
    let (start, deadline) = (start?, deadline?);
    if deadline <= start {
        faults.push("move.deadline", Problem::DeadlineFirst);
        return None;
    }
    Some((start, deadline))
}

fn time(faults: &mut Faults, place: &str, text: Option<String>) -> Option<Wall> {
    let text = faults.required(place, text)?;
    faults.take(place, text::parse_time(&text))
}
