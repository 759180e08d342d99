//! The outbound side: calls from callers at the daemon that they connected to. Checks the request,
//! has the instance route it, and makes attempts until there is a response or a refusal.

use std::time::Duration;

use cyclamen_blocklist::CallKey;
use cyclamen_decisions::CallEnd;
use cyclamen_routing::{Attempt, CallHead, Next, Outcome, Refusal, RefusalKind};
use cyclamen_types::{Mono, ServiceName};
use http::header::{AUTHORIZATION, CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING};
use http::request::Parts;
use http::{Method, Request, Response};
use hyper::body::Incoming;
use log::warn;
use tokio::time::Instant;

use crate::calls::attempt::{ActiveAttempt, CallOrigin};
use crate::calls::body::{RequestBody, ResponseBody};
use crate::calls::call_identity;
use crate::calls::context::CallContext;
use crate::calls::credential::credential;
use crate::calls::decision_trace::{DecisionTrace, attempt_end, call_end};
use crate::calls::headers;
use crate::calls::local_reply::{self, Rejection};
use crate::calls::nested_calls::ParentCall;

/// Longest time for a request body that is buffered to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves one call of a caller: receives its body, then routes it and makes the attempts.
pub(super) async fn serve(ctx: CallContext, req: Request<Incoming>) -> Response<ResponseBody> {
    let arrived = ctx.mono_now();
    let (parts, incoming) = req.into_parts();
    let until = Instant::now() + BODY_TIMEOUT;
    let received = tokio::select! {
        biased;
        received = RequestBody::receive(incoming, &ctx.body_budget, until) => received,
        () = ctx.calls_end.reached() => Err(Rejection::BodyTimeout),
    };
    match received {
        Ok(body) => serve_call(ctx, arrived, parts, body).await,
        Err(rejection) => reject(&ctx, rejection),
    }
}

/// Like [`serve`], for a call whose body has been received already.
pub(super) async fn serve_received(
    ctx: CallContext,
    parts: Parts,
    body: RequestBody,
) -> Response<ResponseBody> {
    let arrived = ctx.mono_now();
    serve_call(ctx, arrived, parts, body).await
}

async fn serve_call(
    ctx: CallContext,
    arrived: Mono,
    mut parts: Parts,
    body: RequestBody,
) -> Response<ResponseBody> {
    if let Some(rejection) = check_head(&parts) {
        return reject(&ctx, rejection);
    }
    headers::strip_request(&mut parts.headers);
    add_request_id(&ctx, &mut parts);
    let trace = DecisionTrace::start(&ctx, &parts.headers);
    let parent = ctx.parent_call(&parts.headers);
    let begun = begin_call(&ctx, &parts, arrived, parent.as_ref());
    let attempt = match begun.attempt {
        Ok(attempt) => attempt,
        Err(refusal) => return refuse(&ctx, arrived, trace, &refusal),
    };
    if begun.key_is_withheld {
        parts.headers.remove(AUTHORIZATION);
    }
    let caller = ctx.caller_service.as_ref().map(ServiceName::as_str);
    headers::replace(&mut parts.headers, ctx.headers.caller_service.as_ref(), caller);
    let limit = ctx.shared.read(|instance| instance.table().limits(&attempt.service).body_bytes);
    let ancestors = parent.map(|parent| parent.services).unwrap_or_default();
    // Started before the body is checked, so that the planned attempt is reported on every return.
    let origin = CallOrigin { ancestors, digest: call_identity::digest(&ctx, &parts, &body) };
    let first_attempt = ActiveAttempt::start(&ctx, attempt, origin);
    if limit.is_some_and(|bytes| !body.set_limit(bytes)) {
        return reject(&ctx, Rejection::TooLarge);
    }
    run_attempts(&ctx, arrived, &parts, &body, first_attempt, trace).await
}

fn answered(
    ctx: &CallContext,
    began: Mono,
    trace: Option<DecisionTrace>,
    response: Response<ResponseBody>,
) -> Response<ResponseBody> {
    let took = ctx.mono_now().since(began);
    ctx.metrics.record_call(CallEnd::Answered, response.status().as_u16(), took);
    if let Some(trace) = trace {
        trace.finish_answered(response.status());
    }
    response
}

fn reject(ctx: &CallContext, rejection: Rejection) -> Response<ResponseBody> {
    ctx.metrics.record_rejection();
    local_reply::rejected(rejection)
}

fn refuse(
    ctx: &CallContext,
    began: Mono,
    trace: Option<DecisionTrace>,
    refusal: &Refusal,
) -> Response<ResponseBody> {
    let response = local_reply::refused(&ctx.headers, refusal);
    let took = ctx.mono_now().since(began);
    ctx.metrics.record_call(call_end(refusal.kind), response.status().as_u16(), took);
    if let Some(trace) = trace {
        trace.finish_refused(refusal, response.status());
    }
    response
}

/// Why a call is rejected before it is routed, if it is. Repeated `host` and conflicting lengths
/// are rejected because other parties may read such a request differently (request smuggling).
fn check_head(parts: &Parts) -> Option<Rejection> {
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

/// A call that was routed, or refused.
struct BegunCall {
    attempt: Result<Attempt, Refusal>,
    /// Whether the key of the call is for daemons alone, and not passed on.
    key_is_withheld: bool,
}

fn begin_call(
    ctx: &CallContext,
    parts: &Parts,
    arrived: Mono,
    parent: Option<&ParentCall>,
) -> BegunCall {
    let host = headers::host(parts);
    let deadline =
        headers::time_left(&ctx.headers, &parts.headers).map_or(Mono::NEVER, |left| arrived + left);
    let header = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok());
    ctx.shared.with(|instance, now, _| {
        let head = CallHead {
            method: parts.method.as_str(),
            host: &host,
            path: parts.uri.path(),
            header: &header,
            deadline,
            nesting: ctx.nesting(instance, parent),
            credential: credential(&parts.headers, ctx.may_be_nested(instance, parent)),
        };
        BegunCall {
            attempt: instance.begin_call(now, &head),
            key_is_withheld: instance.table().accounts().are_required(),
        }
    })
}

fn add_request_id(ctx: &CallContext, parts: &mut Parts) {
    if parts.headers.contains_key(&ctx.headers.request_id) {
        return;
    }
    if let Ok(id) = HeaderValue::from_str(&ctx.hop_seal.next_id().to_string()) {
        parts.headers.insert(ctx.headers.request_id.clone(), id);
    }
}

async fn run_attempts(
    ctx: &CallContext,
    arrived: Mono,
    parts: &Parts,
    body: &RequestBody,
    first_attempt: ActiveAttempt,
    mut trace: Option<DecisionTrace>,
) -> Response<ResponseBody> {
    let mut current = first_attempt;
    let mut possible_run = None;
    let mut fallback = None;
    loop {
        let Some(attempt_body) = body.for_attempt() else {
            // An earlier attempt read a part of the body after `is_retryable` was checked.
            return give_up(ctx, arrived, trace, fallback, possible_run);
        };
        if let Some(key) = current.blocked_key() {
            record_blocked_call(ctx, key, parts);
            let refusal = current.refuse_blocked();
            return refuse_or_fall_back(ctx, arrived, trace, fallback, &refusal);
        }
        let (number, server) = (current.number(), current.server().clone());
        let began = ctx.mono_now();
        if let Some(trace) = &mut trace {
            trace.record_placed(current.attempt());
        }
        let result = tokio::select! {
            // An answer that is there goes before the end of the daemon.
            biased;
            result = current.send_request(parts, attempt_body) => result,
            () = ctx.calls_end.reached() => {
                // The drop reports the attempt as cancelled: the server did not fail.
                drop(current);
                return refuse_or_fall_back(ctx, arrived, trace, fallback, &Refusal::stopped());
            }
        };
        ctx.metrics.record_attempt(attempt_end(result.outcome));
        if let Some(trace) = &mut trace {
            trace.record_attempt(number, &server, result.outcome, began);
        }
        if !result.outcome.not_run() {
            possible_run = Some(result.outcome);
        }
        if body.exceeded_limit() && !result.is_answered() {
            // The drop reports the attempt as cancelled: the server did not fail, and no other one
            // is to be tried.
            drop(current);
            return reject(ctx, Rejection::GrewTooLarge);
        }
        let origin = current.origin().clone();
        let (next, body_end) = current.finish(&result);
        match next {
            Next::Deliver => {
                return answered(ctx, arrived, trace, result.into_response(body_end));
            }
            Next::Refuse(refusal) => {
                return refuse_or_fall_back(ctx, arrived, trace, fallback, &refusal);
            }
            Next::Retry(attempt, pause) => {
                current = ActiveAttempt::start(ctx, attempt, origin);
                if !body.is_retryable() {
                    let answer = result.into_answer().or(fallback);
                    return give_up(ctx, arrived, trace, answer, possible_run);
                }
                fallback = result.into_buffered().await.or(fallback);
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Ends a call that is refused: with the answer of an earlier attempt, if one is left.
fn refuse_or_fall_back(
    ctx: &CallContext,
    began: Mono,
    trace: Option<DecisionTrace>,
    fallback: Option<Response<ResponseBody>>,
    refusal: &Refusal,
) -> Response<ResponseBody> {
    match fallback {
        Some(response) => answered(ctx, began, trace, response),
        None => refuse(ctx, began, trace, refusal),
    }
}

/// Counts a call that is refused because it is blocked, and logs the first one of its kind.
fn record_blocked_call(ctx: &CallContext, key: CallKey, parts: &Parts) {
    let example = || call_identity::example(parts);
    let first = ctx.shared.with(|instance, _, _| instance.record_blocked_call(key, example));
    if let Some(example) = first {
        let digest = key.call;
        warn!(
            "`{example}` is refused, since backend servers crashed while they ran it: find the \
             fault in the service, or lift the block with `cyclamen unblock {digest}`"
        );
    }
}

/// Ends a call that would be retried if its body were not partly sent already: with the answer of
/// an earlier attempt, if one is left.
fn give_up(
    ctx: &CallContext,
    began: Mono,
    trace: Option<DecisionTrace>,
    answer: Option<Response<ResponseBody>>,
    possible_run: Option<Outcome>,
) -> Response<ResponseBody> {
    match answer {
        Some(response) => answered(ctx, began, trace, response),
        None => refuse(ctx, began, trace, &not_retryable_refusal(possible_run)),
    }
}

/// The refusal of a call that would be retried if its body were not partly sent already.
/// `possible_run` is the outcome of its last attempt that may have run.
fn not_retryable_refusal(possible_run: Option<Outcome>) -> Refusal {
    match possible_run {
        Some(outcome) => Refusal::outcome_unknown(outcome),
        None => Refusal {
            kind: RefusalKind::Unavailable,
            reason: "the call was not run and its body is too large to be held: send it again"
                .into(),
            retry_after: None,
        },
    }
}
