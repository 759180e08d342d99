//! Bodies of routes into checked types.

use std::sync::Arc;
use std::time::Duration;

use crate::bodies::{MAX_ATTEMPTS, Named, selector, span};
use crate::checked::{
    HeaderMatch, HostPattern, Route, RouteMatch, StickyKey, WeightedService, WeightedVersion,
};
use crate::fault::{Faults, Problem};
use crate::generated::{HeaderBody, MatchBody, RouteBody, ServiceWeightBody, WeightBody};
use crate::text;

/// Longest time for a call where its route does not say.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// Greatest weight of a version or a service in a split.
const MAX_WEIGHT: u64 = 1_000_000;

impl TryFrom<Named<RouteBody>> for Route {
    type Error = Faults;

    fn try_from(raw: Named<RouteBody>) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        let body = raw.body;
        let name = faults.name("name", raw.name);
        let proxies = selector(&mut faults, "route.proxies", body.proxies);
        let matches = route_match(&mut faults, body.match_.unwrap_or_default());
        let service = faults.name("route.service", body.service);
        let services = services(&mut faults, body.services);
        let split = split(&mut faults, body.split);
        if let Some(attempts) = body.attempts {
            faults.range("route.attempts", attempts.into(), 1, MAX_ATTEMPTS);
        }
        let timeout = span(&mut faults, "route.timeout", body.timeout.as_ref(), DEFAULT_TIMEOUT);
        let target = body.target.as_ref();
        let target = target.and_then(|text| faults.take("route.target", text::parse_span(text)));
        let sticky = body.sticky.as_ref();
        let sticky =
            sticky.and_then(|text| faults.take("route.sticky", StickyKey::try_from(text.as_str())));
        let (Some(name), Some(proxies), Some(service)) = (name, proxies, service) else {
            return Err(faults);
        };
        faults.or(Self {
            name,
            proxies,
            matches,
            priority: body.priority.unwrap_or_default(),
            service,
            services,
            split,
            timeout,
            target,
            attempts: body.attempts,
            idempotence: body.idempotence.unwrap_or_default(),
            criticality: body.criticality.unwrap_or_default(),
            sticky,
            open: false,
        })
    }
}

fn route_match(faults: &mut Faults, body: MatchBody) -> RouteMatch {
    let mut hosts = Vec::new();
    for (i, host) in body.hosts.iter().enumerate() {
        let place = format!("route.match.hosts[{i}]");
        hosts.extend(faults.take(&place, HostPattern::try_from(host.as_str())));
    }
    let mut headers = Vec::new();
    for (i, header) in body.headers.into_iter().enumerate() {
        match HeaderMatch::try_from(header) {
            Ok(header) => headers.push(header),
            Err(inner) => faults.push_within(&format!("route.match.headers[{i}]"), inner),
        }
    }
    let prefix = body.path_prefix.unwrap_or_default();
    let path_prefix = faults.take("route.match.path_prefix", path_prefix(&prefix));
    RouteMatch { hosts, path_prefix: path_prefix.unwrap_or_default(), headers }
}

/// Checks a prefix. A `/` at its end is kept, since it decides which paths the prefix matches; `/`
/// alone matches all of them, like none.
fn path_prefix(text: &str) -> Result<Arc<str>, Problem> {
    let odd = |c: char| !c.is_ascii_graphic() || c == '?' || c == '#';
    if !text.is_empty() && !text.starts_with('/') || text.chars().any(odd) {
        return Err(Problem::Path(text.into()));
    }
    Ok(if text == "/" { "".into() } else { text.into() })
}

impl TryFrom<&str> for HostPattern {
    type Error = Problem;

    fn try_from(text: &str) -> Result<Self, Problem> {
        let suffix = text.strip_prefix('*');
        let plain = suffix.map_or(text, |rest| rest.strip_prefix('.').unwrap_or_default());
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-.".contains(c);
        let whole = !plain.is_empty() && !plain.starts_with('.') && !plain.ends_with('.');
        if !whole || !plain.chars().all(allowed) {
            return Err(Problem::Host(text.into()));
        }
        Ok(match suffix {
            Some(suffix) => Self::Suffix(suffix.into()),
            None => Self::Exact(text.into()),
        })
    }
}

fn header_name(text: &str) -> Result<Arc<str>, Problem> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
    if text.is_empty() || !text.chars().all(allowed) {
        return Err(Problem::Header(text.into()));
    }
    Ok(text.to_ascii_lowercase().into())
}

impl TryFrom<&str> for StickyKey {
    type Error = Problem;

    fn try_from(text: &str) -> Result<Self, Problem> {
        Ok(Self { header: header_name(text)? })
    }
}

impl TryFrom<HeaderBody> for HeaderMatch {
    type Error = Faults;

    fn try_from(body: HeaderBody) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        let name = faults.required("name", body.name);
        let name = name.and_then(|text| faults.take("name", header_name(&text)));
        if let Some(value) = &body.value
            && !value.chars().all(|c| c.is_ascii_graphic() || c == ' ')
        {
            faults.push("value", Problem::HeaderValue(value.clone()));
        }
        let Some(name) = name else {
            return Err(faults);
        };
        faults.or(Self { name, value: body.value.map(Into::into) })
    }
}

fn split(faults: &mut Faults, bodies: Vec<WeightBody>) -> Vec<WeightedVersion> {
    weighted(faults, "route.split", bodies, |w: &WeightedVersion| (w.version.as_str(), w.weight))
}

fn services(faults: &mut Faults, bodies: Vec<ServiceWeightBody>) -> Vec<WeightedService> {
    weighted(faults, "route.services", bodies, |w: &WeightedService| (w.service.as_str(), w.weight))
}

/// Checks a list of names with weights: each name once, and one of them with a weight.
fn weighted<B, W>(
    faults: &mut Faults,
    place: &str,
    bodies: Vec<B>,
    parts: impl Fn(&W) -> (&str, u32),
) -> Vec<W>
where
    W: TryFrom<B, Error = Faults>,
{
    let mut list: Vec<W> = Vec::new();
    let given = bodies.len();
    for (i, body) in bodies.into_iter().enumerate() {
        let place = format!("{place}[{i}]");
        match W::try_from(body) {
            Ok(new) if list.iter().any(|known| parts(known).0 == parts(&new).0) => {
                faults.push(&place, Problem::Twice(parts(&new).0.into()));
            }
            Ok(new) => list.push(new),
            Err(inner) => faults.push_within(&place, inner),
        }
    }
    let whole = given > 0 && list.len() == given;
    if whole && list.iter().all(|known| parts(known).1 == 0) {
        faults.push(place, Problem::NoWeight);
    }
    list
}

impl TryFrom<ServiceWeightBody> for WeightedService {
    type Error = Faults;

    fn try_from(body: ServiceWeightBody) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        let service = faults.name("service", body.service);
        let weight = faults.required("weight", body.weight).unwrap_or_default();
        faults.range("weight", weight.into(), 0, MAX_WEIGHT);
        let Some(service) = service else {
            return Err(faults);
        };
        faults.or(Self { service, weight })
    }
}

impl TryFrom<WeightBody> for WeightedVersion {
    type Error = Faults;

    fn try_from(body: WeightBody) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        let version = faults.name("version", body.version);
        let weight = faults.required("weight", body.weight).unwrap_or_default();
        faults.range("weight", weight.into(), 0, MAX_WEIGHT);
        let Some(version) = version else {
            return Err(faults);
        };
        faults.or(Self { version, weight })
    }
}
