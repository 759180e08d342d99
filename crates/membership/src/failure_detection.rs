//! Failure detection after SWIM.
//!
//! Each period this daemon probes one member, in shuffled rounds over all reachable members. If no
//! answer arrives within half a period, a few other members are asked to probe the target. If there
//! is still none at the end of the period, the target becomes suspect. A suspect that does not
//! refute in time is declared dead or cut off.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cyclamen_types::{FailureDomain, Mono, Now};
use rand::seq::SliceRandom;

use crate::budget::TrafficClass;
use crate::datagram::{Item, MemberId, Message};
use crate::membership::{Membership, Outgoing};
use crate::records::MemberState;
use crate::update_queue::{Priority, UpdateKey};

/// Number of members that are sent an extra datagram per period while evidence reports are queued.
const EVIDENCE_FANOUT: usize = 2;

/// Members asked to probe a target that did not answer.
const INDIRECT_PROBERS: usize = 3;

/// Maximum number of indirect probes outstanding on behalf of other members; one of them is dropped
/// to make room for another.
const MAX_INDIRECT_PROBES: usize = 256;

/// The probe of the current period.
#[derive(Debug)]
struct Probe {
    target: MemberId,
    nonce: u32,
    /// When indirect probes are due; [`Mono::NEVER`] once they were requested.
    indirect_at: Mono,
    answered: bool,
}

/// A probe sent on behalf of another member.
#[derive(Debug)]
struct PendingIndirectProbe {
    /// The nonce of this daemon's own probe of the target.
    nonce: u32,
    requester: SocketAddr,
    /// The nonce to return to the requester.
    requester_nonce: u32,
}

/// State of failure detection.
#[derive(Debug, Default)]
pub(crate) struct FailureDetector {
    /// Members still to be probed in the current round, in reverse order.
    probe_queue: Vec<MemberId>,
    probe: Option<Probe>,
    indirect_probes: Vec<PendingIndirectProbe>,
    last_nonce: u32,
    /// When members of each failure domain were last probed because one of them was suspect.
    pub(crate) domain_probed_at: BTreeMap<FailureDomain, Mono>,
}

impl FailureDetector {
    /// When other members are to be asked to probe the current target.
    pub(crate) fn indirect_due(&self) -> Mono {
        match &self.probe {
            Some(probe) if !probe.answered => probe.indirect_at,
            _ => Mono::NEVER,
        }
    }

    /// Records a direct or indirect answer to the current probe.
    pub(crate) fn record_answer(&mut self, nonce: u32) {
        if let Some(probe) = &mut self.probe {
            probe.answered |= probe.nonce == nonce;
        }
    }

    fn next_nonce(&mut self) -> u32 {
        self.last_nonce = self.last_nonce.wrapping_add(1);
        self.last_nonce
    }
}

impl Membership {
    /// Ends a gossip period and starts the next: suspects a target that did not answer, expires
    /// suspicions and old entries, sends the next probes and forwards evidence reports.
    pub(crate) fn start_period(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        if let Some(probe) = self.failure_detection.probe.take()
            && !probe.answered
        {
            self.mark_suspect(now, probe.target);
        }
        self.expire_suspects(now);
        self.roster.prune(now, self.id);
        self.probe_suspect_domains(now, out);
        self.probe_next(now, out);
        self.probe_cut_off(now, out);
        self.forward_evidence(now, out);
        self.forward_news(now, out);
    }

    /// Sends queued evidence reports to a few members in addition to the probed one.
    fn forward_evidence(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        if !self.update_queue.has_evidence() {
            return;
        }
        for id in self.choose_members(EVIDENCE_FANOUT, |_, _| true) {
            let Some(to) = self.address_of(id) else {
                continue;
            };
            self.send(now, to, Message::Gossip, TrafficClass::Bulk, &[], out);
        }
    }

    /// Requests indirect probes if the probe of this period has not been answered in time.
    pub(crate) fn probe_indirectly_if_due(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        if now.mono < self.failure_detection.indirect_due() {
            return;
        }
        let Some(probe) = &mut self.failure_detection.probe else {
            return;
        };
        probe.indirect_at = Mono::NEVER;
        let (target, nonce) = (probe.target, probe.nonce);
        for helper in self.choose_members(INDIRECT_PROBERS, |_, id| id != target) {
            let Some(to) = self.address_of(helper) else {
                continue;
            };
            self.send(
                now,
                to,
                Message::IndirectProbe { nonce, target },
                TrafficClass::Probe,
                &[],
                out,
            );
        }
    }

    /// Probes a member and returns the nonce. Only an answer with the nonce of the period's probe
    /// keeps its target from becoming suspect. For partition detection
    /// ([`MemberEntry::is_silent`](crate::roster::MemberEntry::is_silent)), any later datagram of
    /// the member counts as an answer.
    pub(crate) fn send_probe(&mut self, now: Now, id: MemberId, out: &mut Vec<Outgoing>) -> u32 {
        let nonce = self.failure_detection.next_nonce();
        if let Some(to) = self.address_of(id) {
            self.send(now, to, Message::Probe { nonce }, TrafficClass::Probe, &[], out);
            self.roster.update_untracked(id, |known| known.last_probed = Some(now.mono));
        }
        nonce
    }

    pub(crate) fn answer_probe(
        &mut self,
        now: Now,
        from: SocketAddr,
        id: MemberId,
        nonce: u32,
        out: &mut Vec<Outgoing>,
    ) {
        let unknown = self.roster.get(id).is_none();
        self.send(now, from, Message::Ack { nonce, unknown }, TrafficClass::Probe, &[], out);
    }

    pub(crate) fn handle_ack(
        &mut self,
        now: Now,
        from: SocketAddr,
        nonce: u32,
        unknown: bool,
        out: &mut Vec<Outgoing>,
    ) {
        self.failure_detection.record_answer(nonce);
        if unknown {
            let own_record: Vec<Item> = self.member_item(self.id).into_iter().collect();
            self.send(now, from, Message::Gossip, TrafficClass::Repair, &own_record, out);
        }
        let waiting = self
            .failure_detection
            .indirect_probes
            .iter()
            .position(|indirect| indirect.nonce == nonce);
        if let Some(index) = waiting {
            let indirect = self.failure_detection.indirect_probes.swap_remove(index);
            let message = Message::IndirectAck { nonce: indirect.requester_nonce };
            self.send(now, indirect.requester, message, TrafficClass::Probe, &[], out);
        }
    }

    /// Probes `target` on behalf of another member. Ignored if the target is unknown.
    pub(crate) fn probe_for(
        &mut self,
        now: Now,
        requester: SocketAddr,
        requester_nonce: u32,
        target: MemberId,
        out: &mut Vec<Outgoing>,
    ) {
        if self.roster.get(target).is_none() {
            return;
        }
        let nonce = self.send_probe(now, target, out);
        if self.failure_detection.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            self.failure_detection.indirect_probes.remove(0);
        }
        self.failure_detection.indirect_probes.push(PendingIndirectProbe {
            nonce,
            requester,
            requester_nonce,
        });
    }

    /// Tells the sender of a datagram that this daemon considers it suspect or dead, if it does, so
    /// that the sender refutes.
    pub(crate) fn prompt_refutation(
        &mut self,
        now: Now,
        from: SocketAddr,
        id: MemberId,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(known) = self.roster.get(id) else {
            return;
        };
        if !matches!(known.state, MemberState::Suspect | MemberState::Dead) {
            return;
        }
        let claim =
            Item::StateUpdate { id, incarnation: known.record.incarnation, state: known.state };
        self.send(now, from, Message::Gossip, TrafficClass::Repair, &[claim], out);
    }

    fn probe_next(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        let Some(target) = self.next_target() else {
            return;
        };
        let nonce = self.send_probe(now, target, out);
        let indirect_at = now.mono + self.settings.gossip_period / 2;
        self.failure_detection.probe = Some(Probe { target, nonce, indirect_at, answered: false });
    }

    fn next_target(&mut self) -> Option<MemberId> {
        if self.failure_detection.probe_queue.is_empty() {
            let mut probe_queue = self.roster.reachable().to_vec();
            probe_queue.shuffle(&mut self.rng);
            self.failure_detection.probe_queue = probe_queue;
        }
        while let Some(id) = self.failure_detection.probe_queue.pop() {
            let reachable = self.roster.get(id).is_some_and(|k| k.is_live() && !k.cut_off);
            if id != self.id && reachable {
                return Some(id);
            }
        }
        None
    }

    /// Marks a member that did not answer its probe as suspect. Only alive members change state; one
    /// that is cut off is suspect already.
    fn mark_suspect(&mut self, now: Now, id: MemberId) {
        let Some(known) = self.roster.get(id) else {
            return;
        };
        if known.state != MemberState::Alive || known.cut_off {
            return;
        }
        self.set_state(now, id, MemberState::Suspect);
    }

    pub(crate) fn set_state(&mut self, now: Now, id: MemberId, state: MemberState) {
        self.roster.update(id, |known| {
            known.state = state;
            known.state_since = now.mono;
        });
        let limit = self.transmission_limit();
        self.update_queue.add(UpdateKey::Member(id), Priority::Normal, limit);
    }

    fn expire_suspects(&mut self, now: Now) {
        let mut expired = Vec::new();
        for (id, known) in self.roster.iter() {
            if known.state != MemberState::Suspect || known.cut_off || id == self.id {
                continue;
            }
            if now.mono.since(known.state_since) >= self.settings.suspicion_timeout {
                expired.push(id);
            }
        }
        for id in expired {
            self.resolve_suspicion(now, id);
        }
    }
}
