//! Failure detection: probes, indirect probes, suspicion, death.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cyclamen_types::{FailureDomain, Mono, Now};
use rand::seq::SliceRandom;

use crate::budget::Spend;
use crate::datagram::{Item, Message, ShortId};
use crate::hot::{Topic, Urgency};
use crate::membership::{Membership, Outgoing};
use crate::records::MemberState;

/// Members that reports of evidence are sent to in a period, beside the one that is probed.
const REPORT_FANOUT: usize = 2;

/// Members asked to probe one that did not answer.
const HELPERS: usize = 3;

/// Probes passed on for others that may be under way.
const RELAYED_LIMIT: usize = 256;

/// The probe of this period.
#[derive(Debug)]
struct Probe {
    target: ShortId,
    nonce: u32,
    indirect_at: Mono,
    answered: bool,
}

/// A probe made for another member.
#[derive(Debug)]
struct Relayed {
    nonce: u32,
    asker: SocketAddr,
    asker_nonce: u32,
}

/// State of failure detection.
#[derive(Debug, Default)]
pub(crate) struct Probing {
    wheel: Vec<ShortId>,
    probe: Option<Probe>,
    relayed: Vec<Relayed>,
    nonces: u32,
    pub(crate) checked: BTreeMap<FailureDomain, Mono>,
}

impl Probing {
    /// When members are asked to help with the probe under way.
    pub(crate) fn indirect_due(&self) -> Mono {
        match &self.probe {
            Some(probe) if !probe.answered => probe.indirect_at,
            _ => Mono::NEVER,
        }
    }

    /// A helper says that the member answered it.
    pub(crate) fn take_relayed(&mut self, nonce: u32) {
        if let Some(probe) = &mut self.probe {
            probe.answered |= probe.nonce == nonce;
        }
    }

    fn nonce(&mut self) -> u32 {
        self.nonces = self.nonces.wrapping_add(1);
        self.nonces
    }
}

impl Membership {
    /// Judges the probe of the last period and begins a new one.
    pub(crate) fn end_period(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        if let Some(probe) = self.probing.probe.take()
            && !probe.answered
        {
            self.suspect(now, probe.target);
        }
        self.expire_suspects(now);
        self.roster.prune(now, self.id);
        self.check_suspect_domains(now, out);
        self.probe_next(now, out);
        self.probe_cut_off(now, out);
        self.pass_on_reports(now, out);
    }

    /// Sends reports of evidence that wait to a few members beside the one that is probed.
    fn pass_on_reports(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        if !self.hot.has_reports() {
            return;
        }
        for id in self.choose(REPORT_FANOUT, |_, _| true) {
            let Some(to) = self.address_of(id) else {
                continue;
            };
            self.send(now, to, Message::Gossip, Spend::Bulk, &[], out);
        }
    }

    /// Asks helpers when the probe of this period has no answer yet.
    pub(crate) fn probe_indirectly_if_due(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        if now.mono < self.probing.indirect_due() {
            return;
        }
        let Some(probe) = &mut self.probing.probe else {
            return;
        };
        probe.indirect_at = Mono::NEVER;
        let (target, nonce) = (probe.target, probe.nonce);
        for helper in self.choose(HELPERS, |_, id| id != target) {
            let Some(to) = self.address_of(helper) else {
                continue;
            };
            self.send(now, to, Message::Relay { nonce, target }, Spend::Probe, &[], out);
        }
    }

    /// Sends a probe; the answer shows in when the member was heard.
    pub(crate) fn probe(&mut self, now: Now, id: ShortId, out: &mut Vec<Outgoing>) -> u32 {
        let nonce = self.probing.nonce();
        if let Some(to) = self.address_of(id) {
            self.send(now, to, Message::Probe { nonce }, Spend::Probe, &[], out);
            self.roster.note(id, |known| known.asked = Some(now.mono));
        }
        nonce
    }

    pub(crate) fn answer_probe(
        &mut self,
        now: Now,
        from: SocketAddr,
        id: ShortId,
        nonce: u32,
        out: &mut Vec<Outgoing>,
    ) {
        let unknown = self.roster.get(id).is_none();
        self.send(now, from, Message::Ack { nonce, unknown }, Spend::Probe, &[], out);
    }

    pub(crate) fn take_ack(
        &mut self,
        now: Now,
        from: SocketAddr,
        nonce: u32,
        unknown: bool,
        out: &mut Vec<Outgoing>,
    ) {
        self.probing.take_relayed(nonce);
        if unknown {
            let me: Vec<Item> = self.member_item(self.id).into_iter().collect();
            self.send(now, from, Message::Gossip, Spend::Repair, &me, out);
        }
        let waiting = self.probing.relayed.iter().position(|relayed| relayed.nonce == nonce);
        if let Some(index) = waiting {
            let relayed = self.probing.relayed.swap_remove(index);
            let message = Message::RelayAck { nonce: relayed.asker_nonce };
            self.send(now, relayed.asker, message, Spend::Probe, &[], out);
        }
    }

    /// Probes a member for another one.
    pub(crate) fn relay_probe(
        &mut self,
        now: Now,
        asker: SocketAddr,
        asker_nonce: u32,
        target: ShortId,
        out: &mut Vec<Outgoing>,
    ) {
        if self.roster.get(target).is_none() {
            return;
        }
        let nonce = self.probe(now, target, out);
        if self.probing.relayed.len() >= RELAYED_LIMIT {
            self.probing.relayed.remove(0);
        }
        self.probing.relayed.push(Relayed { nonce, asker, asker_nonce });
    }

    /// Tells a member that is thought to be silent what is thought of it, so that it refutes.
    pub(crate) fn let_refute(
        &mut self,
        now: Now,
        from: SocketAddr,
        id: ShortId,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(known) = self.roster.get(id) else {
            return;
        };
        if !matches!(known.state, MemberState::Suspect | MemberState::Dead) {
            return;
        }
        let claim = Item::Claim { id, incarnation: known.record.incarnation, state: known.state };
        self.send(now, from, Message::Gossip, Spend::Repair, &[claim], out);
    }

    fn probe_next(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        let Some(target) = self.next_target() else {
            return;
        };
        let nonce = self.probe(now, target, out);
        let indirect_at = now.mono + self.settings.period / 2;
        self.probing.probe = Some(Probe { target, nonce, indirect_at, answered: false });
    }

    fn next_target(&mut self) -> Option<ShortId> {
        if self.probing.wheel.is_empty() {
            let mut wheel = self.roster.reachable().to_vec();
            wheel.shuffle(&mut self.rng);
            self.probing.wheel = wheel;
        }
        while let Some(id) = self.probing.wheel.pop() {
            let reachable = self.roster.get(id).is_some_and(|k| k.is_live() && !k.cut_off);
            if id != self.id && reachable {
                return Some(id);
            }
        }
        None
    }

    fn suspect(&mut self, now: Now, id: ShortId) {
        let Some(known) = self.roster.get(id) else {
            return;
        };
        if known.state != MemberState::Alive || known.cut_off {
            return;
        }
        self.set_state(now, id, MemberState::Suspect);
    }

    pub(crate) fn set_state(&mut self, now: Now, id: ShortId, state: MemberState) {
        self.roster.change(id, |known| {
            known.state = state;
            known.since = now.mono;
        });
        let times = self.retransmits();
        self.hot.add(Topic::Member(id), Urgency::Soon, times);
    }

    fn expire_suspects(&mut self, now: Now) {
        let mut expired = Vec::new();
        for (id, known) in self.roster.iter() {
            if known.state != MemberState::Suspect || known.cut_off || id == self.id {
                continue;
            }
            if now.mono.since(known.since) >= self.settings.suspicion {
                expired.push(id);
            }
        }
        for id in expired {
            self.end_suspicion(now, id);
        }
    }
}
