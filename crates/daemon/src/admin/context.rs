//! State shared by the endpoints: the instance, the tokens, and waits for events.

use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;

use cyclamen_types::TeamName;
use dropshot::RequestContext;
use tokio::sync::watch;
use tokio::time::Instant;

use super::auth;
use super::error::{ApiError, ErrorCode};
use crate::settings::{OperatorToken, Settings};
use crate::shared::SharedInstance;

/// Maximum time that one request waits for an event, even if its `wait_ms` is longer.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// The request context that dropshot passes to every endpoint.
pub(super) type Request = RequestContext<Context>;

/// State shared by the endpoints of one daemon.
pub(super) struct Context {
    shared: OnceLock<SharedInstance>,
    stopping: watch::Sender<bool>,
    tokens: Vec<OperatorToken>,
    calls_address: SocketAddr,
    pub(super) announcement_lease: Duration,
}

impl Context {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            shared: OnceLock::new(),
            stopping: watch::Sender::new(false),
            tokens: settings.tokens.clone(),
            calls_address: settings.listen.calls,
            announcement_lease: settings.limits.announcement_lease,
        }
    }

    /// Sets the instance; until then, endpoints that need it answer [`ErrorCode::NotReady`].
    pub(super) fn set_instance(&self, shared: SharedInstance) {
        // If an instance is already set, it stays.
        let _ = self.shared.set(shared);
    }

    /// The instance.
    ///
    /// # Errors
    /// The daemon is still starting, and no instance is set.
    pub(super) fn shared(&self) -> Result<&SharedInstance, ApiError> {
        let not_ready = || ApiError::new(ErrorCode::NotReady, "the daemon is starting: try again");
        self.shared.get().ok_or_else(not_ready)
    }

    /// Ends all waits, so that no waiting request delays the shutdown.
    pub(super) fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Evaluates `probe` at once and after each signalled change of the instance (see
    /// [`SharedInstance::changed`]), until it returns a value.
    ///
    /// Returns `None` when the daemon stops, at the deadline, or after [`MAX_WAIT`].
    ///
    /// # Errors
    /// The daemon is still starting.
    pub(super) async fn wait_for<T>(
        &self,
        deadline: Instant,
        probe: impl Fn(&cyclamenmoor::Instance) -> Option<T>,
    ) -> Result<Option<T>, ApiError> {
        let shared = self.shared()?;
        let deadline = deadline.min(Instant::now() + MAX_WAIT);
        let mut changed = shared.changed();
        let mut stopping = self.stopping.subscribe();
        loop {
            if let Some(found) = shared.read(&probe) {
                return Ok(Some(found));
            }
            tokio::select! {
                result = changed.changed() => {
                    if result.is_err() {
                        return Ok(None);
                    }
                }
                _ = stopping.wait_for(|stopping| *stopping) => return Ok(None),
                () = tokio::time::sleep_until(deadline) => return Ok(None),
            }
        }
    }
}

/// The team that the request's token belongs to.
pub(super) fn authenticate(cx: &Request) -> Result<TeamName, ApiError> {
    auth::authenticate(&cx.context().tokens, cx.request.headers())
}

/// Refuses requests from other machines.
pub(super) fn require_local(cx: &Request) -> Result<(), ApiError> {
    auth::require_local(cx.request.remote_addr(), cx.context().calls_address.ip())
}
