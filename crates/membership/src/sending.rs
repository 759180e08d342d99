//! Composes datagrams: the header, the items of the message, and queued updates in the space that
//! is left. Also pushes urgent updates to a few members.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_types::Now;
use rand::seq::IteratorRandom;

use crate::budget::TrafficClass;
use crate::datagram::{DatagramWriter, Header, Item, MemberId, Message};
use crate::membership::{Membership, Outgoing};
use crate::records::MemberState;
use crate::update_queue::{Priority, UpdateKey};

/// Members to which each member pushes an urgent update.
const PUSH_FANOUT: usize = 6;

/// Transmissions of an update in addition to the binary logarithm of the number of members.
const EXTRA_TRANSMISSIONS: u32 = 3;

/// Target for the pending transmissions of all queued updates together. Above it, each new update
/// gets fewer transmissions.
const BACKLOG_TRANSMISSIONS: u32 = 512;

/// Minimum number of transmissions of a member or server update or a verdict, however long the
/// queue is.
const MIN_TRANSMISSIONS: u32 = 2;

/// Unit of the log age in datagram headers.
const LOG_AGE_UNIT: Duration = Duration::from_millis(100);

impl Membership {
    /// Sends a message with `items`, filled up with queued updates. Returns whether it was sent:
    /// the datagram is dropped and counted if the budget for its class does not allow it. Items
    /// that do not fit the datagram are left out.
    pub(crate) fn send(
        &mut self,
        now: Now,
        to: SocketAddr,
        message: Message,
        class: TrafficClass,
        items: &[Item],
        out: &mut Vec<Outgoing>,
    ) -> bool {
        let header = self.header(now, message);
        let mut writer = DatagramWriter::new(&header, self.settings.max_datagram_bytes);
        for item in items {
            writer.push(item);
        }
        if writer.len() > self.budget.available(class) {
            self.counters.held_back += 1;
            return false;
        }
        let across = self.is_across(to);
        self.append_updates(&mut writer, across);
        if !self.budget.try_spend(writer.len()) {
            self.counters.held_back += 1;
            return false;
        }
        let bytes = writer.finish(&self.settings.key);
        self.count_sent(class, across, bytes.len() as u64);
        out.push(Outgoing { to, bytes });
        true
    }

    /// Pushes urgent updates, or a newly applied configuration version, to a few members if a push
    /// is due.
    pub(crate) fn push_if_due(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        if !std::mem::take(&mut self.push_due) {
            return;
        }
        for id in self.choose_members(PUSH_FANOUT, |_, _| true) {
            let Some(to) = self.address_of(id) else {
                continue;
            };
            self.send(now, to, Message::Gossip, TrafficClass::Urgent, &[], out);
        }
    }

    /// Up to `count` random reachable members for which `suits` holds, other than this daemon.
    pub(crate) fn choose_members(
        &mut self,
        count: usize,
        suits: impl Fn(&Self, MemberId) -> bool,
    ) -> Vec<MemberId> {
        let candidates = self.roster.reachable().to_vec();
        let own_id = self.id;
        let eligible = candidates.into_iter().filter(|id| *id != own_id && suits(self, *id));
        let eligible: Vec<MemberId> = eligible.collect();
        eligible.into_iter().choose_multiple(&mut self.rng, count)
    }

    pub(crate) fn address_of(&self, id: MemberId) -> Option<SocketAddr> {
        Some(self.roster.get(id)?.record.addresses.peer)
    }

    /// The full record of a member as an item. A member that is cut off is passed on as alive: that
    /// this daemon cannot reach it must not make it suspect elsewhere.
    pub(crate) fn member_item(&self, id: MemberId) -> Option<Item> {
        let known = self.roster.get(id)?;
        let state = if known.cut_off { MemberState::Alive } else { known.state };
        Some(Item::Member {
            start_incarnation: known.start_incarnation,
            state,
            record: known.record.clone(),
        })
    }

    /// How many times each member sends an update: it grows with the logarithm of the number of
    /// members and falls as the queue grows.
    pub(crate) fn transmission_limit(&self) -> u32 {
        let enough = EXTRA_TRANSMISSIONS + (self.roster.len() + 1).ilog2();
        let share = BACKLOG_TRANSMISSIONS / (self.update_queue.len() as u32 + 1);
        enough.min(share.max(MIN_TRANSMISSIONS))
    }

    /// Merges a received log age into [`Membership::last_log_contact`].
    pub(crate) fn merge_log_age(&mut self, now: Now, age: u16) {
        if age == u16::MAX {
            return;
        }
        let contact = now.mono - LOG_AGE_UNIT * u32::from(age);
        self.last_log_contact = self.last_log_contact.max(Some(contact));
    }

    fn header(&mut self, now: Now, message: Message) -> Header {
        self.last_sequence += 1;
        Header {
            from: self.id,
            start_incarnation: self.start_incarnation,
            sequence: self.last_sequence,
            applied_config: self.applied_config,
            log_age: self.log_age(now),
            root_hash: self.roster.root_hash(),
            message,
        }
    }

    fn log_age(&self, now: Now) -> u16 {
        let Some(contact) = self.last_log_contact else {
            return u16::MAX;
        };
        let units = now.mono.since(contact).as_millis().div_ceil(LOG_AGE_UNIT.as_millis());
        u16::try_from(units).unwrap_or(u16::MAX)
    }

    fn count_sent(&mut self, class: TrafficClass, across: bool, bytes: u64) {
        self.counters.bytes_sent += bytes;
        if !across {
            return;
        }
        self.counters.bytes_sent_across += bytes;
        if class == TrafficClass::Repair {
            self.counters.repair_bytes_across += bytes;
        }
    }

    /// Fills a datagram with queued updates in order of priority. Updates that do not fit, that the
    /// budget of their class does not allow, or that this daemon does not send to the failure domain
    /// of the receiver are skipped; those about entries that no longer exist or are not gossiped are
    /// removed from the queue.
    fn append_updates(&mut self, writer: &mut DatagramWriter, across: bool) {
        let sends_news = !across || self.carries_across();
        for (key, priority) in self.update_queue.keys_by_priority() {
            if priority == Priority::Normal && !sends_news {
                continue;
            }
            let class = match priority {
                Priority::Urgent => TrafficClass::Urgent,
                Priority::Records => TrafficClass::Records,
                Priority::Evidence | Priority::Normal => TrafficClass::Updates,
            };
            let Some(item) = self.update_item(&key) else {
                self.update_queue.remove(&key);
                continue;
            };
            if !writer.push_within(&item, self.budget.available(class)) {
                continue;
            }
            self.update_queue.count_transmission(&key);
        }
    }

    fn update_item(&self, key: &UpdateKey) -> Option<Item> {
        match key {
            UpdateKey::Member(id) => self.member_update_item(*id),
            UpdateKey::Server(host, name) => {
                let record = self.roster.get(*host)?.servers.get(name)?.record.clone();
                Some(Item::Server { host: *host, record })
            }
            UpdateKey::Broadcast(_) => {
                Some(Item::Broadcast(self.update_queue.broadcast(key)?.clone()))
            }
        }
    }

    /// The full record of an alive member, else only its state. `None` if the member is unknown, or
    /// if it is cut off, which is not gossiped.
    fn member_update_item(&self, id: MemberId) -> Option<Item> {
        let known = self.roster.get(id)?;
        if known.state == MemberState::Alive {
            return self.member_item(id);
        }
        if known.cut_off {
            return None;
        }
        let incarnation = known.record.incarnation;
        Some(Item::StateUpdate { id, incarnation, state: known.state })
    }
}
