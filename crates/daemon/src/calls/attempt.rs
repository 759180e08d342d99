//! One attempt of a call: over the backend server beside this daemon, or over another daemon.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_routing::{Attempt, Hop, Next, Outcome, ServerLoad};
use cyclamen_types::{Mono, ServerName};
use cyclamenmoor::BodyEnd;
use http::header::HeaderName;
use http::request::Parts;
use http::uri::{PathAndQuery, Uri};
use http::{Request, Response, Version};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use tokio::time::Instant;

use crate::calls::around::ServicesAround;
use crate::calls::body::{AnswerBody, OutBody};
use crate::calls::headers;
use crate::calls::hop::{CALL_HEADER, HopAnswer, HopCall, HopNumber, HopOutcome};
use crate::calls::host::{self, HostCall, HostEnd};
use crate::calls::plane::Plane;
use crate::calls::pool::{Exchange, SendAgain, SendFailure};

/// Largest body of an answer that is kept while another server is asked, in bytes.
const KEPT_BYTES: usize = 16 * 1024;

/// Longest time for such a body to arrive.
const KEEP_TIMEOUT: Duration = Duration::from_millis(50);

/// An attempt under way. Dropped, it counts as cancelled by the caller.
pub(super) struct Try {
    plane: Plane,
    attempt: Attempt,
    /// The services around the call.
    around: ServicesAround,
    finished: bool,
}

/// How an attempt ended.
pub(super) struct Ended {
    pub(super) outcome: Outcome,
    load: Option<ServerLoad>,
    response: Option<Response<AnswerBody>>,
}

/// Tells the instance of the end of an answer's body. Dropped, the caller went away before it.
pub(super) struct AttemptEnd {
    plane: Plane,
    attempt: Attempt,
    ended: bool,
}

impl Try {
    /// An attempt that the instance has just chosen.
    pub(super) fn start(plane: &Plane, attempt: Attempt, around: ServicesAround) -> Self {
        Self { plane: plane.clone(), attempt, around, finished: false }
    }

    /// What was decided.
    pub(super) fn attempt(&self) -> &Attempt {
        &self.attempt
    }

    /// The services around the call.
    pub(super) fn around(&self) -> &ServicesAround {
        &self.around
    }

    /// Which attempt of the call this is, from 1.
    pub(super) fn number(&self) -> u32 {
        self.attempt.earlier + 1
    }

    /// The backend server.
    pub(super) fn server(&self) -> &ServerName {
        &self.attempt.server
    }

    /// Makes the attempt.
    pub(super) async fn make(&self, parts: &Parts, body: OutBody) -> Ended {
        let req = request(parts, body);
        match self.attempt.hop {
            Hop::Local(address) => self.make_here(address, req).await,
            Hop::Daemon(address) => self.make_there(address, req).await,
        }
    }

    /// Ends the attempt. After [`Next::Deliver`] there is an [`AttemptEnd`] for the body.
    pub(super) fn finish(mut self, ended: &Ended) -> (Next, Option<AttemptEnd>) {
        let next = self.tell(ended.outcome, ended.load, ended.bytes());
        let end = (next == Next::Deliver).then(|| AttemptEnd {
            plane: self.plane.clone(),
            attempt: self.attempt.clone(),
            ended: false,
        });
        (next, end)
    }

    fn tell(&mut self, outcome: Outcome, load: Option<ServerLoad>, bytes: Option<u64>) -> Next {
        self.finished = true;
        self.plane.shared.with(|instance, now, _| {
            if let Some(load) = load {
                instance.observe_load(now, &self.attempt.server, load);
            }
            if let Some(bytes) = bytes {
                instance.observe_size(&self.attempt.route, bytes);
            }
            instance.finish(now, &self.attempt, outcome)
        })
    }

    async fn make_here(&self, address: SocketAddr, req: Request<OutBody>) -> Ended {
        let call = HostCall {
            server: self.attempt.server.clone(),
            service: self.attempt.service.clone(),
            around: self.around.clone(),
            route: self.attempt.route.clone(),
            address,
            criticality: self.attempt.criticality,
            idempotent: self.attempt.idempotent,
            origin: self.plane.caller_service.clone(),
            aim: self.attempt.aim,
            deadline: self.attempt.deadline,
        };
        let end = host::run(&self.plane, call, req).await;
        let load = self.plane.shared.read(|instance| instance.load(&self.attempt.server));
        Ended::here(end, load)
    }

    async fn make_there(&self, address: SocketAddr, mut req: Request<OutBody>) -> Ended {
        let number = self.plane.seal.number();
        let until = self.plane.until(self.attempt.deadline);
        if self.sign(number, &mut req).is_none() {
            return Ended::without(Outcome::NotConnected);
        }
        let exchange = match self.plane.daemons.send(address, req, until, SendAgain::Never).await {
            Ok(exchange) => exchange,
            Err(SendFailure::NotConnected) => return Ended::without(Outcome::NotConnected),
            Err(SendFailure::Unsent) => {
                return Ended::without(Outcome::NotRun { retry_after: Duration::ZERO });
            }
            Err(SendFailure::Reset) => return Ended::without(Outcome::Reset),
            Err(SendFailure::TimedOut) => return Ended::without(Outcome::TimedOut),
        };
        let status = exchange.response.status();
        let headers = exchange.response.headers();
        // What no daemon sealed for this very attempt says nothing about whether it was run.
        let Some(answer) = self.plane.seal.open_answer(number, status, headers) else {
            return Ended::without(Outcome::Reset);
        };
        self.plane.shared.with(|instance, now, _| instance.hear_loads(now, &answer.others));
        Ended::there(&answer, exchange, until)
    }

    /// Adds the sealed header for the daemon beside the backend server.
    fn sign(&self, number: HopNumber, req: &mut Request<OutBody>) -> Option<()> {
        let left = self.plane.left(self.attempt.deadline);
        let server = self.attempt.server.clone();
        let route = self.attempt.route.clone();
        let aim = self.attempt.aim;
        let wanted = (aim != Mono::NEVER).then(|| self.plane.left(aim));
        let criticality = self.attempt.criticality;
        let call = HopCall {
            server,
            route,
            number,
            left,
            wanted,
            criticality,
            idempotent: self.attempt.idempotent,
            around: self.around.clone(),
        };
        let header = self.plane.seal.seal_call(self.plane.wall(), &call, req)?;
        req.headers_mut().insert(HeaderName::from_static(CALL_HEADER), header);
        Some(())
    }
}

impl Drop for Try {
    fn drop(&mut self) {
        if !self.finished {
            self.tell(Outcome::Cancelled, None, None);
        }
    }
}

impl Ended {
    fn without(outcome: Outcome) -> Self {
        Self { outcome, load: None, response: None }
    }

    /// The end of an attempt over the backend server beside this daemon.
    fn here(end: HostEnd, load: ServerLoad) -> Self {
        let outcome = end.outcome();
        let mut ended = Self { load: Some(load), ..Self::without(outcome) };
        if let HostEnd::Answered(response) = end {
            ended.response = Some(*response);
        }
        ended
    }

    /// The end of an attempt over another daemon.
    fn there(answer: &HopAnswer, exchange: Exchange, until: Instant) -> Self {
        let Exchange { response, lease, .. } = exchange;
        let (mut parts, incoming) = response.into_parts();
        headers::strip(&mut parts.headers);
        parts.version = Version::HTTP_11;
        // An answer without a body gives its connection back here.
        let response = Response::from_parts(parts, AnswerBody::streamed(incoming, lease, until));
        let outcome = match answer.outcome {
            HopOutcome::Ran => answered(&response),
            HopOutcome::Full => Outcome::NotRun { retry_after: answer.retry_after },
            HopOutcome::Shed => Outcome::Shed { retry_after: answer.retry_after },
            HopOutcome::Down => Outcome::NotConnected,
            HopOutcome::Unknown => Outcome::Reset,
            HopOutcome::Late => Outcome::TimedOut,
        };
        Self {
            outcome,
            load: Some(answer.load),
            response: (answer.outcome == HopOutcome::Ran).then_some(response),
        }
    }

    /// Bytes of the answer's body, where there is an answer that tells them.
    fn bytes(&self) -> Option<u64> {
        self.response.as_ref()?.body().size_hint().exact()
    }

    /// The answer whole, for the case that no other server gives a better one; `None` when there is
    /// none, or not at once.
    pub(super) async fn keep(self) -> Option<Response<AnswerBody>> {
        let (parts, body) = self.response?.into_parts();
        let collecting = Limited::new(body, KEPT_BYTES).collect();
        let body = tokio::time::timeout(KEEP_TIMEOUT, collecting).await.ok()?.ok()?;
        Some(Response::from_parts(parts, AnswerBody::whole(body.to_bytes())))
    }

    /// The answer for the caller.
    pub(super) fn deliver(self, end: Option<AttemptEnd>) -> Response<AnswerBody> {
        let response = self.response.unwrap_or_default();
        match end {
            Some(end) => response.map(|body| body.with_attempt(end)),
            None => response,
        }
    }
}

impl AttemptEnd {
    /// Tells of the end once.
    pub(super) fn end(&mut self, end: BodyEnd) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        self.plane.shared.with(|instance, now, _| instance.end_body(now, &self.attempt, end));
    }
}

impl Drop for AttemptEnd {
    fn drop(&mut self) {
        self.end(BodyEnd::Cancelled);
    }
}

fn answered(response: &Response<AnswerBody>) -> Outcome {
    Outcome::Answered { status: response.status().as_u16() }
}

/// The call as the next hop gets it.
fn request(parts: &Parts, body: OutBody) -> Request<OutBody> {
    let mut req = Request::new(body);
    *req.method_mut() = parts.method.clone();
    *req.uri_mut() = origin_form(&parts.uri);
    *req.headers_mut() = parts.headers.clone();
    req
}

/// Path and query only.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    Uri::from(path.unwrap_or_else(|| PathAndQuery::from_static("/")))
}
