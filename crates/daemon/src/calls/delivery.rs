//! Records the calls whose callers get no whole response, and what ended their connections.

use std::sync::Arc;

use cyclamen_decisions::{CallDecision, LineKind, Loss};
use cyclamen_types::Mono;
use http::HeaderMap;

use crate::calls::context::CallContext;
use crate::calls::decision_trace::rounded_millis;

/// A call whose response is not yet written whole. Dropping it before [`Delivery::complete`] logs
/// and counts a loss.
pub(super) struct Delivery {
    ctx: CallContext,
    /// The request id; `None` if the caller sent none.
    call: Option<Arc<str>>,
    arrived: Mono,
    loss: Option<Loss>,
}

impl Delivery {
    /// Starts with the arrival of a call with these headers. Until [`Delivery::set_loss`], `loss`
    /// is the cause that is recorded when it is dropped.
    pub(super) fn start(ctx: &CallContext, headers: &HeaderMap, loss: Loss) -> Self {
        let id = headers.get(&ctx.headers.request_id);
        Self {
            ctx: ctx.clone(),
            call: id.map(|id| String::from_utf8_lossy(id.as_bytes()).into()),
            arrived: ctx.mono_now(),
            loss: Some(loss),
        }
    }

    /// Sets the cause that is recorded when this is dropped.
    pub(super) fn set_loss(&mut self, loss: Loss) {
        self.loss = Some(loss);
    }

    /// Ends with the whole response written, or handed to hyper; nothing is recorded.
    pub(super) fn complete(mut self) {
        self.loss = None;
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        let Some(loss) = self.loss else {
            return;
        };
        self.ctx.metrics.record_loss(loss);
        let (Some(log), Some(call)) = (&self.ctx.decision_log, &self.call) else {
            return;
        };
        let now = self.ctx.mono_now();
        let took_ms = rounded_millis(now.since(self.arrived));
        let decision = CallDecision::Unanswered { loss, took_ms };
        log.write_call(now, LineKind::Loss, call, vec![(self.ctx.wall_now(), decision)]);
    }
}
