//! The daemons that this one knows, and which of them owns an account.

use std::collections::VecDeque;
use std::time::Duration;

use cyclamen_types::{AccountName, FastSet, InstanceName, Mono};

/// Daemons that a fleet is taken to have as long as this one does not know it.
const UNKNOWN_FLEET_SIZE: usize = 100;

/// Most earlier sets of daemons that are remembered.
const MAX_EARLIER: usize = 32;

/// A set of daemons, with hashes of their names.
type Members = Vec<(u64, InstanceName)>;

/// The reachable daemons now and before.
#[derive(Debug)]
pub(crate) struct Fleet {
    /// Since when each set was known, the newest last. Empty while the fleet is unknown.
    sets: VecDeque<(Mono, Members)>,
    reachable: FastSet<InstanceName>,
    cut_off: usize,
}

impl Fleet {
    pub(crate) fn unknown() -> Self {
        Self { sets: VecDeque::new(), reachable: FastSet::default(), cut_off: 0 }
    }

    /// Takes over the reachable daemons, this one among them, and the number of those that are cut
    /// off. Returns whether the reachable ones have changed.
    pub(crate) fn set(&mut self, now: Mono, reachable: &[InstanceName], cut_off: usize) -> bool {
        self.cut_off = cut_off;
        let known = self.members().iter().map(|(_, name)| name);
        if known.eq(reachable) {
            return false;
        }
        if self.sets.len() >= MAX_EARLIER {
            self.sets.pop_front();
        }
        let members = reachable.iter().map(|name| (hash(name.as_str()), name.clone())).collect();
        self.sets.push_back((now, members));
        self.reachable = reachable.iter().cloned().collect();
        true
    }

    fn members(&self) -> &[(u64, InstanceName)] {
        self.sets.back().map_or(&[], |(_, members)| members)
    }

    pub(crate) fn is_reachable(&self, name: &InstanceName) -> bool {
        self.reachable.contains(name)
    }

    /// Number of daemons, with those that are cut off.
    pub(crate) fn size(&self) -> usize {
        match self.reachable.len() {
            0 => UNKNOWN_FLEET_SIZE,
            reachable => reachable + self.cut_off,
        }
    }

    /// The part of the daemons that is reachable.
    pub(crate) fn part(&self) -> f64 {
        self.reachable.len() as f64 / self.size() as f64
    }

    /// The daemon that lends the shares of an account; `None` while the fleet is unknown.
    pub(crate) fn owner(&self, account: &AccountName) -> Option<&InstanceName> {
        owner_among(self.members(), account)
    }

    /// Since when `me` has been the owner of an account without interruption, as far as remembered;
    /// `None` if it is not.
    pub(crate) fn owner_since(&self, me: &InstanceName, account: &AccountName) -> Option<Mono> {
        let mut since = None;
        for (at, members) in self.sets.iter().rev() {
            if owner_among(members, account) != Some(me) {
                return since;
            }
            since = Some(*at);
        }
        since
    }

    /// Forgets sets that were replaced longer than `age` ago.
    pub(crate) fn forget(&mut self, now: Mono, age: Duration) {
        while self.sets.get(1).is_some_and(|(at, _)| now.since(*at) > age) {
            self.sets.pop_front();
        }
    }
}

/// Rendezvous hashing: only the accounts of a daemon that comes or goes change their owner.
fn owner_among<'a>(
    members: &'a [(u64, InstanceName)],
    account: &AccountName,
) -> Option<&'a InstanceName> {
    let account = hash(account.as_str());
    members.iter().max_by_key(|(member, _)| mix(member ^ account)).map(|(_, name)| name)
}

fn hash(name: &str) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// The finalizer of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
