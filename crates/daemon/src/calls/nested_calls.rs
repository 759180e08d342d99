//! Recognises nested calls: those that a backend server makes while it runs another call.
//!
//! A backend server may reuse the request id of the call that it runs for the calls that it makes.
//! The daemon that hosts it records the request ids running there, so it can tell a nested call
//! from a new one and find the services of its ancestors.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cyclamen_routing::CallId;
use cyclamen_types::ServiceName;
use http::HeaderValue;

/// The services of the running calls that led to a call, each made by the one before, outermost
/// first. Empty for a call that is not nested.
pub(super) type AncestorServices = Arc<[ServiceName]>;

/// The calls running on local backend servers, by request id.
///
/// Callers choose request ids, so the map uses the standard library's randomly seeded hasher to
/// resist collision attacks.
#[derive(Clone, Default)]
pub(super) struct RunningCalls(Arc<Mutex<HashMap<HeaderValue, Vec<RunningCall>>>>);

/// One running call. Several may share a request id.
struct RunningCall {
    call: CallId,
    services: AncestorServices,
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
    /// Registers a call of `service` that starts to run. `call` distinguishes it from other calls
    /// with the same request id.
    pub(super) fn start(
        &self,
        id: HeaderValue,
        call: CallId,
        ancestors: &AncestorServices,
        service: &ServiceName,
    ) -> RunningCallGuard {
        let services = ancestors.iter().chain([service]).cloned().collect();
        self.lock().entry(id.clone()).or_default().push(RunningCall {
            call,
            services,
            made_nested_calls: false,
        });
        RunningCallGuard { calls: self.clone(), id, call }
    }

    /// The ancestor services of an arriving call with this request id, which is taken to be nested
    /// in the most deeply nested call that runs here under the id. Empty if none runs.
    pub(super) fn ancestors(&self, id: &HeaderValue) -> AncestorServices {
        let mut running = self.lock();
        let calls = running.get_mut(id).into_iter().flatten();
        let Some(innermost) = calls.max_by_key(|call| call.services.len()) else {
            return AncestorServices::default();
        };
        innermost.made_nested_calls = true;
        Arc::clone(&innermost.services)
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
