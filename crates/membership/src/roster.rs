//! The table of all known members and the backend servers that they host, with the hashes that
//! anti-entropy compares.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::{Incarnation, Mono, Now, ServerName};

use crate::datagram::MemberId;
use crate::records::{
    MemberRecord, MemberState, MemberView, ServerRecord, ServerState, ServerView,
};
use crate::wire::AppliedConfig;

/// How long dead and departed members and gone servers are kept, so that delayed updates do not
/// bring them back.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(300);

/// Number of hash buckets that members are divided into, so that anti-entropy exchanges only the
/// entries of buckets that differ.
pub(crate) const BUCKET_COUNT: usize = 128;

/// A backend server as last announced, and when that announcement was accepted.
#[derive(Clone, Debug)]
pub(crate) struct ServerEntry {
    pub(crate) record: ServerRecord,
    announced_at: Mono,
}

/// What this daemon knows of one member, and the backend servers that the member hosts.
#[derive(Clone, Debug)]
pub(crate) struct MemberEntry {
    pub(crate) record: MemberRecord,
    /// Its incarnation when its process started; that of `record` grows with each refutation.
    pub(crate) start_incarnation: Incarnation,
    /// That incarnation when this daemon first heard of it.
    pub(crate) first_start: Incarnation,
    pub(crate) state: MemberState,
    /// When it entered this state.
    pub(crate) state_since: Mono,
    /// When a datagram sent by it last arrived.
    pub(crate) last_heard: Option<Mono>,
    /// When this daemon last probed it.
    pub(crate) last_probed: Option<Mono>,
    /// The configuration that it last reported; `None` if it has reported none since its start.
    pub(crate) applied_config: Option<AppliedConfig>,
    /// Whether a partition, rather than its death, is assumed to explain its silence.
    pub(crate) cut_off: bool,
    pub(crate) servers: BTreeMap<ServerName, ServerEntry>,
    /// Hash of the instance name, the record's incarnation and the names and sequences of the
    /// servers that are not gone. The hash is 0 if the member is neither alive nor suspect, and is
    /// the same for an alive member as for a suspect one.
    hash: u64,
}

impl MemberEntry {
    pub(crate) fn new(
        record: MemberRecord,
        start_incarnation: Incarnation,
        state: MemberState,
        now: Now,
    ) -> Self {
        let mut known = Self {
            record,
            start_incarnation,
            first_start: start_incarnation,
            state,
            state_since: now.mono,
            last_heard: None,
            last_probed: None,
            applied_config: None,
            cut_off: false,
            servers: BTreeMap::new(),
            hash: 0,
        };
        known.update_hash();
        known
    }

    /// Whether it is alive or suspect.
    pub(crate) fn is_live(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Whether it was last probed at or before `latest` and no datagram from it has arrived since
    /// that probe. `latest` bounds the time of the probe, not that of the last datagram.
    pub(crate) fn is_silent(&self, latest: Mono) -> bool {
        let Some(last_probed) = self.last_probed else {
            return false;
        };
        last_probed <= latest && !self.heard_since(last_probed)
    }

    /// Whether it sent a datagram that arrived after `since`.
    pub(crate) fn heard_since(&self, since: Mono) -> bool {
        self.last_heard.is_some_and(|last_heard| last_heard > since)
    }

    fn update_hash(&mut self) {
        self.hash = 0;
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
            // A sequence is the host's start incarnation and a counter.
            hasher.update(&server.record.sequence.0.0.to_le_bytes());
            hasher.update(&server.record.sequence.1.to_le_bytes());
        }
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        self.hash = u64::from_le_bytes(bytes);
    }
}

/// All known members, this daemon included, and their backend servers.
///
/// Changes made by [`Roster::update`], [`Roster::insert`], [`Roster::put_server`] and
/// [`Roster::prune`] raise the topology version and invalidate the cached hashes and lists.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    members: BTreeMap<MemberId, MemberEntry>,
    topology_version: u64,
    /// Cache for [`Roster::bucket_hashes`]; empty if invalid.
    bucket_hashes: Vec<u64>,
    /// Cache for [`Roster::reachable`]; empty if invalid.
    reachable: Vec<MemberId>,
}

impl Roster {
    /// The entry of a member; members that are dead or have left have one too.
    pub(crate) fn get(&self, id: MemberId) -> Option<&MemberEntry> {
        self.members.get(&id)
    }

    /// All entries, dead and departed members included.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (MemberId, &MemberEntry)> {
        self.members.iter().map(|(id, known)| (*id, known))
    }

    /// Number of members, dead and departed ones included.
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    pub(crate) fn topology_version(&self) -> u64 {
        self.topology_version
    }

    /// Updates a member's fields that are neither hashed nor part of a view; the topology version
    /// stays the same.
    pub(crate) fn update_untracked(&mut self, id: MemberId, f: impl FnOnce(&mut MemberEntry)) {
        if let Some(known) = self.members.get_mut(&id) {
            f(known);
        }
    }

    /// Updates a member and raises the topology version. Does nothing if the member is unknown.
    pub(crate) fn update(&mut self, id: MemberId, f: impl FnOnce(&mut MemberEntry)) {
        let Some(known) = self.members.get_mut(&id) else {
            return;
        };
        f(known);
        known.update_hash();
        self.mark_changed();
    }

    /// Adds a member or replaces its entry.
    pub(crate) fn insert(&mut self, id: MemberId, known: MemberEntry) {
        self.members.insert(id, known);
        self.mark_changed();
    }

    /// Applies a server announcement. Returns whether it was new: false if the host is unknown, if
    /// the announcement dates from before the host's last restart or is not newer than the known
    /// one, and if it withdraws a server that is not known.
    pub(crate) fn put_server(&mut self, host: MemberId, record: ServerRecord, now: Now) -> bool {
        let Some(known) = self.members.get_mut(&host) else {
            return false;
        };
        // `sequence.0` is the incarnation of the announcing host when its process started.
        if record.sequence.0 < known.start_incarnation {
            return false;
        }
        // The entry that `record` replaces, if `record` proves to be newer.
        let older = known.servers.get(&record.name);
        if older.is_some_and(|older| older.record.sequence >= record.sequence) {
            return false;
        }
        if older.is_none() && record.state == ServerState::Gone {
            return false;
        }
        let server = ServerEntry { record, announced_at: now.mono };
        known.servers.insert(server.record.name.clone(), server);
        known.update_hash();
        self.mark_changed();
        true
    }

    /// Removes dead and departed members and gone servers after [`TOMBSTONE_LIFETIME`]. Members
    /// that are cut off stay, and so does `own_id`, this daemon.
    pub(crate) fn prune(&mut self, now: Now, own_id: MemberId) {
        let old = |since: Mono| now.mono.since(since) >= TOMBSTONE_LIFETIME;
        let before = self.members.len();
        self.members.retain(|id, known| {
            *id == own_id || known.is_live() || known.cut_off || !old(known.state_since)
        });
        let mut changed = self.members.len() != before;
        for known in self.members.values_mut() {
            let servers = known.servers.len();
            known.servers.retain(|_, server| {
                server.record.state != ServerState::Gone || !old(server.announced_at)
            });
            changed |= known.servers.len() != servers;
        }
        if changed {
            self.mark_changed();
        }
    }

    /// The hash of each bucket: the wrapping sum of the hashes of its members.
    pub(crate) fn bucket_hashes(&mut self) -> &[u64] {
        if self.bucket_hashes.is_empty() {
            self.bucket_hashes = vec![0; BUCKET_COUNT];
            for (id, known) in &self.members {
                let bucket = &mut self.bucket_hashes[bucket_of(*id)];
                *bucket = bucket.wrapping_add(known.hash);
            }
        }
        &self.bucket_hashes
    }

    /// A hash over all live members and their servers that are not gone: the upper half of the sum
    /// of the bucket hashes.
    pub(crate) fn root_hash(&mut self) -> u32 {
        let mut sum = 0_u64;
        for bucket in self.bucket_hashes() {
            sum = sum.wrapping_add(*bucket);
        }
        (sum >> 32) as u32
    }

    /// All members, ordered by instance name.
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

    /// All backend servers, ordered by name.
    pub(crate) fn server_views(&self) -> Vec<ServerView> {
        let mut views = Vec::new();
        for known in self.members.values() {
            for server in known.servers.values() {
                views.push(ServerView {
                    record: server.record.clone(),
                    host: known.record.instance.clone(),
                    domain: known.record.domain.clone(),
                    region: known.record.region.clone(),
                    host_calls_address: known.record.addresses.calls,
                    host_state: known.state,
                    cut_off: known.cut_off,
                });
            }
        }
        views.sort_by(|a, b| a.record.name.cmp(&b.record.name));
        views
    }

    /// Live members that are not cut off, this daemon included.
    pub(crate) fn reachable(&mut self) -> &[MemberId] {
        if self.reachable.is_empty() {
            for (id, known) in &self.members {
                if known.is_live() && !known.cut_off {
                    self.reachable.push(*id);
                }
            }
        }
        &self.reachable
    }

    /// Number of [`Roster::reachable`] members, without filling the cache.
    pub(crate) fn reachable_count(&self) -> usize {
        self.members.values().filter(|known| known.is_live() && !known.cut_off).count()
    }

    fn mark_changed(&mut self) {
        self.topology_version += 1;
        self.bucket_hashes.clear();
        self.reachable.clear();
    }
}

/// The bucket that a member and its servers belong to.
pub(crate) fn bucket_of(id: MemberId) -> usize {
    (id.as_u64() % BUCKET_COUNT as u64) as usize
}
