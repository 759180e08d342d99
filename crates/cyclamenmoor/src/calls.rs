//! Calls at the daemon that a caller reached.

use std::time::Duration;

use cyclamen_moves::{CallSample, MoveStatus};
use cyclamen_routing::{
    Attempt, CallHead, HeardLoad, Next, Outcome, Refusal, RouterMode, ServerLoad,
};
use cyclamen_types::{MoveName, Now, RouteName, ServerName};

use crate::event::Effects;
use crate::instance::Instance;

/// Lowest status that is the backend server's own fault.
const SERVER_FAULT: u16 = 500;

/// How a backend server beside this daemon served a call, for the evidence of moves.
#[derive(Clone, Copy, Debug)]
pub struct Served {
    /// Whether it failed the call: status 500 or above, a broken connection, no answer in time.
    pub failed: bool,
    /// From the sending of the call to the head of the answer, or to the failure.
    pub latency: Duration,
    /// Whether a connection had to be opened for it.
    pub cold: bool,
}

impl Served {
    /// A call answered with this status.
    pub fn answered(status: u16, latency: Duration, cold: bool) -> Self {
        Self { failed: status >= SERVER_FAULT, latency, cold }
    }

    /// A call that broke off or got no answer in time.
    pub fn failed(latency: Duration) -> Self {
        Self { failed: true, latency, cold: false }
    }
}

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// All of it was passed on.
    Whole,
    /// It broke off at the server's side.
    Truncated,
    /// The caller went away before its end.
    Cancelled,
}

impl Instance {
    /// Begins a call at the daemon that the caller reached.
    ///
    /// # Errors
    /// The refusal to tell the caller; nothing was run.
    pub fn begin(&mut self, now: Now, head: &CallHead<'_>) -> Result<Attempt, Refusal> {
        self.router.begin(now, head)
    }

    /// Ends an attempt: the router learns from it.
    pub fn finish(&mut self, now: Now, attempt: &Attempt, outcome: Outcome) -> Next {
        self.router.finish(now, attempt.id, outcome)
    }

    /// Ends the body of an answer that was passed on.
    pub fn end_body(&mut self, now: Now, attempt: &Attempt, end: BodyEnd) {
        self.router.end_body(now, attempt.id, end != BodyEnd::Truncated);
    }

    /// Takes what a backend server beside this daemon did with a call as evidence for the moves
    /// of its service. Only this daemon reports it, so reports grow with the servers of a
    /// service and not with the fleet.
    pub fn observe(
        &mut self,
        now: Now,
        server: &ServerName,
        route: &RouteName,
        served: Served,
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
            failed: served.failed,
            latency: served.latency,
            cold: served.cold,
        };
        self.moves.record(now, &sample, &mut self.moves_out);
        if !self.moves_out.is_empty() {
            self.settle(now, out);
        }
    }

    /// Learns how many bytes a call of a route and its answer have.
    pub fn observe_size(&mut self, route: &RouteName, bytes: u64) {
        self.router.observe_size(route, bytes);
    }

    /// Learns from the load that the daemon beside a backend server reported.
    pub fn observe_load(&mut self, now: Now, server: &ServerName, load: ServerLoad) {
        self.router.observe_load(now, server, load);
    }

    /// What is known of the loads of other servers of the service of one beside this daemon.
    pub fn tell_loads(&mut self, now: Now, beside: &ServerName) -> Vec<HeardLoad> {
        let Some(service) = self.beside.get(beside).map(|server| server.service.clone()) else {
            return Vec::new();
        };
        self.router.tell_loads(now, &service, beside)
    }

    /// Learns from the loads that another daemon told of.
    pub fn hear_loads(&mut self, now: Now, loads: &[HeardLoad]) {
        self.router.hear_loads(now, loads);
    }

    /// Changes how calls are decided; for measurements.
    pub fn set_router_mode(&mut self, mode: RouterMode) {
        self.router.set_mode(mode);
    }

    /// One move as an operator reads it.
    pub fn move_status(&self, name: &MoveName) -> Option<MoveStatus> {
        self.moves.status(name)
    }
}
