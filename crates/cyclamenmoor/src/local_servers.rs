//! The local backend servers, which are those that this daemon hosts: their announcements, leases and
//! states. The calls at them are in [`server_slots`](crate::server_slots).

use std::net::SocketAddr;

use cyclamen_membership::{ServerRecord, ServerState};
use cyclamen_routing::{CallId, Slots, SlotsSettings};
use cyclamen_types::{Mono, Now, ServerName, ServiceName};

use crate::event::{AnnounceError, Announcement, AnnouncementOrder, Effect, Effects, MAX_SLOTS};
use crate::instance::Instance;

/// A local backend server.
#[derive(Debug)]
pub(crate) struct LocalServer {
    pub(crate) slots: Slots,
    pub(crate) service: ServiceName,
    pub(crate) announced_slots: u32,
    pub(crate) address: SocketAddr,
    /// Order of the latest announcement.
    pub(crate) order: Option<AnnouncementOrder>,
    /// When the lease ends and the server is marked gone, unless it is announced again before;
    /// `Mono::NEVER` after the lease has ended.
    lease_ends: Mono,
    /// When the server has warmed up after its start, if it says.
    pub(crate) warm_at: Option<Mono>,
    /// Since when it has been cold by all its announcements, until that is reported as odd.
    pub(crate) cold_since: Option<Mono>,
    /// Whether it said in an answer that it leaves.
    leaving: bool,
    /// Whether its latest announcement says that it drains.
    draining: bool,
}

/// Whether an announcement is the latest or is outdated and has to be ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Freshness {
    /// No later announcement for its name or address is known.
    Current,
    /// It repeats or precedes an announcement for its name, its address has passed to a server
    /// that started later, or its incarnation of the server has left or began to drain after it.
    Stale,
}

impl Instance {
    /// Registers a local backend server, renews its lease, or starts to drain it. An outdated
    /// announcement is ignored, which is not an error.
    ///
    /// # Errors
    /// The announcement has no slots or too many, or an order that cannot be; nothing changes then.
    pub fn announce_server(
        &mut self,
        now: Now,
        announcement: &Announcement,
        out: &mut Effects,
    ) -> Result<(), AnnounceError> {
        check_announcement(now, announcement)?;
        if self.freshness(announcement) == Freshness::Stale || self.hold_announcement(announcement)
        {
            return Ok(());
        }
        self.end_replaced_servers(now, announcement, out);
        let was_draining =
            self.local_servers.get(&announcement.name).is_some_and(|local| local.draining);
        if announcement.draining && !was_draining {
            self.note_draining(now, announcement, out);
        }
        let state = self.update_local_server(now, announcement, out);
        self.publish_record(now, announcement, state);
        self.reconcile(now, out);
        Ok(())
    }

    /// Takes over an announcement that holds. Returns the state of the server from now on.
    fn update_local_server(
        &mut self,
        now: Now,
        announcement: &Announcement,
        out: &mut Effects,
    ) -> ServerState {
        let lease_ends = now.mono + self.settings.announcement_lease;
        let settings = self.slots_settings(&announcement.service, announcement.slots);
        let cold_limit = self.cold_limit(&announcement.service);
        let emptied = self.domain_emptied;
        let serves_queue_until = self.serves_queue_until(now);
        let is_new = !self.local_servers.contains_key(&announcement.name);
        let local =
            self.local_servers.entry(announcement.name.clone()).or_insert_with(|| LocalServer {
                slots: Slots::new(settings),
                service: announcement.service.clone(),
                announced_slots: announcement.slots,
                address: announcement.address,
                order: announcement.order,
                lease_ends,
                warm_at: None,
                cold_since: None,
                leaving: false,
                draining: false,
            });
        local.address = announcement.address;
        local.order = announcement.order;
        local.service = announcement.service.clone();
        local.announced_slots = announcement.slots;
        local.lease_ends = lease_ends;
        local.draining = announcement.draining;
        // Later announcements, of a warm server, would move the time on and on.
        let warm_at = announcement.cold.map(|cold| now.mono + cold);
        local.warm_at = local.warm_at.into_iter().chain(warm_at).min();
        local.slots.set_settings(settings);
        if is_new {
            // An earlier process of this daemon may have sent it calls.
            local.slots.set_cold_calls(cold_limit.calls, self.started_at);
            local.slots.set_emptied(emptied);
        }
        local.note_cold(now.mono, cold_limit, announcement.cold, is_new);
        let state = match announcement.draining || local.leaving || self.stopping {
            true => ServerState::Draining,
            false => ServerState::Ready,
        };
        match state {
            ServerState::Ready => local.slots.resume(),
            _ => local.slots.drain(serves_queue_until),
        }
        run_queued(local.slots.run_waiting(now), out);
        state
    }

    /// Checks an announcement against the ones known for its name and address.
    fn freshness(&self, announcement: &Announcement) -> Freshness {
        let Some(order) = announcement.order else {
            return Freshness::Current;
        };
        if self.is_void(announcement, order) {
            return Freshness::Stale;
        }
        for (name, local) in &self.local_servers {
            let Some(known) = local.order else {
                continue;
            };
            let same_name = *name == announcement.name;
            let stale = match same_name {
                true => known >= order,
                false => {
                    local.address == announcement.address
                        && known.started_at_ms > order.started_at_ms
                }
            };
            if stale {
                return Freshness::Stale;
            }
        }
        Freshness::Current
    }

    /// Ends the servers that an announcement replaces. Only one server at a time can listen on an
    /// address, so servers that started earlier and were announced there are gone.
    ///
    /// A server that has restarted where it was keeps its slots and its queue: the calls that wait
    /// have not run, and those that run may have been sent to the new process already. The calls
    /// that wait for any other server that is replaced are refused as not run.
    fn end_replaced_servers(&mut self, now: Now, announcement: &Announcement, out: &mut Effects) {
        let Some(order) = announcement.order else {
            return;
        };
        let mut replaced_names = Vec::new();
        for (name, local) in &self.local_servers {
            let Some(known) = local.order else {
                continue;
            };
            let replaced = local.address == announcement.address || *name == announcement.name;
            if replaced && known.started_at_ms < order.started_at_ms {
                replaced_names.push(name.clone());
            }
        }
        for name in replaced_names {
            if self.restarted_in_place(&name, announcement) {
                self.begin_incarnation(now, &name, &announcement.service);
                continue;
            }
            self.set_server_state(now, &name, ServerState::Gone);
            self.remove_local_server(&name, out);
        }
    }

    /// Whether an announcement of a later incarnation is of the same server, at the same address, of
    /// the same service and version, so that the calls that wait for it may run there.
    fn restarted_in_place(&self, name: &ServerName, announcement: &Announcement) -> bool {
        let known = self.membership.own_server(name);
        *name == announcement.name
            && known.is_some_and(|known| {
                known.address == announcement.address
                    && known.service == announcement.service
                    && known.version == announcement.version
            })
    }

    /// Forgets what a server said of its earlier incarnation.
    fn begin_incarnation(&mut self, now: Now, name: &ServerName, service: &ServiceName) {
        let warm_up = self.cold_limit(service).warm_up;
        if let Some(local) = self.local_servers.get_mut(name) {
            local.warm_at = None;
            local.leaving = false;
            local.draining = false;
            local.slots.set_rate_limit(now, None);
            // Its announcement may not say.
            local.slots.set_cold_until(now.mono + warm_up);
            local.slots.set_pace(now, None);
        }
    }

    /// Removes a local server. The calls that wait for it are refused as not run; a call that runs
    /// there frees no slot when it ends.
    fn remove_local_server(&mut self, name: &ServerName, out: &mut Effects) {
        let Some(local) = self.local_servers.remove(name) else {
            return;
        };
        let queued = local.slots.into_queued();
        if !queued.is_empty() {
            out.push(Effect::RefuseQueued(queued));
        }
    }

    /// Drains a local backend server that says in an answer that it leaves. It stays draining,
    /// whatever it announces, until its next incarnation. Returns whether that is news.
    pub fn drain_leaving_server(
        &mut self,
        now: Now,
        server: &ServerName,
        out: &mut Effects,
    ) -> bool {
        let Some(local) = self.local_servers.get_mut(server) else {
            return false;
        };
        if std::mem::replace(&mut local.leaving, true) {
            return false;
        }
        if self.membership.own_server(server).is_some_and(|own| own.state == ServerState::Ready) {
            self.set_server_state(now, server, ServerState::Draining);
        }
        self.reconcile(now, out);
        true
    }

    /// The record of a local backend server, with the address that it listens on; `None` if it is
    /// unknown or gone.
    pub fn local_server(&self, server: &ServerName) -> Option<&ServerRecord> {
        let record = self.membership.own_server(server)?;
        (record.state != ServerState::Gone).then_some(record)
    }

    /// Whether a local backend server is ready for calls: it neither leaves nor drains.
    pub fn takes_calls(&self, server: &ServerName) -> bool {
        self.membership.own_server(server).is_some_and(|own| own.state == ServerState::Ready)
    }

    /// Sorted addresses of the local backend servers that are ready.
    pub fn ready_server_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for name in self.local_servers.keys() {
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

    /// When [`Instance::tick_servers`] is due: at the next end of a lease or expiry of a queued
    /// call.
    pub(crate) fn next_server_timer(&self) -> Mono {
        let mut next = Mono::NEVER;
        for local in self.local_servers.values() {
            next = next.min(local.lease_ends).min(local.slots.next_expiry());
            next = next.min(local.slots.next_start());
        }
        next
    }

    /// Expires queued calls that waited too long, and marks servers whose lease has ended as gone.
    pub(crate) fn tick_servers(&mut self, now: Now, out: &mut Effects) {
        let mut expired_leases = Vec::new();
        let mut expired_queues = Vec::new();
        for (name, local) in &mut self.local_servers {
            if local.slots.next_expiry() <= now.mono {
                out.push(Effect::RefuseQueued(local.slots.expire(now)));
                run_queued(local.slots.run_waiting(now), out);
                expired_queues.push(name.clone());
            }
            if local.slots.next_start() <= now.mono {
                run_queued(local.slots.run_waiting(now), out);
            }
            if local.lease_ends <= now.mono {
                local.lease_ends = Mono::NEVER;
                expired_leases.push(name.clone());
            }
        }
        expired_leases.sort();
        for name in &expired_leases {
            self.set_server_state(now, name, ServerState::Gone);
        }
        for name in expired_leases.iter().chain(&expired_queues) {
            self.remove_if_gone_and_idle(name, out);
        }
    }

    /// Drops the slots of a server that is gone once no call runs or waits there.
    pub(crate) fn remove_if_gone_and_idle(&mut self, name: &ServerName, out: &mut Effects) {
        let gone = self.membership.own_server(name).is_none_or(|s| s.state == ServerState::Gone);
        let idle = self.local_servers.get(name).is_some_and(|local| local.slots.is_idle());
        if gone && idle {
            self.remove_local_server(name, out);
        }
    }

    /// Drains all local servers because the daemon stops.
    pub(crate) fn drain_local_servers(&mut self, now: Now) {
        let names: Vec<ServerName> = self.local_servers.keys().cloned().collect();
        for name in names {
            self.set_server_state(now, &name, ServerState::Draining);
        }
    }

    /// Limits for one server: those of its service's policy, else the defaults in the settings.
    pub(crate) fn slots_settings(&self, service: &ServiceName, slots: u32) -> SlotsSettings {
        let limits = self.router.table().limits(service);
        SlotsSettings {
            slots,
            queue: limits.queue.unwrap_or(self.settings.default_queue_limit),
            queue_wait: limits.queue_wait.unwrap_or(self.settings.default_queue_wait),
            order: self.queue_order,
            adaptive: self.settings.adaptive_slots,
        }
    }

    /// Until when calls that wait for a server that leaves now may still start there. The other half
    /// of the drain time is for sending them, and for the time that the daemon may be held up.
    fn serves_queue_until(&self, now: Now) -> Mono {
        now.mono + self.settings.drain_time / 2
    }

    /// Publishes the record of a server through membership if anything but its sequence has
    /// changed.
    fn publish_record(&mut self, now: Now, announcement: &Announcement, state: ServerState) {
        self.record_sequence += 1;
        let record = ServerRecord {
            name: announcement.name.clone(),
            service: announcement.service.clone(),
            version: announcement.version.clone(),
            labels: announcement.labels.clone(),
            slots: announcement.slots,
            connections: announcement.connections,
            address: announcement.address,
            state,
            sequence: (self.settings.local_member.incarnation, self.record_sequence),
        };
        let unchanged = |known: &ServerRecord| {
            ServerRecord { sequence: record.sequence, ..known.clone() } == record
        };
        if self.membership.own_server(&record.name).is_some_and(unchanged) {
            return;
        }
        self.membership.put_server(now, record);
    }

    /// Publishes a draining or gone state for a server and stops admitting calls to it.
    pub(crate) fn set_server_state(&mut self, now: Now, name: &ServerName, state: ServerState) {
        let serves_queue_until = self.serves_queue_until(now);
        if let Some(local) = self.local_servers.get_mut(name) {
            local.slots.drain(serves_queue_until);
        }
        let Some(known) = self.membership.own_server(name) else {
            return;
        };
        self.record_sequence += 1;
        let sequence = (self.settings.local_member.incarnation, self.record_sequence);
        let record = ServerRecord { state, sequence, ..known.clone() };
        self.membership.put_server(now, record);
    }
}

fn check_announcement(now: Now, announcement: &Announcement) -> Result<(), AnnounceError> {
    let name = || announcement.name.clone();
    if announcement.slots == 0 {
        return Err(AnnounceError::NoSlots(name()));
    }
    if announcement.slots > MAX_SLOTS {
        return Err(AnnounceError::TooManySlots(name()));
    }
    match announcement.order {
        Some(order) if !order.is_plausible(now.wall) => {
            Err(AnnounceError::ImplausibleOrder(name()))
        }
        _ => Ok(()),
    }
}

/// Reports the queued calls that got a slot, if there are any.
pub(crate) fn run_queued(calls: Vec<CallId>, out: &mut Effects) {
    if !calls.is_empty() {
        out.push(Effect::RunQueued(calls));
    }
}
