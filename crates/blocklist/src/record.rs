//! What the daemons know of one suspected call. Records merge in any order and any number of times.

use std::time::Duration;

use cyclamen_types::{ServerName, Wall};
use serde::{Deserialize, Serialize};

/// Time after its last change for which a record is kept: a call is blocked for at most that long.
pub const ENTRY_PERIOD: Duration = Duration::from_secs(600);

/// Points from which on a call is blocked: two crashes that nothing but the call explains, or more
/// of less weight.
const BLOCKING_POINTS: u32 = 4;

/// Most crashes that a record holds; those of the most points are kept.
const MAX_CRASHES: usize = 8;

/// A crash of a backend server while it ran the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The server; a restarted one has another name.
    pub server: ServerName,
    /// The server that crashed during the attempt before, if this run was a retry after a crash.
    pub follows: Option<ServerName>,
    /// How many earlier crashes under the call were known when the run began. Crashes of the same
    /// rank may have one cause that has nothing to do with the call, and count as one.
    pub rank: u8,
    /// Its weight as evidence, see [`Weight`](crate::suspects::Weight); 0 until it is judged.
    pub points: u8,
}

/// The crashes under one call since it was last cleared.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// How many times the call was cleared. What belongs to an earlier generation counts no more.
    pub generation: u32,
    /// When the record last changed, by the wall clock of the daemon that changed it.
    pub changed_at: Wall,
    /// The crashes, by falling points and then by name.
    pub crashes: Vec<Crash>,
}

impl Record {
    /// Whether the crashes weigh enough to block the call. If a call of the same content is blocked
    /// in another scope (`related_blocked`), one crash is enough.
    pub fn is_blocked(&self, related_blocked: bool) -> bool {
        self.points() >= BLOCKING_POINTS || (related_blocked && !self.crashes.is_empty())
    }

    /// Sum of the points of the crashes, one of each rank.
    pub fn points(&self) -> u32 {
        let mut by_rank = [0; MAX_CRASHES + 1];
        for crash in &self.crashes {
            let points = &mut by_rank[usize::from(crash.rank).min(MAX_CRASHES)];
            *points = u32::from(crash.points).max(*points);
        }
        by_rank.iter().sum()
    }

    /// Whether the record is kept at this time. Wall clocks of daemons differ by seconds, which is
    /// little against [`ENTRY_PERIOD`].
    pub fn is_current(&self, now: Wall) -> bool {
        now.since(self.changed_at) < ENTRY_PERIOD
    }

    /// The rank of a crash during a run that begins now, as a retry after the crash of `follows`.
    pub(crate) fn next_rank(&self, follows: Option<&ServerName>) -> u8 {
        let untold = follows.is_some_and(|server| !self.has_crash(server));
        let known = self.crashes.len() + usize::from(untold);
        u8::try_from(known.min(MAX_CRASHES)).unwrap_or(u8::MAX)
    }

    /// Whether this server crashed under the call.
    pub fn has_crash(&self, server: &ServerName) -> bool {
        self.crashes.iter().any(|crash| crash.server == *server)
    }

    /// Adds a crash, or raises the points of a known one.
    pub(crate) fn add(&mut self, now: Wall, crash: &Crash) {
        self.changed_at = self.changed_at.max(now);
        self.add_crash(crash);
    }

    /// Forgets all crashes: a server has answered the call, or an operator lifts the entry. The
    /// record stays, so that outdated copies of other daemons cannot bring the crashes back.
    pub(crate) fn clear(&mut self, now: Wall) {
        self.generation = self.generation.saturating_add(1);
        self.changed_at = self.changed_at.max(now);
        self.crashes.clear();
    }

    /// Takes over what another record of the same call knows. Returns whether this one changed.
    pub(crate) fn merge(&mut self, other: &Self) -> bool {
        if other.generation != self.generation {
            let newer = other.generation > self.generation;
            if newer {
                *self = other.clone();
            }
            return newer;
        }
        let before = self.clone();
        self.changed_at = self.changed_at.max(other.changed_at);
        for crash in &other.crashes {
            self.add_crash(crash);
        }
        *self != before
    }

    fn add_crash(&mut self, crash: &Crash) {
        match self.crashes.iter_mut().find(|known| known.server == crash.server) {
            Some(known) => {
                known.points = known.points.max(crash.points);
                known.rank = known.rank.max(crash.rank);
                known.follows = known.follows.clone().max(crash.follows.clone());
            }
            None => self.crashes.push(crash.clone()),
        }
        self.crashes.sort_by(|a, b| b.points.cmp(&a.points).then_with(|| a.server.cmp(&b.server)));
        self.crashes.truncate(MAX_CRASHES);
    }
}
