//! Calls: from callers and other daemons to backend servers.
//!
//! A caller's call enters at [`edge`], which chooses the backend server. Beside that server
//! [`host`] takes a slot and passes the call on; another daemon's [`edge`] reaches it over HTTP
//! with a sealed [`hop`] header. All decisions are the instance's.

mod answer;
mod around;
mod attempt;
mod body;
mod edge;
mod headers;
mod hop;
mod host;
mod pipeline;
mod plane;
mod pool;
mod respond;
mod serve;
mod silence;
mod trail;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::call_metrics::CallMetrics;
use crate::calls::plane::Plane;
use crate::calls::serve::{Door, Phase, accept};
use crate::lines::Lines;
use crate::settings::Settings;
use crate::shared::Shared;

/// Longest time that idle connections are left open at a stop, so that each can carry an answer
/// that closes it.
const LONGEST_LINGER: Duration = Duration::from_secs(2);

/// Who is told of calls.
#[derive(Clone, Default)]
pub struct Observers {
    /// Where decisions about calls are written, if anywhere.
    pub lines: Option<Lines>,
    /// Counters and times of calls.
    pub metrics: Arc<CallMetrics>,
}

/// The call server of one daemon.
pub struct CallServer {
    phase: watch::Sender<Phase>,
    tasks: Mutex<JoinSet<()>>,
    stop_grace: Duration,
    stop_linger: Option<Duration>,
}

impl CallServer {
    /// Serves calls on `listener`; those of daemons on `hops`, where there is one.
    pub fn start(
        shared: Shared,
        settings: &Settings,
        observers: Observers,
        listener: TcpListener,
        hops: Option<TcpListener>,
    ) -> Self {
        let plane = Plane::new(shared, settings, observers);
        let phase = watch::Sender::new(Phase::Serving);
        let mut tasks = JoinSet::new();
        tasks.spawn(pool::tend(plane.clone()));
        let door = if hops.is_some() { Door::Callers } else { Door::Both };
        if let Some(hops) = hops {
            tasks.spawn(accept(plane.clone(), Door::Daemons, hops, phase.subscribe()));
        }
        tasks.spawn(accept(plane, door, listener, phase.subscribe()));
        let limits = &settings.limits;
        Self {
            phase,
            tasks: Mutex::new(tasks),
            stop_grace: limits.stop_grace,
            stop_linger: limits.stop_linger,
        }
    }

    /// Refuses new calls as not run and waits for those in flight.
    pub async fn stop(&self) {
        let mut tasks = std::mem::take(&mut *self.lock());
        let linger = self.stop_linger.unwrap_or(LONGEST_LINGER.min(self.stop_grace / 4));
        let phase = match self.stop_linger {
            Some(_) => Phase::Staying,
            None => Phase::Lingering,
        };
        self.phase.send_replace(phase);
        let ended = tokio::time::timeout(linger, self.phase.closed()).await.is_ok();
        if !ended {
            self.phase.send_replace(Phase::Closing);
            // What is not done by then is cut.
            let _ = tokio::time::timeout(self.stop_grace, self.phase.closed()).await;
        }
        tasks.shutdown().await;
    }

    /// Cuts everything at once.
    pub fn kill(&self) {
        self.lock().abort_all();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, JoinSet<()>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
