//! The backend servers beside this daemon: announcements, leases, slots.

use cyclamen_declarations::{Criticality, Limits};
use cyclamen_membership::{ServerRecord, ServerState};
use cyclamen_routing::{Admission, CallId, Refusal, RefusalKind, Slots, SlotsSettings};
use cyclamen_types::{Mono, Now, ServerName};
use std::time::Duration;

use crate::event::{AnnounceError, Announcement, Effect, Effects};
use crate::instance::Instance;

/// How often waiting calls are looked at.
const QUEUE_CHECK: Duration = Duration::from_millis(5);

/// A backend server beside this daemon.
#[derive(Debug)]
pub(crate) struct Beside {
    pub(crate) slots: Slots,
    lease_ends: Mono,
    next_check: Mono,
}

impl Instance {
    /// Announces or renews a backend server beside this daemon, or lets it drain.
    ///
    /// # Errors
    /// An announcement that cannot hold; nothing changes.
    pub fn announce(
        &mut self,
        now: Now,
        announcement: &Announcement,
        out: &mut Effects,
    ) -> Result<(), AnnounceError> {
        if announcement.slots == 0 {
            return Err(AnnounceError::NoSlots(announcement.name.clone()));
        }
        let lease_ends = now.mono + self.settings.announcement_lease;
        let settings = self.slots_settings(announcement.slots);
        let beside = self.beside.entry(announcement.name.clone()).or_insert_with(|| Beside {
            slots: Slots::new(settings),
            lease_ends,
            next_check: Mono::NEVER,
        });
        beside.lease_ends = lease_ends;
        let state = match announcement.draining || self.stopping {
            true => ServerState::Draining,
            false => ServerState::Ready,
        };
        if state == ServerState::Draining {
            beside.slots.drain();
        }
        self.put_record(now, announcement, state);
        self.settle(now, out);
        Ok(())
    }

    /// Withdraws a backend server: it gets nothing new from now on.
    ///
    /// # Errors
    /// No such server is beside this daemon.
    pub fn withdraw(
        &mut self,
        now: Now,
        name: &ServerName,
        out: &mut Effects,
    ) -> Result<(), AnnounceError> {
        if !self.beside.contains_key(name) {
            return Err(AnnounceError::Unknown(name.clone()));
        }
        self.set_state(now, name, ServerState::Gone);
        self.settle(now, out);
        Ok(())
    }

    /// A call for a backend server beside this daemon asks for a slot.
    pub fn admit(
        &mut self,
        now: Now,
        server: &ServerName,
        call: CallId,
        criticality: Criticality,
        deadline: Mono,
    ) -> Admission {
        let Some(beside) = self.beside.get_mut(server) else {
            return Admission::Refused(Refusal {
                kind: RefusalKind::Unavailable,
                reason: "the backend server is not beside this daemon: try another".into(),
                retry_after: None,
            });
        };
        let admission = beside.slots.admit(now, call, criticality, deadline);
        if admission == Admission::Queued {
            beside.next_check = beside.next_check.min(now.mono + QUEUE_CHECK);
        }
        admission
    }

    /// A call that was admitted ended, or one that waited was cancelled.
    pub fn release(
        &mut self,
        now: Now,
        server: &ServerName,
        call: CallId,
        latency: Duration,
        ok: bool,
        out: &mut Effects,
    ) {
        let Some(beside) = self.beside.get_mut(server) else {
            return;
        };
        let run = beside.slots.finish(now, call, latency, ok);
        if !run.is_empty() {
            out.push(Effect::Run(run));
        }
    }

    pub(crate) fn next_server_timer(&self) -> Mono {
        let timers = self.beside.values().map(|beside| beside.lease_ends.min(beside.next_check));
        timers.min().unwrap_or(Mono::NEVER)
    }

    pub(crate) fn tick_servers(&mut self, now: Now, out: &mut Effects) {
        let mut lapsed = Vec::new();
        for (name, beside) in &mut self.beside {
            if beside.next_check <= now.mono {
                let expired = beside.slots.expire(now);
                let waiting = beside.slots.waiting() > 0;
                beside.next_check = if waiting { now.mono + QUEUE_CHECK } else { Mono::NEVER };
                if !expired.is_empty() {
                    out.push(Effect::Expire(expired));
                }
            }
            if beside.lease_ends <= now.mono {
                beside.lease_ends = Mono::NEVER;
                lapsed.push(name.clone());
            }
        }
        for name in lapsed {
            self.set_state(now, &name, ServerState::Gone);
        }
    }

    pub(crate) fn drain_all(&mut self, now: Now, _out: &mut Effects) {
        let names: Vec<ServerName> = self.beside.keys().cloned().collect();
        for name in names {
            self.set_state(now, &name, ServerState::Draining);
        }
    }

    fn slots_settings(&self, slots: u32) -> SlotsSettings {
        let limits = Limits::default();
        SlotsSettings {
            slots,
            queue: limits.queue.unwrap_or(self.settings.queue),
            queue_wait: limits.queue_wait.unwrap_or(self.settings.queue_wait),
        }
    }

    fn put_record(&mut self, now: Now, announcement: &Announcement, state: ServerState) {
        self.sequence += 1;
        let record = ServerRecord {
            name: announcement.name.clone(),
            service: announcement.service.clone(),
            version: announcement.version.clone(),
            labels: announcement.labels.clone(),
            slots: announcement.slots,
            connections: announcement.connections,
            address: announcement.address,
            state,
            sequence: (self.settings.me.incarnation, self.sequence),
        };
        let same = |known: &ServerRecord| {
            ServerRecord { sequence: record.sequence, ..known.clone() } == record
        };
        if self.membership.own_server(&record.name).is_some_and(same) {
            return;
        }
        self.membership.put_server(now, record);
    }

    fn set_state(&mut self, now: Now, name: &ServerName, state: ServerState) {
        if let Some(beside) = self.beside.get_mut(name) {
            beside.slots.drain();
        }
        let Some(known) = self.membership.own_server(name) else {
            return;
        };
        self.sequence += 1;
        let sequence = (self.settings.me.incarnation, self.sequence);
        let record = ServerRecord { state, sequence, ..known.clone() };
        self.membership.put_server(now, record);
    }
}
