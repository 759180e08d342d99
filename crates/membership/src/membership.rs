//! The state machine of membership.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_types::{FailureDomain, InstanceName, Mono, Now, ServerName};
use serde::{Deserialize, Serialize};

use crate::records::{MemberRecord, MemberView, ServerRecord, ServerView};
use crate::wire::{DatagramError, Held, MeshKey, Rider};

/// Settings of membership.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// One probe and one round of gossip per period.
    pub period: Duration,
    /// How long a suspect member may take to refute.
    pub suspicion: Duration,
    /// Largest datagram, in bytes.
    pub datagram_bytes: usize,
    /// Bound on bytes sent, per second.
    pub bytes_per_second: u32,
    /// Addresses to ask first.
    pub seeds: Vec<SocketAddr>,
    /// The key of the mesh.
    pub key: MeshKey,
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Where to.
    pub to: SocketAddr,
    /// Its bytes, sealed.
    pub bytes: Vec<u8>,
}

/// What a datagram brought for others than membership.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Riders not seen before.
    pub riders: Vec<Rider>,
}

/// Counters for the dump and the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipCounters {
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Bytes received.
    pub bytes_received: u64,
    /// Datagrams with a wrong keyed hash.
    pub forged: u64,
    /// Datagrams seen before.
    pub replayed: u64,
    /// Datagrams that did not decode.
    pub malformed: u64,
}

/// Membership of one daemon.
#[derive(Debug)]
pub struct Membership {
    me: MemberRecord,
    settings: MembershipSettings,
    counters: MembershipCounters,
    topology: u64,
    next: Mono,
}

impl Membership {
    /// A daemon that knows only itself.
    pub fn new(me: MemberRecord, settings: MembershipSettings, _seed: u64, now: Now) -> Self {
        Self { me, settings, counters: Default::default(), topology: 0, next: now.mono }
    }

    /// This daemon.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// Does what is due; see [`Membership::next_tick`].
    pub fn tick(&mut self, now: Now, _out: &mut Vec<Outgoing>) {
        self.next = now.mono + self.settings.period;
    }

    /// When [`Membership::tick`] is due.
    pub fn next_tick(&self) -> Mono {
        self.next
    }

    /// Takes one datagram; answers and pushes go to `out`.
    ///
    /// # Errors
    /// A datagram that is forged, replayed or malformed is counted and dropped.
    pub fn on_datagram(
        &mut self,
        _now: Now,
        _from: SocketAddr,
        _bytes: &[u8],
        _out: &mut Vec<Outgoing>,
    ) -> Result<Received, DatagramError> {
        Err(DatagramError::Malformed)
    }

    /// Announces or renews a backend server beside this daemon.
    pub fn put_server(&mut self, _now: Now, _record: ServerRecord) {
        self.topology += 1;
    }

    /// States what configuration this daemon holds.
    pub fn set_held(&mut self, _held: Held) {}

    /// What a member is known to hold.
    pub fn held_by(&self, _instance: &InstanceName) -> Option<Held> {
        None
    }

    /// Spreads a rider; `urgent` ones go out at once to a few members.
    pub fn spread(&mut self, _now: Now, _rider: Rider, _urgent: bool, _out: &mut Vec<Outgoing>) {}

    /// Tells all that this daemon stops.
    pub fn leave(&mut self, _now: Now, _out: &mut Vec<Outgoing>) {}

    /// All members, this one included, in order of name.
    pub fn members(&self) -> Vec<MemberView> {
        Vec::new()
    }

    /// All backend servers, in order of name.
    pub fn servers(&self) -> Vec<ServerView> {
        Vec::new()
    }

    /// One backend server beside this daemon.
    pub fn own_server(&self, _name: &ServerName) -> Option<&ServerRecord> {
        None
    }

    /// Grows whenever [`Membership::members`] or [`Membership::servers`] would answer differently.
    pub fn topology(&self) -> u64 {
        self.topology
    }

    /// The live members of a failure domain that read the log, by rendezvous hash.
    pub fn relays(&self, _domain: &FailureDomain) -> Vec<InstanceName> {
        Vec::new()
    }

    /// Counters so far.
    pub fn counters(&self) -> &MembershipCounters {
        &self.counters
    }
}
