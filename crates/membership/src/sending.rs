//! Writes datagrams: their heads, the news that rides on them, and pushes to a few members.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_types::Now;
use rand::seq::IteratorRandom;

use crate::budget::Spend;
use crate::datagram::{Head, Item, Message, ShortId, Writer};
use crate::hot::{Topic, Urgency};
use crate::membership::{Membership, Outgoing};
use crate::records::MemberState;

/// Members that hear urgent news from each member that hears it.
const FANOUT: usize = 6;

/// Tellings of a piece of news beyond the logarithm of the number of members.
const EXTRA_TELLINGS: u32 = 3;

/// Tellings of all news together that should be waiting at most.
const BACKLOG_TELLINGS: u32 = 512;

/// Tellings of a piece of news, however much there is to tell.
const FEWEST_TELLINGS: u32 = 2;

/// Unit of the age of the last answer of the log.
const LOG_AGE_UNIT: Duration = Duration::from_millis(100);

impl Membership {
    /// Sends a message with `items`, and with news as far as it fits; whether it was sent.
    pub(crate) fn send(
        &mut self,
        now: Now,
        to: SocketAddr,
        message: Message,
        spend: Spend,
        items: &[Item],
        out: &mut Vec<Outgoing>,
    ) -> bool {
        let head = self.head(now, message);
        let mut writer = Writer::new(&head, self.settings.datagram_bytes);
        for item in items {
            writer.push(item);
        }
        if writer.len() > self.budget.left(spend) {
            self.counters.held_back += 1;
            return false;
        }
        self.add_news(&mut writer);
        if !self.budget.spend(writer.len()) {
            self.counters.held_back += 1;
            return false;
        }
        let bytes = writer.seal(&self.settings.key);
        self.counters.bytes_sent += bytes.len() as u64;
        out.push(Outgoing { to, bytes });
        true
    }

    /// Sends urgent news, or the version held when it grew, to a few members.
    pub(crate) fn push_news(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        if !std::mem::take(&mut self.push_due) {
            return;
        }
        for id in self.choose(FANOUT, |_, _| true) {
            let Some(to) = self.address_of(id) else {
                continue;
            };
            self.send(now, to, Message::Gossip, Spend::Urgent, &[], out);
        }
    }

    /// Up to `count` members at random among the reachable ones that `suits` accepts.
    pub(crate) fn choose(
        &mut self,
        count: usize,
        suits: impl Fn(&Self, ShortId) -> bool,
    ) -> Vec<ShortId> {
        let candidates = self.roster.reachable().to_vec();
        let me = self.id;
        let suiting = candidates.into_iter().filter(|id| *id != me && suits(self, *id));
        let suiting: Vec<ShortId> = suiting.collect();
        suiting.into_iter().choose_multiple(&mut self.rng, count)
    }

    pub(crate) fn address_of(&self, id: ShortId) -> Option<SocketAddr> {
        Some(self.roster.get(id)?.record.addresses.peer)
    }

    /// A member in full, as it is passed on.
    pub(crate) fn member_item(&self, id: ShortId) -> Option<Item> {
        let known = self.roster.get(id)?;
        let state = if known.cut_off { MemberState::Alive } else { known.state };
        Some(Item::Member { life: known.life, state, record: known.record.clone() })
    }

    /// How often a piece of news is told; less often the more there is to tell.
    pub(crate) fn retransmits(&self) -> u32 {
        let enough = EXTRA_TELLINGS + (self.roster.len() + 1).ilog2();
        let share = BACKLOG_TELLINGS / (self.hot.len() as u32 + 1);
        enough.min(share.max(FEWEST_TELLINGS))
    }

    /// Takes another daemon's word for when the log answered.
    pub(crate) fn hear_log_age(&mut self, now: Now, age: u16) {
        if age == u16::MAX {
            return;
        }
        let contact = now.mono - LOG_AGE_UNIT * u32::from(age);
        self.log_contact = self.log_contact.max(Some(contact));
    }

    fn head(&mut self, now: Now, message: Message) -> Head {
        self.sequence += 1;
        Head {
            from: self.id,
            life: self.life,
            sequence: self.sequence,
            held: self.held,
            log_age: self.log_age(now),
            root: self.roster.root(),
            message,
        }
    }

    fn log_age(&self, now: Now) -> u16 {
        let Some(contact) = self.log_contact else {
            return u16::MAX;
        };
        let units = now.mono.since(contact).as_millis().div_ceil(LOG_AGE_UNIT.as_millis());
        u16::try_from(units).unwrap_or(u16::MAX)
    }

    fn add_news(&mut self, writer: &mut Writer) {
        for (topic, urgency) in self.hot.order() {
            let spend = match urgency {
                Urgency::Urgent => Spend::Urgent,
                Urgency::Records => Spend::Records,
                Urgency::Reports | Urgency::Soon => Spend::News,
            };
            let Some(item) = self.news_item(&topic) else {
                self.hot.forget(&topic);
                continue;
            };
            if !writer.push_within(&item, self.budget.left(spend)) {
                continue;
            }
            self.hot.told(&topic);
        }
    }

    fn news_item(&self, topic: &Topic) -> Option<Item> {
        match topic {
            Topic::Member(id) => self.member_news(*id),
            Topic::Server(host, name) => {
                let record = self.roster.get(*host)?.servers.get(name)?.record.clone();
                Some(Item::Server { host: *host, record })
            }
            Topic::Rider(_) => Some(Item::Rider(self.hot.rider(topic)?.clone())),
        }
    }

    fn member_news(&self, id: ShortId) -> Option<Item> {
        let known = self.roster.get(id)?;
        if known.state == MemberState::Alive {
            return self.member_item(id);
        }
        if known.cut_off {
            return None;
        }
        let incarnation = known.record.incarnation;
        Some(Item::Claim { id, incarnation, state: known.state })
    }
}
