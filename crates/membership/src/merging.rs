//! Merges received items into the roster. Newer items replace older ones and are queued for gossip;
//! claims that this daemon is not alive are refuted.

use cyclamen_types::{Incarnation, Now};

use crate::datagram::{Item, MemberId};
use crate::membership::{Membership, Received};
use crate::records::{MemberRecord, MemberState, ServerRecord, ServerState};
use crate::roster::MemberEntry;
use crate::update_queue::{Priority, UpdateKey};

impl Membership {
    /// Merges the items of a datagram. If `forward`, new member and server updates are queued for
    /// gossip. Those of anti-entropy pages are not: members that lack them find that out by
    /// themselves, as this daemon did.
    pub(crate) fn merge_items(&mut self, now: Now, items: Vec<Item>, forward: bool) -> Received {
        self.forward_updates = forward;
        let mut received = Received::default();
        for item in items {
            match item {
                Item::Member { start_incarnation, state, record } => {
                    self.merge_member(now, start_incarnation, state, record);
                }
                Item::StateUpdate { id, incarnation, state } => {
                    self.merge_state_update(now, id, incarnation, state);
                }
                Item::Server { host, record } => self.merge_server(now, host, record),
                Item::Broadcast(broadcast) => {
                    if self.accept_broadcast(broadcast.clone()) {
                        self.push_due |= broadcast.kind.is_urgent();
                        received.broadcasts.push(broadcast);
                    }
                }
            }
        }
        self.forward_updates = true;
        received
    }

    /// Applies an announcement of a backend server of this daemon and queues it for gossip, unless
    /// [`Roster::put_server`](crate::roster::Roster::put_server) ignores it.
    pub(crate) fn announce_server(&mut self, now: Now, record: ServerRecord) {
        let name = record.name.clone();
        let state = record.state;
        if self.roster.put_server(self.id, record, now) {
            self.queue_server_update(self.id, name, state);
        }
    }

    fn merge_member(
        &mut self,
        now: Now,
        start_incarnation: Incarnation,
        state: MemberState,
        record: MemberRecord,
    ) {
        let id = MemberId::of(&record.instance);
        if id == self.id {
            self.refute(now, record.incarnation, state);
            return;
        }
        let Some(known) = self.roster.get(id) else {
            if state == MemberState::Alive || state == MemberState::Suspect {
                self.roster.insert(id, MemberEntry::new(record, start_incarnation, state, now));
                self.queue_member_update(id);
            }
            return;
        };
        if !supersedes(record.incarnation, state, known) {
            return;
        }
        self.roster.update(id, |known| {
            if start_incarnation > known.start_incarnation {
                known.start_incarnation = start_incarnation;
                known.servers.retain(|_, server| server.record.sequence.0 >= start_incarnation);
                known.last_heard = None;
                known.applied_config = None;
            }
            known.record = record;
            known.state = state;
            known.state_since = now.mono;
            known.cut_off = false;
        });
        self.queue_member_update(id);
    }

    fn merge_state_update(
        &mut self,
        now: Now,
        id: MemberId,
        incarnation: Incarnation,
        state: MemberState,
    ) {
        if id == self.id {
            self.refute(now, incarnation, state);
            return;
        }
        let Some(known) = self.roster.get(id) else {
            return;
        };
        if !supersedes(incarnation, state, known) {
            return;
        }
        self.roster.update(id, |known| {
            known.record.incarnation = incarnation;
            known.state = state;
            known.state_since = now.mono;
            // Members that are cut off are kept and turn alive on reconnection. One that left or
            // died must not.
            known.cut_off &= state == MemberState::Suspect;
        });
        self.queue_member_update(id);
    }

    fn merge_server(&mut self, now: Now, host: MemberId, record: ServerRecord) {
        let (name, state) = (record.name.clone(), record.state);
        if host == self.id {
            return;
        }
        if self.roster.put_server(host, record, now) {
            self.queue_server_update(host, name, state);
        }
    }

    /// Refutes a claim about this daemon by raising its incarnation above the claimed one, unless
    /// the claim is outdated, states that it is alive in its current incarnation, or this daemon is
    /// leaving.
    fn refute(&mut self, now: Now, incarnation: Incarnation, state: MemberState) {
        let mine = self.local_member.incarnation;
        let is_current = incarnation == mine && state == MemberState::Alive;
        if self.leaving || incarnation < mine || is_current {
            return;
        }
        self.local_member.incarnation = Incarnation(incarnation.0 + 1);
        let own_record = self.local_member.clone();
        self.roster.update(self.id, |known| {
            known.record = own_record;
            known.state_since = now.mono;
        });
        self.queue_member_update(self.id);
    }

    fn queue_member_update(&mut self, id: MemberId) {
        if !self.forward_updates && id != self.id {
            return;
        }
        let left = self.roster.get(id).is_some_and(|known| known.state == MemberState::Left);
        let priority = if left { Priority::Urgent } else { Priority::Normal };
        self.push_due |= left;
        let limit = self.transmission_limit();
        self.update_queue.add(UpdateKey::Member(id), priority, limit);
    }

    fn queue_server_update(
        &mut self,
        host: MemberId,
        name: cyclamen_types::ServerName,
        state: ServerState,
    ) {
        if !self.forward_updates {
            return;
        }
        let priority =
            if state == ServerState::Ready { Priority::Normal } else { Priority::Urgent };
        self.push_due |= priority == Priority::Urgent;
        let limit = self.transmission_limit();
        self.update_queue.add(UpdateKey::Server(host, name), priority, limit);
    }
}

/// Whether a claimed state supersedes the known one: it has a higher incarnation, or the same one
/// and a later state. For a member that is cut off, only a departure supersedes the state of the
/// same incarnation, so that others cannot declare it suspect or dead.
fn supersedes(incarnation: Incarnation, state: MemberState, known: &MemberEntry) -> bool {
    if incarnation != known.record.incarnation {
        return incarnation > known.record.incarnation;
    }
    if known.cut_off && state != MemberState::Left {
        return false;
    }
    state > known.state
}
