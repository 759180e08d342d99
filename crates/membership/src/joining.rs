//! Joins and leaves: the addresses of the settings are asked until somebody answers.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_types::{Mono, Now};
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::budget::Spend;
use crate::datagram::{Item, Message};
use crate::hot::{Topic, Urgency};
use crate::membership::{Membership, Outgoing};
use crate::records::MemberState;

/// Addresses asked at a time.
const ASKED: usize = 3;

/// Addresses of other members in an answer to a join.
const OTHERS: usize = 6;

/// Members to join by, beyond those of the settings.
const OTHERS_ASKED: u32 = 6;

/// Longest pause between two tries, in periods.
const LONGEST_PAUSE_PERIODS: u32 = 8;

/// Pause between two looks for members that are known by address only, in periods.
const LOOK_PERIODS: u32 = 30;

/// State of joining.
#[derive(Debug)]
pub(crate) struct Joining {
    due: Mono,
    tries: u32,
    others: Vec<SocketAddr>,
    others_asked: u32,
}

impl Joining {
    pub(crate) fn new(now: Now) -> Self {
        Self { due: now.mono, tries: 0, others: Vec::new(), others_asked: 0 }
    }

    pub(crate) fn due(&self) -> Mono {
        self.due
    }
}

impl Membership {
    pub(crate) fn join_if_due(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        if now.mono < self.joining.due || self.leaving {
            return;
        }
        self.joining.due = now.mono + self.join_pause();
        let me = self.own_items();
        for to in self.next_to_ask() {
            self.send(now, to, Message::Join, Spend::Probe, &me, out);
        }
    }

    /// Looks for members now, if there is an address to ask that is no member yet.
    pub(crate) fn join_soon(&mut self, now: Now) {
        self.joining.due = self.joining.due.min(now.mono);
    }

    pub(crate) fn answer_join(&mut self, now: Now, from: SocketAddr, out: &mut Vec<Outgoing>) {
        let me = self.own_items();
        let mut others = Vec::new();
        for id in self.choose(OTHERS, |_, _| true) {
            others.extend(self.address_of(id).filter(|address| *address != from));
        }
        self.send(now, from, Message::Welcome { others }, Spend::Urgent, &me, out);
    }

    /// Joins by other members as well, until a few were asked or all is known.
    pub(crate) fn take_welcome(&mut self, now: Now, others: &[SocketAddr]) {
        if self.syncing.has_agreed() || self.joining.others_asked >= OTHERS_ASKED {
            return;
        }
        self.joining.others = others.to_vec();
        let pause = self.settings.period.mul_f64(self.rng.random_range(0.0..=0.25));
        self.joining.due = self.joining.due.min(now.mono + pause);
    }

    /// Tells a few members that this daemon stops; they pass it on.
    pub(crate) fn tell_leaving(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        self.leaving = true;
        let me = self.id;
        self.roster.change(me, |known| known.state = MemberState::Left);
        let times = self.retransmits();
        self.hot.add(Topic::Member(me), Urgency::Urgent, times);
        self.push_due = true;
        self.push_news(now, out);
    }

    /// This daemon and the backend servers beside it.
    fn own_items(&self) -> Vec<Item> {
        let mut items: Vec<Item> = self.member_item(self.id).into_iter().collect();
        let Some(me) = self.roster.get(self.id) else {
            return items;
        };
        for server in me.servers.values() {
            items.push(Item::Server { host: self.id, record: server.record.clone() });
        }
        items
    }

    /// Whom to ask now: members heard of, addresses of the settings while alone, else now and
    /// then one of those that is no member, since it may belong to a mesh cut off for long.
    fn next_to_ask(&mut self) -> Vec<SocketAddr> {
        let known = self.known_addresses();
        let mut others = std::mem::take(&mut self.joining.others);
        others.retain(|other| !known.contains(other));
        if !others.is_empty() {
            self.joining.others_asked += 1;
            return others.into_iter().choose_multiple(&mut self.rng, ASKED);
        }
        let asked = if known.len() <= 1 { ASKED } else { 1 };
        let seeds = self.settings.seeds.iter().filter(|seed| !known.contains(seed));
        seeds.copied().choose_multiple(&mut self.rng, asked)
    }

    fn known_addresses(&mut self) -> Vec<SocketAddr> {
        let mut known = vec![self.me.addresses.peer];
        for id in self.roster.reachable().to_vec() {
            if id != self.id {
                known.extend(self.address_of(id));
            }
        }
        known
    }

    /// Full jitter under a bound that doubles with each try while alone; long otherwise.
    fn join_pause(&mut self) -> Duration {
        let period = self.settings.period;
        if self.roster.reachable().len() > 1 {
            return period * LOOK_PERIODS;
        }
        let bound = (period / 4).saturating_mul(1 << self.joining.tries.min(10));
        self.joining.tries += 1;
        bound.min(period * LONGEST_PAUSE_PERIODS).mul_f64(self.rng.random_range(0.1..=1.0))
    }
}
