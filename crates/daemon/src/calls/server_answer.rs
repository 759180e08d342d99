//! What the head of a backend server's answer says of the call: whether it is the answer to this call,
//! and whether the call was run.

use cyclamen_port::CallHeaders;
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::calls::pool::{Exchange, SendFailure};

/// Statuses by which a server may say that it did not run a call.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Whether a server that answers with this status says that it has run the call.
pub(super) fn says_run(status: StatusCode) -> bool {
    !NOT_RUN_STATUSES.contains(&status)
}

/// Whether a response belongs to this call. A response without the id of the call is assumed to,
/// unless it says that the call was not run where servers name the calls that they did not run.
pub(super) fn belongs_to(
    names: &CallHeaders,
    status: StatusCode,
    headers: &HeaderMap,
    request_id: Option<&HeaderValue>,
) -> bool {
    let says_not_run = reports_not_run(names, headers) || !says_run(status);
    match (headers.get(&names.request_id), request_id) {
        (Some(echo), id) => Some(echo) == id,
        (None, Some(_)) => names.not_run.is_none() || !says_not_run,
        (None, None) => true,
    }
}

/// Whether the backend server may have run the call, by how sending it ended.
pub(super) fn may_have_run(names: &CallHeaders, sent: &Result<Exchange, SendFailure>) -> bool {
    match sent {
        Ok(exchange) => exchange.resent || !reports_not_run(names, exchange.response.headers()),
        Err(SendFailure::Reset | SendFailure::TimedOut) => true,
        Err(SendFailure::NotConnected | SendFailure::Unsent) => false,
    }
}

/// Whether a response carries the header by which a backend server reports that it did not run the
/// call; false if no such header is configured.
pub(super) fn reports_not_run(names: &CallHeaders, headers: &HeaderMap) -> bool {
    names.not_run.as_ref().is_some_and(|name| headers.contains_key(name))
}

/// Whether a response carries the header that proves that a backend server created it; true if no
/// such header is configured.
pub(super) fn has_proof(names: &CallHeaders, headers: &HeaderMap) -> bool {
    names.proof.as_ref().is_none_or(|proof| headers.contains_key(proof))
}
