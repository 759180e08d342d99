//! The queue of updates to piggyback on outgoing datagrams.
//!
//! Updates leave in order of priority, then fewest transmissions, then most recently queued. Each
//! is dropped after a set number of transmissions, or when a newer update with the same key
//! replaces it. When the queue is full, the update that would be sent last is evicted.

use std::collections::BTreeMap;

use cyclamen_types::ServerName;

use crate::datagram::MemberId;
use crate::wire::{Broadcast, BroadcastKind};

/// Maximum number of updates in the queue.
const MAX_UPDATES: usize = 2_048;

/// Maximum number of broadcasts of log records in the queue. Members pull the records that they
/// miss.
const MAX_RECORD_BROADCASTS: usize = 16;

/// Maximum number of evidence reports in the queue. A reporter's later reports include everything in
/// its earlier ones.
const MAX_EVIDENCE_REPORTS: usize = 32;

/// Transmission priority of an update; lower values are sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Priority {
    /// Urgent broadcasts, members that leave, and backend servers that drain or are gone.
    Urgent,
    /// Log records. They are pushed at once, but members that miss them can pull them.
    Records,
    /// Evidence reports. They precede member and server updates because a verdict is due within
    /// seconds of the evidence, even during heavy churn, and because anti-entropy repairs missed
    /// member and server updates but not evidence.
    Evidence,
    /// All other member and backend server updates.
    Normal,
}

/// What an update is about. A newer update replaces a queued one with the same key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum UpdateKey {
    Member(MemberId),
    Server(MemberId, ServerName),
    Broadcast(u64),
}

#[derive(Debug)]
struct QueuedUpdate {
    priority: Priority,
    /// The payload of a broadcast. Other updates are read from the roster when they are sent.
    broadcast: Option<Broadcast>,
    transmissions: u32,
    max_transmissions: u32,
    /// Value of [`UpdateQueue::insertions`] when the update was queued.
    insertion: u64,
}

/// Updates that are still to be sent.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    updates: BTreeMap<UpdateKey, QueuedUpdate>,
    /// Number of updates queued so far.
    insertions: u64,
}

impl UpdateQueue {
    /// Queues a member or server update to be sent `limit` times.
    pub(crate) fn add(&mut self, key: UpdateKey, priority: Priority, limit: u32) {
        self.insert(key, priority, None, limit);
    }

    /// Queues a payload to be sent `limit` times.
    pub(crate) fn add_broadcast(&mut self, id: u64, broadcast: Broadcast, limit: u32) {
        let priority = match broadcast.kind {
            BroadcastKind::Urgent => Priority::Urgent,
            BroadcastKind::Records => Priority::Records,
            BroadcastKind::Evidence | BroadcastKind::Direct => Priority::Evidence,
        };
        self.insert(UpdateKey::Broadcast(id), priority, Some(broadcast), limit);
    }

    /// Keys and priorities of all updates in the order in which they should be sent.
    pub(crate) fn keys_by_priority(&self) -> Vec<(UpdateKey, Priority)> {
        let mut all: Vec<(&UpdateKey, &QueuedUpdate)> = self.updates.iter().collect();
        all.sort_by_key(|(_, update)| {
            (update.priority, update.transmissions, u64::MAX - update.insertion)
        });
        all.into_iter().map(|(key, update)| (key.clone(), update.priority)).collect()
    }

    /// The payload of a queued broadcast; `None` for other updates.
    pub(crate) fn broadcast(&self, key: &UpdateKey) -> Option<&Broadcast> {
        self.updates.get(key)?.broadcast.as_ref()
    }

    /// Whether evidence reports are queued.
    pub(crate) fn has_evidence(&self) -> bool {
        self.updates.values().any(|update| update.priority == Priority::Evidence)
    }

    /// Whether news of members or backend servers is queued.
    pub(crate) fn has_news(&self) -> bool {
        self.updates.values().any(|update| update.priority == Priority::Normal)
    }

    pub(crate) fn len(&self) -> usize {
        self.updates.len()
    }

    /// Counts one transmission of an update and removes it after its last one.
    pub(crate) fn count_transmission(&mut self, key: &UpdateKey) {
        let Some(update) = self.updates.get_mut(key) else {
            return;
        };
        update.transmissions += 1;
        if update.transmissions >= update.max_transmissions {
            self.updates.remove(key);
        }
    }

    pub(crate) fn remove(&mut self, key: &UpdateKey) {
        self.updates.remove(key);
    }

    fn insert(
        &mut self,
        key: UpdateKey,
        priority: Priority,
        broadcast: Option<Broadcast>,
        limit: u32,
    ) {
        self.insertions += 1;
        let update = QueuedUpdate {
            priority,
            broadcast,
            transmissions: 0,
            max_transmissions: limit,
            insertion: self.insertions,
        };
        self.updates.insert(key, update);
        if priority == Priority::Records {
            self.evict_if_above(MAX_RECORD_BROADCASTS, |update| {
                update.priority == Priority::Records
            });
        }
        if priority == Priority::Evidence {
            self.evict_if_above(MAX_EVIDENCE_REPORTS, |update| {
                update.priority == Priority::Evidence
            });
        }
        self.evict_if_above(MAX_UPDATES, |_| true);
    }

    /// Evicts one of the updates that match `is_counted` if there are more than `limit` of them: the
    /// one with the lowest priority, then the most transmissions, then the longest time queued.
    fn evict_if_above(&mut self, limit: usize, is_counted: impl Fn(&QueuedUpdate) -> bool) {
        if self.updates.len() <= limit {
            return;
        }
        let counted: Vec<(&UpdateKey, &QueuedUpdate)> =
            self.updates.iter().filter(|(_, update)| is_counted(update)).collect();
        if counted.len() <= limit {
            return;
        }
        let last = counted.iter().max_by_key(|(_, update)| {
            (update.priority, update.transmissions, u64::MAX - update.insertion)
        });
        if let Some(key) = last.map(|(key, _)| (*key).clone()) {
            self.updates.remove(&key);
        }
    }
}
