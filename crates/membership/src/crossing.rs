//! What gossip carries from one failure domain to another.
//!
//! Each member of a large mesh would send news of every other member across all failure domains, and
//! those bytes would grow with the square of the mesh. In a mesh of more than [`SMALL_MESH_MEMBERS`]
//! members, news of members and backend servers, and the repair of differences, pass between failure
//! domains through relays only, and spread within a failure domain from there. Urgent news,
//! evidence, and the versions in datagram headers go everywhere as before.

use std::net::SocketAddr;

use cyclamen_types::Now;

use crate::budget::TrafficClass;
use crate::datagram::{MemberId, Message};
use crate::membership::{Membership, Outgoing};
use crate::roster::MemberEntry;

/// Largest number of members of a mesh in which all news goes everywhere.
const SMALL_MESH_MEMBERS: usize = 100;

/// Members of the own failure domain that are sent an extra datagram per period while news is
/// queued, in place of the datagrams to other failure domains that carry none.
const NEWS_FANOUT: usize = 2;

impl Membership {
    /// Whether an address is that of a member of another failure domain, as far as known.
    pub(crate) fn is_across(&self, to: SocketAddr) -> bool {
        let known = self.roster.iter().find(|(_, known)| known.record.addresses.peer == to);
        known.is_some_and(|(_, known)| known.record.domain != self.local_member.domain)
    }

    /// Whether this daemon repairs differences with a member.
    pub(crate) fn repairs_with(&self, id: MemberId) -> bool {
        let is_across = |known: &MemberEntry| known.record.domain != self.local_member.domain;
        !self.roster.get(id).is_some_and(is_across) || self.carries_across()
    }

    /// Sends queued news to a few members of the own failure domain, in addition to the probed one.
    pub(crate) fn forward_news(&mut self, now: Now, out: &mut Vec<Outgoing>) {
        if !self.is_large_mesh() || !self.update_queue.has_news() {
            return;
        }
        let in_own_domain = |this: &Self, id| {
            let known = this.roster.get(id);
            known.is_some_and(|known| known.record.domain == this.local_member.domain)
        };
        for id in self.choose_members(NEWS_FANOUT, in_own_domain) {
            let Some(to) = self.address_of(id) else {
                continue;
            };
            self.send(now, to, Message::Gossip, TrafficClass::Updates, &[], out);
        }
    }

    fn is_large_mesh(&self) -> bool {
        self.roster.len() > SMALL_MESH_MEMBERS
    }

    /// Whether this daemon passes news of members and servers between failure domains.
    pub(crate) fn carries_across(&self) -> bool {
        let me = &self.local_member;
        !self.is_large_mesh() || self.relays(&me.domain).contains(&me.instance)
    }
}
