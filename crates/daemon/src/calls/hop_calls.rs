//! Calls that other daemons send: runs each on its local backend server, and tells the daemon that sent
//! it how it ended.

use std::time::Duration;

use bytes::Bytes;
use cyclamen_types::Mono;
use cyclamenmoor::Instance;
use http::{HeaderName, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::calls::body::{RequestBody, ResponseBody};
use crate::calls::call_identity;
use crate::calls::context::CallContext;
use crate::calls::headers;
use crate::calls::hop::{HOP_RESPONSE_HEADER, HopCall, HopOutcome, HopResponse};
use crate::calls::inbound::{self, InboundCall, InboundOutcome};

/// Time after which a server that cannot be reached may be retried.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves a call that another daemon sent; `hop_call` comes from its verified hop header.
pub(super) async fn serve(
    ctx: CallContext,
    hop_call: HopCall,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let local_server = |instance: &Instance| {
        let record = instance.local_server(&hop_call.server)?;
        let version = instance.local_server_version(&hop_call.server);
        let version = version.unwrap_or_else(|| record.version.clone());
        Some((record.address, record.service.clone(), version))
    };
    let Some((address, service, version)) = ctx.shared.read(local_server) else {
        return hop_response(&ctx, &hop_call, InboundOutcome::Unavailable);
    };
    let mut call = InboundCall {
        server: hop_call.server.clone(),
        service,
        version,
        digest: None,
        ancestors: hop_call.ancestors.clone(),
        route: hop_call.route.clone(),
        address,
        criticality: hop_call.criticality,
        idempotent: hop_call.idempotent,
        caller_service: headers::caller_service(&ctx.headers, req.headers()),
        latency_target_at: hop_call
            .latency_target_left
            .map_or(Mono::NEVER, |left| ctx.mono_now() + left),
        deadline: ctx.mono_now() + hop_call.time_left,
        repeat: hop_call.repeat,
        crashed_server: hop_call.crashed_server.clone(),
        account: hop_call.account.clone(),
        moves_left: hop_call.moves_left,
    };
    let (parts, incoming) = req.into_parts();
    // A small body is buffered, so that the call can be resent over a new connection.
    let until = ctx.to_instant(call.deadline);
    let Ok(body) = RequestBody::receive(incoming, &ctx.body_budget, until).await else {
        return hop_response(&ctx, &hop_call, InboundOutcome::Unavailable);
    };
    let Some(attempt_body) = body.for_attempt() else {
        return hop_response(&ctx, &hop_call, InboundOutcome::Unavailable);
    };
    call.digest = call_identity::digest(&ctx, &parts, &body);
    let end = tokio::select! {
        biased;
        end = inbound::run(&ctx, call, Request::from_parts(parts, attempt_body)) => end,
        // The calls that wait for a slot were refused before.
        () = ctx.calls_end.reached() => InboundOutcome::Unknown,
    };
    hop_response(&ctx, &hop_call, end)
}

/// Refuses a call that counts as a replay; not run.
pub(super) fn refuse_replayed(ctx: &CallContext, hop_call: &HopCall) -> Response<ResponseBody> {
    hop_response(ctx, hop_call, InboundOutcome::Unavailable)
}

/// The response that reports to the sending daemon how its call ended.
fn hop_response(
    ctx: &CallContext,
    hop_call: &HopCall,
    end: InboundOutcome,
) -> Response<ResponseBody> {
    let (outcome, retry_after) = match &end {
        InboundOutcome::Answered(_) => (HopOutcome::Ran, Duration::ZERO),
        InboundOutcome::NoSlot(retry_after) => (HopOutcome::Full, *retry_after),
        InboundOutcome::Shed(retry_after) => (HopOutcome::Shed, *retry_after),
        InboundOutcome::Blocked => (HopOutcome::Blocked, Duration::ZERO),
        InboundOutcome::Unavailable => (HopOutcome::Down, UNAVAILABLE_RETRY_AFTER),
        InboundOutcome::Unknown => (HopOutcome::Unknown, Duration::ZERO),
        InboundOutcome::Crashed => (HopOutcome::Crashed, Duration::ZERO),
        InboundOutcome::TimedOut => (HopOutcome::Late, Duration::ZERO),
    };
    let nested_failure = matches!(&end, InboundOutcome::Answered(answer) if answer.nested_failure);
    let mut response = match end {
        InboundOutcome::Answered(answer) => answer.response,
        InboundOutcome::NoSlot(_)
        | InboundOutcome::Shed(_)
        | InboundOutcome::Blocked
        | InboundOutcome::Unavailable => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        InboundOutcome::Unknown | InboundOutcome::Crashed | InboundOutcome::TimedOut => {
            empty_response(StatusCode::BAD_GATEWAY)
        }
    };
    let hop_response = ctx.shared.with(|instance, now, _| HopResponse {
        outcome,
        retry_after,
        load: instance.load_to_report(now, &hop_call.server),
        others: instance.loads_to_share(now, &hop_call.server),
        nested_route: instance.is_nested_route(&hop_call.server, &hop_call.route),
        nested_failure,
    });
    if let Some(header) = ctx.hop_seal.seal_response(hop_call.id, response.status(), &hop_response)
    {
        response.headers_mut().insert(HeaderName::from_static(HOP_RESPONSE_HEADER), header);
    }
    response
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(Bytes::new()));
    *response.status_mut() = status;
    response
}
