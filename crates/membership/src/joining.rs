//! Joins and leaves: the addresses of the settings are asked until somebody answers.

use std::net::SocketAddr;

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

/// Longest pause between two tries, in periods.
const LONGEST_PAUSE_PERIODS: u32 = 8;

/// Pause between two looks for members that are known by address only, in periods.
const LOOK_PERIODS: u32 = 30;

/// State of joining.
#[derive(Debug)]
pub(crate) struct Joining {
    due: Mono,
    tries: u32,
}

impl Joining {
    pub(crate) fn new(now: Now) -> Self {
        Self { due: now.mono, tries: 0 }
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
        let alone = self.roster.reachable().len() <= 1;
        let pause = if alone { self.join_pause() } else { self.settings.period * LOOK_PERIODS };
        self.joining.due = now.mono + pause;
        let asked = if alone { ASKED } else { 1 };
        let me: Vec<Item> = self.member_item(self.id).into_iter().collect();
        for to in self.unknown_seeds(asked) {
            self.send(now, to, Message::Join, Spend::Probe, &me, out);
        }
    }

    pub(crate) fn answer_join(&mut self, now: Now, from: SocketAddr, out: &mut Vec<Outgoing>) {
        let me: Vec<Item> = self.member_item(self.id).into_iter().collect();
        self.send(now, from, Message::Gossip, Spend::Repair, &me, out);
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

    /// Full jitter under a bound that doubles with each try.
    fn join_pause(&mut self) -> std::time::Duration {
        let longest = self.settings.period * LONGEST_PAUSE_PERIODS;
        let bound = (self.settings.period / 4).saturating_mul(1 << self.joining.tries.min(10));
        self.joining.tries += 1;
        bound.min(longest).mul_f64(self.rng.random_range(0.1..=1.0))
    }

    fn unknown_seeds(&mut self, count: usize) -> Vec<SocketAddr> {
        let mut known: Vec<SocketAddr> = vec![self.me.addresses.peer];
        for id in self.roster.reachable().to_vec() {
            known.extend(self.address_of(id));
        }
        let seeds = self.settings.seeds.iter().filter(|seed| !known.contains(seed));
        seeds.copied().choose_multiple(&mut self.rng, count)
    }
}
