//! One attempt of a call, made on a local backend server or through another daemon, and the report
//! of its result to the instance.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_blocklist::{CallDigest, CallKey, Scope};
use cyclamen_routing::{Attempt, Hop, Next, Outcome, Refusal, ServerLoad};
use cyclamen_types::{Mono, ServerName};
use cyclamenmoor::BodyEnd;
use http::header::HeaderName;
use http::request::Parts;
use http::uri::{PathAndQuery, Uri};
use http::{Request, Response, Version};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use tokio::time::Instant;

use crate::calls::body::{AttemptBody, ResponseBody};
use crate::calls::call_identity;
use crate::calls::context::CallContext;
use crate::calls::headers;
use crate::calls::hop::{HOP_REQUEST_HEADER, HopCall, HopId, HopOutcome, HopResponse};
use crate::calls::inbound::{self, InboundCall, InboundOutcome};
use crate::calls::nested_calls::AncestorServices;
use crate::calls::pool::{Exchange, ResendPolicy, SendFailure};

/// Largest response body, in bytes, that is buffered as a fallback while another attempt is made.
const MAX_FALLBACK_BODY_BYTES: usize = 16 * 1024;

/// Longest time for the body of a fallback response to arrive.
const FALLBACK_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// An attempt that was planned or is in progress. Dropping it before [`ActiveAttempt::finish`]
/// reports it as cancelled: the caller disconnected, or the call ended before the attempt was sent.
pub(super) struct ActiveAttempt {
    ctx: CallContext,
    attempt: Attempt,
    origin: CallOrigin,
    finished: bool,
}

/// What all attempts of a call have in common.
#[derive(Clone)]
pub(super) struct CallOrigin {
    /// The ancestor services of the call.
    pub(super) ancestors: AncestorServices,
    /// Digest of the call; `None` if its body is streamed.
    pub(super) digest: Option<CallDigest>,
}

/// The result of an attempt.
pub(super) struct AttemptResult {
    pub(super) outcome: Outcome,
    load: Option<ServerLoad>,
    /// Whether the hosting daemon takes the calls of the route for nested ones, as far as it knows.
    nested_route: Option<bool>,
    /// Whether a call that the server made failed, and with it this one.
    nested_failure: bool,
    response: Option<Response<ResponseBody>>,
}

/// Reports to the instance how the body of a response ended. Dropping it first reports that the
/// caller disconnected.
pub(super) struct BodyEndGuard {
    ctx: CallContext,
    attempt: Attempt,
    reported: bool,
}

impl ActiveAttempt {
    /// Starts an attempt that the instance has just planned.
    pub(super) fn start(ctx: &CallContext, attempt: Attempt, origin: CallOrigin) -> Self {
        Self { ctx: ctx.clone(), attempt, origin, finished: false }
    }

    /// The routing decision behind the attempt.
    pub(super) fn attempt(&self) -> &Attempt {
        &self.attempt
    }

    /// What this attempt has in common with the others of its call.
    pub(super) fn origin(&self) -> &CallOrigin {
        &self.origin
    }

    /// The key under which the call is blocked, if it is.
    pub(super) fn blocked_key(&self) -> Option<CallKey> {
        let scope = Scope {
            caller: self.ctx.caller_service.as_ref(),
            service: &self.attempt.service,
            version: &self.attempt.version,
        };
        let key = call_identity::key(&self.ctx, self.origin.digest?, &scope);
        self.ctx.shared.read(|instance| instance.is_blocked(key)).then_some(key)
    }

    /// Ends an attempt of a blocked call, which must not be sent, and returns the refusal for the
    /// caller.
    pub(super) fn refuse_blocked(mut self) -> Refusal {
        self.finished = true;
        self.ctx.shared.with(|instance, now, _| instance.refuse_blocked(now, &self.attempt))
    }

    /// The position of this attempt among those of its call, from 1.
    pub(super) fn number(&self) -> u32 {
        self.attempt.previous_attempts + 1
    }

    /// The chosen backend server.
    pub(super) fn server(&self) -> &ServerName {
        &self.attempt.server
    }

    /// Sends the request to the next hop and waits for the head of the response.
    pub(super) async fn send_request(&self, parts: &Parts, body: AttemptBody) -> AttemptResult {
        let req = next_hop_request(parts, body);
        match self.attempt.hop {
            Hop::Local(address) => self.send_local(address, req).await,
            Hop::Daemon(address) => self.send_remote(address, req).await,
        }
    }

    /// Reports the result to the instance, which decides what follows. With [`Next::Deliver`] comes
    /// a [`BodyEndGuard`] for the response body.
    pub(super) fn finish(mut self, result: &AttemptResult) -> (Next, Option<BodyEndGuard>) {
        let next = self.report(result);
        let body_end = (next == Next::Deliver).then(|| BodyEndGuard {
            ctx: self.ctx.clone(),
            attempt: self.attempt.clone(),
            reported: false,
        });
        (next, body_end)
    }

    /// Reports the outcome to the instance, with what the hosting daemon told about the server and
    /// the route, and the length of the response body.
    fn report(&mut self, result: &AttemptResult) -> Next {
        self.finished = true;
        self.ctx.shared.with(|instance, now, _| {
            if let Some(load) = result.load {
                instance.observe_load(now, &self.attempt.server, load);
            }
            if let Some(nested) = result.nested_route {
                instance.observe_nested_route(&self.attempt.route, nested);
            }
            if result.nested_failure {
                instance.observe_nested_failure(&self.attempt);
            }
            if let Some(bytes) = result.body_bytes() {
                instance.observe_bytes(&self.attempt.route, bytes);
            }
            instance.finish_attempt(now, &self.attempt, result.outcome)
        })
    }

    async fn send_local(&self, address: SocketAddr, req: Request<AttemptBody>) -> AttemptResult {
        let call = InboundCall {
            server: self.attempt.server.clone(),
            service: self.attempt.service.clone(),
            version: self.attempt.version.clone(),
            ancestors: self.origin.ancestors.clone(),
            digest: self.origin.digest,
            route: self.attempt.route.clone(),
            address,
            criticality: self.attempt.criticality,
            idempotent: self.attempt.idempotent,
            caller_service: self.ctx.caller_service.clone(),
            latency_target_at: self.attempt.target_at,
            deadline: self.attempt.deadline,
            repeat: self.attempt.repeat,
            crashed_server: self.attempt.crashed_server.clone(),
            account: self.attempt.account.clone(),
            moves_left: self.attempt.moves_left,
        };
        let end = inbound::run(&self.ctx, call, req).await;
        let (server, route) = (&self.attempt.server, &self.attempt.route);
        let now = self.ctx.shared.now();
        let (load, nested_route) = self.ctx.shared.read(|instance| {
            (instance.load_to_report(now, server), instance.is_nested_route(server, route))
        });
        AttemptResult { nested_route, ..AttemptResult::from_local(end, load) }
    }

    async fn send_remote(
        &self,
        address: SocketAddr,
        mut req: Request<AttemptBody>,
    ) -> AttemptResult {
        let id = self.ctx.hop_seal.next_id();
        let deadline = self.ctx.to_instant(self.attempt.deadline);
        if self.insert_hop_header(id, &mut req).is_none() {
            return AttemptResult::without_response(Outcome::NotConnected);
        }
        let exchange =
            match self.ctx.daemon_pool.send(address, req, deadline, ResendPolicy::Never).await {
                Ok(exchange) => exchange,
                Err(SendFailure::NotConnected) => {
                    return AttemptResult::without_response(Outcome::NotConnected);
                }
                Err(SendFailure::Unsent) => {
                    return AttemptResult::without_response(Outcome::RefusedByDaemon {
                        retry_after: Duration::ZERO,
                    });
                }
                Err(SendFailure::Reset) => return AttemptResult::without_response(Outcome::Reset),
                Err(SendFailure::TimedOut) => {
                    return AttemptResult::without_response(Outcome::TimedOut);
                }
            };
        let status = exchange.response.status();
        let headers = exchange.response.headers();
        // A response that is not authenticated for this attempt does not say whether it was run.
        let Some(answer) = self.ctx.hop_seal.verify_response(id, status, headers) else {
            return AttemptResult::without_response(Outcome::Reset);
        };
        self.ctx.shared.with(|instance, now, _| instance.observe_shared_loads(now, &answer.others));
        AttemptResult::from_remote(&answer, exchange, deadline)
    }

    /// Adds the authenticated hop header for the daemon that hosts the backend server; `None` if
    /// its value is not a valid header value.
    fn insert_hop_header(&self, id: HopId, req: &mut Request<AttemptBody>) -> Option<()> {
        let time_left = self.ctx.time_left(self.attempt.deadline);
        let server = self.attempt.server.clone();
        let route = self.attempt.route.clone();
        let target_at = self.attempt.target_at;
        let latency_target_left = (target_at != Mono::NEVER).then(|| self.ctx.time_left(target_at));
        let criticality = self.attempt.criticality;
        let call = HopCall {
            server,
            route,
            id,
            time_left,
            latency_target_left,
            criticality,
            idempotent: self.attempt.idempotent,
            ancestors: self.origin.ancestors.clone(),
            repeat: self.attempt.repeat,
            crashed_server: self.attempt.crashed_server.clone(),
            account: self.attempt.account.clone(),
            moves_left: self.attempt.moves_left,
        };
        let header = self.ctx.hop_seal.seal_call(self.ctx.wall_now(), &call, req)?;
        req.headers_mut().insert(HeaderName::from_static(HOP_REQUEST_HEADER), header);
        Some(())
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        if !self.finished {
            self.report(&AttemptResult::without_response(Outcome::Cancelled));
        }
    }
}

impl AttemptResult {
    fn without_response(outcome: Outcome) -> Self {
        Self { outcome, load: None, nested_route: None, nested_failure: false, response: None }
    }

    /// The result of an attempt on a local backend server.
    fn from_local(end: InboundOutcome, load: ServerLoad) -> Self {
        let outcome = end.outcome();
        let mut result = Self { load: Some(load), ..Self::without_response(outcome) };
        if let InboundOutcome::Answered(answer) = end {
            result.nested_failure = answer.nested_failure;
            result.response = Some(answer.response);
        }
        result
    }

    /// The result of an attempt through another daemon.
    fn from_remote(answer: &HopResponse, exchange: Exchange, deadline: Instant) -> Self {
        let Exchange { response, lease, .. } = exchange;
        let (mut parts, incoming) = response.into_parts();
        headers::strip_hop_by_hop(&mut parts.headers);
        parts.version = Version::HTTP_11;
        // A response without a body returns its connection to the pool here.
        let response =
            Response::from_parts(parts, ResponseBody::streamed(incoming, lease, deadline));
        let outcome = match answer.outcome {
            HopOutcome::Ran => answered_outcome(&response),
            HopOutcome::Full => Outcome::RefusedByDaemon { retry_after: answer.retry_after },
            HopOutcome::Shed => Outcome::Shed { retry_after: answer.retry_after },
            HopOutcome::Blocked => Outcome::Blocked,
            HopOutcome::Down => Outcome::NotConnected,
            HopOutcome::Unknown => Outcome::Reset,
            HopOutcome::Crashed => Outcome::ServerCrashed,
            HopOutcome::Late => Outcome::TimedOut,
        };
        Self {
            outcome,
            load: Some(answer.load),
            nested_route: answer.nested_route,
            nested_failure: answer.nested_failure,
            response: (answer.outcome == HopOutcome::Ran).then_some(response),
        }
    }

    /// Length of the response body in bytes, if there is a response and its length is known.
    fn body_bytes(&self) -> Option<u64> {
        self.response.as_ref()?.body().size_hint().exact()
    }

    /// Whether the head of a response arrived.
    pub(super) fn is_answered(&self) -> bool {
        matches!(self.outcome, Outcome::Answered { .. })
    }

    /// Buffers the response, as a fallback in case later attempts get no better one. `None` without
    /// a response, or if its body is longer than [`MAX_FALLBACK_BODY_BYTES`] or does not arrive
    /// within [`FALLBACK_BODY_TIMEOUT`].
    pub(super) async fn into_buffered(self) -> Option<Response<ResponseBody>> {
        let (parts, body) = self.response?.into_parts();
        let buffering = Limited::new(body, MAX_FALLBACK_BODY_BYTES).collect();
        let body = tokio::time::timeout(FALLBACK_BODY_TIMEOUT, buffering).await.ok()?.ok()?;
        Some(Response::from_parts(parts, ResponseBody::buffered(body.to_bytes())))
    }

    /// The response, if there is one, of an attempt that has ended for the instance.
    pub(super) fn into_answer(self) -> Option<Response<ResponseBody>> {
        self.response
    }

    /// The response for the caller, whose body reports its end through `body_end`.
    pub(super) fn into_response(self, body_end: Option<BodyEndGuard>) -> Response<ResponseBody> {
        let response = self.response.unwrap_or_default();
        match body_end {
            Some(body_end) => response.map(|body| body.with_body_end(body_end)),
            None => response,
        }
    }
}

impl BodyEndGuard {
    /// Reports the end of the body; later calls have no effect.
    pub(super) fn report(&mut self, end: BodyEnd) {
        if std::mem::replace(&mut self.reported, true) {
            return;
        }
        self.ctx.shared.with(|instance, now, _| instance.end_body(now, &self.attempt, end));
    }
}

impl Drop for BodyEndGuard {
    fn drop(&mut self) {
        self.report(BodyEnd::Cancelled);
    }
}

fn answered_outcome(response: &Response<ResponseBody>) -> Outcome {
    Outcome::Answered { status: response.status().as_u16() }
}

/// The request for the next hop.
fn next_hop_request(parts: &Parts, body: AttemptBody) -> Request<AttemptBody> {
    let mut req = Request::new(body);
    *req.method_mut() = parts.method.clone();
    *req.uri_mut() = origin_form(&parts.uri);
    *req.headers_mut() = parts.headers.clone();
    req
}

/// Path and query of `uri`; `/` if there are none.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    Uri::from(path.unwrap_or_else(|| PathAndQuery::from_static("/")))
}
