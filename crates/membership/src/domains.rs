//! Tells a failure domain that is cut off from one member that died.

use cyclamen_types::{FailureDomain, Mono, Now};

use crate::datagram::ShortId;
use crate::hot::Topic;
use crate::membership::{Membership, Outgoing};
use crate::records::MemberState;

/// Neighbours of a suspect member that are asked whether they answer.
const NEIGHBOURS: usize = 5;

/// Smallest group of members whose silence counts as a partition.
const SMALLEST_GROUP: usize = 3;

/// Deaths this many suspicion times back belong to the partition that is noticed now.
const RECENT_SUSPICIONS: u32 = 4;

impl Membership {
    /// Asks neighbours of suspect members, once per period and failure domain.
    pub(crate) fn check_suspect_domains(&mut self, now: Now, out: &mut Vec<Outgoing>) {
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
            self.check_domain(now, &domain, out);
        }
    }

    fn check_domain(&mut self, now: Now, domain: &FailureDomain, out: &mut Vec<Outgoing>) {
        let pause = self.settings.suspicion / 2;
        let checked = self.probing.checked.get(domain);
        if checked.is_some_and(|checked| now.mono.since(*checked) < pause) {
            return;
        }
        self.probing.checked.insert(domain.clone(), now.mono);
        let neighbours = self.choose(NEIGHBOURS, |membership, id| {
            membership.roster.get(id).is_some_and(|known| known.record.domain == *domain)
        });
        for id in neighbours {
            self.probe(now, id, out);
        }
    }

    /// Decides what a suspicion without refutation means: a death, or a partition.
    pub(crate) fn end_suspicion(&mut self, now: Now, id: ShortId) {
        let Some(known) = self.roster.get(id) else {
            return;
        };
        if known.state != MemberState::Suspect || known.cut_off {
            return;
        }
        let domain = known.record.domain.clone();
        let since = known.since - self.settings.period;
        if self.hears_nobody(now) {
            self.cut_off_all(now);
            return;
        }
        if domain != self.me.domain && self.is_silent_domain(now, &domain, id, since) {
            self.cut_off(now, &domain);
            return;
        }
        self.set_state(now, id, MemberState::Dead);
    }

    /// A member of a domain that was cut off is heard again: all of it may be.
    pub(crate) fn reconnect(&mut self, now: Now, domain: &FailureDomain) {
        for id in self.in_domain(domain) {
            self.roster.change(id, |known| {
                if !known.cut_off {
                    return;
                }
                known.cut_off = false;
                known.state = MemberState::Alive;
                known.since = now.mono;
                known.asked = None;
            });
        }
    }

    /// Probes one member that is cut off, to notice when it is back.
    pub(crate) fn probe_cut_off(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        let mut longest: Option<(Option<Mono>, ShortId)> = None;
        for (id, known) in self.roster.iter() {
            if !known.cut_off || id == self.id {
                continue;
            }
            let candidate = Some((known.asked, id));
            if longest.is_none() || candidate < longest {
                longest = candidate;
            }
        }
        if let Some((_, id)) = longest {
            self.probe(now, id, out);
        }
    }

    fn hears_nobody(&self, now: Now) -> bool {
        let since = now.mono - self.settings.suspicion;
        !self.roster.iter().any(|(id, known)| id != self.id && known.heard_since(since))
    }

    fn is_silent_domain(
        &self,
        now: Now,
        domain: &FailureDomain,
        suspect: ShortId,
        since: Mono,
    ) -> bool {
        let latest = now.mono - self.settings.period / 2;
        let (mut asked, mut silent) = (1, 1);
        for (id, known) in self.roster.iter() {
            if id == suspect || known.record.domain != *domain || known.cut_off {
                continue;
            }
            let was_asked = known.asked.is_some_and(|asked| asked >= since);
            if !known.is_live() || !was_asked {
                continue;
            }
            asked += 1;
            silent += usize::from(known.is_silent(latest));
        }
        asked >= SMALLEST_GROUP && 3 * silent >= 2 * asked
    }

    fn cut_off(&mut self, now: Now, domain: &FailureDomain) {
        for id in self.in_domain(domain) {
            self.cut_off_member(now, id);
        }
    }

    fn cut_off_all(&mut self, now: Now) {
        let ids: Vec<ShortId> = self.roster.iter().map(|(id, _)| id).collect();
        for id in ids {
            self.cut_off_member(now, id);
        }
    }

    fn cut_off_member(&mut self, now: Now, id: ShortId) {
        if id == self.id {
            return;
        }
        let recent = now.mono - self.settings.suspicion * RECENT_SUSPICIONS;
        self.hot.forget(&Topic::Member(id));
        self.roster.change(id, |known| {
            let just_died = known.state == MemberState::Dead && known.since >= recent;
            if !known.is_live() && !just_died {
                return;
            }
            known.state = MemberState::Suspect;
            known.cut_off = true;
        });
    }

    fn in_domain(&self, domain: &FailureDomain) -> Vec<ShortId> {
        let mut ids = Vec::new();
        for (id, known) in self.roster.iter() {
            if known.record.domain == *domain && id != self.id {
                ids.push(id);
            }
        }
        ids
    }
}
