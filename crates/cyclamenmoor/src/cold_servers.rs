//! Local backend servers that are cold, and those of a failure domain that is emptied.
//!
//! A server says in each announcement how much longer it is cold, and may turn cold at any time. At
//! some events it has probably turned cold although it has not said so yet: it is then taken for
//! cold until its next announcement.

use std::num::NonZeroU32;
use std::time::Duration;

use cyclamen_types::{Mono, Now, ServerName, ServiceName};

use crate::event::{Effect, Effects};
use crate::instance::Instance;
use crate::local_servers::{LocalServer, run_queued};

/// Time within which a backend server that is up announces itself again.
const ANNOUNCED_WITHIN: Duration = Duration::from_secs(2);

/// Longest time for which one announcement may say that a server is cold.
const MAX_COLD: Duration = Duration::from_secs(60);

/// A server that has said for this long that it is cold is reported to operators.
const LONG_COLD: Duration = Duration::from_secs(60);

/// What the cold servers of a service bear.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdCalls {
    /// Calls that may start per second; `None` without a bound.
    pub(crate) calls: Option<NonZeroU32>,
    /// How long a server that does not say is cold after its start.
    pub(crate) warm_up: Duration,
}

impl Instance {
    /// For how long a local server has said that it is cold, once that is long; then `None` until as
    /// much time has passed again. Servers whose calls are not limited for that are left out.
    pub fn take_long_cold(&mut self, now: Now, server: &ServerName) -> Option<Duration> {
        let local = self.local_servers.get_mut(server)?;
        let cold_for = now.mono.since(local.cold_since?);
        if cold_for < LONG_COLD || local.slots.cold_left(now).is_zero() {
            return None;
        }
        local.cold_since = None;
        Some(cold_for)
    }

    /// Takes a local server that could not be connected to, or whose process ended, for cold until
    /// its next announcement: the process that answers next is a new one.
    pub fn suspect_cold_server(&mut self, now: Now, server: &ServerName) {
        if let Some(local) = self.local_servers.get_mut(server) {
            local.suspect_cold(now);
        }
    }

    /// Whether a local backend server is cold and its calls are limited for that.
    pub fn is_server_cold(&self, now: Now, server: &ServerName) -> bool {
        let local = self.local_servers.get(server);
        local.is_some_and(|local| !local.slots.cold_left(now).is_zero())
    }

    /// What the cold servers of a service bear, by the configuration.
    pub(crate) fn cold_limit(&self, service: &ServiceName) -> ColdCalls {
        let Some(limit) = self.ledger.config().cold_limits.get(service) else {
            return ColdCalls::default();
        };
        // The cast saturates. At least one, so that the server warms up.
        let calls = (limit.calls_per_second * self.settings.cold_overshoot) as u32;
        let calls = NonZeroU32::new(calls).unwrap_or(NonZeroU32::MIN);
        ColdCalls { calls: Some(calls), warm_up: limit.warm_up }
    }

    /// Begins or ends the emptying of this failure domain for the local servers. Those that get calls
    /// again are taken for cold.
    pub(crate) fn apply_emptied_domains(&mut self, now: Now, out: &mut Effects) {
        let domain = &self.settings.local_member.domain;
        let emptied = self.ledger.config().emptied_domains.contains(domain);
        if std::mem::replace(&mut self.domain_emptied, emptied) == emptied {
            return;
        }
        for local in self.local_servers.values_mut() {
            let refused = local.slots.set_emptied(emptied);
            if !refused.is_empty() {
                out.push(Effect::RefuseQueued(refused));
            }
            if !emptied {
                local.suspect_cold(now);
                run_queued(local.slots.run_waiting(now), out);
            }
        }
    }
}

impl LocalServer {
    /// Takes over what an announcement says of how much longer the server is cold. One that does not
    /// say changes nothing, unless it is the first.
    pub(crate) fn note_cold(
        &mut self,
        now: Mono,
        limit: ColdCalls,
        said: Option<Duration>,
        is_new: bool,
    ) {
        let cold = match said {
            Some(cold) => cold.min(MAX_COLD),
            None if is_new => limit.warm_up,
            None => return,
        };
        self.slots.set_cold_until(now + cold);
        match cold.is_zero() {
            true => self.cold_since = None,
            false => _ = self.cold_since.get_or_insert(now),
        }
    }

    fn suspect_cold(&mut self, now: Now) {
        let cold_left = self.slots.cold_left(now).max(ANNOUNCED_WITHIN);
        self.slots.set_cold_until(now.mono + cold_left);
    }
}
