//! Calls at the daemon beside a backend server: a slot, then the server itself.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cyclamen_declarations::Criticality;
use cyclamen_routing::{Admission, CallId, Ran, Refusal, RefusalKind};
use cyclamen_types::{Mono, ServerName};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Version};
use hyper::body::Incoming;

use crate::calls::body::{AnswerBody, CallBody, OutBody};
use crate::calls::headers;
use crate::calls::hop::{ANSWER_HEADER, HopAnswer, HopCall, HopOutcome};
use crate::calls::plane::Plane;
use crate::calls::pool::{Exchange, SendFailure};
use crate::shared::SlotTurn;

/// When to come back to a server that cannot be reached.
const DOWN_RETRY: Duration = Duration::from_secs(1);

/// When to come back after a call that had no time or no connection left.
const SOON: Duration = Duration::from_millis(20);

/// A call for a backend server beside this daemon.
pub(super) struct HostCall {
    pub(super) server: ServerName,
    pub(super) address: SocketAddr,
    pub(super) criticality: Criticality,
    pub(super) deadline: Mono,
}

/// How such a call ended.
pub(super) enum HostEnd {
    /// The server answered.
    Answered(Box<Response<AnswerBody>>, Connection),
    /// No slot: not run.
    Full(Duration),
    /// No connection, or it leaves: not run.
    Down,
    /// It broke off after it may have begun.
    Unknown,
    /// No answer in time.
    Late,
}

/// Whether a connection had to be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Connection {
    /// It was opened for this call.
    Opened,
    /// It was open already.
    Reused,
}

/// Holds a slot, or a place in the queue, until dropped.
pub(super) struct SlotGuard {
    plane: Plane,
    server: ServerName,
    call: CallId,
    ran: Ran,
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
    let address = plane
        .shared
        .read(|instance| instance.server_beside(&claim.server).map(|record| record.address));
    let Some(address) = address else {
        return reply(&plane, &claim, HostEnd::Down);
    };
    let call = HostCall {
        server: claim.server.clone(),
        address,
        criticality: claim.criticality,
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
    let mut slot = match take_slot(plane, &call).await {
        Ok(slot) => slot,
        Err(end) => return end,
    };
    let Some(req) = for_server(plane, &call, req) else {
        return HostEnd::Full(SOON);
    };
    let started = plane.mono();
    let request_id = req.headers().get(headers::REQUEST_ID_HEADER).cloned();
    let until = plane.until(call.deadline);
    let sent = plane.servers.send(call.address, req, until).await;
    let latency = plane.mono().since(started);
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
    if !echoes(exchange.response.headers(), request_id.as_ref()) {
        return HostEnd::Unknown;
    }
    slot.ran = match exchange.response.status() {
        StatusCode::SERVICE_UNAVAILABLE => Ran::Shed(latency),
        _ => Ran::Answered(latency),
    };
    let Exchange { response, lease, cold } = exchange;
    let (mut parts, incoming) = response.into_parts();
    headers::strip(&mut parts.headers);
    parts.version = Version::HTTP_11;
    let body = AnswerBody::streamed(incoming, lease, until).with_slot(slot);
    let connection = if cold { Connection::Opened } else { Connection::Reused };
    HostEnd::Answered(Box::new(Response::from_parts(parts, body)), connection)
}

async fn take_slot(plane: &Plane, call: &HostCall) -> Result<SlotGuard, HostEnd> {
    let id = plane.next_call();
    let turn = plane.shared.wait_for_slot(id);
    let admission = plane.shared.with(|instance, now, out| {
        instance.admit(now, &call.server, id, call.criticality, call.deadline, out)
    });
    if let Admission::Refused(refusal) = admission {
        plane.shared.forget_wait(id);
        return Err(refused(&refusal));
    }
    let server = call.server.clone();
    let slot = SlotGuard { plane: plane.clone(), server, call: id, ran: Ran::Unmeasured };
    if admission == Admission::Run {
        return Ok(slot);
    }
    match turn.await {
        Ok(SlotTurn::Run) => Ok(slot),
        Ok(SlotTurn::Expired) | Err(_) => {
            let come_back = plane.shared.read(|instance| instance.come_back(&call.server));
            Err(HostEnd::Full(come_back))
        }
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
    headers::set_deadline(&mut parts.headers, left);
    Some(Request::from_parts(parts, body))
}

/// Whether an answer is to this call, as far as its server tells.
fn echoes(answer: &HeaderMap, request_id: Option<&HeaderValue>) -> bool {
    let echo = answer.get(headers::REQUEST_ID_HEADER);
    echo.is_none() || echo == request_id
}

/// Tells the daemon that sent a call how it ended.
fn reply(plane: &Plane, claim: &HopCall, end: HostEnd) -> Response<AnswerBody> {
    let (outcome, retry_after) = match &end {
        HostEnd::Answered(..) => (HopOutcome::Ran, Duration::ZERO),
        HostEnd::Full(retry_after) => (HopOutcome::Full, *retry_after),
        HostEnd::Down => (HopOutcome::Down, DOWN_RETRY),
        HostEnd::Unknown => (HopOutcome::Unknown, Duration::ZERO),
        HostEnd::Late => (HopOutcome::Late, Duration::ZERO),
    };
    let mut response = match end {
        HostEnd::Answered(response, _) => *response,
        HostEnd::Full(_) | HostEnd::Down => empty(StatusCode::SERVICE_UNAVAILABLE),
        HostEnd::Unknown | HostEnd::Late => empty(StatusCode::BAD_GATEWAY),
    };
    let load = plane.shared.read(|instance| instance.load(&claim.server));
    let answer = HopAnswer { outcome, retry_after, load };
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
