//! Joining the mesh through seed addresses, rejoining after partitions, and leaving.
//!
//! While this daemon knows no other reachable member, it sends joins to random seeds with growing
//! pauses. The answers refer it to other members, to which it also sends joins until it is in sync.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_types::{Mono, Now};
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::budget::TrafficClass;
use crate::datagram::{Item, Message};
use crate::membership::{Membership, Outgoing};
use crate::records::MemberState;
use crate::update_queue::{Priority, UpdateKey};

/// Maximum number of addresses that joins are sent to at a time.
const MAX_JOIN_TARGETS: usize = 3;

/// Maximum number of referrals (addresses of other members) in the answer to a join.
const REFERRALS_PER_REPLY: usize = 6;

/// Maximum number of rounds of joins to referred members.
const MAX_REFERRAL_ROUNDS: u32 = 6;

/// Longest pause between two join attempts while alone, in gossip periods.
const MAX_RETRY_PAUSE_PERIODS: u32 = 8;

/// Pause between two joins to seeds that are not known as members, in gossip periods.
const SEED_RECHECK_PERIODS: u32 = 30;

/// State of joining.
#[derive(Debug)]
pub(crate) struct JoinState {
    due: Mono,
    /// Join attempts made while alone; sets the backoff.
    attempts: u32,
    /// Addresses that the last answer referred to, until the next join attempt uses them.
    referrals: Vec<SocketAddr>,
    /// Join attempts that went to referred members.
    referral_rounds: u32,
}

impl JoinState {
    pub(crate) fn new(now: Now) -> Self {
        Self { due: now.mono, attempts: 0, referrals: Vec::new(), referral_rounds: 0 }
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
        let items = self.own_items();
        for to in self.next_join_targets() {
            self.send(now, to, Message::Join, TrafficClass::Probe, &items, out);
        }
    }

    /// Makes the next join attempt due at once. It sends nothing if there are no unused referrals
    /// and every seed is already a reachable member.
    pub(crate) fn expedite_join(&mut self, now: Now) {
        self.joining.due = self.joining.due.min(now.mono);
    }

    pub(crate) fn answer_join(&mut self, now: Now, from: SocketAddr, out: &mut Vec<Outgoing>) {
        let items = self.own_items();
        let mut referrals = Vec::new();
        for id in self.choose_members(REFERRALS_PER_REPLY, |_, _| true) {
            referrals.extend(self.address_of(id).filter(|address| *address != from));
        }
        self.send(now, from, Message::JoinReply { referrals }, TrafficClass::Urgent, &items, out);
        self.send_join_broadcasts_to(now, from, TrafficClass::Urgent, out);
    }

    /// Schedules joins to the members that an answer referred to, unless this daemon was already
    /// in sync or has used up its rounds. A random delay of up to a quarter period spreads the
    /// load.
    pub(crate) fn handle_join_reply(&mut self, now: Now, referrals: &[SocketAddr]) {
        if self.anti_entropy.was_ever_in_sync()
            || self.joining.referral_rounds >= MAX_REFERRAL_ROUNDS
        {
            return;
        }
        self.joining.referrals = referrals.to_vec();
        let pause = self.settings.gossip_period.mul_f64(self.rng.random_range(0.0..=0.25));
        self.joining.due = self.joining.due.min(now.mono + pause);
    }

    /// Marks this daemon as having left and pushes that to a few members, which gossip it further.
    pub(crate) fn announce_leave(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        self.leaving = true;
        let own_id = self.id;
        self.roster.update(own_id, |known| known.state = MemberState::Left);
        let limit = self.transmission_limit();
        self.update_queue.add(UpdateKey::Member(own_id), Priority::Urgent, limit);
        self.push_due = true;
        self.push_if_due(now, out);
    }

    /// The record of this daemon and those of its backend servers.
    fn own_items(&self) -> Vec<Item> {
        let mut items: Vec<Item> = self.member_item(self.id).into_iter().collect();
        let Some(own) = self.roster.get(self.id) else {
            return items;
        };
        for server in own.servers.values() {
            items.push(Item::Server { host: self.id, record: server.record.clone() });
        }
        items
    }

    /// The addresses to send joins to now: members that answers referred to, if there are any, else
    /// random seeds that are not reachable members. One such seed is still tried while other
    /// members are reachable, since it may belong to a part of the mesh that has been cut off for
    /// long.
    fn next_join_targets(&mut self) -> Vec<SocketAddr> {
        let known = self.reachable_addresses();
        let mut referrals = std::mem::take(&mut self.joining.referrals);
        referrals.retain(|address| !known.contains(address));
        if !referrals.is_empty() {
            self.joining.referral_rounds += 1;
            return referrals.into_iter().choose_multiple(&mut self.rng, MAX_JOIN_TARGETS);
        }
        let count = if known.len() <= 1 { MAX_JOIN_TARGETS } else { 1 };
        let seeds = self.settings.seeds.iter().filter(|seed| !known.contains(seed));
        seeds.copied().choose_multiple(&mut self.rng, count)
    }

    fn reachable_addresses(&mut self) -> Vec<SocketAddr> {
        let mut addresses = vec![self.local_member.addresses.peer];
        for id in self.roster.reachable().to_vec() {
            if id != self.id {
                addresses.extend(self.address_of(id));
            }
        }
        addresses
    }

    /// The pause until the next join attempt. While alone it is 10% to 100%, at random, of a bound
    /// that doubles with each attempt, from a quarter period up to [`MAX_RETRY_PAUSE_PERIODS`];
    /// otherwise [`SEED_RECHECK_PERIODS`].
    fn join_pause(&mut self) -> Duration {
        let period = self.settings.gossip_period;
        if self.roster.reachable().len() > 1 {
            return period * SEED_RECHECK_PERIODS;
        }
        let bound = (period / 4).saturating_mul(1 << self.joining.attempts.min(10));
        self.joining.attempts += 1;
        bound.min(period * MAX_RETRY_PAUSE_PERIODS).mul_f64(self.rng.random_range(0.1..=1.0))
    }
}
