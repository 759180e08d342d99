//! What one daemon sends to a cold backend server: its share of what the server bears.
//!
//! The hosting daemon keeps the exact limit. This share keeps the daemons of the mesh from sending
//! calls there only to have them refused, so that these go to warm servers at once.

use std::time::Duration;

use cyclamen_declarations::ColdLimit;
use cyclamen_types::Mono;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::router::server::Server;
use crate::table::RouteTable;

/// How far the shares of all daemons together exceed what the server bears: not every daemon has
/// calls for it.
const SHARES_SUM: f64 = 1.5;

/// Calls that a daemon saves up, as the time in which it earns them; at least one.
const BURST: Duration = Duration::from_millis(250);

/// Takes over from the newest load report of a server whether it is cold. A service whose cold servers
/// bear any number of calls has no shares.
pub(super) fn observe_report(
    now: Mono,
    server: &mut Server,
    table: &RouteTable,
    daemons: usize,
    rng: &mut SmallRng,
) {
    let Some(limit) = table.cold_limit(&server.info.service) else {
        return;
    };
    if let Some(cold_until) = server.reported_cold_until() {
        server.cold.set(now, cold_until, limit, daemons, rng.random_range(0.0..1.0));
    }
}

/// The calls that this daemon may send to one server while that is cold.
#[derive(Debug)]
pub(super) struct ColdShare {
    cold_until: Mono,
    calls_per_second: f64,
    saved: f64,
    saved_at: Mono,
}

impl Default for ColdShare {
    fn default() -> Self {
        let (cold_until, saved_at) = (Mono(0), Mono(0));
        Self { cold_until, calls_per_second: 0.0, saved: 0.0, saved_at }
    }
}

impl ColdShare {
    /// Takes over until when the server is cold. `first_saved`, from 0 to 1, is what the share
    /// begins with: if it differs between the daemons, their first calls spread over time.
    pub(super) fn set(
        &mut self,
        now: Mono,
        cold_until: Mono,
        limit: &ColdLimit,
        daemons: usize,
        first_saved: f64,
    ) {
        match self.is_cold(now) {
            true => self.earn(now),
            false => (self.saved, self.saved_at) = (first_saved, now),
        }
        self.cold_until = cold_until;
        self.calls_per_second = limit.calls_per_second * SHARES_SUM / daemons.max(1) as f64;
    }

    /// Whether the server is cold and the share is used up.
    pub(super) fn is_used_up(&self, now: Mono) -> bool {
        self.is_cold(now) && self.saved(now) < 1.0
    }

    /// Takes a call off the share.
    pub(super) fn take(&mut self, now: Mono) {
        if self.is_cold(now) {
            self.earn(now);
            self.saved = (self.saved - 1.0).max(0.0);
        }
    }

    pub(super) fn is_cold(&self, now: Mono) -> bool {
        self.cold_until > now
    }

    fn earn(&mut self, now: Mono) {
        (self.saved, self.saved_at) = (self.saved(now), now);
    }

    fn saved(&self, now: Mono) -> f64 {
        let most = (self.calls_per_second * BURST.as_secs_f64()).max(1.0);
        let earned = self.calls_per_second * now.since(self.saved_at).as_secs_f64();
        (self.saved + earned).min(most)
    }
}
