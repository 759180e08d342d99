//! Headers of forwarded requests and responses: removes those that must not be forwarded, and reads
//! and writes those that the daemons define.

use std::time::Duration;

use cyclamen_port::CallHeaders;
use cyclamen_types::ServiceName;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue,
    PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::request::Parts;

/// Value of the header by which a backend server says that it leaves.
const LEAVING: &str = "1";

/// Paces that a machine may have, in percent. A figure beyond them is a fault of its sender.
const PLAUSIBLE_PACE: std::ops::RangeInclusive<u16> = 1..=10_000;

/// Prefix of the headers reserved for daemons, which are never forwarded.
const DAEMON_HEADER_PREFIX: &str = "x-cyclamen-";

/// Hop-by-hop headers, besides those that `connection` lists.
const HOP_BY_HOP_HEADERS: [HeaderName; 10] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
];

/// Removes hop-by-hop headers and the headers reserved for daemons.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in listed_in_connection(headers) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    let reserved: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(DAEMON_HEADER_PREFIX))
        .cloned()
        .collect();
    for name in reserved {
        headers.remove(name);
    }
}

/// Like [`strip_hop_by_hop`], for a request: removes `content-length` too, which is written anew
/// for the next connection.
pub(super) fn strip_request(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    headers.remove(CONTENT_LENGTH);
}

fn listed_in_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let mut names = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let Ok(value) = value.to_str() else {
            continue;
        };
        for token in value.split(',') {
            let Ok(name) = HeaderName::try_from(token.trim()) else {
                continue;
            };
            // Removing these would change where the message goes or how its body is framed.
            if name != HOST && name != CONTENT_LENGTH {
                names.push(name);
            }
        }
    }
    names
}

/// How much longer the caller waits, if its request says so.
pub(super) fn time_left(names: &CallHeaders, headers: &HeaderMap) -> Option<Duration> {
    let millis = headers.get(&names.deadline)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// Whether a backend server says in its response that it leaves.
pub(super) fn says_leaving(names: &CallHeaders, headers: &HeaderMap) -> bool {
    let value = names.leaving.as_ref().and_then(|name| headers.get(name));
    value.is_some_and(|value| value == LEAVING)
}

/// How many calls per second a backend server takes, if its response says so; `None` too for a value
/// that is not a number of at least 0.
pub(super) fn calls_per_second(names: &CallHeaders, headers: &HeaderMap) -> Option<f64> {
    let value: f64 = headers.get(names.calls_per_second.as_ref()?)?.to_str().ok()?.parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}

/// How long work takes at a backend server at present, in percent of the usual, if its response says
/// so: the last of four whole numbers. `None` too for a value that is not of this form, or a pace that
/// is 0 or no machine's.
pub(super) fn pace_percent(names: &CallHeaders, headers: &HeaderMap) -> Option<u16> {
    let value = headers.get(names.load.as_ref()?)?.to_str().ok()?;
    let figures: Option<Vec<u32>> =
        value.split(',').map(|figure| figure.trim().parse().ok()).collect();
    match figures?[..] {
        [_, _, _, pace] => u16::try_from(pace).ok().filter(|pace| PLAUSIBLE_PACE.contains(pace)),
        _ => None,
    }
}

/// The calling service, as set in the request by the daemon of that service.
pub(super) fn caller_service(names: &CallHeaders, headers: &HeaderMap) -> Option<ServiceName> {
    let value = headers.get(names.caller_service.as_ref()?)?.to_str().ok()?;
    ServiceName::try_from(value).ok()
}

/// Sets how much longer the caller waits, for the next hop.
pub(super) fn set_time_left(names: &CallHeaders, headers: &mut HeaderMap, time_left: Duration) {
    let millis = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(names.deadline.clone(), HeaderValue::from(millis));
}

/// Replaces whatever was sent under `name` by `value`, or removes it if there is none. For headers
/// that only daemons may set.
pub(super) fn replace(headers: &mut HeaderMap, name: Option<&HeaderName>, value: Option<&str>) {
    let Some(name) = name else {
        return;
    };
    headers.remove(name);
    let value = value.and_then(|value| HeaderValue::from_str(value).ok());
    if let Some(value) = value {
        headers.insert(name.clone(), value);
    }
}

/// The requested host, in lower case and without port; empty if there is none.
pub(super) fn host(parts: &Parts) -> String {
    let header = parts.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = parts.uri.host().or(header).unwrap_or_default();
    let without_port = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    without_port.to_ascii_lowercase()
}

#[cfg(test)]
mod tests;
