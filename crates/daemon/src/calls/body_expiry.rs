//! When the response body that a connection carries has to be complete.
//!
//! hyper polls a body only while its receiver reads. The bounds that a body checks when it is
//! polled do not end one that nobody reads, and it would hold its slot and its connection. So the
//! task of the connection watches the time as well.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use tokio::time::{Instant, Sleep};

/// When the body under way on one connection has to be complete; cheap to clone. The connection
/// carries one body at a time.
#[derive(Clone, Default)]
pub(super) struct BodyExpiry(Arc<Mutex<Option<Instant>>>);

/// Held by the body under way. Dropping it ends the watch.
pub(super) struct BodyExpiryGuard(BodyExpiry);

impl BodyExpiry {
    /// Begins to watch a body that has to be complete at `at`.
    pub(super) fn watch(&self, at: Instant) -> BodyExpiryGuard {
        *self.lock() = Some(at);
        BodyExpiryGuard(self.clone())
    }

    /// Polls the connection by `poll` until it ends or its body has expired. `None` if the body has
    /// expired: the connection is to be closed.
    pub(super) async fn limit<T>(
        &self,
        mut poll: impl FnMut(&mut Context<'_>) -> Poll<T>,
    ) -> Option<T> {
        let mut timer: Option<Pin<Box<Sleep>>> = None;
        poll_fn(|cx| {
            if let Poll::Ready(output) = poll(cx) {
                return Poll::Ready(Some(output));
            }
            // The connection alone creates and polls the body, so this is up to date here.
            let Some(at) = *self.lock() else {
                return Poll::Pending;
            };
            let timer = timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(at)));
            if timer.deadline() != at {
                timer.as_mut().reset(at);
            }
            timer.as_mut().poll(cx).map(|()| None)
        })
        .await
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for BodyExpiryGuard {
    fn drop(&mut self) {
        *self.0.lock() = None;
    }
}
