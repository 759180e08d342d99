//! The slot of a call at a local backend server, freed when the call has ended, however it ends.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_routing::{CallId, RunOutcome};
use cyclamen_types::{RouteName, ServerName};
use cyclamenmoor::LocalCallResult;
use log::warn;

use crate::calls::context::CallContext;
use crate::calls::nested_calls::RunningCallGuard;

/// Holds a slot, or a place in the queue for one, until dropped.
pub(super) struct SlotGuard {
    pub(super) ctx: CallContext,
    pub(super) server: ServerName,
    pub(super) route: RouteName,
    pub(super) call: CallId,
    pub(super) address: SocketAddr,
    pub(super) outcome: RunOutcome,
    /// Whether the head of the response says that the server has run the call.
    pub(super) ran: bool,
    /// Whether the server has run the call and answered it whole.
    pub(super) answered: bool,
    /// Registers the running call, so that its nested calls are recognised. The latency of a call
    /// with nested calls is not measured, since it says nothing about the speed of its server.
    pub(super) running: Option<RunningCallGuard>,
}

impl SlotGuard {
    /// Records that the response has arrived whole.
    pub(super) fn complete(mut self) {
        self.answered = self.ran;
    }

    /// Reports that the response body failed after the head had arrived. The call counts as running
    /// until it is known whether the server crashed.
    pub(super) fn report_truncated_response(self) {
        self.report(LocalCallResult::failed(Duration::ZERO));
        tokio::spawn(async move { self.has_server_crashed().await });
    }

    /// Whether the server, to which the connection of this call broke, has crashed.
    pub(super) async fn has_server_crashed(&self) -> bool {
        let ctx = &self.ctx;
        let crashed =
            ctx.crash_checks.has_crashed(&ctx.server_pool, &self.server, self.address).await;
        if !crashed {
            return false;
        }
        let suspects = ctx
            .shared
            .with(|instance, now, effects| instance.server_crashed(now, &self.server, effects));
        if suspects > 0 {
            warn!(
                "backend server `{}` crashed while it ran {suspects} different calls",
                self.server
            );
        }
        true
    }

    /// Reports how a call ended to the moves of its service.
    pub(super) fn report(&self, sample: LocalCallResult) {
        self.ctx.shared.with(|instance, now, effects| {
            instance.record_call_result(now, &self.server, &self.route, sample, effects);
        });
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let (call, outcome, answered) = (self.call, self.outcome, self.answered);
        self.ctx.shared.cancel_slot_wait(call);
        self.ctx.shared.with(|instance, now, effects| {
            instance.end_run(now, &self.server, call, answered, effects);
            instance.release_call(now, &self.server, call, outcome, effects);
        });
    }
}
