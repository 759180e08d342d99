//! Recognises nested calls: those that a backend server makes while it runs another call.
//!
//! A backend server may reuse the request id of the call that it runs for the calls that it makes.
//! The daemon that hosts it records the request ids running there, so it can tell a nested call
//! from a new one, and find the services of its ancestors and whether they are repeats.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cyclamen_routing::CallId;
use cyclamen_types::ServiceName;
use http::HeaderValue;

/// The services of the running calls that led to a call, each made by the one before, outermost
/// first. Empty for a call that is not nested.
pub(super) type AncestorServices = Arc<[ServiceName]>;

/// What a running call passes on to the calls that it makes.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ParentCall {
    /// The ancestor services of those calls: that of the running call comes last.
    pub(super) services: AncestorServices,
    /// How far the running call is a repeat, see
    /// [`Attempt::repeat`](cyclamen_routing::Attempt::repeat).
    pub(super) repeat: f64,
}

/// The calls running on local backend servers, by request id.
///
/// Callers choose request ids, so the map uses the standard library's randomly seeded hasher to
/// resist collision attacks.
#[derive(Clone, Default)]
pub(super) struct RunningCalls(Arc<Mutex<HashMap<HeaderValue, Vec<RunningCall>>>>);

/// One running call. Several may share a request id.
struct RunningCall {
    call: CallId,
    parent: ParentCall,
    /// Whether a nested call of it has arrived at this daemon.
    made_nested_calls: bool,
}

/// Keeps a call registered in [`RunningCalls`] until dropped.
pub(super) struct RunningCallGuard {
    calls: RunningCalls,
    id: HeaderValue,
    call: CallId,
}

impl RunningCalls {
    /// Registers a call that starts to run. `call` distinguishes it from other calls with the same
    /// request id.
    pub(super) fn start(
        &self,
        id: HeaderValue,
        call: CallId,
        parent: ParentCall,
    ) -> RunningCallGuard {
        let running = RunningCall { call, parent, made_nested_calls: false };
        self.lock().entry(id.clone()).or_default().push(running);
        RunningCallGuard { calls: self.clone(), id, call }
    }

    /// The running call that made an arriving call with this request id: the most deeply nested one
    /// that runs here under the id. `None` if none does.
    pub(super) fn parent(&self, id: &HeaderValue) -> Option<ParentCall> {
        let mut running = self.lock();
        let calls = running.get_mut(id).into_iter().flatten();
        let innermost = calls.max_by_key(|call| call.parent.services.len())?;
        innermost.made_nested_calls = true;
        Some(innermost.parent.clone())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<HeaderValue, Vec<RunningCall>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunningCallGuard {
    /// Whether the call made nested calls that arrived at this daemon.
    pub(super) fn made_nested_calls(&self) -> bool {
        let running = self.calls.lock();
        let mut calls = running.get(&self.id).into_iter().flatten();
        calls.any(|entry| entry.call == self.call && entry.made_nested_calls)
    }
}

impl Drop for RunningCallGuard {
    fn drop(&mut self) {
        let mut running = self.calls.lock();
        let Some(calls) = running.get_mut(&self.id) else {
            return;
        };
        calls.retain(|entry| entry.call != self.call);
        if calls.is_empty() {
            running.remove(&self.id);
        }
    }
}

#[cfg(test)]
mod tests;
