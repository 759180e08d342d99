//! What a started daemon waits for before it is ready: the word of several peers, or of the log.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_types::{ConfigVersion, Mono, Now};

/// How long a fresh daemon waits for as many peers as its settings ask for; then one will do.
const PATIENCE: Duration = Duration::from_secs(3);

/// What a started daemon heard so far.
#[derive(Debug)]
pub(crate) struct Fresh {
    started: Mono,
    wanted: usize,
    asked: BTreeSet<SocketAddr>,
    confirmed: BTreeSet<SocketAddr>,
    highest: ConfigVersion,
    ready: bool,
}

impl Fresh {
    pub(crate) fn new(wanted: u32, now: Now) -> Self {
        Self {
            started: now.mono,
            wanted: wanted as usize,
            asked: BTreeSet::new(),
            confirmed: BTreeSet::new(),
            highest: ConfigVersion::NONE,
            ready: false,
        }
    }

    pub(crate) fn ready(&self) -> bool {
        self.ready
    }

    pub(crate) fn started(&self) -> Mono {
        self.started
    }

    /// Whether a peer was asked and has not failed since.
    pub(crate) fn was_asked(&self, peer: &SocketAddr) -> bool {
        self.asked.contains(peer)
    }

    pub(crate) fn ask(&mut self, peer: SocketAddr) {
        self.asked.insert(peer);
    }

    /// Whether peers known not to be asked yet may be asked now.
    pub(crate) fn wants_more(&self) -> bool {
        !self.ready && self.confirmed.len() < self.wanted
    }

    /// A peer that is ready said what it holds.
    pub(crate) fn confirm(&mut self, peer: SocketAddr, held: ConfigVersion) {
        self.confirmed.insert(peer);
        self.highest = self.highest.max(held);
    }

    /// A peer cannot say yet what is recent: it may be asked again.
    pub(crate) fn forget(&mut self, peer: SocketAddr) {
        self.asked.remove(&peer);
    }

    /// The log was read up to its end.
    pub(crate) fn log_read(&mut self) {
        self.ready = true;
    }

    /// Looks whether enough peers spoke and their highest version is held. Only peers that are
    /// ready count, so that the first one of all had the word of the log.
    pub(crate) fn judge(&mut self, now: Now, version: ConfigVersion) {
        if version < self.highest {
            return;
        }
        let patient = now.mono.since(self.started) < PATIENCE;
        let wanted = if patient { self.wanted } else { 1 };
        self.ready |= self.confirmed.len() >= wanted;
    }
}
