//! Local replies: responses that a daemon generates itself when it has none of a backend server to
//! pass on. The body is JSON; a header says whether the call may have run.

use std::time::Duration;

use bytes::Bytes;
use cyclamen_port::CallHeaders;
use cyclamen_routing::{Refusal, RefusalKind};
use derive_more::Display;
use http::header::{CONTENT_TYPE, HeaderName, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use crate::calls::body::ResponseBody;

/// Tells a caller whether a call that ended without a backend server's response may have run.
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-cyclamen-outcome");

/// Outcome of a call that certainly was not run.
const NOT_RUN: &str = "not-run";

/// Outcome of a call that may have run.
const UNKNOWN: &str = "unknown";

/// How keys of client accounts are sent.
const KEY_SCHEME: HeaderValue = HeaderValue::from_static("Bearer");

/// Why a call is rejected for its own form or because of connection limits, rather than by routing.
/// The displayed text is the reason in the response.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Rejection {
    /// The head has several hosts or several body lengths, as in request smuggling.
    #[display("the head of the call is ambiguous: send one host and one way to tell its length")]
    Ambiguous,
    /// The method is CONNECT.
    #[display("tunnels are not served: send the call itself")]
    Tunnel,
    /// The body is known to be larger than the policy of the service allows; not run.
    #[display("the body is larger than the policy of the service allows: send a smaller one")]
    TooLarge,
    /// The body exceeded the size that the policy of the service allows while it was streamed to a
    /// backend server; may have run.
    #[display("the body grew larger than the policy of the service allows: look up what was run")]
    GrewTooLarge,
    /// The body did not arrive whole in time, or its connection failed.
    #[display("the body of the call did not arrive in time: send it again")]
    BodyTimeout,
    /// The connection limit for callers is reached, or a call without a valid hop header came in
    /// over a listener for daemons.
    #[display("all connections of this daemon are taken: come back later")]
    TooManyConnections,
}

/// The JSON body of a local reply.
#[derive(Serialize)]
struct ReplyBody<'a> {
    kind: &'a str,
    outcome: &'a str,
    reason: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// The response to a call that the router refused. `headers.fractional_retry_after` decides the
/// format of `retry-after`.
pub(super) fn refused(names: &CallHeaders, refusal: &Refusal) -> Response<ResponseBody> {
    let status = match refusal.kind {
        RefusalKind::NoRoute => StatusCode::NOT_FOUND,
        RefusalKind::NoAccount => StatusCode::UNAUTHORIZED,
        RefusalKind::OverAllowance => StatusCode::TOO_MANY_REQUESTS,
        RefusalKind::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        RefusalKind::Unavailable
        | RefusalKind::Overloaded
        | RefusalKind::Expired
        | RefusalKind::Blocked => StatusCode::SERVICE_UNAVAILABLE,
    };
    let outcome = match refusal.kind {
        RefusalKind::OutcomeUnknown => UNKNOWN,
        _ => NOT_RUN,
    };
    let body = ReplyBody {
        kind: &refusal.kind.to_string(),
        outcome,
        reason: &refusal.reason,
        retry_after_ms: refusal.retry_after.map(whole_millis),
    };
    let mut response = json_response(status, &body, names.fractional_retry_after);
    if status == StatusCode::UNAUTHORIZED {
        response.headers_mut().insert(WWW_AUTHENTICATE, KEY_SCHEME);
    }
    response
}

/// The response to a rejected call. It was not run, except after [`Rejection::GrewTooLarge`], where
/// that is unknown.
pub(super) fn rejected(rejection: Rejection) -> Response<ResponseBody> {
    let status = match rejection {
        Rejection::Ambiguous => StatusCode::BAD_REQUEST,
        Rejection::Tunnel => StatusCode::NOT_IMPLEMENTED,
        Rejection::TooLarge | Rejection::GrewTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Rejection::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
        Rejection::TooManyConnections => StatusCode::SERVICE_UNAVAILABLE,
    };
    let retry = matches!(rejection, Rejection::TooManyConnections).then_some(1_000);
    let outcome = match rejection {
        Rejection::GrewTooLarge => UNKNOWN,
        _ => NOT_RUN,
    };
    let reason = rejection.to_string();
    let body = ReplyBody { kind: "rejected", outcome, reason: &reason, retry_after_ms: retry };
    json_response(status, &body, false)
}

/// The response to a call whose answer broke off before any of it was passed on; it has run.
pub(super) fn broken_off() -> Response<ResponseBody> {
    let body = ReplyBody {
        kind: &RefusalKind::OutcomeUnknown.to_string(),
        outcome: UNKNOWN,
        reason: "the answer of the backend server broke off: look up what was run",
        retry_after_ms: None,
    };
    json_response(StatusCode::BAD_GATEWAY, &body, false)
}

fn json_response(
    status: StatusCode,
    body: &ReplyBody<'_>,
    fractional: bool,
) -> Response<ResponseBody> {
    let json = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(ResponseBody::buffered(Bytes::from(json)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(outcome) = HeaderValue::from_str(body.outcome) {
        headers.insert(OUTCOME_HEADER, outcome);
    }
    if let Some(millis) = body.retry_after_ms {
        headers.insert(RETRY_AFTER, retry_after(millis, fractional));
    }
    response
}

/// The value of `retry-after`: seconds with milliseconds if `fractional`, otherwise whole seconds,
/// rounded up and at least 1.
fn retry_after(millis: u64, fractional: bool) -> HeaderValue {
    let whole = HeaderValue::from(millis.div_ceil(1_000).max(1));
    if !fractional {
        return whole;
    }
    let text = format!("{}.{:03}", millis / 1_000, millis % 1_000);
    HeaderValue::from_str(&text).unwrap_or(whole)
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
