//! State shared by all calls of one daemon: the instance, connection pools, header names, metrics
//! and the budget for buffered request bodies.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cyclamen_blocklist::DigestKey;
use cyclamen_port::CallHeaders;
use cyclamen_routing::{CallId, Nesting};
use cyclamen_types::{Mono, ServiceName, Wall};
use cyclamenmoor::Instance;
use derive_more::Deref;
use http::HeaderMap;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::call_metrics::CallMetrics;
use crate::calls::CallObservers;
use crate::calls::crash_checks::CrashChecks;
use crate::calls::hop::HopSeal;
use crate::calls::nested_calls::{ParentCall, RunningCalls};
use crate::calls::pool::{self, Pool, PoolLimits};
use crate::calls::stopping::CallsEnd;
use crate::decision_log::DecisionLog;
use crate::settings::Settings;
use crate::shared::SharedInstance;

/// Bounds of the connections to one local backend server.
const SERVER_POOL_LIMITS: PoolLimits =
    PoolLimits { connections: pool::MAX_SERVER_CONNECTIONS, buffer_bytes: 64 * 1024 };

/// Bounds of the connections to one other daemon. The head of its response is that of its backend
/// server, which [`SERVER_POOL_LIMITS`] bounds, with a hop header.
const DAEMON_POOL_LIMITS: PoolLimits = PoolLimits { connections: 512, buffer_bytes: 128 * 1024 };

/// Most bytes of request bodies buffered at a time, over all calls.
const MAX_TOTAL_BUFFERED_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Most bytes of responses held at a time, over all connections, because calls behind them are in
/// progress.
const MAX_TOTAL_HELD_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// A handle to the shared state; cheap to clone.
#[derive(Clone, Deref)]
pub(super) struct CallContext(Arc<Inner>);

pub(super) struct Inner {
    pub(super) shared: SharedInstance,
    pub(super) hop_seal: HopSeal,
    /// Names of the headers that daemons read and write on requests and responses.
    pub(super) headers: CallHeaders,
    /// The service on whose instance this daemon runs, sent to backend servers as the calling
    /// service; `None` without a platform.
    pub(super) caller_service: Option<ServiceName>,
    /// Log of the decisions about each call; `None` writes none.
    pub(super) decision_log: Option<DecisionLog>,
    /// Counters and latency histograms.
    pub(super) metrics: Arc<CallMetrics>,
    /// Connections to local backend servers.
    pub(super) server_pool: Pool,
    /// Connections to other daemons.
    pub(super) daemon_pool: Pool,
    /// Computes the digests by which calls that crash servers are recognised.
    pub(super) digest_key: DigestKey,
    /// Checks whether local backend servers have crashed.
    pub(super) crash_checks: CrashChecks,
    /// One permit per byte of request body that may still be buffered.
    pub(super) body_budget: Arc<Semaphore>,
    /// One permit per byte of response that may still be held.
    pub(super) held_response_budget: Arc<Semaphore>,
    /// When calls are given up because the daemon stops.
    pub(super) calls_end: CallsEnd,
    /// Calls running on local backend servers, by request id.
    pub(super) running_calls: RunningCalls,
    last_call_id: AtomicU64,
    max_caller_connections: usize,
}

impl CallContext {
    pub(super) fn new(
        shared: SharedInstance,
        settings: &Settings,
        observers: CallObservers,
    ) -> Self {
        let max_caller_connections =
            usize::try_from(settings.limits.caller_connections).unwrap_or(usize::MAX);
        Self(Arc::new(Inner {
            shared,
            decision_log: observers.decision_log,
            metrics: observers.metrics,
            hop_seal: HopSeal::new(&settings.mesh_key),
            headers: settings.call_headers(),
            caller_service: settings.platform.as_ref().map(|platform| platform.service.clone()),
            server_pool: Pool::new(SERVER_POOL_LIMITS),
            daemon_pool: Pool::new(DAEMON_POOL_LIMITS),
            digest_key: DigestKey::new(&settings.mesh_key.0),
            crash_checks: CrashChecks::default(),
            body_budget: Arc::new(Semaphore::new(MAX_TOTAL_BUFFERED_BODY_BYTES)),
            held_response_budget: Arc::new(Semaphore::new(MAX_TOTAL_HELD_RESPONSE_BYTES)),
            calls_end: CallsEnd::default(),
            running_calls: RunningCalls::default(),
            last_call_id: AtomicU64::new(0),
            max_caller_connections,
        }))
    }

    pub(super) fn next_call_id(&self) -> CallId {
        CallId(self.last_call_id.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// The running call that made a call with these headers. `None` also when nested calls do not
    /// keep the request id, since they cannot be recognised then.
    pub(super) fn parent_call(&self, headers: &HeaderMap) -> Option<ParentCall> {
        if !self.headers.nested_calls_keep_id {
            return None;
        }
        self.running_calls.parent(headers.get(&self.headers.request_id)?)
    }

    /// Whether a call running at a local backend server may have made a call with this parent.
    pub(super) fn may_be_nested(&self, instance: &Instance, parent: Option<&ParentCall>) -> bool {
        match parent {
            Some(_) => true,
            None if self.headers.nested_calls_keep_id => false,
            None => instance.running_repeats().running > 0,
        }
    }

    /// Whether a running repeat may have made a call with this parent.
    pub(super) fn nesting(&self, instance: &Instance, parent: Option<&ParentCall>) -> Nesting {
        match parent {
            Some(parent) => Nesting::Nested { repeat: parent.repeat },
            None if self.headers.nested_calls_keep_id => Nesting::NO_REPEATS,
            None => Nesting::ByRoute { running_repeats: instance.running_repeats().share() },
        }
    }

    pub(super) fn max_caller_connections(&self) -> usize {
        self.max_caller_connections
    }

    pub(super) fn mono_now(&self) -> Mono {
        self.shared.now().mono
    }

    pub(super) fn wall_now(&self) -> Wall {
        self.shared.now().wall
    }

    /// Time remaining until `deadline`; zero once it has passed.
    pub(super) fn time_left(&self, deadline: Mono) -> Duration {
        deadline.since(self.mono_now())
    }

    /// Converts a deadline to the clock of tokio.
    pub(super) fn to_instant(&self, deadline: Mono) -> Instant {
        Instant::now() + self.time_left(deadline)
    }
}
