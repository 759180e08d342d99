//! Calls at the daemon beside a backend server: a slot, then the server itself.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cyclamen_decisions::SlotAnswer;
use cyclamen_declarations::Criticality;
use cyclamen_port::CallHeaders;
use cyclamen_routing::{Admission, Around, CallId, CallNeeds, Outcome, Ran, Refusal, RefusalKind};
use cyclamen_types::{Mono, RouteName, ServerName, ServiceName};
use cyclamenmoor::{Instance, Served};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Version};
use hyper::body::Incoming;

use crate::calls::around::{RunningId, ServicesAround};
use crate::calls::body::{AnswerBody, CallBody, OutBody};
use crate::calls::headers;
use crate::calls::hop::{ANSWER_HEADER, HopAnswer, HopCall, HopOutcome};
use crate::calls::plane::Plane;
use crate::calls::pool::{Exchange, SendAgain, SendFailure};
use crate::calls::trail::{Trail, attempt_end};
use crate::shared::SlotTurn;

/// When to come back to a server that cannot be reached.
const DOWN_RETRY: Duration = Duration::from_secs(1);

/// When to come back after a call that had no time or no connection left.
const SOON: Duration = Duration::from_millis(20);

/// A call for a backend server beside this daemon.
pub(super) struct HostCall {
    pub(super) server: ServerName,
    pub(super) service: ServiceName,
    /// The services whose running calls it was made for.
    pub(super) around: ServicesAround,
    pub(super) route: RouteName,
    pub(super) address: SocketAddr,
    pub(super) criticality: Criticality,
    /// Whether it may run twice.
    pub(super) idempotent: bool,
    /// The service beside whose server the call began, where that is known.
    pub(super) origin: Option<ServiceName>,
    /// When an answer is wanted.
    pub(super) aim: Mono,
    pub(super) deadline: Mono,
}

/// How such a call ended.
pub(super) enum HostEnd {
    /// The server answered.
    Answered(Box<Response<AnswerBody>>),
    /// No slot: not run.
    Full(Duration),
    /// The server itself said that it did not run the call.
    Shed(Duration),
    /// No connection, or it leaves: not run.
    Down,
    /// It broke off after it may have begun.
    Unknown,
    /// No answer in time.
    Late,
}

impl HostEnd {
    /// The end as the daemon that chose the server learns it.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            Self::Answered(response) => Outcome::Answered { status: response.status().as_u16() },
            Self::Full(retry_after) => Outcome::NotRun { retry_after: *retry_after },
            Self::Shed(retry_after) => Outcome::Shed { retry_after: *retry_after },
            Self::Down => Outcome::NotConnected,
            Self::Unknown => Outcome::Reset,
            Self::Late => Outcome::TimedOut,
        }
    }
}

/// Holds a slot, or a place in the queue, until dropped.
pub(super) struct SlotGuard {
    plane: Plane,
    server: ServerName,
    route: RouteName,
    call: CallId,
    ran: Ran,
    /// Keeps the request id among those that run here. A call that made calls of its own says
    /// nothing about the speed of its server.
    running: Option<RunningId>,
}

impl SlotGuard {
    /// The answer broke off after its head.
    pub(super) fn broke_off(&self) {
        self.observe(Served::failed(Duration::ZERO));
    }

    fn observe(&self, served: Served) {
        self.plane.shared.with(|instance, now, out| {
            instance.observe(now, &self.server, &self.route, served, out);
        });
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let (call, ran) = (self.call, self.ran);
        self.plane.shared.forget_wait(call);
        self.plane
            .shared
            .with(|instance, now, out| instance.release(now, &self.server, call, ran, out));
    }
}

/// Serves a call that another daemon sent.
pub(super) async fn serve(
    plane: Plane,
    claim: HopCall,
    req: Request<Incoming>,
) -> Response<AnswerBody> {
    let beside = |instance: &Instance| {
        let record = instance.server_beside(&claim.server)?;
        Some((record.address, record.service.clone()))
    };
    let Some((address, service)) = plane.shared.read(beside) else {
        return reply(&plane, &claim, HostEnd::Down);
    };
    let call = HostCall {
        server: claim.server.clone(),
        service,
        around: claim.around.clone(),
        route: claim.route.clone(),
        address,
        criticality: claim.criticality,
        idempotent: claim.idempotent,
        origin: headers::origin(&plane.headers, req.headers()),
        aim: claim.wanted.map_or(Mono::NEVER, |wanted| plane.mono() + wanted),
        deadline: plane.mono() + claim.left,
    };
    let (parts, incoming) = req.into_parts();
    let body = CallBody::streamed(incoming);
    let Some(out) = body.for_attempt() else {
        return reply(&plane, &claim, HostEnd::Down);
    };
    let end = run(&plane, call, Request::from_parts(parts, out)).await;
    reply(&plane, &claim, end)
}

/// Refuses a call whose header was seen before: not run.
pub(super) fn refuse_repeated(plane: &Plane, claim: &HopCall) -> Response<AnswerBody> {
    reply(plane, claim, HostEnd::Down)
}

/// Runs a call on a backend server beside this daemon.
pub(super) async fn run(plane: &Plane, call: HostCall, req: Request<OutBody>) -> HostEnd {
    let mut trail = Trail::of(plane, req.headers());
    let server = call.server.clone();
    let taken = take_slot(plane, &call, trail.as_mut()).await;
    let began = plane.mono();
    let end = match taken {
        Ok(slot) => run_in(plane, call, slot, req).await,
        Err(end) => end,
    };
    if let Some(trail) = trail {
        trail.ran(&server, attempt_end(end.outcome()), began);
    }
    end
}

/// Runs a call that has a slot.
async fn run_in(
    plane: &Plane,
    call: HostCall,
    mut slot: SlotGuard,
    req: Request<OutBody>,
) -> HostEnd {
    let Some(req) = for_server(plane, &call, req) else {
        return HostEnd::Full(SOON);
    };
    let started = plane.mono();
    let request_id = req.headers().get(&plane.headers.request_id).cloned();
    if plane.headers.nested_calls_keep_id {
        let start = |id| plane.running.start(id, slot.call.0, &call.around, &call.service);
        slot.running = request_id.clone().map(start);
    }
    let until = plane.until(call.deadline);
    let again = if call.idempotent { SendAgain::Allowed } else { SendAgain::Never };
    let sent = plane.servers.send(call.address, req, until, again).await;
    let latency = plane.mono().since(started);
    plane.metrics.ran(latency);
    if let Some(served) = served(&sent, latency) {
        slot.observe(served);
    }
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(SendFailure::NotConnected) => return HostEnd::Down,
        Err(SendFailure::Unsent) => return HostEnd::Full(SOON),
        Err(SendFailure::Reset) => return HostEnd::Unknown,
        Err(SendFailure::TimedOut) => {
            slot.ran = Ran::Answered(latency);
            return HostEnd::Late;
        }
    };
    let status = exchange.response.status();
    let answer = exchange.response.headers();
    if !echoes(&plane.headers, answer, request_id.as_ref()) {
        return HostEnd::Unknown;
    }
    if plane.headers.not_run.as_ref().is_some_and(|name| answer.contains_key(name)) {
        slot.ran = Ran::Shed(latency);
        return if exchange.repeated { HostEnd::Unknown } else { HostEnd::Shed(SOON) };
    }
    if status.is_success() && !proven(&plane.headers, answer) {
        return HostEnd::Unknown;
    }
    slot.ran = match exchange.response.status() {
        _ if slot.running.as_ref().is_some_and(RunningId::calls_on) => Ran::Unmeasured,
        StatusCode::SERVICE_UNAVAILABLE => Ran::Shed(latency),
        _ => Ran::Answered(latency),
    };
    let Exchange { response, lease, .. } = exchange;
    let (mut parts, incoming) = response.into_parts();
    headers::strip(&mut parts.headers);
    parts.version = Version::HTTP_11;
    let body = AnswerBody::streamed(incoming, lease, until).with_slot(slot);
    HostEnd::Answered(Box::new(Response::from_parts(parts, body)))
}

async fn take_slot(
    plane: &Plane,
    call: &HostCall,
    trail: Option<&mut Trail>,
) -> Result<SlotGuard, HostEnd> {
    let (answer, taken) = ask_for_slot(plane, call).await;
    plane.metrics.slot(answer);
    if let Some(trail) = trail {
        let load = plane.shared.read(|instance| instance.load(&call.server));
        trail.slot(&call.server, answer, load, call.deadline);
    }
    taken
}

async fn ask_for_slot(plane: &Plane, call: &HostCall) -> (SlotAnswer, Result<SlotGuard, HostEnd>) {
    let id = plane.next_call();
    let turn = plane.shared.wait_for_slot(id);
    let needs = CallNeeds {
        criticality: call.criticality,
        route: Some(call.route.clone()),
        origin: call.origin.clone(),
        around: Around {
            depth: u8::try_from(call.around.len()).unwrap_or(u8::MAX),
            same_service: call.around.contains(&call.service),
        },
        aim: call.aim,
        deadline: call.deadline,
    };
    let admission =
        plane.shared.with(|instance, now, out| instance.admit(now, &call.server, id, &needs, out));
    if let Admission::Refused(refusal) = admission {
        plane.shared.forget_wait(id);
        return (SlotAnswer::Refused, Err(refused(&refusal)));
    }
    let slot = SlotGuard {
        plane: plane.clone(),
        server: call.server.clone(),
        route: call.route.clone(),
        call: id,
        ran: Ran::Unmeasured,
        running: None,
    };
    if admission == Admission::Run {
        return (SlotAnswer::Run, Ok(slot));
    }
    match turn.await {
        Ok(SlotTurn::Run) => (SlotAnswer::Waited, Ok(slot)),
        Ok(SlotTurn::Expired) | Err(_) => {
            let come_back = plane.shared.read(|instance| instance.come_back(&call.server));
            (SlotAnswer::Expired, Err(HostEnd::Full(come_back)))
        }
    }
}

/// What the end of an exchange says about the version that served it; a call that never reached
/// the backend server says nothing.
fn served(sent: &Result<Exchange, SendFailure>, latency: Duration) -> Option<Served> {
    match sent {
        Ok(exchange) => {
            let status = exchange.response.status().as_u16();
            Some(Served::answered(status, latency, exchange.cold))
        }
        Err(SendFailure::Reset | SendFailure::TimedOut) => Some(Served::failed(latency)),
        Err(SendFailure::NotConnected | SendFailure::Unsent) => None,
    }
}

fn refused(refusal: &Refusal) -> HostEnd {
    match refusal.kind {
        RefusalKind::Overloaded | RefusalKind::Expired => {
            HostEnd::Full(refusal.retry_after.unwrap_or_default())
        }
        RefusalKind::NoRoute | RefusalKind::Unavailable | RefusalKind::OutcomeUnknown => {
            HostEnd::Down
        }
    }
}

/// The call as the backend server gets it; `None` when its time is over.
fn for_server(plane: &Plane, call: &HostCall, req: Request<OutBody>) -> Option<Request<OutBody>> {
    let (mut parts, body) = req.into_parts();
    headers::strip_call(&mut parts.headers);
    let left = plane.left(call.deadline);
    if left.is_zero() {
        return None;
    }
    headers::set_deadline(&plane.headers, &mut parts.headers, left);
    let target = plane.headers.target_server.as_ref();
    headers::set_own(&mut parts.headers, target, Some(call.server.as_str()));
    Some(Request::from_parts(parts, body))
}

/// Whether an answer is to this call, as far as its server tells.
fn echoes(names: &CallHeaders, answer: &HeaderMap, request_id: Option<&HeaderValue>) -> bool {
    let echo = answer.get(&names.request_id);
    echo.is_none() || echo == request_id
}

/// Whether an answer proves that a backend server made it, where such a proof is due.
fn proven(names: &CallHeaders, answer: &HeaderMap) -> bool {
    names.proof.as_ref().is_none_or(|proof| answer.contains_key(proof))
}

/// Tells the daemon that sent a call how it ended.
fn reply(plane: &Plane, claim: &HopCall, end: HostEnd) -> Response<AnswerBody> {
    let (outcome, retry_after) = match &end {
        HostEnd::Answered(_) => (HopOutcome::Ran, Duration::ZERO),
        HostEnd::Full(retry_after) => (HopOutcome::Full, *retry_after),
        HostEnd::Shed(retry_after) => (HopOutcome::Shed, *retry_after),
        HostEnd::Down => (HopOutcome::Down, DOWN_RETRY),
        HostEnd::Unknown => (HopOutcome::Unknown, Duration::ZERO),
        HostEnd::Late => (HopOutcome::Late, Duration::ZERO),
    };
    let mut response = match end {
        HostEnd::Answered(response) => *response,
        HostEnd::Full(_) | HostEnd::Shed(_) | HostEnd::Down => {
            empty(StatusCode::SERVICE_UNAVAILABLE)
        }
        HostEnd::Unknown | HostEnd::Late => empty(StatusCode::BAD_GATEWAY),
    };
    let (load, others) = plane.shared.with(|instance, now, _| {
        (instance.load(&claim.server), instance.tell_loads(now, &claim.server))
    });
    let answer = HopAnswer { outcome, retry_after, load, others };
    if let Some(header) = plane.seal.seal_answer(claim.number, response.status(), &answer) {
        response.headers_mut().insert(HeaderName::from_static(ANSWER_HEADER), header);
    }
    response
}

fn empty(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}
