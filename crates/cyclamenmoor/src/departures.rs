//! Departures of backend servers: which of their processes have left or drain.
//!
//! A daemon acknowledges that a server leaves or drains, and must not use it again, whatever it is
//! told later by a report that was on its way. The daemon itself forgets that when it restarts. Its
//! departures are therefore kept in the store, as far as there is one, and by all other daemons.

use std::net::SocketAddr;

use cyclamen_membership::{Broadcast, BroadcastKind, Departure, DepartureState, ServerState};
use cyclamen_types::{FastMap, Incarnation, InstanceName, Now, ServerName};
use serde::{Deserialize, Serialize};

use crate::event::{AnnounceError, Announcement, AnnouncementOrder, Effect, Effects};
use crate::instance::Instance;

/// Departures kept of the servers of one daemon, the latest ones. Earlier servers at the same address
/// are known to be gone from these.
const MAX_DEPARTURES: usize = 8;

/// Daemons whose departures are kept.
const MAX_HOSTS: usize = 4_096;

/// First byte of a payload that tells of a departure. Other payloads begin with other bytes.
const PAYLOAD_TAG: u8 = 3;

/// The departures of the servers of one daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departures {
    by_server: FastMap<ServerName, Departure>,
    /// How often they have changed.
    revision: u64,
}

/// A departure as daemons tell each other of it by gossip.
#[derive(Debug, Serialize, Deserialize)]
struct DepartureNews {
    host: InstanceName,
    departure: Departure,
}

impl Departures {
    /// Takes over a departure. Returns `false` if it is known, or an earlier one than the known one
    /// of its server.
    pub(crate) fn merge(&mut self, departure: Departure) -> bool {
        let known = self.by_server.get(&departure.server);
        if known.is_some_and(|known| rank(known) >= rank(&departure)) {
            return false;
        }
        self.by_server.insert(departure.server.clone(), departure);
        if self.by_server.len() > MAX_DEPARTURES {
            let earliest = self.by_server.values().min_by_key(|known| known.started_at_ms);
            if let Some(server) = earliest.map(|known| known.server.clone()) {
                self.by_server.remove(&server);
            }
        }
        self.revision += 1;
        true
    }

    /// All departures, by name of the server.
    pub(crate) fn list(&self) -> Vec<Departure> {
        let mut list: Vec<Departure> = self.by_server.values().cloned().collect();
        list.sort_by(|a, b| a.server.cmp(&b.server));
        list
    }

    /// Whether an announcement was made by a process that has left, or before it began to drain.
    fn make_void(&self, announcement: &Announcement, order: AnnouncementOrder) -> bool {
        self.by_server.values().any(|departure| {
            if departure.server == announcement.name {
                return departure.covers(order.started_at_ms, order.sequence);
            }
            // Only one process at a time listens on an address.
            departure.address == Some(announcement.address)
                && order.started_at_ms < departure.started_at_ms
        })
    }
}

/// Of two departures of one server the one with the higher rank holds.
fn rank(departure: &Departure) -> (u64, DepartureState) {
    (departure.started_at_ms, departure.state)
}

/// Whether a server may have departed like this by now, see [`AnnouncementOrder::is_plausible`].
fn is_plausible(now: Now, departure: &Departure) -> bool {
    let sequence = match departure.state {
        DepartureState::Draining { since } => since,
        DepartureState::Left => 0,
    };
    let order = AnnouncementOrder { started_at_ms: departure.started_at_ms, sequence };
    order.is_plausible(now.wall)
}

/// Whether a payload tells of a departure.
pub(crate) fn is_payload(payload: &[u8]) -> bool {
    payload.first() == Some(&PAYLOAD_TAG)
}

impl Instance {
    /// The departures of this daemon's servers, to be kept in the store.
    pub fn own_departures(&self) -> Vec<Departure> {
        self.departures_of(&self.settings.local_member.instance)
    }

    /// How often [`Instance::own_departures`] has changed since the start.
    pub fn departures_revision(&self) -> u64 {
        let own = self.departures.get(&self.settings.local_member.instance);
        own.map_or(0, |own| own.revision)
    }

    /// The departures of the servers of another daemon, as far as they are known here.
    pub fn departures_of(&self, host: &InstanceName) -> Vec<Departure> {
        self.departures.get(host).map(Departures::list).unwrap_or_default()
    }

    /// Whether this daemon has known another one in an incarnation before this one. If it has, it
    /// was told of the departures that the other one acknowledged then.
    pub fn knew_before(&self, host: &InstanceName, incarnation: Incarnation) -> bool {
        self.membership.first_start_of(host).is_some_and(|first| first < incarnation)
    }

    /// Takes over departures of this daemon's servers that were acknowledged before its start.
    pub(crate) fn learn_own_departures(
        &mut self,
        now: Now,
        departures: Vec<Departure>,
        out: &mut Effects,
    ) {
        for departure in departures {
            if !is_plausible(now, &departure) {
                self.record_unreadable_entry();
                continue;
            }
            if self.own_departures_mut().merge(departure.clone()) {
                self.apply_departure(now, &departure, out);
                out.push(Effect::Changed);
            }
        }
    }

    /// Withdraws a local backend server: it gets no new calls, and further announcements of the
    /// same incarnation are ignored, except those without an order. `started_at_ms` is the start
    /// time of the incarnation to withdraw, in Unix milliseconds; a server that started later
    /// stays. `None` withdraws whichever incarnation is known, or all that have started by now if
    /// none is.
    ///
    /// # Errors
    /// [`AnnounceError::Unknown`] if no local server has this name. The incarnation counts as
    /// withdrawn all the same, so that its announcements are ignored if they arrive late.
    /// [`AnnounceError::ImplausibleOrder`] if the incarnation is of the future; nothing changes then.
    pub fn withdraw_server(
        &mut self,
        now: Now,
        name: &ServerName,
        started_at_ms: Option<u64>,
        out: &mut Effects,
    ) -> Result<(), AnnounceError> {
        let started =
            started_at_ms.map(|started_at_ms| AnnouncementOrder { started_at_ms, sequence: 0 });
        if started.is_some_and(|started| !started.is_plausible(now.wall)) {
            return Err(AnnounceError::ImplausibleOrder(name.clone()));
        }
        let Some(local) = self.local_servers.get(name) else {
            let withdrawn = started_at_ms.unwrap_or_else(|| self.latest_start_by_now(now, name));
            self.note_left(now, name, withdrawn, None, out);
            self.reconcile(now, out);
            return Err(AnnounceError::Unknown(name.clone()));
        };
        let address = local.address;
        let known = local.order.map(|order| order.started_at_ms);
        if started_at_ms.zip(known).is_some_and(|(withdrawn, known)| withdrawn < known) {
            return Ok(());
        }
        if let Some(withdrawn) = started_at_ms.or(known) {
            self.note_left(now, name, withdrawn, Some(address), out);
        }
        self.set_server_state(now, name, ServerState::Gone);
        self.remove_if_gone_and_idle(name, out);
        self.reconcile(now, out);
        Ok(())
    }

    /// The latest time, in Unix milliseconds, at which a process of a server that is not in use here
    /// can have started: now, or by its own clock if a held announcement says more.
    fn latest_start_by_now(&self, now: Now, name: &ServerName) -> u64 {
        self.history.held_start_ms(name).map_or(now.wall.0, |held| held.max(now.wall.0))
    }

    /// Ends or drains a local server by a departure that was acknowledged before this daemon's start,
    /// unless the server has been announced since by a later process or as drained.
    pub(crate) fn apply_departure(&mut self, now: Now, departure: &Departure, out: &mut Effects) {
        let name = &departure.server;
        let order = self.local_servers.get(name).and_then(|local| local.order);
        if !order.is_some_and(|order| departure.covers(order.started_at_ms, order.sequence)) {
            return;
        }
        match departure.state {
            DepartureState::Draining { .. } => {
                self.set_server_state(now, name, ServerState::Draining);
            }
            DepartureState::Left => {
                self.set_server_state(now, name, ServerState::Gone);
                self.remove_if_gone_and_idle(name, out);
            }
        }
    }

    /// Whether an announcement of a local server was made by a process that has left, or before it
    /// began to drain.
    pub(crate) fn is_void(&self, announcement: &Announcement, order: AnnouncementOrder) -> bool {
        let own = self.departures.get(&self.settings.local_member.instance);
        own.is_some_and(|own| own.make_void(announcement, order))
    }

    /// Notes that a server of this daemon has left, and tells the other daemons.
    pub(crate) fn note_left(
        &mut self,
        now: Now,
        server: &ServerName,
        started_at_ms: u64,
        address: Option<SocketAddr>,
        out: &mut Effects,
    ) {
        let state = DepartureState::Left;
        let departure = Departure { server: server.clone(), address, started_at_ms, state };
        self.note_departure(now, departure, out);
    }

    /// Notes that a server of this daemon drains, by the first announcement that says so, and tells
    /// the other daemons. An announcement without an order is never late, and needs no note.
    pub(crate) fn note_draining(
        &mut self,
        now: Now,
        announcement: &Announcement,
        out: &mut Effects,
    ) {
        let Some(order) = announcement.order else {
            return;
        };
        let departure = Departure {
            server: announcement.name.clone(),
            address: Some(announcement.address),
            started_at_ms: order.started_at_ms,
            state: DepartureState::Draining { since: order.sequence },
        };
        self.note_departure(now, departure, out);
    }

    fn note_departure(&mut self, now: Now, departure: Departure, out: &mut Effects) {
        if !self.own_departures_mut().merge(departure.clone()) {
            return;
        }
        let host = self.settings.local_member.instance.clone();
        let mut payload = vec![PAYLOAD_TAG];
        // Encoding cannot fail: postcard rejects only sequences of unknown length.
        payload.extend(postcard::to_stdvec(&DepartureNews { host, departure }).unwrap_or_default());
        let broadcast = Broadcast { kind: BroadcastKind::Urgent, payload: payload.into() };
        self.membership.broadcast(now, broadcast, true, &mut self.outgoing);
        out.push(Effect::Changed);
    }

    /// Takes over a departure that another daemon tells of. A payload that cannot be decoded is
    /// ignored.
    pub(crate) fn merge_departure(&mut self, now: Now, payload: &[u8], out: &mut Effects) {
        let Ok(DepartureNews { host, departure }) = postcard::from_bytes(&payload[1..]) else {
            return;
        };
        if host == self.settings.local_member.instance {
            self.learn_own_departures(now, vec![departure], out);
            return;
        }
        if self.departures.len() < MAX_HOSTS || self.departures.contains_key(&host) {
            self.departures.entry(host).or_default().merge(departure);
        }
    }

    fn own_departures_mut(&mut self) -> &mut Departures {
        let own = self.settings.local_member.instance.clone();
        self.departures.entry(own).or_default()
    }
}
