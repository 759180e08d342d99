//! Routing of calls at the daemon that the caller reached, and the observations that this and the
//! hosting daemon feed back: results for the moves, sizes and loads for the router.

use std::time::Duration;

use cyclamen_moves::{CallSample, MoveStatus};
use cyclamen_routing::{
    Attempt, CallHead, Next, Outcome, Refusal, RouterMode, ServerLoad, SharedLoad,
};
use cyclamen_types::{Mono, MoveName, Now, RouteName, ServerName};

use crate::event::Effects;
use crate::instance::Instance;

/// Lowest HTTP status that counts as a failure of the backend server.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Result of a call at a local backend server, used as evidence for moves.
#[derive(Clone, Copy, Debug)]
pub struct LocalCallResult {
    /// Whether the server failed the call: status 500 or above, a broken connection, or no response
    /// in time.
    pub failed: bool,
    /// Time from sending the request to receiving the response headers, or to the failure.
    pub latency: Duration,
    /// Whether a new connection had to be opened for the call.
    pub new_connection: bool,
}

impl LocalCallResult {
    /// The result of a call that got a response with this HTTP status.
    pub fn from_status(status: u16, latency: Duration, new_connection: bool) -> Self {
        Self { failed: status >= MIN_SERVER_ERROR_STATUS, latency, new_connection }
    }

    /// The result of a call whose connection broke or that got no response in time.
    pub fn failed(latency: Duration) -> Self {
        Self { failed: true, latency, new_connection: false }
    }
}

/// How forwarding a response body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The whole body was forwarded.
    Complete,
    /// The server side broke off.
    Truncated,
    /// The caller disconnected before the end.
    Cancelled,
}

impl Instance {
    /// Chooses a route and a backend server for a new call and starts its first attempt.
    ///
    /// # Errors
    /// Returns the refusal to answer the caller with; the call was not run.
    pub fn begin_call(&mut self, now: Now, head: &CallHead<'_>) -> Result<Attempt, Refusal> {
        let matched = self.router.match_call(now, head)?;
        let account = matched.account().cloned();
        self.take_token(now, account.as_ref())?;
        let begun = self.router.begin_matched(now, head, matched);
        if begun.is_err() {
            self.give_back_token(now, account.as_ref());
        }
        begun
    }

    /// Reports the outcome of an attempt to the router, which decides what to do next.
    pub fn finish_attempt(&mut self, now: Now, attempt: &Attempt, outcome: Outcome) -> Next {
        let next = self.router.finish(now, attempt.id, outcome);
        if let Next::Refuse(refusal) = &next {
            self.give_back_if_not_run(now, attempt, refusal);
        }
        next
    }

    /// Number of attempts under way, including those whose response body is still being forwarded.
    pub fn attempts_in_flight(&self) -> usize {
        self.router.in_flight()
    }

    /// Reports how forwarding the response body of an attempt ended. Only a truncated body counts
    /// against the backend server.
    pub fn end_body(&mut self, now: Now, attempt: &Attempt, end: BodyEnd) {
        self.router.end_body(now, attempt.id, end != BodyEnd::Truncated);
    }

    /// Records the result of a call at a local backend server as evidence for the moves of its
    /// service. Only the daemon that hosts the server reports it, so the number of reports grows
    /// with the servers of a service and not with the size of the fleet.
    pub fn record_call_result(
        &mut self,
        now: Now,
        server: &ServerName,
        route: &RouteName,
        result: LocalCallResult,
        out: &mut Effects,
    ) {
        let Some(record) = self.membership.own_server(server) else {
            return;
        };
        let config = self.ledger.config();
        let Some(version) = config.counted_version(&record.service, &record.version) else {
            return;
        };
        let sample = CallSample {
            route,
            service: &record.service,
            version: &version,
            server,
            failed: result.failed,
            latency: result.latency,
            new_connection: result.new_connection,
            warm: self.was_warm(server, now.mono - result.latency),
        };
        self.moves.record_call(now, &sample, &mut self.move_effects);
        if !self.move_effects.is_empty() {
            self.reconcile(now, out);
        }
    }

    /// Reports the bytes of a request on a route and its response, together, to the router.
    pub fn observe_bytes(&mut self, route: &RouteName, bytes: u64) {
        self.router.observe_bytes(route, bytes);
    }

    /// Reports to the router whether the daemon hosting a server of this route takes its calls for
    /// nested ones.
    pub fn observe_nested_route(&mut self, route: &RouteName, nested: bool) {
        self.router.observe_nested_route(route, nested);
    }

    /// Reports to the router that the server error of an attempt, whose outcome follows, comes of a
    /// failed call that the server made.
    pub fn observe_nested_failure(&mut self, attempt: &Attempt) {
        self.router.observe_nested_failure(attempt.id);
    }

    /// Whether a call that a local backend server made has failed since then.
    pub fn nested_call_failed_since(&self, since: Mono) -> bool {
        self.router.nested_call_failed_since(since)
    }

    /// Updates the router with the load that the daemon hosting a backend server reported.
    pub fn observe_load(&mut self, now: Now, server: &ServerName, load: ServerLoad) {
        self.router.observe_load(now, server, load);
    }

    /// Known loads of some other servers of the service that local backend server `server` belongs
    /// to, to be shared with another daemon; empty if `server` is not local.
    pub fn loads_to_share(&mut self, now: Now, server: &ServerName) -> Vec<SharedLoad> {
        let Some(service) = self.local_servers.get(server).map(|local| local.service.clone())
        else {
            return Vec::new();
        };
        self.router.loads_to_share(now, &service, server)
    }

    /// Updates the router with the loads that another daemon shared.
    pub fn observe_shared_loads(&mut self, now: Now, loads: &[SharedLoad]) {
        self.router.observe_shared_loads(now, loads);
    }

    /// Switches between full and baseline routing. Used by benchmarks only.
    pub fn set_router_mode(&mut self, mode: RouterMode) {
        self.router.set_mode(mode);
    }

    /// Status of a move for operators; `None` if there is no move of this name.
    pub fn move_status(&self, name: &MoveName) -> Option<MoveStatus> {
        self.moves.status(name)
    }
}
