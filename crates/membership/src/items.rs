//! Takes news: what is newer replaces what is known, and is passed on.

use cyclamen_types::{Incarnation, Now};

use crate::datagram::{Item, ShortId};
use crate::hot::{Topic, Urgency};
use crate::membership::{Membership, Received};
use crate::records::{MemberRecord, MemberState, ServerRecord, ServerState};
use crate::roster::Known;

impl Membership {
    /// Takes the items of a datagram; `tell` passes on what is new. Pages are not passed on, since
    /// whoever lacks their entries finds that out as this daemon did.
    pub(crate) fn take_items(&mut self, now: Now, items: Vec<Item>, tell: bool) -> Received {
        self.telling = tell;
        let mut received = Received::default();
        for item in items {
            match item {
                Item::Member { life, state, record } => self.take_member(now, life, state, record),
                Item::Claim { id, incarnation, state } => {
                    self.take_claim(now, id, incarnation, state);
                }
                Item::Server { host, record } => self.take_server(now, host, record),
                Item::Rider(rider) => {
                    if self.take_rider(rider.clone()) {
                        self.push_due |= rider.kind.is_urgent();
                        received.riders.push(rider);
                    }
                }
            }
        }
        self.telling = true;
        received
    }

    /// Announces a backend server beside this daemon.
    pub(crate) fn announce_server(&mut self, now: Now, record: ServerRecord) {
        let name = record.name.clone();
        let state = record.state;
        if self.roster.put_server(self.id, record, now) {
            self.tell_server(self.id, name, state);
        }
    }

    fn take_member(
        &mut self,
        now: Now,
        life: Incarnation,
        state: MemberState,
        record: MemberRecord,
    ) {
        let id = ShortId::of(&record.instance);
        if id == self.id {
            self.defend(now, record.incarnation, state);
            return;
        }
        let Some(known) = self.roster.get(id) else {
            if state == MemberState::Alive || state == MemberState::Suspect {
                self.roster.insert(id, Known::new(record, life, state, now));
                self.tell_member(id);
            }
            return;
        };
        if !outranks(record.incarnation, state, known) {
            return;
        }
        self.roster.change(id, |known| {
            if life > known.life {
                known.life = life;
                known.servers.retain(|_, server| server.record.sequence.0 >= life);
                known.heard = None;
                known.held = None;
            }
            known.record = record;
            known.state = state;
            known.since = now.mono;
            known.cut_off = false;
        });
        self.tell_member(id);
    }

    fn take_claim(&mut self, now: Now, id: ShortId, incarnation: Incarnation, state: MemberState) {
        if id == self.id {
            self.defend(now, incarnation, state);
            return;
        }
        let Some(known) = self.roster.get(id) else {
            return;
        };
        if !outranks(incarnation, state, known) {
            return;
        }
        self.roster.change(id, |known| {
            known.record.incarnation = incarnation;
            known.state = state;
            known.since = now.mono;
        });
        self.tell_member(id);
    }

    fn take_server(&mut self, now: Now, host: ShortId, record: ServerRecord) {
        let (name, state) = (record.name.clone(), record.state);
        if host == self.id {
            return;
        }
        if self.roster.put_server(host, record, now) {
            self.tell_server(host, name, state);
        }
    }

    /// Refutes what others say of this daemon unless it is alive in its present incarnation.
    fn defend(&mut self, now: Now, incarnation: Incarnation, state: MemberState) {
        let mine = self.me.incarnation;
        let known = incarnation == mine && state == MemberState::Alive;
        if self.leaving || incarnation < mine || known {
            return;
        }
        self.me.incarnation = Incarnation(incarnation.0 + 1);
        let me = self.me.clone();
        self.roster.change(self.id, |known| {
            known.record = me;
            known.since = now.mono;
        });
        self.tell_member(self.id);
    }

    fn tell_member(&mut self, id: ShortId) {
        if !self.telling && id != self.id {
            return;
        }
        let left = self.roster.get(id).is_some_and(|known| known.state == MemberState::Left);
        let urgency = if left { Urgency::Urgent } else { Urgency::Soon };
        self.push_due |= left;
        let times = self.retransmits();
        self.hot.add(Topic::Member(id), urgency, times);
    }

    fn tell_server(&mut self, host: ShortId, name: cyclamen_types::ServerName, state: ServerState) {
        if !self.telling {
            return;
        }
        let urgency = if state == ServerState::Ready { Urgency::Soon } else { Urgency::Urgent };
        self.push_due |= urgency == Urgency::Urgent;
        let times = self.retransmits();
        self.hot.add(Topic::Server(host, name), urgency, times);
    }
}

/// Whether a claim is newer than what is known: a higher incarnation, or the same one and a later
/// state. A member that is cut off is not declared silent by anyone.
fn outranks(incarnation: Incarnation, state: MemberState, known: &Known) -> bool {
    if incarnation != known.record.incarnation {
        return incarnation > known.record.incarnation;
    }
    if known.cut_off && state != MemberState::Left {
        return false;
    }
    state > known.state
}
