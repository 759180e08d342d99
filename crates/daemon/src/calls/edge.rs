//! Calls at the daemon that a caller reached: attempts until an answer or a refusal.

use std::time::Duration;

use cyclamen_decisions::CallEnd;
use cyclamen_routing::{Attempt, CallHead, Next, Refusal, RefusalKind};
use cyclamen_types::{Mono, ServiceName};
use http::header::{CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING};
use http::request::Parts;
use http::{Method, Request, Response};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::calls::answer::{self, Rejection};
use crate::calls::attempt::Try;
use crate::calls::body::{AnswerBody, CallBody};
use crate::calls::headers;
use crate::calls::plane::Plane;
use crate::calls::trail::{Trail, attempt_end, call_end};

/// Longest time for a small body of a call to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves one call of a caller.
pub(super) async fn serve(plane: Plane, req: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = plane.mono();
    let (parts, incoming) = req.into_parts();
    let until = Instant::now() + BODY_TIMEOUT;
    match CallBody::take(incoming, &plane.held_bytes, until).await {
        Ok(body) => serve_from(plane, arrived, parts, body).await,
        Err(rejection) => answer::rejected(rejection),
    }
}

/// Serves one call of a caller whose body is at hand.
pub(super) async fn serve_parts(
    plane: Plane,
    parts: Parts,
    body: CallBody,
) -> Response<AnswerBody> {
    let arrived = plane.mono();
    serve_from(plane, arrived, parts, body).await
}

async fn serve_from(
    plane: Plane,
    arrived: Mono,
    mut parts: Parts,
    body: CallBody,
) -> Response<AnswerBody> {
    if let Some(rejection) = wrong(&parts) {
        return answer::rejected(rejection);
    }
    headers::strip_call(&mut parts.headers);
    add_request_id(&plane, &mut parts);
    let trail = Trail::of(&plane, &parts.headers);
    let attempt = match begin(&plane, &parts, arrived) {
        Ok(attempt) => attempt,
        Err(refusal) => return refuse(&plane, arrived, trail, &refusal),
    };
    let caller = plane.caller_service.as_ref().map(ServiceName::as_str);
    headers::set_own(&mut parts.headers, plane.headers.caller_service.as_ref(), caller);
    let limit = plane.shared.read(|instance| instance.table().limits(&attempt.service).body_bytes);
    let around = plane.around(&parts.headers);
    let first = Try::start(&plane, attempt, around);
    if limit.is_some_and(|bytes| !body.limit(bytes)) {
        return answer::rejected(Rejection::TooLarge);
    }
    try_until_done(&plane, arrived, &parts, &body, first, trail).await
}

fn answered(
    plane: &Plane,
    began: Mono,
    trail: Option<Trail>,
    response: Response<AnswerBody>,
) -> Response<AnswerBody> {
    let took = plane.mono().since(began);
    plane.metrics.call(CallEnd::Answered, response.status().as_u16(), took);
    if let Some(trail) = trail {
        trail.answered(response.status());
    }
    response
}

fn refuse(
    plane: &Plane,
    began: Mono,
    trail: Option<Trail>,
    refusal: &Refusal,
) -> Response<AnswerBody> {
    let response = answer::refused(&plane.headers, refusal);
    let took = plane.mono().since(began);
    plane.metrics.call(call_end(refusal.kind), response.status().as_u16(), took);
    if let Some(trail) = trail {
        trail.refused(refusal, response.status());
    }
    response
}

/// What is wrong with a call that no route is looked up for.
fn wrong(parts: &Parts) -> Option<Rejection> {
    if parts.method == Method::CONNECT {
        return Some(Rejection::Tunnel);
    }
    let headers = &parts.headers;
    let two_hosts = headers.get_all(HOST).iter().count() > 1;
    let two_lengths = headers.contains_key(CONTENT_LENGTH)
        && (headers.contains_key(TRANSFER_ENCODING)
            || headers.get_all(CONTENT_LENGTH).iter().count() > 1);
    (two_hosts || two_lengths).then_some(Rejection::Ambiguous)
}

fn begin(plane: &Plane, parts: &Parts, arrived: Mono) -> Result<Attempt, Refusal> {
    let host = headers::host(parts);
    let deadline = headers::deadline(&plane.headers, &parts.headers)
        .map_or(Mono::NEVER, |left| arrived + left);
    let header = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok());
    let head = CallHead {
        method: parts.method.as_str(),
        host: &host,
        path: parts.uri.path(),
        header: &header,
        deadline,
    };
    plane.shared.with(|instance, now, _| instance.begin(now, &head))
}

fn add_request_id(plane: &Plane, parts: &mut Parts) {
    if parts.headers.contains_key(&plane.headers.request_id) {
        return;
    }
    if let Ok(id) = HeaderValue::from_str(&plane.seal.number().to_string()) {
        parts.headers.insert(plane.headers.request_id.clone(), id);
    }
}

async fn try_until_done(
    plane: &Plane,
    arrived: Mono,
    parts: &Parts,
    body: &CallBody,
    first: Try,
    mut trail: Option<Trail>,
) -> Response<AnswerBody> {
    let mut current = first;
    let mut may_have_run = false;
    let mut kept = None;
    loop {
        let Some(out) = body.for_attempt() else {
            return answer::rejected(Rejection::BodyLate);
        };
        let (number, server) = (current.number(), current.server().clone());
        let began = plane.mono();
        if let Some(trail) = &mut trail {
            trail.placed(current.attempt());
        }
        let ended = current.make(parts, out).await;
        plane.metrics.attempt(attempt_end(ended.outcome));
        if let Some(trail) = &mut trail {
            trail.attempted(number, &server, ended.outcome, began);
        }
        may_have_run |= !ended.outcome.not_run();
        let current_around = current.around().clone();
        let (next, end) = current.finish(&ended);
        if body.too_large() && next != Next::Deliver {
            return answer::rejected(Rejection::GrewTooLarge);
        }
        match next {
            Next::Deliver => {
                return answered(plane, arrived, trail, ended.deliver(end));
            }
            Next::Refuse(refusal) => {
                return match kept {
                    Some(response) => answered(plane, arrived, trail, response),
                    None => refuse(plane, arrived, trail, &refusal),
                };
            }
            Next::Retry(attempt, pause) => {
                let around = current_around;
                current = Try::start(plane, attempt, around);
                kept = ended.keep().await.or(kept);
                if !body.repeatable() {
                    return match kept {
                        Some(response) => answered(plane, arrived, trail, response),
                        None => refuse(plane, arrived, trail, &unrepeatable(may_have_run)),
                    };
                }
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// What a caller is told whose call could be sent again, if its body were still there.
fn unrepeatable(may_have_run: bool) -> Refusal {
    let (kind, reason) = match may_have_run {
        false => (
            RefusalKind::Unavailable,
            "the call was not run and its body is too large to be held: send it again",
        ),
        true => (
            RefusalKind::OutcomeUnknown,
            "the connection broke before the answer; the call may have run: look up whether it did",
        ),
    };
    Refusal { kind, reason: reason.into(), retry_after: None }
}
