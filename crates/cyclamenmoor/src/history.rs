//! What a daemon has to learn after its start before it believes that a backend server is ready.
//!
//! A daemon that has just started does not know which servers left or drain by its own
//! acknowledgement, see [`departures`](crate::departures). A report that a server sent before that
//! may still be on its way. So announcements of ready servers are held until the store and another
//! daemon have told what they know, or are not expected to any more.

use std::time::Duration;

use cyclamen_membership::Departure;
use cyclamen_types::{FastMap, Mono, Now, ServerName};

use crate::event::{Announcement, Effect, Effects};
use crate::instance::Instance;

/// Longest time that announcements are held. Until the store or another daemon that knew this one
/// answers, there is usually no configuration to serve calls by either.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// How much longer than for the store a daemon waits for another daemon, which may know of a departure
/// that was acknowledged while the store was away.
const MAX_WAIT_FOR_PEERS: Duration = Duration::from_millis(500);

/// Who tells a daemon of the departures that it acknowledged before its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HistorySource {
    /// The store, with what this daemon wrote there.
    Store,
    /// Another daemon.
    Peer {
        /// Whether it knew this daemon before its start, so that it was told.
        knew_before: bool,
    },
}

/// How far a daemon knows what happened before its start.
#[derive(Debug)]
pub(crate) struct History {
    /// When announcements are no longer held, at the latest; `None` once they are not.
    waits_until: Option<Mono>,
    store_answered: bool,
    peer_answered: bool,
    /// The latest announcement of each server that says that it is ready.
    held: FastMap<ServerName, Announcement>,
}

impl History {
    /// The history of a daemon that starts. Without `awaited` nothing is held.
    pub(crate) fn new(awaited: bool, now: Now) -> Self {
        Self {
            waits_until: awaited.then(|| now.mono + MAX_WAIT),
            store_answered: false,
            peer_answered: false,
            held: FastMap::default(),
        }
    }

    /// Whether announcements are held.
    pub(crate) fn is_awaited(&self) -> bool {
        self.waits_until.is_some()
    }

    /// When [`Instance::tick_history`] is due.
    pub(crate) fn next_tick(&self) -> Mono {
        self.waits_until.unwrap_or(Mono::NEVER)
    }

    fn answered_by(&mut self, now: Now, source: HistorySource) {
        let Some(latest) = self.waits_until else {
            return;
        };
        match source {
            HistorySource::Store => self.store_answered = true,
            HistorySource::Peer { .. } => self.peer_answered = true,
        }
        let suffices = match source {
            HistorySource::Store => self.peer_answered,
            HistorySource::Peer { knew_before } => knew_before || self.store_answered,
        };
        let until = match suffices {
            true => now.mono,
            false if self.store_answered => latest.min(now.mono + MAX_WAIT_FOR_PEERS),
            false => latest,
        };
        self.waits_until = Some(until);
    }

    fn hold(&mut self, announcement: &Announcement) {
        let known = self.held.get(&announcement.name);
        if known.is_none_or(|known| known.order <= announcement.order) {
            self.held.insert(announcement.name.clone(), announcement.clone());
        }
    }

    /// When the process started that made the held announcement of a server, in Unix milliseconds by
    /// its own clock; `None` if no announcement of the server is held.
    pub(crate) fn held_start_ms(&self, server: &ServerName) -> Option<u64> {
        Some(self.held.get(server)?.order?.started_at_ms)
    }

    /// Ends the wait and returns the announcements that were held, by name.
    fn release(&mut self) -> Vec<Announcement> {
        self.waits_until = None;
        let mut held: Vec<Announcement> = self.held.drain().map(|(_, held)| held).collect();
        held.sort_by(|a, b| a.name.cmp(&b.name));
        held
    }
}

impl Instance {
    /// Whether announcements of ready servers are held because it is not known yet which servers
    /// left before this daemon's start.
    pub fn awaits_history(&self) -> bool {
        self.history.is_awaited()
    }

    /// Takes over the departures of this daemon's servers that the store or another daemon knows.
    pub fn learn_history(
        &mut self,
        now: Now,
        source: HistorySource,
        departures: Vec<Departure>,
        out: &mut Effects,
    ) {
        self.learn_own_departures(now, departures, out);
        self.history.answered_by(now, source);
        self.tick_history(now, out);
        self.reconcile(now, out);
    }

    /// Holds the announcement of a ready server while the history is awaited. Returns whether it
    /// did. One without an order is never late, and not held.
    pub(crate) fn hold_announcement(&mut self, announcement: &Announcement) -> bool {
        let held =
            self.history.is_awaited() && !announcement.draining && announcement.order.is_some();
        if held {
            self.history.hold(announcement);
        }
        held
    }

    /// Applies the announcements that were held, once they need not be held any longer.
    pub(crate) fn tick_history(&mut self, now: Now, out: &mut Effects) {
        if now.mono < self.history.next_tick() {
            return;
        }
        for announcement in self.history.release() {
            // It was checked before it was held, so there is no error. One that a departure has made
            // void is ignored.
            let _ = self.announce_server(now, &announcement, out);
        }
        out.push(Effect::Changed);
    }
}
