//! Headers that are passed on, and those that end here.

use std::time::Duration;

use cyclamen_port::CallHeaders;
use cyclamen_types::ServiceName;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue,
    PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::request::Parts;

/// All headers with this prefix are the daemons' own.
const OWN_PREFIX: &str = "x-cyclamen-";

/// Headers of one connection, beside those that `connection` names.
const CONNECTION_HEADERS: [HeaderName; 10] = [
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

/// Removes what belongs to one connection or to the daemons.
pub(super) fn strip(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    let own: Vec<HeaderName> =
        headers.keys().filter(|name| name.as_str().starts_with(OWN_PREFIX)).cloned().collect();
    for name in own {
        headers.remove(name);
    }
}

/// Removes from a call what is written anew for the next connection.
pub(super) fn strip_call(headers: &mut HeaderMap) {
    strip(headers);
    headers.remove(CONTENT_LENGTH);
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let mut names = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let Ok(value) = value.to_str() else {
            continue;
        };
        for token in value.split(',') {
            let Ok(name) = HeaderName::try_from(token.trim()) else {
                continue;
            };
            if name != HOST && name != CONTENT_LENGTH {
                names.push(name);
            }
        }
    }
    names
}

/// The time that the caller still waits, where it says so.
pub(super) fn deadline(names: &CallHeaders, headers: &HeaderMap) -> Option<Duration> {
    let millis = headers.get(&names.deadline)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// The service beside whose server a call began, as the daemon there said.
pub(super) fn origin(names: &CallHeaders, headers: &HeaderMap) -> Option<ServiceName> {
    let value = headers.get(names.caller_service.as_ref()?)?.to_str().ok()?;
    ServiceName::try_from(value).ok()
}

/// Tells the next hop how long the caller still waits.
pub(super) fn set_deadline(names: &CallHeaders, headers: &mut HeaderMap, left: Duration) {
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(names.deadline.clone(), HeaderValue::from(millis));
}

/// Sets a header that the daemons answer for, or removes what was sent under its name.
pub(super) fn set_own(headers: &mut HeaderMap, name: Option<&HeaderName>, value: Option<&str>) {
    let Some(name) = name else {
        return;
    };
    headers.remove(name);
    let value = value.and_then(|value| HeaderValue::from_str(value).ok());
    if let Some(value) = value {
        headers.insert(name.clone(), value);
    }
}

/// The host that a call asks for, in lower case and without port.
pub(super) fn host(parts: &Parts) -> String {
    let header = parts.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = parts.uri.host().or(header).unwrap_or_default();
    let without_port = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    without_port.to_ascii_lowercase()
}
