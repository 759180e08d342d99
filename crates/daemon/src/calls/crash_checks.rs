//! Tells a crash of a local backend server from the failure of one connection to it.
//!
//! When a server crashes, all of its connections break and new ones are refused. The connections of
//! all calls that ran there break at about the same time, so one check serves all of them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cyclamen_types::{FastMap, ServerName};
use tokio::sync::OnceCell;

use crate::calls::pool::Pool;

/// Longest time for a check, for which the retries of the broken calls wait. The server is on this
/// instance, so a refusal comes at once.
const CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// The checks in progress, by server.
#[derive(Default)]
pub(super) struct CrashChecks(Mutex<FastMap<ServerName, Check>>);

/// One check, shared by the calls that wait for it.
type Check = Arc<OnceCell<bool>>;

impl CrashChecks {
    /// Whether `server`, to which a connection has just broken, has crashed. A server at whose
    /// address another process listens already is not found.
    pub(super) async fn has_crashed(
        &self,
        pool: &Pool,
        server: &ServerName,
        address: SocketAddr,
    ) -> bool {
        let check = Arc::clone(self.lock().entry(server.clone()).or_default());
        let crashed = *check.get_or_init(|| pool.is_refused(address, CHECK_TIMEOUT)).await;
        // The next connection that breaks begins a new check.
        let mut checks = self.lock();
        if checks.get(server).is_some_and(|current| Arc::ptr_eq(current, &check)) {
            checks.remove(server);
        }
        crashed
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<ServerName, Check>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
