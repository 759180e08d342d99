//! Which running calls a call was made for.
//!
//! A backend server may make calls of its own under the request id of the call that it runs. The
//! daemon beside it knows the ids that run there, so it can tell such calls from callers' own.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cyclamen_types::ServiceName;
use http::HeaderValue;

/// The services whose calls were made one for the other, outermost first.
pub(super) type ServicesAround = Arc<[ServiceName]>;

/// The calls that run on backend servers beside this daemon, by request id.
///
/// Callers choose request ids, so the map is one with a seeded hasher.
#[derive(Clone, Default)]
pub(super) struct RunningIds(Arc<Mutex<HashMap<HeaderValue, Vec<Running>>>>);

/// One call that runs under an id; several may run under the same.
struct Running {
    token: u64,
    services: ServicesAround,
    /// Whether calls came that were made for it.
    calls_on: bool,
}

/// Keeps a request id among those that run, until dropped.
pub(super) struct RunningId {
    ids: RunningIds,
    id: HeaderValue,
    token: u64,
}

impl RunningIds {
    /// A call of `service` begins to run under an id; `token` tells it from others of that id.
    pub(super) fn start(
        &self,
        id: HeaderValue,
        token: u64,
        around: &ServicesAround,
        service: &ServiceName,
    ) -> RunningId {
        let services = around.iter().chain([service]).cloned().collect();
        self.lock().entry(id.clone()).or_default().push(Running {
            token,
            services,
            calls_on: false,
        });
        RunningId { ids: self.clone(), id, token }
    }

    /// The services around a call that comes under an id: of those that run under it here, the
    /// calls of the innermost.
    pub(super) fn around(&self, id: &HeaderValue) -> ServicesAround {
        let mut running = self.lock();
        let calls = running.get_mut(id).into_iter().flatten();
        let Some(innermost) = calls.max_by_key(|call| call.services.len()) else {
            return ServicesAround::default();
        };
        innermost.calls_on = true;
        Arc::clone(&innermost.services)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<HeaderValue, Vec<Running>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunningId {
    /// Whether the call made calls of its own, as far as they came to this daemon.
    pub(super) fn calls_on(&self) -> bool {
        let running = self.ids.lock();
        let mut calls = running.get(&self.id).into_iter().flatten();
        calls.any(|call| call.token == self.token && call.calls_on)
    }
}

impl Drop for RunningId {
    fn drop(&mut self) {
        let mut running = self.ids.lock();
        let Some(calls) = running.get_mut(&self.id) else {
            return;
        };
        calls.retain(|call| call.token != self.token);
        if calls.is_empty() {
            running.remove(&self.id);
        }
    }
}

#[cfg(test)]
mod tests;
