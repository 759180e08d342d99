//! Partition detection: tells a failure domain that is cut off from a single member that died.
//!
//! While a member is suspect, other members of its failure domain are probed as well. If at least
//! three members were probed, the suspect included, and at least two thirds of them are silent when
//! the suspicion runs out, the domain counts as cut off and its entries are kept. This daemon's own
//! domain is exempt. If this daemon hears nobody at all, it is probably isolated itself and treats
//! all other members as cut off.

use cyclamen_types::{FailureDomain, Mono, Now};

use crate::datagram::MemberId;
use crate::membership::{Membership, Outgoing};
use crate::records::MemberState;
use crate::update_queue::UpdateKey;

/// Members probed in the failure domain of a suspect member.
const DOMAIN_PROBES: usize = 5;

/// Minimum number of probed members of a failure domain, the suspect included, that is needed to
/// detect a partition.
const MIN_PARTITION_MEMBERS: usize = 3;

/// Members declared dead within this many suspicion timeouts before a partition is detected count
/// as part of it.
const RECENT_DEATH_SUSPICION_TIMEOUTS: u32 = 4;

impl Membership {
    /// Probes members in the failure domains of suspect members, per domain at most once in half
    /// the suspicion timeout.
    pub(crate) fn probe_suspect_domains(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        let mut domains: Vec<FailureDomain> = Vec::new();
        for (_, known) in self.roster.iter() {
            if known.state != MemberState::Suspect || known.cut_off {
                continue;
            }
            if !domains.contains(&known.record.domain) {
                domains.push(known.record.domain.clone());
            }
        }
        for domain in domains {
            self.probe_domain(now, &domain, out);
        }
    }

    fn probe_domain(&mut self, now: Now, domain: &FailureDomain, out: &mut Vec<Outgoing>) {
        let interval = self.settings.suspicion_timeout / 2;
        let last_probed = self.failure_detection.domain_probed_at.get(domain);
        if last_probed.is_some_and(|last_probed| now.mono.since(*last_probed) < interval) {
            return;
        }
        self.failure_detection.domain_probed_at.insert(domain.clone(), now.mono);
        let targets = self.choose_members(DOMAIN_PROBES, |membership, id| {
            membership.roster.get(id).is_some_and(|known| known.record.domain == *domain)
        });
        for id in targets {
            self.send_probe(now, id, out);
        }
    }

    /// Resolves a suspicion that was not refuted in time: the member is dead, its failure domain is
    /// cut off, or this daemon is isolated. This daemon's own failure domain counts as cut off only
    /// in the last case.
    pub(crate) fn resolve_suspicion(&mut self, now: Now, id: MemberId) {
        let Some(known) = self.roster.get(id) else {
            return;
        };
        if known.state != MemberState::Suspect || known.cut_off {
            return;
        }
        let domain = known.record.domain.clone();
        // A suspect is probed up to one period before it becomes suspect.
        let since = known.state_since - self.settings.gossip_period;
        if self.is_isolated(now) {
            self.cut_off_all(now);
            return;
        }
        if domain != self.local_member.domain && self.is_silent_domain(now, &domain, id, since) {
            self.cut_off_domain(now, &domain);
            return;
        }
        self.set_state(now, id, MemberState::Dead);
    }

    /// Marks all members of a domain that were cut off as alive, because one of them was heard
    /// again.
    pub(crate) fn mark_reconnected(&mut self, now: Now, domain: &FailureDomain) {
        for id in self.members_in_domain(domain) {
            self.roster.update(id, |known| {
                if !known.cut_off {
                    return;
                }
                known.cut_off = false;
                known.state = MemberState::Alive;
                known.state_since = now.mono;
                // A probe from before the reconnection must not count as unanswered.
                known.last_probed = None;
            });
        }
    }

    /// Probes the member that is cut off and was probed least recently, to notice when its domain
    /// is reachable again.
    pub(crate) fn probe_cut_off(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        let mut least_recent: Option<(Option<Mono>, MemberId)> = None;
        for (id, known) in self.roster.iter() {
            if !known.cut_off || id == self.id {
                continue;
            }
            let candidate = Some((known.last_probed, id));
            if least_recent.is_none() || candidate < least_recent {
                least_recent = candidate;
            }
        }
        if let Some((_, id)) = least_recent {
            self.send_probe(now, id, out);
        }
    }

    /// Whether no other member was heard within the suspicion timeout.
    fn is_isolated(&self, now: Now) -> bool {
        let since = now.mono - self.settings.suspicion_timeout;
        !self.roster.iter().any(|(id, known)| id != self.id && known.heard_since(since))
    }

    /// Whether at least two thirds of the live members of a domain that were last probed at or
    /// after `since` are silent. The suspect counts as one of them, and as silent. There must be at
    /// least [`MIN_PARTITION_MEMBERS`]. Members probed in the last half period do not count as
    /// silent, since they had too little time to answer.
    fn is_silent_domain(
        &self,
        now: Now,
        domain: &FailureDomain,
        suspect: MemberId,
        since: Mono,
    ) -> bool {
        let latest = now.mono - self.settings.gossip_period / 2;
        let (mut probed, mut silent) = (1, 1);
        for (id, known) in self.roster.iter() {
            if id == suspect || known.record.domain != *domain || known.cut_off {
                continue;
            }
            let probed_recently = known.last_probed.is_some_and(|at| at >= since);
            if !known.is_live() || !probed_recently {
                continue;
            }
            probed += 1;
            silent += usize::from(known.is_silent(latest));
        }
        probed >= MIN_PARTITION_MEMBERS && 3 * silent >= 2 * probed
    }

    fn cut_off_domain(&mut self, now: Now, domain: &FailureDomain) {
        for id in self.members_in_domain(domain) {
            self.cut_off_member(now, id);
        }
    }

    fn cut_off_all(&mut self, now: Now) {
        let ids: Vec<MemberId> = self.roster.iter().map(|(id, _)| id).collect();
        for id in ids {
            self.cut_off_member(now, id);
        }
    }

    /// Marks a member as cut off and stops gossiping its state: it is then suspect, but that
    /// suspicion does not expire. One that left, or was declared dead longer ago, is not affected.
    fn cut_off_member(&mut self, now: Now, id: MemberId) {
        if id == self.id {
            return;
        }
        let Some(known) = self.roster.get(id) else {
            return;
        };
        let recent_since =
            now.mono - self.settings.suspicion_timeout * RECENT_DEATH_SUSPICION_TIMEOUTS;
        let just_died = known.state == MemberState::Dead && known.state_since >= recent_since;
        if !known.is_live() && !just_died {
            return;
        }
        self.update_queue.remove(&UpdateKey::Member(id));
        self.roster.update(id, |known| {
            known.state = MemberState::Suspect;
            known.cut_off = true;
        });
    }

    fn members_in_domain(&self, domain: &FailureDomain) -> Vec<MemberId> {
        let mut ids = Vec::new();
        for (id, known) in self.roster.iter() {
            if known.record.domain == *domain && id != self.id {
                ids.push(id);
            }
        }
        ids
    }
}
