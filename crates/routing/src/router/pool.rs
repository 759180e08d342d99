//! The backend servers of a router, and the choice among those of one version.

use std::time::Duration;

use cyclamen_types::{
    FailureDomain, FastMap, FastSet, Mono, RegionName, ServerName, ServiceName, VersionName,
};
use derive_more::{From, Into};
use rand::Rng;
use rand::rngs::SmallRng;
use typed_index_collections::TiVec;

use crate::call::Choice;
use crate::router::ServerInfo;
use crate::router::placing::Distance;
use crate::router::server::Server;

/// Largest share of a version's servers out of choice at a time, in percent.
const EJECTED_CAP_PERCENT: usize = 34;

/// Expected times that differ by less than this part count as alike.
const ALIKE: f64 = 0.05;

/// How long a server is taken to hold a call where nothing is known of any.
const UNKNOWN_HOLD: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ServerIndex(usize);

/// The servers of one version, in order of name.
#[derive(Debug, Default)]
struct Group {
    all: Vec<ServerIndex>,
}

/// All backend servers that may take calls.
#[derive(Debug, Default)]
pub(super) struct ServerPool {
    servers: TiVec<ServerIndex, Server>,
    by_name: FastMap<ServerName, ServerIndex>,
    groups: FastMap<ServiceName, FastMap<VersionName, Group>>,
    candidates: Vec<ServerIndex>,
    /// Where this daemon is.
    place: Option<(FailureDomain, RegionName)>,
    seen_before: bool,
}

/// What a call wants of a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wanted<'a> {
    pub(super) service: &'a ServiceName,
    pub(super) version: &'a VersionName,
    /// Servers that the call was at before.
    pub(super) tried: &'a FastSet<ServerName>,
    /// Bytes that the answer is expected to have.
    pub(super) bytes: f64,
}

/// Where a server may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Want {
    /// Neither doubtful nor ejected.
    Sound,
    /// Any that takes calls.
    Any,
}

impl ServerPool {
    /// Replaces the servers; what is known of those that stay is kept. All but the first set
    /// come up slowly.
    pub(super) fn replace(
        &mut self,
        now: Mono,
        infos: &[ServerInfo],
        domain: &FailureDomain,
        region: &RegionName,
    ) {
        let mut known: FastMap<ServerName, Server> = FastMap::default();
        for server in self.servers.drain(..) {
            known.insert(server.name().clone(), server);
        }
        self.by_name.clear();
        self.groups.clear();
        self.place = Some((domain.clone(), region.clone()));
        let mut sorted: Vec<&ServerInfo> = infos.iter().collect();
        sorted.sort_by(|a, b| a.name.cmp(&b.name));
        sorted.dedup_by(|a, b| a.name == b.name);
        for info in sorted {
            let server = match known.remove(&info.name) {
                Some(mut server) => {
                    server.update(info, now);
                    server
                }
                None => Server::new(info.clone(), now, !self.seen_before),
            };
            self.add(server);
        }
        self.seen_before |= !infos.is_empty();
    }

    fn add(&mut self, server: Server) {
        let info = server.info.clone();
        let index = self.servers.push_and_get_key(server);
        self.by_name.insert(info.name, index);
        if !info.ready {
            return;
        }
        let versions = self.groups.entry(info.service).or_default();
        let group = versions.entry(info.version).or_default();
        group.all.push(index);
    }

    pub(super) fn get_mut(&mut self, index: ServerIndex) -> &mut Server {
        &mut self.servers[index]
    }

    pub(super) fn find_mut(&mut self, name: &ServerName) -> Option<&mut Server> {
        self.by_name.get(name).map(|index| &mut self.servers[*index])
    }

    /// Whether a version has a server that takes calls.
    pub(super) fn has(&self, service: &ServiceName, version: &VersionName) -> bool {
        self.group(service, version).is_some()
    }

    /// Ejects a server, unless too many of its version are out of choice already.
    pub(super) fn eject(&mut self, now: Mono, name: &ServerName) -> bool {
        let Some(index) = self.by_name.get(name).copied() else {
            return false;
        };
        let info = &self.servers[index].info;
        let Some(group) = self.group(&info.service, &info.version) else {
            return false;
        };
        let out = group.all.iter().filter(|i| self.servers[**i].ejected(now)).count();
        if (out + 1) * 100 > group.all.len() * EJECTED_CAP_PERCENT && out > 0 {
            return false;
        }
        if group.all.len() < 2 || self.servers[index].ejected(now) {
            return false;
        }
        self.servers[index].eject(now);
        true
    }

    /// Chooses a server: sound ones before others, of these the one at which the call is expected
    /// to end first.
    pub(super) fn choose(
        &mut self,
        now: Mono,
        wanted: &Wanted<'_>,
        rng: &mut SmallRng,
    ) -> Option<(ServerIndex, Choice)> {
        if !self.has(wanted.service, wanted.version) {
            return None;
        }
        let mut candidates = std::mem::take(&mut self.candidates);
        let chosen = self.choose_from(now, wanted, &mut candidates, rng);
        self.candidates = candidates;
        chosen
    }

    fn choose_from(
        &self,
        now: Mono,
        wanted: &Wanted<'_>,
        candidates: &mut Vec<ServerIndex>,
        rng: &mut SmallRng,
    ) -> Option<(ServerIndex, Choice)> {
        let group = self.group(wanted.service, wanted.version)?;
        for want in [Want::Sound, Want::Any] {
            self.collect(now, &group.all, want, wanted.tried, candidates);
            if !candidates.is_empty() {
                return Some(self.quickest(now, candidates, wanted.bytes, rng));
            }
        }
        None
    }

    /// The servers of a service that take calls.
    pub(super) fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Server> {
        let versions = self.groups.get(service).into_iter().flat_map(FastMap::values);
        versions.flat_map(|group| &group.all).map(|index| &self.servers[*index])
    }

    /// Chooses uniformly among all servers of a version.
    pub(super) fn any(
        &self,
        service: &ServiceName,
        version: &VersionName,
        rng: &mut SmallRng,
    ) -> Option<(ServerIndex, Choice)> {
        let group = self.group(service, version)?;
        Some((group.all[rng.random_range(0..group.all.len())], Choice::default()))
    }

    fn collect(
        &self,
        now: Mono,
        tier: &[ServerIndex],
        want: Want,
        tried: &FastSet<ServerName>,
        out: &mut Vec<ServerIndex>,
    ) {
        out.clear();
        for index in tier {
            let server = &self.servers[*index];
            let fits = match want {
                Want::Sound => self.sound(now, server),
                Want::Any => true,
            };
            if fits && !tried.contains(server.name()) {
                out.push(*index);
            }
        }
    }

    fn sound(&self, now: Mono, server: &Server) -> bool {
        !server.info.doubtful && !server.ejected(now)
    }

    /// The one at which a call is expected to end first. Servers of which nothing is known, or
    /// nothing lately, are taken to be as quick as the quickest, so that they are tried again.
    fn quickest(
        &self,
        now: Mono,
        candidates: &[ServerIndex],
        bytes: f64,
        rng: &mut SmallRng,
    ) -> (ServerIndex, Choice) {
        let hoped = self.shortest_hold(candidates);
        let mut best = (f64::INFINITY, candidates[0]);
        let mut second = None;
        for index in candidates {
            let server = &self.servers[*index];
            let prospect = server.prospect(now, hoped, self.distance(server), bytes);
            let near_enough = rng.random_range(1.0 - ALIKE..1.0 + ALIKE);
            let expected = prospect.expected() * near_enough;
            if expected < best.0 {
                second = best.0.is_finite().then_some(best);
                best = (expected, *index);
            } else if second.is_none_or(|(known, _)| expected < known) {
                second = Some((expected, *index));
            }
        }
        let server = &self.servers[best.1];
        let choice = Choice {
            load: server.load(now),
            expected: Duration::try_from_secs_f64(best.0).unwrap_or(Duration::MAX),
            told_ago: server.told_ago(now),
            runner_up: second.map(|(_, index)| self.servers[index].name().clone()),
        };
        (best.1, choice)
    }

    /// How long the quickest of these servers holds a call, in seconds.
    fn shortest_hold(&self, servers: &[ServerIndex]) -> f64 {
        let known = servers.iter().filter_map(|index| self.servers[*index].hold());
        known.min_by(f64::total_cmp).unwrap_or(UNKNOWN_HOLD.as_secs_f64())
    }

    fn distance(&self, server: &Server) -> Distance {
        let Some((domain, region)) = &self.place else {
            return Distance::Near;
        };
        if server.info.domain == *domain {
            return Distance::Near;
        }
        if server.info.region == *region { Distance::Region } else { Distance::Far }
    }

    fn group(&self, service: &ServiceName, version: &VersionName) -> Option<&Group> {
        self.groups.get(service)?.get(version)
    }
}
