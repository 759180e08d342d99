//! Selection of members for configuration distribution: the relays, which read the log for their
//! failure domain, and peers to request records from.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_types::{FailureDomain, FastMap, InstanceName, Now};
use rand::Rng;

use crate::datagram::MemberId;
use crate::membership::Membership;
use crate::records::MemberState;
use crate::wire::AppliedConfig;

/// Maximum number of relays, the alive members that read the log, per failure domain.
const RELAYS_PER_DOMAIN: usize = 2;

/// Gossip periods after which a daemon with seeds counts as settled, even if it was never in sync
/// with another member.
const SETTLE_TIMEOUT_PERIODS: u32 = 5;

/// An alive member other than this daemon.
#[derive(Clone, Copy, Debug)]
pub struct Peer<'a> {
    /// Its failure domain.
    pub domain: &'a FailureDomain,
    /// The address at which it answers requests (TCP).
    pub address: SocketAddr,
    /// The configuration that it last reported; `None` if it has reported none.
    pub applied_config: Option<AppliedConfig>,
}

impl Membership {
    /// The relays of a failure domain: the alive members with the lowest ids. Ids are hashes of
    /// instance names, so daemons that know the same members choose the same relays. Members that
    /// are cut off are not chosen, except this daemon itself.
    pub fn relays(&self, domain: &FailureDomain) -> Vec<InstanceName> {
        let mut ranked: Vec<(u64, &InstanceName)> = Vec::new();
        for (id, known) in self.roster.iter() {
            if known.record.domain != *domain || known.state != MemberState::Alive {
                continue;
            }
            if known.cut_off && id != self.id {
                continue;
            }
            ranked.push((id.as_u64(), &known.record.instance));
        }
        ranked.sort_unstable();
        ranked.truncate(RELAYS_PER_DOMAIN);
        ranked.into_iter().map(|(_, instance)| instance.clone()).collect()
    }

    /// The peer address of a random relay of this daemon's failure domain, other than itself.
    pub fn choose_relay(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let mut relays = self.relays(&self.local_member.domain);
        relays.retain(|name| *name != self.local_member.instance);
        let name = relays.get(rng.random_range(0..relays.len().max(1)))?;
        Some(self.roster.get(MemberId::of(name))?.record.addresses.peer)
    }

    /// The number of relays in all failure domains.
    pub fn relay_count(&self) -> usize {
        let mut per_domain: FastMap<&FailureDomain, usize> = FastMap::default();
        for (_, known) in self.roster.iter() {
            if known.state == MemberState::Alive {
                *per_domain.entry(&known.record.domain).or_default() += 1;
            }
        }
        per_domain.values().map(|members| (*members).min(RELAYS_PER_DOMAIN)).sum()
    }

    /// The peer address of a random alive member for which `suits` holds, preferably one of this
    /// daemon's failure domain.
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
            let peer = Peer {
                domain: &record.domain,
                address: record.addresses.peer,
                applied_config: known.applied_config,
            };
            if !suits(&peer) {
                continue;
            }
            let group =
                if record.domain == self.local_member.domain { &mut near } else { &mut far };
            group.push(peer.address);
        }
        let group = if near.is_empty() { far } else { near };
        if group.is_empty() {
            return None;
        }
        Some(group[rng.random_range(0..group.len())])
    }

    /// Whether this daemon knows enough members to determine the relays: it has no seeds, has been
    /// in sync with another member, or has waited long enough.
    pub fn is_settled(&self, now: Now) -> bool {
        let waited = now.mono.since(self.started);
        self.settings.seeds.is_empty()
            || self.anti_entropy.was_ever_in_sync()
            || waited >= self.settings.gossip_period * SETTLE_TIMEOUT_PERIODS
    }

    /// Seeds of a daemon that knows no other member: daemons that it may be cut off from. 0 for one
    /// that knows others.
    pub fn unknown_seeds(&self) -> usize {
        match self.roster.len() {
            0 | 1 => self.settings.seeds.len(),
            _ => 0,
        }
    }

    /// The number of alive and suspect members that are not cut off, this daemon included.
    pub fn reachable_count(&self) -> usize {
        self.roster.reachable_count()
    }

    /// The [gossip period](crate::MembershipSettings::gossip_period).
    pub fn gossip_period(&self) -> Duration {
        self.settings.gossip_period
    }
}
