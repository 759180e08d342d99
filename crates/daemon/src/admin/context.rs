//! What the endpoints work on.

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

/// Longest wait of one request for something to happen.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// The request of an endpoint.
pub(super) type Request = RequestContext<Context>;

/// What the endpoints of one daemon share.
pub(super) struct Context {
    shared: OnceLock<SharedInstance>,
    stopping: watch::Sender<bool>,
    tokens: Vec<OperatorToken>,
    listen: SocketAddr,
    pub(super) announcement_lease: Duration,
}

impl Context {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            shared: OnceLock::new(),
            stopping: watch::Sender::new(false),
            tokens: settings.tokens.clone(),
            listen: settings.listen.calls,
            announcement_lease: settings.limits.announcement_lease,
        }
    }

    /// Gives the endpoints the instance; until then they answer that the daemon starts.
    pub(super) fn serve(&self, shared: SharedInstance) {
        // A second instance would change nothing: the first one stays.
        let _ = self.shared.set(shared);
    }

    pub(super) fn shared(&self) -> Result<&SharedInstance, ApiError> {
        let starting = || ApiError::new(ErrorCode::NotReady, "the daemon starts: try again");
        self.shared.get().ok_or_else(starting)
    }

    /// Ends all waits, so that no request holds up a stop.
    pub(super) fn stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Waits until `look` finds something; `None` at the deadline or once the daemon stops.
    pub(super) async fn wait_for<T>(
        &self,
        deadline: Instant,
        look: impl Fn(&cyclamenmoor::Instance) -> Option<T>,
    ) -> Result<Option<T>, ApiError> {
        let shared = self.shared()?;
        let deadline = deadline.min(Instant::now() + LONGEST_WAIT);
        let mut changed = shared.changed();
        let mut stopping = self.stopping.subscribe();
        loop {
            if let Some(found) = shared.read(&look) {
                return Ok(Some(found));
            }
            tokio::select! {
                told = changed.changed() => {
                    if told.is_err() {
                        return Ok(None);
                    }
                }
                _ = stopping.wait_for(|stopping| *stopping) => return Ok(None),
                () = tokio::time::sleep_until(deadline) => return Ok(None),
            }
        }
    }
}

/// The team of the request's token.
pub(super) fn team(cx: &Request) -> Result<TeamName, ApiError> {
    auth::team(&cx.context().tokens, cx.request.headers())
}

/// Refuses requests from other machines.
pub(super) fn neighbour(cx: &Request) -> Result<(), ApiError> {
    auth::neighbour(cx.request.remote_addr(), cx.context().listen.ip())
}
