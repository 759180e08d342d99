//! The answers that a daemon gives by itself.

use std::time::Duration;

use bytes::Bytes;
use cyclamen_port::CallHeaders;
use cyclamen_routing::{Refusal, RefusalKind};
use derive_more::Display;
use http::header::{CONTENT_TYPE, HeaderName, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use crate::calls::body::AnswerBody;

/// Tells a caller whether a call without a backend server's answer was run.
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-cyclamen-outcome");

/// The call was not run.
const NOT_RUN: &str = "not-run";

/// The call may have run.
const UNKNOWN: &str = "unknown";

/// What is wrong with a call that no route is looked up for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Rejection {
    /// Its head is ambiguous.
    #[display("the head of the call is ambiguous: send one host and one way to tell its length")]
    Ambiguous,
    /// Its method asks for a tunnel.
    #[display("tunnels are not served: send the call itself")]
    Tunnel,
    /// Its body is larger than the policy allows.
    #[display("the body is larger than the policy of the service allows: send a smaller one")]
    TooLarge,
    /// Its body grew larger than the policy allows while it was passed on.
    #[display("the body grew larger than the policy of the service allows: look up what was run")]
    GrewTooLarge,
    /// Its body did not arrive.
    #[display("the body of the call did not arrive in time: send it again")]
    BodyLate,
    /// All connections are taken.
    #[display("all connections of this daemon are taken: come back later")]
    Flood,
}

/// The body of an answer that a daemon gives by itself.
#[derive(Serialize)]
struct Told<'a> {
    kind: &'a str,
    outcome: &'a str,
    reason: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// The answer to a refused call.
pub(super) fn refused(names: &CallHeaders, refusal: &Refusal) -> Response<AnswerBody> {
    let status = match refusal.kind {
        RefusalKind::NoRoute => StatusCode::NOT_FOUND,
        RefusalKind::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        RefusalKind::Unavailable | RefusalKind::Overloaded | RefusalKind::Expired => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    };
    let outcome = match refusal.kind {
        RefusalKind::OutcomeUnknown => UNKNOWN,
        _ => NOT_RUN,
    };
    let told = Told {
        kind: &refusal.kind.to_string(),
        outcome,
        reason: &refusal.reason,
        retry_after_ms: refusal.retry_after.map(millis),
    };
    write(status, &told, names.fractional_retry_after)
}

/// The answer to a call that is wrong in itself; it was not run.
pub(super) fn rejected(rejection: Rejection) -> Response<AnswerBody> {
    let status = match rejection {
        Rejection::Ambiguous => StatusCode::BAD_REQUEST,
        Rejection::Tunnel => StatusCode::NOT_IMPLEMENTED,
        Rejection::TooLarge | Rejection::GrewTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Rejection::BodyLate => StatusCode::REQUEST_TIMEOUT,
        Rejection::Flood => StatusCode::SERVICE_UNAVAILABLE,
    };
    let retry = matches!(rejection, Rejection::Flood).then_some(1_000);
    let outcome = match rejection {
        Rejection::GrewTooLarge => UNKNOWN,
        _ => NOT_RUN,
    };
    let reason = rejection.to_string();
    let told = Told { kind: "rejected", outcome, reason: &reason, retry_after_ms: retry };
    write(status, &told, false)
}

fn write(status: StatusCode, told: &Told<'_>, fractions: bool) -> Response<AnswerBody> {
    let body = serde_json::to_vec(told).unwrap_or_default();
    let mut response = Response::new(AnswerBody::whole(Bytes::from(body)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(outcome) = HeaderValue::from_str(told.outcome) {
        headers.insert(OUTCOME_HEADER, outcome);
    }
    if let Some(millis) = told.retry_after_ms {
        headers.insert(RETRY_AFTER, retry_after(millis, fractions));
    }
    response
}

/// The time to come back in seconds, whole ones where callers read no fractions.
fn retry_after(millis: u64, fractions: bool) -> HeaderValue {
    let whole = HeaderValue::from(millis.div_ceil(1_000).max(1));
    if !fractions {
        return whole;
    }
    let text = format!("{}.{:03}", millis / 1_000, millis % 1_000);
    HeaderValue::from_str(&text).unwrap_or(whole)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
