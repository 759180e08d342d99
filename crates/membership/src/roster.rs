//! What is known of members and of the backend servers beside them.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::{Incarnation, Mono, Now, ServerName};

use crate::datagram::ShortId;
use crate::records::{
    MemberRecord, MemberState, MemberView, ServerRecord, ServerState, ServerView,
};
use crate::wire::Held;

/// How long members that stopped, and servers that are gone, are remembered.
const TOMBSTONE: Duration = Duration::from_secs(300);

/// Buckets that the digest of the roster is split into.
pub(crate) const BUCKETS: usize = 128;

/// A backend server as it was announced.
#[derive(Clone, Debug)]
pub(crate) struct KnownServer {
    pub(crate) record: ServerRecord,
    since: Mono,
}

/// A member with the backend servers beside it.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    pub(crate) record: MemberRecord,
    pub(crate) life: Incarnation,
    pub(crate) state: MemberState,
    /// Since when it has this state.
    pub(crate) since: Mono,
    /// When a datagram of its own came last.
    pub(crate) heard: Option<Mono>,
    /// When it was asked to answer last.
    pub(crate) asked: Option<Mono>,
    pub(crate) held: Option<Held>,
    pub(crate) cut_off: bool,
    pub(crate) servers: BTreeMap<ServerName, KnownServer>,
    digest: u64,
}

impl Known {
    pub(crate) fn new(
        record: MemberRecord,
        life: Incarnation,
        state: MemberState,
        now: Now,
    ) -> Self {
        let mut known = Self {
            record,
            life,
            state,
            since: now.mono,
            heard: None,
            asked: None,
            held: None,
            cut_off: false,
            servers: BTreeMap::new(),
            digest: 0,
        };
        known.rehash();
        known
    }

    /// Whether it may still answer.
    pub(crate) fn is_live(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Whether it was asked before `latest` and has not answered since.
    pub(crate) fn is_silent(&self, latest: Mono) -> bool {
        let Some(asked) = self.asked else {
            return false;
        };
        asked <= latest && !self.heard_since(asked)
    }

    /// Whether a datagram of its own came after `since`.
    pub(crate) fn heard_since(&self, since: Mono) -> bool {
        self.heard.is_some_and(|heard| heard > since)
    }

    fn rehash(&mut self) {
        self.digest = 0;
        if !self.is_live() {
            return;
        }
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.record.instance.as_str().as_bytes());
        hasher.update(&self.record.incarnation.0.to_le_bytes());
        for (name, server) in &self.servers {
            if server.record.state == ServerState::Gone {
                continue;
            }
            hasher.update(name.as_str().as_bytes());
            hasher.update(&server.record.sequence.0.0.to_le_bytes());
            hasher.update(&server.record.sequence.1.to_le_bytes());
        }
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        self.digest = u64::from_le_bytes(bytes);
    }
}

/// All members and backend servers.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    members: BTreeMap<ShortId, Known>,
    topology: u64,
    buckets: Vec<u64>,
    reachable: Vec<ShortId>,
}

impl Roster {
    pub(crate) fn get(&self, id: ShortId) -> Option<&Known> {
        self.members.get(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (ShortId, &Known)> {
        self.members.iter().map(|(id, known)| (*id, known))
    }

    /// Members, those that stopped included.
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    pub(crate) fn topology(&self) -> u64 {
        self.topology
    }

    /// Changes a member in ways that no view shows.
    pub(crate) fn note(&mut self, id: ShortId, f: impl FnOnce(&mut Known)) {
        if let Some(known) = self.members.get_mut(&id) {
            f(known);
        }
    }

    /// Changes a member.
    pub(crate) fn change(&mut self, id: ShortId, f: impl FnOnce(&mut Known)) {
        let Some(known) = self.members.get_mut(&id) else {
            return;
        };
        f(known);
        known.rehash();
        self.touched();
    }

    /// Adds a member or replaces what is known of it.
    pub(crate) fn insert(&mut self, id: ShortId, known: Known) {
        self.members.insert(id, known);
        self.touched();
    }

    /// Takes a server announcement; whether it is news.
    pub(crate) fn put_server(&mut self, host: ShortId, record: ServerRecord, now: Now) -> bool {
        let Some(known) = self.members.get_mut(&host) else {
            return false;
        };
        if record.sequence.0 < known.life {
            return false;
        }
        let older = known.servers.get(&record.name);
        if older.is_some_and(|older| older.record.sequence >= record.sequence) {
            return false;
        }
        if older.is_none() && record.state == ServerState::Gone {
            return false;
        }
        let server = KnownServer { record, since: now.mono };
        known.servers.insert(server.record.name.clone(), server);
        known.rehash();
        self.touched();
        true
    }

    /// Forgets members that stopped and servers that are gone, once old enough.
    pub(crate) fn prune(&mut self, now: Now, me: ShortId) {
        let old = |since: Mono| now.mono.since(since) >= TOMBSTONE;
        let before = self.members.len();
        self.members
            .retain(|id, known| *id == me || known.is_live() || known.cut_off || !old(known.since));
        let mut changed = self.members.len() != before;
        for known in self.members.values_mut() {
            let servers = known.servers.len();
            known
                .servers
                .retain(|_, server| server.record.state != ServerState::Gone || !old(server.since));
            changed |= known.servers.len() != servers;
        }
        if changed {
            self.touched();
        }
    }

    /// The hash of each bucket.
    pub(crate) fn buckets(&mut self) -> &[u64] {
        if self.buckets.is_empty() {
            self.buckets = vec![0; BUCKETS];
            for (id, known) in &self.members {
                let bucket = &mut self.buckets[bucket_of(*id)];
                *bucket = bucket.wrapping_add(known.digest);
            }
        }
        &self.buckets
    }

    /// A short hash over everything.
    pub(crate) fn root(&mut self) -> u32 {
        let mut root = 0_u64;
        for bucket in self.buckets() {
            root = root.wrapping_add(*bucket);
        }
        (root >> 32) as u32
    }

    /// Members in order of name.
    pub(crate) fn member_views(&self) -> Vec<MemberView> {
        let mut views = Vec::with_capacity(self.members.len());
        for known in self.members.values() {
            views.push(MemberView {
                record: known.record.clone(),
                state: known.state,
                cut_off: known.cut_off,
            });
        }
        views.sort_by(|a, b| a.record.instance.cmp(&b.record.instance));
        views
    }

    /// Backend servers in order of name.
    pub(crate) fn server_views(&self) -> Vec<ServerView> {
        let mut views = Vec::new();
        for known in self.members.values() {
            for server in known.servers.values() {
                views.push(ServerView {
                    record: server.record.clone(),
                    host: known.record.instance.clone(),
                    domain: known.record.domain.clone(),
                    region: known.record.region.clone(),
                    hop: known.record.addresses.calls,
                    host_state: known.state,
                    cut_off: known.cut_off,
                });
            }
        }
        views.sort_by(|a, b| a.record.name.cmp(&b.record.name));
        views
    }

    /// Members that should answer, this one included.
    pub(crate) fn reachable(&mut self) -> &[ShortId] {
        if self.reachable.is_empty() {
            for (id, known) in &self.members {
                if known.is_live() && !known.cut_off {
                    self.reachable.push(*id);
                }
            }
        }
        &self.reachable
    }

    /// How many members should answer, this one included.
    pub(crate) fn reachable_count(&self) -> usize {
        self.members.values().filter(|known| known.is_live() && !known.cut_off).count()
    }

    fn touched(&mut self) {
        self.topology += 1;
        self.buckets.clear();
        self.reachable.clear();
    }
}

/// The bucket that a member and its servers count in.
pub(crate) fn bucket_of(id: ShortId) -> usize {
    (id.number() % BUCKETS as u64) as usize
}
