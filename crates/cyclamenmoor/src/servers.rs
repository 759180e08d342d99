//! The backend servers beside this daemon: announcements, leases, slots.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_membership::{ServerRecord, ServerState};
use cyclamen_routing::{
    Admission, CallId, CallNeeds, QueueOrder, Ran, Refusal, RefusalKind, RouterMode, ServerLoad,
    Slots, SlotsSettings,
};
use cyclamen_types::{FastMap, Mono, Now, ServerName, ServiceName};

use crate::event::{AnnounceError, Announcement, AnnouncementOrder, Effect, Effects};
use crate::instance::Instance;

/// A backend server beside this daemon.
#[derive(Debug)]
pub(crate) struct Beside {
    pub(crate) slots: Slots,
    pub(crate) service: ServiceName,
    announced_slots: u32,
    address: SocketAddr,
    order: Option<AnnouncementOrder>,
    lease_ends: Mono,
}

/// Whether an announcement is to be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// It is the newest of its address.
    Newest,
    /// A later one of its address came before it, or its server has left.
    Outdated,
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
        if self.standing(announcement) == Standing::Outdated {
            return Ok(());
        }
        self.replace_earlier_life(now, announcement);
        let lease_ends = now.mono + self.settings.announcement_lease;
        let settings = self.slots_settings(&announcement.service, announcement.slots);
        let beside = self.beside.entry(announcement.name.clone()).or_insert_with(|| Beside {
            slots: Slots::new(settings),
            service: announcement.service.clone(),
            announced_slots: announcement.slots,
            address: announcement.address,
            order: announcement.order,
            lease_ends,
        });
        beside.address = announcement.address;
        beside.order = announcement.order;
        beside.service = announcement.service.clone();
        beside.announced_slots = announcement.slots;
        beside.lease_ends = lease_ends;
        beside.slots.set(settings);
        let state = match announcement.draining || self.stopping {
            true => ServerState::Draining,
            false => ServerState::Ready,
        };
        match state {
            ServerState::Ready => beside.slots.resume(),
            _ => beside.slots.drain(),
        }
        self.put_record(now, announcement, state);
        self.settle(now, out);
        Ok(())
    }

    /// Withdraws a backend server: it gets nothing new from now on, and later announcements of the
    /// same life bring it back no more. One of a later life than `born` stays.
    ///
    /// # Errors
    /// No such server is beside this daemon.
    pub fn withdraw(
        &mut self,
        now: Now,
        name: &ServerName,
        born: Option<u64>,
        out: &mut Effects,
    ) -> Result<(), AnnounceError> {
        let Some(beside) = self.beside.get(name) else {
            if let Some(life) = born {
                self.left.insert(name.clone(), life);
            }
            return Err(AnnounceError::Unknown(name.clone()));
        };
        let known = beside.order.map(|order| order.born);
        if born.zip(known).is_some_and(|(born, known)| born < known) {
            return Ok(());
        }
        if let Some(life) = born.or(known) {
            self.left.insert(name.clone(), life);
        }
        self.set_state(now, name, ServerState::Gone);
        self.forget_if_gone(name);
        self.settle(now, out);
        Ok(())
    }

    fn standing(&self, announcement: &Announcement) -> Standing {
        let Some(order) = announcement.order else {
            return Standing::Newest;
        };
        if self.left.get(&announcement.name).is_some_and(|life| order.born <= *life) {
            return Standing::Outdated;
        }
        for (name, beside) in &self.beside {
            let Some(known) = beside.order else {
                continue;
            };
            let same = *name == announcement.name;
            let outdated = match same {
                true => known >= order,
                false => beside.address == announcement.address && known.born > order.born,
            };
            if outdated {
                return Standing::Outdated;
            }
        }
        Standing::Newest
    }

    /// An address has one server at a time: the ones that listened there before are gone, and a
    /// server of the same name that started anew holds no calls.
    fn replace_earlier_life(&mut self, now: Now, announcement: &Announcement) {
        let Some(order) = announcement.order else {
            return;
        };
        let mut gone = Vec::new();
        for (name, beside) in &self.beside {
            let Some(known) = beside.order else {
                continue;
            };
            let replaced = beside.address == announcement.address || *name == announcement.name;
            if replaced && known.born < order.born {
                gone.push(name.clone());
            }
        }
        for name in gone {
            self.set_state(now, &name, ServerState::Gone);
            self.beside.remove(&name);
        }
    }

    /// A call for a backend server beside this daemon asks for a slot.
    pub fn admit(
        &mut self,
        now: Now,
        server: &ServerName,
        call: CallId,
        needs: &CallNeeds,
        out: &mut Effects,
    ) -> Admission {
        let Some(beside) = self.beside.get_mut(server) else {
            return Admission::Refused(not_beside());
        };
        if self.router.mode() == RouterMode::Baseline {
            return Admission::Run;
        }
        let mut evicted = Vec::new();
        let admission = beside.slots.admit(now, call, needs, &mut evicted);
        if !evicted.is_empty() {
            out.push(Effect::Expire(evicted));
        }
        admission
    }

    /// A call that was admitted ended, or one that waited was cancelled.
    pub fn release(
        &mut self,
        now: Now,
        server: &ServerName,
        call: CallId,
        ran: Ran,
        out: &mut Effects,
    ) {
        let Some(beside) = self.beside.get_mut(server) else {
            return;
        };
        let run = beside.slots.finish(now, call, ran);
        if !run.is_empty() {
            out.push(Effect::Run(run));
        }
        self.forget_if_gone(server);
    }

    /// Changes which of two waiting calls of one class goes first; for measurements.
    pub fn set_queue_order(&mut self, order: QueueOrder) {
        self.queue_order = order;
        self.adopt_limits();
    }

    /// Where a backend server beside this daemon listens; `None` when it is gone.
    pub fn server_beside(&self, server: &ServerName) -> Option<&ServerRecord> {
        let record = self.membership.own_server(server)?;
        (record.state != ServerState::Gone).then_some(record)
    }

    /// Where the backend servers beside this daemon listen that take calls.
    pub fn addresses_beside(&self) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for name in self.beside.keys() {
            let Some(record) = self.membership.own_server(name) else {
                continue;
            };
            if record.state == ServerState::Ready {
                addresses.push(record.address);
            }
        }
        addresses.sort();
        addresses
    }

    /// What a backend server beside this daemon carries now.
    pub fn load(&self, server: &ServerName) -> ServerLoad {
        let Some(beside) = self.beside.get(server) else {
            return ServerLoad::default();
        };
        let load = beside.slots.load();
        match self.router.usual_hold(&beside.service, beside.slots.route_holds()) {
            Some(seconds) => ServerLoad { hold_us: (seconds * 1e6) as u64, ..load },
            None => load,
        }
    }

    /// When a call that a backend server beside this daemon had no slot for may come back.
    pub fn come_back(&self, server: &ServerName) -> Duration {
        self.beside.get(server).map(|beside| beside.slots.come_back()).unwrap_or_default()
    }

    pub(crate) fn next_server_timer(&self) -> Mono {
        let mut next = Mono::NEVER;
        for beside in self.beside.values() {
            next = next.min(beside.lease_ends).min(beside.slots.next_expiry());
        }
        next
    }

    pub(crate) fn tick_servers(&mut self, now: Now, out: &mut Effects) {
        let mut lapsed = Vec::new();
        for (name, beside) in &mut self.beside {
            if beside.slots.next_expiry() <= now.mono {
                out.push(Effect::Expire(beside.slots.expire(now)));
            }
            if beside.lease_ends <= now.mono {
                beside.lease_ends = Mono::NEVER;
                lapsed.push(name.clone());
            }
        }
        lapsed.sort();
        for name in lapsed {
            self.set_state(now, &name, ServerState::Gone);
            self.forget_if_gone(&name);
        }
    }

    /// Forgets the slots of a server that is gone, once no call holds or awaits one.
    fn forget_if_gone(&mut self, name: &ServerName) {
        let gone = self.membership.own_server(name).is_none_or(|s| s.state == ServerState::Gone);
        let idle = self.beside.get(name).is_some_and(|beside| beside.slots.idle());
        if gone && idle {
            self.beside.remove(name);
        }
    }

    /// Brings the limits of the servers beside this daemon in step with the policies in force.
    pub(crate) fn adopt_limits(&mut self) {
        let mut settings = FastMap::default();
        for (name, beside) in &self.beside {
            let wanted = self.slots_settings(&beside.service, beside.announced_slots);
            settings.insert(name.clone(), wanted);
        }
        for (name, beside) in &mut self.beside {
            beside.slots.set(settings[name]);
        }
    }

    pub(crate) fn drain_all(&mut self, now: Now, _out: &mut Effects) {
        let names: Vec<ServerName> = self.beside.keys().cloned().collect();
        for name in names {
            self.set_state(now, &name, ServerState::Draining);
        }
    }

    fn slots_settings(&self, service: &ServiceName, slots: u32) -> SlotsSettings {
        let limits = self.router.table().limits(service);
        SlotsSettings {
            slots,
            queue: limits.queue.unwrap_or(self.settings.queue),
            queue_wait: limits.queue_wait.unwrap_or(self.settings.queue_wait),
            order: self.queue_order,
            adaptive: self.settings.adaptive_slots,
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

fn not_beside() -> Refusal {
    Refusal {
        kind: RefusalKind::Unavailable,
        reason: "the backend server is not beside this daemon: try another".into(),
        retry_after: None,
    }
}
