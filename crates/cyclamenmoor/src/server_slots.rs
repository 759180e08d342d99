//! Calls at the local backend servers: their slots and queues, and what is known of their load.

use std::time::Duration;

use cyclamen_declarations::Criticality;
use cyclamen_routing::{
    Admission, CallId, QueueOrder, Refusal, RefusalKind, RouterMode, RunOutcome, RunningRepeats,
    ServerLoad, SlotRequest,
};
use cyclamen_types::{FastMap, Mono, Now, RouteName, ServerName};

use crate::event::{Effect, Effects};
use crate::instance::Instance;
use crate::local_servers::run_queued;

impl Instance {
    /// Requests a slot for a call at a local backend server. Waiting calls that give way to
    /// it are reported through [`Effect::RefuseQueued`]. A server that
    /// is not local refuses the call; in baseline mode, every call to a local one runs at once.
    pub fn admit_call(
        &mut self,
        now: Now,
        server: &ServerName,
        call: CallId,
        request: &SlotRequest,
        out: &mut Effects,
    ) -> Admission {
        let Some(local) = self.local_servers.get_mut(server) else {
            return Admission::Refused(not_local_refusal());
        };
        if self.router.mode() == RouterMode::Baseline {
            return Admission::Run;
        }
        let mut evicted = Vec::new();
        let admission = local.slots.admit(now, call, request, &mut evicted);
        if !evicted.is_empty() {
            out.push(Effect::RefuseQueued(evicted));
        }
        admission
    }

    /// The refusal by which a call that would have to wait at a local backend server is sent on to
    /// another one, if it is to be; see [`Slots::refusal_to_send_on`](cyclamen_routing::Slots::refusal_to_send_on).
    pub fn refusal_to_send_on(
        &self,
        now: Now,
        server: &ServerName,
        request: &SlotRequest,
    ) -> Option<Refusal> {
        self.local_servers.get(server)?.slots.refusal_to_send_on(now, request)
    }

    /// Takes over how many calls per second a local backend server takes, by its latest answer;
    /// `None` if it names no limit. Returns what was known before.
    pub fn limit_rate(
        &mut self,
        now: Now,
        server: &ServerName,
        calls_per_second: Option<f64>,
    ) -> Option<f64> {
        let local = self.local_servers.get_mut(server)?;
        let before = local.slots.rate_limit();
        local.slots.set_rate_limit(now, calls_per_second);
        before
    }

    /// Takes over how long work takes at a local backend server at present, in percent of the usual, by
    /// its latest answer; `None` if it does not say.
    pub fn set_pace(&mut self, now: Now, server: &ServerName, percent: Option<u16>) {
        if let Some(local) = self.local_servers.get_mut(server) {
            local.slots.set_pace(now, percent);
        }
    }

    /// Releases the slot of a call that has ended, or removes a cancelled call from the queue.
    /// Waiting calls that get a slot now are reported through [`Effect::RunQueued`].
    pub fn release_call(
        &mut self,
        now: Now,
        server: &ServerName,
        call: CallId,
        outcome: RunOutcome,
        out: &mut Effects,
    ) {
        let Some(local) = self.local_servers.get_mut(server) else {
            return;
        };
        run_queued(local.slots.finish(now, call, outcome), out);
        self.remove_if_gone_and_idle(server, out);
    }

    /// Sets which of two waiting calls of the same criticality goes first. Used by benchmarks
    /// only.
    pub fn set_queue_order(&mut self, now: Now, order: QueueOrder, out: &mut Effects) {
        self.queue_order = order;
        self.apply_limits(now, out);
    }

    /// Current load of a local backend server, with the time that it typically holds a call if
    /// enough is known about it; all zero if the server is not local.
    pub fn server_load(&self, now: Now, server: &ServerName) -> ServerLoad {
        let Some(local) = self.local_servers.get(server) else {
            return ServerLoad::default();
        };
        let cold_ms = local.slots.cold_left(now).as_millis();
        let cold_ms = u32::try_from(cold_ms).unwrap_or(u32::MAX);
        let load = ServerLoad { cold_ms, ..local.slots.load() };
        match self.router.average_hold_seconds(&local.service, local.slots.route_hold_times()) {
            Some(seconds) => ServerLoad { hold_us: (seconds * 1e6) as u64, ..load },
            None => load,
        }
    }

    /// [`Instance::server_load`] with the present pace of the server, for the daemon that placed a call
    /// there.
    pub fn load_to_report(&self, now: Now, server: &ServerName) -> ServerLoad {
        let local = self.local_servers.get(server);
        let pace_percent = local.map_or(0, |local| local.slots.pace_percent(now));
        ServerLoad { pace_percent, ..self.server_load(now, server) }
    }

    /// Whether a local backend server had warmed up after its start at a time; `None` if it does not
    /// say how long that takes.
    pub fn was_warm(&self, server: &ServerName, at: Mono) -> Option<bool> {
        Some(at >= self.local_servers.get(server)?.warm_at?)
    }

    /// The calls that run at all local backend servers, and how many of them are repeats.
    pub fn running_repeats(&self) -> RunningRepeats {
        let servers = self.local_servers.values();
        servers
            .fold(RunningRepeats::default(), |sum, local| sum.plus(local.slots.running_repeats()))
    }

    /// Whether the calls of a route to a local backend server are taken for nested ones, by where
    /// they come from; `None` while that is not known, or if the server is not local.
    pub fn is_nested_route(&self, server: &ServerName, route: &RouteName) -> Option<bool> {
        self.local_servers.get(server)?.slots.is_nested_route(route)
    }

    /// Time after which a call of a class that a local backend server refused for lack of a slot may
    /// be retried; zero if the server is not local.
    pub fn retry_after(&self, now: Now, server: &ServerName, criticality: Criticality) -> Duration {
        let local = self.local_servers.get(server);
        local.map(|local| local.slots.retry_after(now, criticality)).unwrap_or_default()
    }

    /// Updates the limits of the local servers from the policies in the active route table.
    pub(crate) fn apply_limits(&mut self, now: Now, out: &mut Effects) {
        let mut wanted = FastMap::default();
        for (name, local) in &self.local_servers {
            let settings = self.slots_settings(&local.service, local.announced_slots);
            let cold_calls = self.cold_limit(&local.service).calls;
            wanted.insert(name.clone(), (settings, cold_calls));
        }
        for (name, local) in &mut self.local_servers {
            let (wanted, cold_calls) = wanted[name];
            local.slots.set_settings(wanted);
            local.slots.set_cold_calls(cold_calls, now.mono);
            run_queued(local.slots.run_waiting(now), out);
        }
    }
}

/// Refusal for a call that reached a daemon which does not host its backend server.
fn not_local_refusal() -> Refusal {
    Refusal {
        kind: RefusalKind::Unavailable,
        reason: "the backend server is not beside this daemon: try another".into(),
        retry_after: None,
    }
}
