//! What every call of one daemon shares.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cyclamen_port::CallHeaders;
use cyclamen_routing::CallId;
use cyclamen_types::{Mono, ServiceName, Wall};
use derive_more::Deref;
use http::HeaderMap;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::call_metrics::CallMetrics;
use crate::calls::Observers;
use crate::calls::around::{RunningIds, ServicesAround};
use crate::calls::hop::HopSeal;
use crate::calls::pool::Pool;
use crate::lines::Lines;
use crate::settings::Settings;
use crate::shared::Shared;

/// Connections that a daemon opens to another at most.
const DAEMON_CONNECTIONS: usize = 512;

/// Bytes of bodies of calls held at a time, over all calls.
const HELD_BYTES: usize = 32 * 1024 * 1024;

/// Shared by the calls of one daemon; cheap to clone.
#[derive(Clone, Deref)]
pub(super) struct Plane(Arc<Inner>);

/// What every call needs.
pub(super) struct Inner {
    pub(super) shared: Shared,
    pub(super) seal: HopSeal,
    /// Names of the headers of calls and answers.
    pub(super) headers: CallHeaders,
    /// The service on whose instance this daemon runs, where backend servers are told.
    pub(super) caller_service: Option<ServiceName>,
    /// Where decisions about calls are written, if anywhere.
    pub(super) lines: Option<Lines>,
    /// Counters and times of calls.
    pub(super) metrics: Arc<CallMetrics>,
    /// Connections to backend servers beside this daemon.
    pub(super) servers: Pool,
    /// Connections to other daemons.
    pub(super) daemons: Pool,
    /// One permit for each byte of a body that may be held.
    pub(super) held_bytes: Arc<Semaphore>,
    /// What runs on backend servers beside this daemon.
    pub(super) running: RunningIds,
    last_call: AtomicU64,
    caller_connections: usize,
}

impl Plane {
    pub(super) fn new(shared: Shared, settings: &Settings, observers: Observers) -> Self {
        let connections = usize::try_from(settings.limits.caller_connections).unwrap_or(usize::MAX);
        Self(Arc::new(Inner {
            shared,
            lines: observers.lines,
            metrics: observers.metrics,
            seal: HopSeal::new(&settings.mesh_key),
            headers: settings.headers(),
            caller_service: settings.platform.as_ref().map(|platform| platform.service.clone()),
            servers: Pool::new(crate::calls::pool::SERVER_CONNECTIONS),
            daemons: Pool::new(DAEMON_CONNECTIONS),
            held_bytes: Arc::new(Semaphore::new(HELD_BYTES)),
            running: RunningIds::default(),
            last_call: AtomicU64::new(0),
            caller_connections: connections,
        }))
    }

    pub(super) fn next_call(&self) -> CallId {
        CallId(self.last_call.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// The services around a call with these headers.
    pub(super) fn around(&self, headers: &HeaderMap) -> ServicesAround {
        if !self.headers.nested_calls_keep_id {
            return ServicesAround::default();
        }
        let id = headers.get(&self.headers.request_id);
        id.map(|id| self.running.around(id)).unwrap_or_default()
    }

    pub(super) fn caller_connections(&self) -> usize {
        self.caller_connections
    }

    pub(super) fn mono(&self) -> Mono {
        self.shared.now().mono
    }

    pub(super) fn wall(&self) -> Wall {
        self.shared.now().wall
    }

    /// Time left until a deadline.
    pub(super) fn left(&self, deadline: Mono) -> Duration {
        deadline.since(self.mono())
    }

    /// A deadline as tokio counts.
    pub(super) fn until(&self, deadline: Mono) -> Instant {
        Instant::now() + self.left(deadline)
    }
}
