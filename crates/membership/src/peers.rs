//! Members as distribution needs them: who reads the log, and who can be asked.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_types::{FailureDomain, FastMap, InstanceName, Now};
use rand::Rng;

use crate::datagram::ShortId;
use crate::membership::Membership;
use crate::records::MemberState;
use crate::wire::Held;

/// Live members of each failure domain that read the log.
const RELAYS_PER_DOMAIN: usize = 2;

/// How long a daemon that was given addresses to ask may take to agree with another, in periods.
const SETTLE_PERIODS: u32 = 5;

/// A live member other than this daemon.
#[derive(Clone, Copy, Debug)]
pub struct Peer<'a> {
    /// Its failure domain.
    pub domain: &'a FailureDomain,
    /// Where it answers requests (TCP).
    pub address: SocketAddr,
    /// What it was heard to hold.
    pub held: Option<Held>,
}

impl Membership {
    /// The live members of a failure domain that read the log, by rendezvous hash.
    pub fn relays(&self, domain: &FailureDomain) -> Vec<InstanceName> {
        let mut ranked: Vec<(u64, &InstanceName)> = Vec::new();
        for (id, known) in self.roster.iter() {
            if known.record.domain != *domain || known.state != MemberState::Alive {
                continue;
            }
            if known.cut_off && id != self.id {
                continue;
            }
            ranked.push((id.number(), &known.record.instance));
        }
        ranked.sort_unstable();
        ranked.truncate(RELAYS_PER_DOMAIN);
        ranked.into_iter().map(|(_, instance)| instance.clone()).collect()
    }

    /// A member of this failure domain that reads the log, at random; not this one.
    pub fn choose_relay(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let mut relays = self.relays(&self.me.domain);
        relays.retain(|name| *name != self.me.instance);
        let name = relays.get(rng.random_range(0..relays.len().max(1)))?;
        Some(self.roster.get(ShortId::of(name))?.record.addresses.peer)
    }

    /// How many live members read the log, over all failure domains.
    pub fn readers(&self) -> usize {
        let mut per_domain: FastMap<&FailureDomain, usize> = FastMap::default();
        for (_, known) in self.roster.iter() {
            if known.state == MemberState::Alive {
                *per_domain.entry(&known.record.domain).or_default() += 1;
            }
        }
        per_domain.values().map(|members| (*members).min(RELAYS_PER_DOMAIN)).sum()
    }

    /// A live member that `suits`, at random; one of this failure domain if there is one.
    pub fn choose_peer(
        &self,
        rng: &mut impl Rng,
        suits: impl Fn(&Peer<'_>) -> bool,
    ) -> Option<SocketAddr> {
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for (id, known) in self.roster.iter() {
            if id == self.id || known.state != MemberState::Alive || known.cut_off {
                continue;
            }
            let record = &known.record;
            let peer =
                Peer { domain: &record.domain, address: record.addresses.peer, held: known.held };
            if !suits(&peer) {
                continue;
            }
            let group = if record.domain == self.me.domain { &mut near } else { &mut far };
            group.push(peer.address);
        }
        let group = if near.is_empty() { far } else { near };
        if group.is_empty() {
            return None;
        }
        Some(group[rng.random_range(0..group.len())])
    }

    /// Whether this daemon knows enough of the others to judge who reads the log.
    pub fn settled(&self, now: Now) -> bool {
        let waited = now.mono.since(self.started);
        self.settings.seeds.is_empty()
            || self.syncing.has_agreed()
            || waited >= self.settings.period * SETTLE_PERIODS
    }

    /// Live members that are not cut off, this one included.
    pub fn reachable(&self) -> usize {
        self.roster.reachable_count()
    }

    /// The gossip period.
    pub fn period(&self) -> Duration {
        self.settings.period
    }
}
