//! The set of backend servers that a router knows, the choice among those of one version, and the
//! cap on how many of them are ejected at a time.

use std::time::Duration;

use cyclamen_types::{
    FailureDomain, FastMap, FastSet, Mono, RegionName, ServerName, ServiceName, VersionName,
};
use derive_more::{From, Into};
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use typed_index_collections::TiVec;

use crate::call::ServerSelection;
use crate::router::ServerInfo;
use crate::router::placement::{CallNeeds, Distance};
use crate::router::server::Server;

/// Largest share of a version's servers that may be ejected at a time, in percent. One server may
/// be ejected whatever its share.
const MAX_EJECTED_PERCENT: usize = 34;

/// Largest share of a version's servers, in percent, for which the time without calls after a
/// failed connection doubles. Where more cannot be connected to, the cause may be the network
/// rather than the servers, and all of them return with it.
const MAX_DOUBLING_PERCENT: usize = 50;

/// Time after a failed connection to a server of a version during which no trial call goes to any
/// of its servers that could not be connected to, so that few calls wait for connections.
const TRIAL_PAUSE: Duration = Duration::from_millis(500);

/// Relative random noise, up or down, on each cost, so that servers with almost the same cost
/// share the calls.
const TIE_JITTER: f64 = 0.05;

/// How many servers of each distance are compared for a call. Daemons learn of loads late, and all
/// of them learn of the same idle server: if each compared all servers, they would send their calls
/// to that one at once (Mitzenmacher, "How useful is old information?", 2000).
const COMPARED_PER_DISTANCE: usize = 3;

/// How many times as fast as the median of the compared servers a server is believed to be. The few
/// calls that a server has run may have been short ones, as the first to end are.
const MAX_SPEEDUP: f64 = 3.0;

/// Assumed hold time of a call while none has been measured for any candidate.
const DEFAULT_HOLD: Duration = Duration::from_millis(10);

/// Index of a server in a [`ServerPool`], until its servers are replaced.
#[derive(Clone, Copy, Debug, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ServerIndex(usize);

/// The servers of one version that accept calls, in order of name.
#[derive(Debug, Default)]
struct VersionGroup {
    servers: Vec<ServerIndex>,
}

/// All known backend servers.
#[derive(Debug, Default)]
pub(super) struct ServerPool {
    servers: TiVec<ServerIndex, Server>,
    by_name: FastMap<ServerName, ServerIndex>,
    groups: FastMap<ServiceName, FastMap<VersionName, VersionGroup>>,
    /// Buffer of [`ServerPool::choose`], kept to avoid an allocation per call.
    candidates: Vec<ServerIndex>,
    /// Failure domain and region of this daemon; `None` until the first [`ServerPool::replace`].
    location: Option<(FailureDomain, RegionName)>,
    /// Whether there have been servers before; the first ones skip the slow start.
    had_servers: bool,
}

/// What the choice of a server for a call depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerRequest<'a> {
    pub(super) service: &'a ServiceName,
    pub(super) version: &'a VersionName,
    /// Servers that earlier attempts of the call went to; they are left out.
    pub(super) tried: &'a FastSet<ServerName>,
    pub(super) needs: CallNeeds,
}

/// Which servers are considered for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Eligibility {
    /// Those that are neither suspected to be down nor ejected, and can be connected to as far as
    /// known or may get a trial call. Not cold ones to which this daemon has sent its share of what
    /// they bear.
    Healthy,
    /// Those, and the cold ones to which this daemon has sent its share of what they bear.
    HealthyOrCold,
    /// Those of which no connection failed.
    Connectable,
    /// All that accept calls. Considered only if connections to all of them failed.
    Any,
}

impl Eligibility {
    /// Each is considered only if no server is eligible by those before it.
    const IN_ORDER: [Self; 4] = [Self::Healthy, Self::HealthyOrCold, Self::Connectable, Self::Any];
}

/// What failed connections to the servers of a version mean for the next call.
#[derive(Clone, Copy, Debug)]
struct ConnectTrials {
    /// Whether the next call may be a trial, where one is due.
    allowed: bool,
    /// Whether the time without calls is that after the first failure, see
    /// [`MAX_DOUBLING_PERCENT`].
    shortened: bool,
}

impl ServerPool {
    /// Replaces the servers. Measurements of those that stay are kept; new ones get a
    /// slow start, except in the first non-empty set.
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
        self.location = Some((domain.clone(), region.clone()));
        let mut sorted: Vec<&ServerInfo> = infos.iter().collect();
        sorted.sort_by(|a, b| a.name.cmp(&b.name));
        sorted.dedup_by(|a, b| a.name == b.name);
        for info in sorted {
            let server = match known.remove(&info.name) {
                Some(mut server) => {
                    server.update(info, now);
                    server
                }
                None => Server::new(info.clone(), now, !self.had_servers),
            };
            self.add(server);
        }
        self.had_servers |= !infos.is_empty();
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
        group.servers.push(index);
    }

    /// The servers that accept calls and begin their slow start now.
    pub(super) fn beginning_slow_start(&mut self, now: Mono) -> impl Iterator<Item = &mut Server> {
        let servers = self.servers.iter_mut();
        servers.filter(move |server| server.info.ready && server.begins_slow_start(now))
    }

    pub(super) fn get_mut(&mut self, index: ServerIndex) -> &mut Server {
        &mut self.servers[index]
    }

    pub(super) fn find_mut(&mut self, name: &ServerName) -> Option<&mut Server> {
        self.by_name.get(name).map(|index| &mut self.servers[*index])
    }

    /// Whether a version has a server that accepts calls.
    pub(super) fn has_ready_server(&self, service: &ServiceName, version: &VersionName) -> bool {
        self.group(service, version).is_some()
    }

    /// Ejects a server and returns whether it did. Nothing is ejected if the server is ejected
    /// already or the only one of its version, or if the ejected ones of its version would exceed
    /// [`MAX_EJECTED_PERCENT`].
    pub(super) fn eject(&mut self, now: Mono, name: &ServerName) -> bool {
        let Some(index) = self.by_name.get(name).copied() else {
            return false;
        };
        let info = &self.servers[index].info;
        let Some(group) = self.group(&info.service, &info.version) else {
            return false;
        };
        let ejected = group.servers.iter().filter(|i| self.servers[**i].ejected(now)).count();
        if (ejected + 1) * 100 > group.servers.len() * MAX_EJECTED_PERCENT && ejected > 0 {
            return false;
        }
        if group.servers.len() < 2 || self.servers[index].ejected(now) {
            return false;
        }
        self.servers[index].eject(now);
        true
    }

    /// Picks a server that the call has not tried: the one with the lowest cost among a few random
    /// healthy ones; if none is healthy, among a few of those of which no connection failed; of all
    /// if connections to all servers of the version failed. `None` if there is no server left: a
    /// call that the others refused does not wait for a connection that is likely to fail.
    pub(super) fn choose(
        &mut self,
        now: Mono,
        request: &ServerRequest<'_>,
        rng: &mut SmallRng,
    ) -> Option<(ServerIndex, ServerSelection)> {
        if !self.has_ready_server(request.service, request.version) {
            return None;
        }
        let mut candidates = std::mem::take(&mut self.candidates);
        let chosen = self.choose_from(now, request, &mut candidates, rng);
        self.candidates = candidates;
        chosen
    }

    fn choose_from(
        &self,
        now: Mono,
        request: &ServerRequest<'_>,
        candidates: &mut Vec<ServerIndex>,
        rng: &mut SmallRng,
    ) -> Option<(ServerIndex, ServerSelection)> {
        let group = self.group(request.service, request.version)?;
        let unreachable = |index: &ServerIndex| self.servers[*index].connect_backoff().is_active();
        for eligibility in Eligibility::IN_ORDER {
            if eligibility == Eligibility::Any && !group.servers.iter().all(unreachable) {
                return None;
            }
            self.collect_eligible(now, &group.servers, eligibility, request.tried, candidates);
            if !candidates.is_empty() {
                self.keep_few_of_each_distance(candidates, rng);
                return Some(self.choose_cheapest(now, candidates, request.needs, rng));
            }
        }
        None
    }

    /// The servers of a service that accept calls, of all versions.
    pub(super) fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Server> {
        let versions = self.groups.get(service).into_iter().flat_map(FastMap::values);
        versions.flat_map(|group| &group.servers).map(|index| &self.servers[*index])
    }

    /// Picks a server of a version uniformly at random, including ejected servers and those that
    /// the call has tried, for [`RouterMode::Baseline`].
    ///
    /// [`RouterMode::Baseline`]: crate::RouterMode::Baseline
    pub(super) fn choose_uniform(
        &self,
        service: &ServiceName,
        version: &VersionName,
        rng: &mut SmallRng,
    ) -> Option<(ServerIndex, ServerSelection)> {
        let group = self.group(service, version)?;
        Some((group.servers[rng.random_range(0..group.servers.len())], ServerSelection::default()))
    }

    /// Fills `out` with the eligible servers that the call has not tried.
    fn collect_eligible(
        &self,
        now: Mono,
        servers: &[ServerIndex],
        eligibility: Eligibility,
        tried: &FastSet<ServerName>,
        out: &mut Vec<ServerIndex>,
    ) {
        out.clear();
        let trials = self.connect_trials(now, servers);
        for index in servers {
            let server = &self.servers[*index];
            let eligible = match eligibility {
                Eligibility::Healthy => {
                    is_healthy(now, server, trials) && !server.cold.is_used_up(now)
                }
                Eligibility::HealthyOrCold => is_healthy(now, server, trials),
                Eligibility::Connectable => !server.connect_backoff().is_active(),
                Eligibility::Any => true,
            };
            if eligible && !tried.contains(server.name()) {
                out.push(*index);
            }
        }
    }

    /// Reduces the candidates to [`COMPARED_PER_DISTANCE`] random ones of each distance.
    fn keep_few_of_each_distance(&self, candidates: &mut Vec<ServerIndex>, rng: &mut SmallRng) {
        candidates.shuffle(rng);
        let mut kept: FastMap<Distance, usize> = FastMap::default();
        candidates.retain(|index| {
            let kept = kept.entry(self.distance(&self.servers[*index])).or_default();
            *kept += 1;
            *kept <= COMPARED_PER_DISTANCE
        });
    }

    /// Looks at the failed connections of a version's servers. Only one trial call of a version is
    /// under way at a time.
    fn connect_trials(&self, now: Mono, servers: &[ServerIndex]) -> ConnectTrials {
        let mut unreachable = 0;
        let mut allowed = true;
        for index in servers {
            let backoff = self.servers[*index].connect_backoff();
            let Some(failed_at) = backoff.failed_at() else {
                continue;
            };
            unreachable += 1;
            allowed &= !backoff.in_trial() && failed_at + TRIAL_PAUSE <= now;
        }
        ConnectTrials {
            allowed,
            shortened: unreachable * 100 > servers.len() * MAX_DOUBLING_PERCENT,
        }
    }

    /// Picks the candidate with the lowest cost. Candidates without recent measurements
    /// are assumed to be as fast as the fastest one, so that they get calls and are measured again.
    fn choose_cheapest(
        &self,
        now: Mono,
        candidates: &[ServerIndex],
        needs: CallNeeds,
        rng: &mut SmallRng,
    ) -> (ServerIndex, ServerSelection) {
        let shortest_hold_seconds = self.shortest_plausible_hold_seconds(candidates);
        let mut best = (f64::INFINITY, candidates[0]);
        let mut runner_up = None;
        for index in candidates {
            let server = &self.servers[*index];
            let inputs =
                server.placement_inputs(now, shortest_hold_seconds, self.distance(server), needs);
            let jitter = rng.random_range(1.0 - TIE_JITTER..1.0 + TIE_JITTER);
            let cost = inputs.cost_seconds() * jitter;
            if cost < best.0 {
                runner_up = best.0.is_finite().then_some(best);
                best = (cost, *index);
            } else if runner_up.is_none_or(|(other, _)| cost < other) {
                runner_up = Some((cost, *index));
            }
        }
        let server = &self.servers[best.1];
        let reach = self.distance(server);
        let room_elsewhere = candidates.iter().any(|index| {
            let other = &self.servers[*index];
            *index != best.1 && self.distance(other) <= reach && other.has_no_queue(now)
        });
        let selection = ServerSelection {
            room_elsewhere,
            load: server.load(now),
            expected: Duration::try_from_secs_f64(best.0).unwrap_or(Duration::MAX),
            report_age: server.report_age(now),
            runner_up: runner_up.map(|(_, index)| self.servers[index].name().clone()),
        };
        (best.1, selection)
    }

    /// The shortest hold time, in seconds, that any of these servers is believed to have: the
    /// shortest known one, but not less than a [`MAX_SPEEDUP`]th of the median. [`DEFAULT_HOLD`] if
    /// none is known.
    fn shortest_plausible_hold_seconds(&self, servers: &[ServerIndex]) -> f64 {
        let known = servers.iter().filter_map(|index| self.servers[*index].hold_seconds());
        let mut known: Vec<f64> = known.collect();
        known.sort_unstable_by(f64::total_cmp);
        match known.first() {
            Some(shortest) => shortest.max(known[known.len() / 2] / MAX_SPEEDUP),
            None => DEFAULT_HOLD.as_secs_f64(),
        }
    }

    fn distance(&self, server: &Server) -> Distance {
        let Some((domain, region)) = &self.location else {
            return Distance::SameDomain;
        };
        if server.info.domain == *domain {
            return Distance::SameDomain;
        }
        if server.info.region == *region { Distance::SameRegion } else { Distance::OtherRegion }
    }

    fn group(&self, service: &ServiceName, version: &VersionName) -> Option<&VersionGroup> {
        self.groups.get(service)?.get(version)
    }
}

fn is_healthy(now: Mono, server: &Server, trials: ConnectTrials) -> bool {
    let backoff = server.connect_backoff();
    let reachable =
        !backoff.is_active() || trials.allowed && backoff.trial_due(now, trials.shortened);
    reachable && !server.info.suspected_down && !server.ejected(now)
}
