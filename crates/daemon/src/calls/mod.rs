//! The call proxy: accepts calls from callers and other daemons and forwards them to backend
//! servers.
//!
//! A caller's call enters through [`outbound`], which asks the instance for a backend server and
//! makes attempts until one gets a response or the call is refused. [`inbound`] runs on the daemon
//! that hosts the chosen backend server: it acquires a concurrency slot and forwards the call to
//! the server. When the two are different daemons, the call travels between them over HTTP with an
//! authenticated [`hop`] header, and [`hop_calls`] takes it there. Routing, admission and retry decisions are all made by the
//! instance; the modules here do the I/O.

mod attempt;
mod body;
mod body_expiry;
mod call_identity;
mod context;
mod crash_checks;
mod credential;
mod decision_trace;
mod delivery;
mod headers;
mod hop;
mod hop_calls;
mod inbound;
mod lingering;
mod local_reply;
mod nested_calls;
mod outbound;
mod pipeline;
mod pool;
mod receive_limit;
mod recent_breaks;
mod response_writer;
mod serve;
mod server_answer;
mod slot_guard;
mod stopping;
mod tcp_options;
#[cfg(test)]
mod tests;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cyclamen_types::Mono;
use cyclamenmoor::StopTimes;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::call_metrics::CallMetrics;
use crate::calls::context::CallContext;
use crate::calls::serve::{AcceptedClients, ShutdownPhase, accept};
use crate::calls::stopping::StopSchedule;
use crate::decision_log::DecisionLog;
use crate::settings::Settings;
use crate::shared::SharedInstance;

/// The decision log and the metrics that the call proxy writes to.
#[derive(Clone, Default)]
pub struct CallObservers {
    /// Log of the decisions about each call; `None` writes none.
    pub decision_log: Option<DecisionLog>,
    /// Counters and latency histograms.
    pub metrics: Arc<CallMetrics>,
}

/// The listeners and connections of the call proxy of one daemon.
pub struct CallServer {
    phase: watch::Sender<ShutdownPhase>,
    ctx: CallContext,
    tasks: Mutex<JoinSet<()>>,
    stop: StopSchedule,
    /// Whether the listener stays open until the schedule closes it, even while nobody is connected.
    lingers: bool,
}

impl CallServer {
    /// Starts serving calls on `listener`. Without `hops`, `listener` serves callers and other
    /// daemons. With it, other daemons connect to `hops`, and calls on `listener` are treated as
    /// callers', and refused on connections beyond the limit for callers.
    pub fn start(
        shared: SharedInstance,
        settings: &Settings,
        observers: CallObservers,
        listener: TcpListener,
        hops: Option<TcpListener>,
    ) -> Self {
        let ctx = CallContext::new(shared, settings, observers);
        let phase = watch::Sender::new(ShutdownPhase::Serving);
        let mut tasks = JoinSet::new();
        tasks.spawn(pool::maintain(ctx.clone()));
        let clients = if hops.is_some() { AcceptedClients::Callers } else { AcceptedClients::Any };
        if let Some(hops) = hops {
            tasks.spawn(accept(ctx.clone(), AcceptedClients::Daemons, hops, phase.subscribe()));
        }
        tasks.spawn(accept(ctx.clone(), clients, listener, phase.subscribe()));
        let limits = &settings.limits;
        Self {
            phase,
            ctx,
            tasks: Mutex::new(tasks),
            stop: StopSchedule::from(limits),
            lingers: limits.stop_linger.is_some(),
        }
    }

    /// Longest time of a stop, until the connections that are still open are closed.
    pub fn longest_stop(&self) -> Duration {
        self.stop.connections_close
    }

    /// The times of a stop that is ordered at `now`.
    pub fn stop_times(&self, now: Mono) -> StopTimes {
        self.stop.times(now)
    }

    /// Drains and shuts down: keeps accepting for a while in which each response closes its
    /// connection, then closes the listeners and waits for calls in flight, as the [`StopSchedule`]
    /// says. Calls that remain get an answer that says that they may have run.
    pub async fn stop(&self) {
        let began = Instant::now();
        self.ctx.calls_end.set(began + self.stop.calls_end);
        let mut tasks = std::mem::take(&mut *self.lock());
        let phase = match self.lingers {
            true => ShutdownPhase::DrainingFullPeriod,
            false => ShutdownPhase::Draining,
        };
        self.phase.send_replace(phase);
        let until = began + self.stop.listeners_close;
        let ended = tokio::time::timeout_at(until, self.phase.closed()).await.is_ok();
        if !ended {
            self.phase.send_replace(ShutdownPhase::Closing);
            // What is still in flight then is aborted below.
            let until = began + self.stop.connections_close;
            let _ = tokio::time::timeout_at(until, self.phase.closed()).await;
        }
        tasks.shutdown().await;
    }

    /// Aborts all listeners and connections immediately.
    pub fn abort(&self) {
        self.lock().abort_all();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, JoinSet<()>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
