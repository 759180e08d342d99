//! The inbound side: runs calls on local backend servers, for this daemon's callers and, by
//! [`hop_calls`](super::hop_calls), for other daemons. Acquires a concurrency slot, forwards the call
//! to the server, and returns how it ended.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_blocklist::{CallDigest, CallKey, Denial, Scope};
use cyclamen_decisions::SlotAnswer;
use cyclamen_declarations::Criticality;
use cyclamen_routing::{
    Admission, AncestorCalls, Outcome, Refusal, RefusalKind, RunOutcome, SlotRequest,
};
use cyclamen_types::{AccountName, Mono, RouteName, ServerName, ServiceName, VersionName};
use cyclamenmoor::{Instance, LocalCallResult};
use http::{HeaderMap, Request, Response, StatusCode, Version};
use log::{error, info};
use tokio::sync::oneshot;

use crate::calls::body::{AttemptBody, ResponseBody};
use crate::calls::call_identity;
use crate::calls::context::CallContext;
use crate::calls::decision_trace::{DecisionTrace, attempt_end};
use crate::calls::headers;
use crate::calls::nested_calls::{AncestorServices, ParentCall, RunningCallGuard};
use crate::calls::pool::{Exchange, ResendPolicy, SendFailure};
use crate::calls::server_answer::{belongs_to, has_proof, may_have_run, reports_not_run, says_run};
use crate::calls::slot_guard::SlotGuard;
use crate::shared::SlotOutcome;

/// Time after which a call that ran out of time, found no free connection, or was shed by its
/// server may be retried.
const SHORT_RETRY_AFTER: Duration = Duration::from_millis(20);

/// How much longer than until its deadline a call waits for the end of its time in the queue. The
/// instance ends that time by the deadline.
const SLOT_WAIT_GRACE: Duration = Duration::from_millis(100);

/// A call for a local backend server.
pub(super) struct InboundCall {
    pub(super) server: ServerName,
    pub(super) service: ServiceName,
    /// Version of the service that the server runs.
    pub(super) version: VersionName,
    /// The ancestor services of the call.
    pub(super) ancestors: AncestorServices,
    /// Digest of the call; `None` if its body is streamed.
    pub(super) digest: Option<CallDigest>,
    pub(super) route: RouteName,
    pub(super) address: SocketAddr,
    pub(super) criticality: Criticality,
    /// Whether the call may run more than once.
    pub(super) idempotent: bool,
    /// The calling service, if known.
    pub(super) caller_service: Option<ServiceName>,
    /// When the route's latency target ends; [`Mono::NEVER`] if it has none.
    pub(super) latency_target_at: Mono,
    pub(super) deadline: Mono,
    /// How far the call is a repeat, see [`Attempt::repeat`](cyclamen_routing::Attempt::repeat).
    pub(super) repeat: f64,
    /// The server that crashed during an earlier attempt of the call, if one did.
    pub(super) crashed_server: Option<ServerName>,
    /// The client account that made the call; `None` if it is of none.
    pub(super) account: Option<AccountName>,
    /// See [`Attempt::moves_left`](cyclamen_routing::Attempt::moves_left).
    pub(super) moves_left: u32,
}

/// The response of a local backend server.
pub(super) struct Answer {
    pub(super) response: Response<ResponseBody>,
    /// Whether it is a server error and a call that the server made meanwhile failed.
    pub(super) nested_failure: bool,
}

/// How a call for a local backend server ended.
pub(super) enum InboundOutcome {
    /// The server responded.
    Answered(Box<Answer>),
    /// No slot, connection or time was left; retry after the given time. Not run.
    NoSlot(Duration),
    /// The server reported that it did not run the call; retry after the given time.
    Shed(Duration),
    /// Servers crashed while they ran the call before. Not run this time.
    Blocked,
    /// The server could not be connected to, is unknown or draining, or the call counts as a
    /// replay. Not run.
    Unavailable,
    /// The exchange failed, or the response cannot be trusted. May have run.
    Unknown,
    /// The server crashed while it ran the call.
    Crashed,
    /// No response in time. May have run.
    TimedOut,
}

impl InboundOutcome {
    /// The outcome as the router of the sending daemon sees it.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            Self::Answered(answer) => {
                Outcome::Answered { status: answer.response.status().as_u16() }
            }
            Self::NoSlot(retry_after) => Outcome::RefusedByDaemon { retry_after: *retry_after },
            Self::Shed(retry_after) => Outcome::Shed { retry_after: *retry_after },
            Self::Blocked => Outcome::Blocked,
            Self::Unavailable => Outcome::NotConnected,
            Self::Unknown => Outcome::Reset,
            Self::Crashed => Outcome::ServerCrashed,
            Self::TimedOut => Outcome::TimedOut,
        }
    }
}

/// Runs a call on a local backend server: waits for a slot, then forwards the request.
pub(super) async fn run(
    ctx: &CallContext,
    call: InboundCall,
    req: Request<AttemptBody>,
) -> InboundOutcome {
    let mut trace = DecisionTrace::start(ctx, req.headers());
    let server = call.server.clone();
    let key = blocklist_key(ctx, &call);
    let slot = match is_blocked(ctx, key) {
        true => Err(InboundOutcome::Blocked),
        false => acquire_slot(ctx, &call, trace.as_mut()).await,
    };
    let began = ctx.mono_now();
    let end = match slot {
        Ok(slot) => match begin_run(ctx, &call, &slot, key) {
            Ok(()) => run_with_slot(ctx, call, slot, req).await,
            Err(end) => end,
        },
        Err(end) => end,
    };
    if let Some(trace) = trace {
        trace.finish_inbound(&server, attempt_end(end.outcome()), began);
    }
    end
}

/// The key under which a call is blocked; `None` if it is not known because its body is streamed.
fn blocklist_key(ctx: &CallContext, call: &InboundCall) -> Option<CallKey> {
    let (caller, service) = (call.caller_service.as_ref(), &call.service);
    let scope = Scope { caller, service, version: &call.version };
    Some(call_identity::key(ctx, call.digest?, &scope))
}

fn is_blocked(ctx: &CallContext, key: Option<CallKey>) -> bool {
    key.is_some_and(|key| ctx.shared.read(|instance| instance.is_blocked(key)))
}

/// Registers the run of a call that holds a slot, so that it is a suspect if the server crashes.
/// The call may have become blocked while it waited for the slot.
fn begin_run(
    ctx: &CallContext,
    call: &InboundCall,
    slot: &SlotGuard,
    key: Option<CallKey>,
) -> Result<(), InboundOutcome> {
    let Some(key) = key else {
        return Ok(());
    };
    let begun = ctx.shared.with(|instance, now, _| {
        instance.begin_run(now, &call.server, slot.call, key, call.crashed_server.clone())
    });
    begun.map_err(|denial| match denial {
        Denial::Blocked => InboundOutcome::Blocked,
        Denial::SuspectRuns => InboundOutcome::NoSlot(SHORT_RETRY_AFTER),
    })
}

/// Runs a call that holds a slot.
async fn run_with_slot(
    ctx: &CallContext,
    call: InboundCall,
    mut slot: SlotGuard,
    req: Request<AttemptBody>,
) -> InboundOutcome {
    let Some(req) = server_request(ctx, &call, req) else {
        return InboundOutcome::NoSlot(SHORT_RETRY_AFTER);
    };
    let started = ctx.mono_now();
    let request_id = req.headers().get(&ctx.headers.request_id).cloned();
    if ctx.headers.nested_calls_keep_id {
        let parent = ParentCall {
            services: call.ancestors.iter().chain([&call.service]).cloned().collect(),
            repeat: call.repeat,
        };
        let start = |id| ctx.running_calls.start(id, slot.call, parent);
        slot.running = request_id.clone().map(start);
    }
    let until = ctx.to_instant(call.deadline);
    // What the server said since the call was sent counts: it may be leaving by now.
    let takes_calls = || ctx.shared.read(|instance| instance.takes_calls(&call.server));
    let resend = match may_be_resent(ctx, &call) {
        true => ResendPolicy::AllowedWhile(&takes_calls),
        false => ResendPolicy::Never,
    };
    let sent = ctx.server_pool.send(call.address, req, until, resend).await;
    let latency = ctx.mono_now().since(started);
    if may_have_run(&ctx.headers, &sent) {
        ctx.metrics.record_run(latency);
    }
    if let Some(sample) = served_sample(&sent, latency) {
        slot.report(sample);
    }
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(SendFailure::NotConnected) => {
            suspect_cold(ctx, &call.server);
            return InboundOutcome::Unavailable;
        }
        Err(SendFailure::Unsent) => return InboundOutcome::NoSlot(SHORT_RETRY_AFTER),
        Err(SendFailure::Reset) => {
            return match slot.has_server_crashed().await {
                true => {
                    suspect_cold(ctx, &call.server);
                    InboundOutcome::Crashed
                }
                false => InboundOutcome::Unknown,
            };
        }
        Err(SendFailure::TimedOut) => {
            // The adaptive limit treats a timeout as a response that took this long.
            slot.outcome = RunOutcome::Answered(latency);
            return InboundOutcome::TimedOut;
        }
    };
    let status = exchange.response.status();
    let response_headers = exchange.response.headers();
    // The connection of a response that may belong to another call is closed with the exchange.
    if !belongs_to(&ctx.headers, status, response_headers, request_id.as_ref()) {
        return InboundOutcome::Unknown;
    }
    take_over_hints(ctx, &call.server, response_headers);
    if reports_not_run(&ctx.headers, response_headers) {
        slot.outcome = RunOutcome::Shed(latency);
        // If the call was resent, the server may have run it when it was first sent.
        return if exchange.resent {
            InboundOutcome::Unknown
        } else {
            InboundOutcome::Shed(SHORT_RETRY_AFTER)
        };
    }
    if status.is_success() && !has_proof(&ctx.headers, response_headers) {
        return InboundOutcome::Unknown;
    }
    slot.ran = says_run(status);
    slot.outcome = match exchange.response.status() {
        _ if slot.running.as_ref().is_some_and(RunningCallGuard::made_nested_calls) => {
            RunOutcome::Unmeasured
        }
        StatusCode::SERVICE_UNAVAILABLE => RunOutcome::Shed(latency),
        _ => RunOutcome::Answered(latency),
    };
    let Exchange { response, lease, .. } = exchange;
    let (mut parts, incoming) = response.into_parts();
    headers::strip_hop_by_hop(&mut parts.headers);
    parts.version = Version::HTTP_11;
    let body = ResponseBody::streamed(incoming, lease, until).with_slot(slot);
    let nested_failure = status.is_server_error()
        && ctx.shared.read(|instance| instance.nested_call_failed_since(started));
    let response = Response::from_parts(parts, body);
    InboundOutcome::Answered(Box::new(Answer { response, nested_failure }))
}

/// A call at a cold server is not resent: the server would get two for the one that was admitted.
fn may_be_resent(ctx: &CallContext, call: &InboundCall) -> bool {
    let now = ctx.shared.now();
    let is_cold = || ctx.shared.read(|instance| instance.is_server_cold(now, &call.server));
    call.idempotent && !is_cold()
}

/// The process that answers after this one has ended is a new one, and cold.
fn suspect_cold(ctx: &CallContext, server: &ServerName) {
    ctx.shared.with(|instance, now, _| instance.suspect_cold_server(now, server));
}

/// Tells the instance what a backend server says of itself in a response.
fn take_over_hints(ctx: &CallContext, server: &ServerName, headers: &HeaderMap) {
    if headers::says_leaving(&ctx.headers, headers) {
        let is_news = ctx
            .shared
            .with(|instance, now, effects| instance.drain_leaving_server(now, server, effects));
        if is_news {
            info!("backend server `{server}` says in an answer that it is leaving");
        }
    }
    if ctx.headers.load.is_some() {
        let pace = headers::pace_percent(&ctx.headers, headers);
        ctx.shared.with(|instance, now, _| instance.set_pace(now, server, pace));
    }
    if ctx.headers.calls_per_second.is_none() {
        return;
    }
    let calls_per_second = headers::calls_per_second(&ctx.headers, headers);
    let before =
        ctx.shared.with(|instance, now, _| instance.limit_rate(now, server, calls_per_second));
    match (before, calls_per_second) {
        (None, Some(rate)) => info!("backend server `{server}` takes at most {rate} calls/s"),
        (Some(_), None) => info!("backend server `{server}` names no limit any more"),
        (None, None) | (Some(_), Some(_)) => {}
    }
}

async fn acquire_slot(
    ctx: &CallContext,
    call: &InboundCall,
    trace: Option<&mut DecisionTrace>,
) -> Result<SlotGuard, InboundOutcome> {
    let (answer, slot) = request_slot(ctx, call).await;
    ctx.metrics.record_slot_answer(answer);
    if let Some(trace) = trace {
        let now = ctx.shared.now();
        let load = ctx.shared.read(|instance| instance.server_load(now, &call.server));
        trace.record_slot(&call.server, answer, load, call.deadline);
    }
    slot
}

async fn request_slot(
    ctx: &CallContext,
    call: &InboundCall,
) -> (SlotAnswer, Result<SlotGuard, InboundOutcome>) {
    let id = ctx.next_call_id();
    let slot_outcome = ctx.shared.wait_for_slot(id);
    let request = SlotRequest {
        criticality: call.criticality,
        route: Some(call.route.clone()),
        origin: call.caller_service.clone(),
        ancestors: AncestorCalls {
            depth: u8::try_from(call.ancestors.len()).unwrap_or(u8::MAX),
            same_service: call.ancestors.contains(&call.service),
        },
        target_at: call.latency_target_at,
        deadline: call.deadline,
        repeat: call.repeat,
        account: call.account.clone(),
    };
    let admission = ctx.shared.with(|instance, now, effects| {
        if call.moves_left > 0
            && let Some(refusal) = instance.refusal_to_send_on(now, &call.server, &request)
        {
            return Admission::Refused(refusal);
        }
        instance.admit_call(now, &call.server, id, &request, effects)
    });
    if let Admission::Refused(refusal) = admission {
        ctx.shared.cancel_slot_wait(id);
        return (SlotAnswer::Refused, Err(refusal_outcome(&refusal)));
    }
    let slot = SlotGuard {
        ctx: ctx.clone(),
        server: call.server.clone(),
        route: call.route.clone(),
        call: id,
        address: call.address,
        outcome: RunOutcome::Unmeasured,
        ran: false,
        answered: false,
        running: None,
    };
    if admission == Admission::Run {
        return (SlotAnswer::Run, Ok(slot));
    }
    if await_slot(ctx, call, slot_outcome).await == SlotOutcome::Run {
        return (SlotAnswer::Waited, Ok(slot));
    }
    // Zero if the server is gone: another one may have a slot.
    let now = ctx.shared.now();
    let room_in = |instance: &Instance| instance.retry_after(now, &call.server, call.criticality);
    let retry_after = match ctx.shared.read(room_in) {
        Duration::ZERO => SHORT_RETRY_AFTER,
        retry_after => retry_after,
    };
    (SlotAnswer::Expired, Err(InboundOutcome::NoSlot(retry_after)))
}

/// Waits until the instance ends the time of a call in the queue. One that the instance has lost is
/// refused after its deadline, so that its caller gets an answer.
async fn await_slot(
    ctx: &CallContext,
    call: &InboundCall,
    outcome: oneshot::Receiver<SlotOutcome>,
) -> SlotOutcome {
    let until = ctx.to_instant(call.deadline) + SLOT_WAIT_GRACE;
    if let Ok(Ok(outcome)) = tokio::time::timeout_at(until, outcome).await {
        return outcome;
    }
    ctx.metrics.record_lost_wait();
    error!(
        "a call that waited for a slot of backend server `{}` was forgotten and is refused as not \
         run: report this as a fault of the daemon, with its state dump",
        call.server
    );
    SlotOutcome::Expired
}

/// The sample that an exchange contributes to the evidence about the version that served it; `None`
/// if the call never reached the backend server.
fn served_sample(
    sent: &Result<Exchange, SendFailure>,
    latency: Duration,
) -> Option<LocalCallResult> {
    match sent {
        Ok(exchange) => {
            let status = exchange.response.status().as_u16();
            Some(LocalCallResult::from_status(status, latency, exchange.new_connection))
        }
        Err(SendFailure::Reset | SendFailure::TimedOut) => Some(LocalCallResult::failed(latency)),
        Err(SendFailure::NotConnected | SendFailure::Unsent) => None,
    }
}

fn refusal_outcome(refusal: &Refusal) -> InboundOutcome {
    match refusal.kind {
        RefusalKind::Overloaded | RefusalKind::Expired => {
            InboundOutcome::NoSlot(refusal.retry_after.unwrap_or_default())
        }
        RefusalKind::Blocked => InboundOutcome::Blocked,
        RefusalKind::NoRoute
        | RefusalKind::NoAccount
        | RefusalKind::OverAllowance
        | RefusalKind::Unavailable
        | RefusalKind::OutcomeUnknown => InboundOutcome::Unavailable,
    }
}

/// The request for the backend server; `None` once the deadline has passed.
fn server_request(
    ctx: &CallContext,
    call: &InboundCall,
    req: Request<AttemptBody>,
) -> Option<Request<AttemptBody>> {
    let (mut parts, body) = req.into_parts();
    headers::strip_request(&mut parts.headers);
    let time_left = ctx.time_left(call.deadline);
    if time_left.is_zero() {
        return None;
    }
    headers::set_time_left(&ctx.headers, &mut parts.headers, time_left);
    let target = ctx.headers.target_server.as_ref();
    headers::replace(&mut parts.headers, target, Some(call.server.as_str()));
    let account = call.account.as_ref().map(AccountName::as_str);
    headers::replace(&mut parts.headers, ctx.headers.account.as_ref(), account);
    Some(Request::from_parts(parts, body))
}
