//! Decisions at the daemon that a caller reached.
//!
//! [`Router::begin`] chooses route, version and backend server; [`Router::finish`] takes the end
//! of an attempt and says what follows; [`Router::end_body`] takes the end of the answer's body.

mod budget;
mod placing;
mod pool;
mod refusals;
mod retries;
mod server;
mod usual;
mod versions;

use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::Idempotence;
use cyclamen_types::{
    ConfigVersion, FailureDomain, FastMap, FastSet, Mono, Now, RegionName, RouteName, ServerName,
    ServiceName, VersionName,
};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::call::{Attempt, AttemptId, CallHead, Hop, Next, Outcome, Refusal};
use crate::router::budget::RetryBudget;
pub use crate::router::budget::RetryLimits;
use crate::router::pool::{ServerPool, Wanted};
use crate::router::server::Health;
pub use crate::router::server::{HeardLoad, ServerLoad};
pub use crate::router::usual::RouteHold;
use crate::router::usual::UsualTimes;
use crate::router::versions::{Draw, PPM, VersionChoice};
use crate::table::{CompiledRoute, RouteTable};

/// Loads of other servers that go with an answer to another daemon.
const TOLD_LOADS: usize = 4;

/// Loads older than this are not passed on.
const TOLD_AGE: Duration = Duration::from_secs(3);

/// Weight of one more size in what is known of a route.
const SIZE_GAIN: f64 = 0.1;

/// How a router decides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouterMode {
    /// All of it.
    #[default]
    Full,
    /// Uniformly random choice, no ejection, up to three retries of whatever failed: what the
    /// measurements compare with. Not reachable from a daemon's settings.
    Baseline,
}

/// Settings of the router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// This daemon's failure domain.
    pub domain: FailureDomain,
    /// Its region.
    pub region: RegionName,
    /// How this daemon spends retries.
    pub retries: RetryLimits,
}

/// A backend server that may take calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerInfo {
    /// Its name.
    pub name: ServerName,
    /// Its service.
    pub service: ServiceName,
    /// Its version.
    pub version: VersionName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its region.
    pub region: RegionName,
    /// How to reach it.
    pub hop: Hop,
    /// Calls it runs at a time.
    pub slots: u32,
    /// Whether it takes new calls.
    pub ready: bool,
    /// Whether the daemon beside it is suspect or its failure domain silent.
    pub doubtful: bool,
}

/// How a service's calls divide while a move runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionSplit {
    /// The service.
    pub service: ServiceName,
    /// The version that has the traffic.
    pub from: VersionName,
    /// The version that gets it.
    pub to: VersionName,
    /// Share of `to`, in parts per million.
    pub share_ppm: u32,
}

/// Counters for the dump and the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterCounters {
    /// Calls begun.
    pub calls: u64,
    /// Attempts beyond the first.
    pub retries: u64,
    /// Retries that the budget refused.
    pub retries_refused: u64,
    /// Calls refused as not run.
    pub refused: u64,
    /// Calls whose outcome is unknown.
    pub unknown: u64,
    /// Servers ejected.
    pub ejections: u64,
}

/// An attempt under way, or the body of its answer.
#[derive(Debug)]
struct Call {
    attempt: Attempt,
    route: Arc<CompiledRoute>,
    draw: Draw,
    tried: FastSet<ServerName>,
    started: Mono,
    answered: bool,
    /// Earlier attempts that reached a backend server.
    arrived: u32,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
}

/// The router of one daemon.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    mode: RouterMode,
    table: Arc<RouteTable>,
    pool: ServerPool,
    splits: FastMap<ServiceName, VersionSplit>,
    budgets: FastMap<ServiceName, RetryBudget>,
    calls: FastMap<AttemptId, Call>,
    /// Bytes that calls of a route and their answers lately had.
    sizes: FastMap<RouteName, f64>,
    usual: UsualTimes,
    last_attempt: u64,
    rng: SmallRng,
    counters: RouterCounters,
}

impl Router {
    /// A router with an empty table.
    pub fn new(settings: RouterSettings, seed: u64) -> Self {
        Self {
            settings,
            mode: RouterMode::Full,
            table: Default::default(),
            pool: Default::default(),
            splits: Default::default(),
            budgets: Default::default(),
            calls: Default::default(),
            sizes: Default::default(),
            usual: Default::default(),
            last_attempt: 0,
            rng: SmallRng::seed_from_u64(seed),
            counters: Default::default(),
        }
    }

    /// Swaps the table; one of a lower version is refused and `false` returned.
    pub fn install(&mut self, table: Arc<RouteTable>) -> bool {
        if table.version() < self.table.version() {
            return false;
        }
        self.table = table;
        let table = &self.table;
        self.sizes.retain(|route, _| table.has_route(route));
        self.usual.retain(|route| table.has_route(route));
        true
    }

    /// The table in force.
    pub fn table(&self) -> &Arc<RouteTable> {
        &self.table
    }

    /// Replaces the backend servers; what is known of those that stay is kept.
    pub fn set_servers(&mut self, now: Now, servers: &[ServerInfo]) {
        self.pool.replace(now.mono, servers, &self.settings.domain, &self.settings.region);
    }

    /// Replaces the splits of running moves.
    pub fn set_splits(&mut self, splits: &[VersionSplit]) {
        self.splits.clear();
        for split in splits {
            self.splits.insert(split.service.clone(), split.clone());
        }
    }

    /// Begins a call.
    ///
    /// # Errors
    /// The refusal to tell the caller; nothing was run.
    pub fn begin(&mut self, now: Now, head: &CallHead<'_>) -> Result<Attempt, Refusal> {
        self.counters.calls += 1;
        let begun = self.try_begin(now.mono, head);
        if begun.is_err() {
            self.counters.refused += 1;
        }
        begun
    }

    /// Ends an attempt and says what follows. After [`Next::Deliver`] the attempt stays with its
    /// server until [`Router::end_body`]; [`Next::Retry`] after an answer means that it is worth
    /// asking another server, and the answer is to be kept until that one has answered. An attempt that has ended already is not told again:
    /// its answer must not be passed on.
    pub fn finish(&mut self, now: Now, attempt: AttemptId, outcome: Outcome) -> Next {
        if self.calls.get(&attempt).is_none_or(|call| call.answered) {
            return Next::Refuse(refusals::ended());
        }
        self.learn(now.mono, attempt, outcome);
        if let Outcome::Answered { status } = outcome {
            let again = self.repeat_failed(now.mono, attempt, status);
            return again.map_or(Next::Deliver, |again| Next::Retry(again, Duration::ZERO));
        }
        let Some(call) = self.calls.remove(&attempt) else {
            return Next::Refuse(refusals::ended());
        };
        if let Some(server) = self.pool.find_mut(&call.attempt.server) {
            server.ended();
        }
        let next = self.follow(now.mono, call, outcome);
        self.count(&next);
        next
    }

    /// Ends the body of an answer that was passed on; `whole` is false when it broke off at the
    /// server's side.
    pub fn end_body(&mut self, now: Now, attempt: AttemptId, whole: bool) {
        if !self.calls.get(&attempt).is_some_and(|call| call.answered) {
            return;
        }
        if !whole {
            self.learn(now.mono, attempt, Outcome::Truncated);
        }
        let Some(call) = self.calls.remove(&attempt) else {
            return;
        };
        if let Some(server) = self.pool.find_mut(&call.attempt.server) {
            server.ended();
        }
    }

    /// Learns from the load that a backend server's daemon reported with an answer.
    pub fn observe_load(&mut self, now: Now, server: &ServerName, load: ServerLoad) {
        if let Some(server) = self.pool.find_mut(server) {
            server.observe_load(now.mono, load);
        }
    }

    /// What this daemon knows of the loads of some servers of a service, `but` one, for a daemon
    /// that hears of each of them too seldom to place its calls well.
    pub fn tell_loads(
        &mut self,
        now: Now,
        service: &ServiceName,
        but: &ServerName,
    ) -> Vec<HeardLoad> {
        let others = self.pool.of_service(service).filter(|server| server.name() != but);
        let known = others.filter_map(|server| server.tell_load(now.mono, TOLD_AGE));
        known.choose_multiple(&mut self.rng, TOLD_LOADS)
    }

    /// Learns from the loads that another daemon told of.
    pub fn hear_loads(&mut self, now: Now, loads: &[HeardLoad]) {
        for heard in loads {
            if let Some(server) = self.pool.find_mut(&heard.server) {
                server.hear_load(now.mono, heard);
            }
        }
    }

    /// How long a server of a service holds a call of the service's usual mix, in seconds, by
    /// what it held its own calls for; `None` while too little is known.
    pub fn usual_hold<'a>(
        &self,
        service: &ServiceName,
        holds: impl Iterator<Item = RouteHold<'a>>,
    ) -> Option<f64> {
        self.usual.hold(service, holds)
    }

    /// Learns how many bytes a call of a route and its answer have.
    pub fn observe_size(&mut self, route: &RouteName, bytes: u64) {
        let bytes = bytes as f64;
        match self.sizes.get_mut(route) {
            Some(known) => *known += SIZE_GAIN * (bytes - *known),
            None => {
                self.sizes.insert(route.clone(), bytes);
            }
        }
    }

    /// Changes how the router decides.
    pub fn set_mode(&mut self, mode: RouterMode) {
        self.mode = mode;
    }

    /// How the router decides.
    pub fn mode(&self) -> RouterMode {
        self.mode
    }

    /// Attempts under way, bodies included.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Counters so far.
    pub fn counters(&self) -> &RouterCounters {
        &self.counters
    }

    fn try_begin(&mut self, now: Mono, head: &CallHead<'_>) -> Result<Attempt, Refusal> {
        if self.table.version() == ConfigVersion::NONE {
            return Err(refusals::no_configuration());
        }
        let index = self.table.find(head).ok_or_else(refusals::no_route)?;
        if head.deadline <= now {
            return Err(refusals::expired());
        }
        let route = Arc::clone(self.table.route(index));
        let (service, draw) = versions::service(&route, self.draw(&route, head));
        let service = service.clone();
        let percent = self.table.service(&service).map_or(0, |s| s.retries.budget_percent);
        let limits = self.settings.retries;
        let budget = self.budgets.entry(service.clone());
        budget.or_insert_with(|| RetryBudget::new(limits, now)).deposit(percent);
        let start = Start {
            service,
            deadline: head.deadline.min(now + route.timeout),
            aim: route.target.map_or(Mono::NEVER, |target| now + target),
            timeout_at: now + route.timeout,
            arrived: 0,
            idempotent: idempotent(route.idempotence, head.method),
            route,
            draw,
            tried: FastSet::default(),
            earlier: 0,
            may_have_run: false,
        };
        self.attempt(now, start)
    }

    fn draw(&mut self, route: &CompiledRoute, head: &CallHead<'_>) -> Draw {
        let key = route.sticky.as_ref().and_then(|sticky| (head.header)(&sticky.header));
        match key {
            Some(key) => Draw::of_key(route.service.as_str(), key),
            None => Draw(self.rng.random_range(0..PPM)),
        }
    }

    /// Chooses version and server for one more attempt.
    fn attempt(&mut self, now: Mono, start: Start) -> Result<Attempt, Refusal> {
        let service = &start.service;
        let Some(compiled) = self.table.service(service) else {
            return Err(refusals::no_route());
        };
        let split = self.splits.get(service);
        let choice = versions::choose(&start.route, compiled, split, start.draw);
        let version = self.live_version(service, choice);
        let tried = &start.tried;
        let chosen = match self.mode {
            RouterMode::Full => {
                let bytes = self.sizes.get(&start.route.name).copied().unwrap_or_default();
                let wanted = Wanted { service, version: &version, tried, bytes };
                self.pool.choose(now, &wanted, &mut self.rng)
            }
            RouterMode::Baseline => self.pool.any(service, &version, &mut self.rng),
        };
        let Some((chosen, choice)) = chosen else {
            return Err(refusals::unavailable(service, &version, !tried.is_empty()));
        };
        let server = self.pool.get_mut(chosen);
        server.started();
        self.last_attempt += 1;
        let attempt = Attempt {
            id: AttemptId(self.last_attempt),
            hop: server.info.hop,
            server: server.info.name.clone(),
            service: server.info.service.clone(),
            version,
            route: start.route.name.clone(),
            aim: start.aim,
            timeout_at: start.timeout_at,
            criticality: start.route.criticality,
            idempotent: start.idempotent,
            deadline: start.deadline,
            earlier: start.earlier,
            config: self.table.version(),
            choice,
        };
        let call = Call {
            attempt: attempt.clone(),
            route: start.route,
            draw: start.draw,
            tried: start.tried,
            started: now,
            answered: false,
            arrived: start.arrived,
            may_have_run: start.may_have_run,
        };
        self.calls.insert(attempt.id, call);
        Ok(attempt)
    }

    fn live_version(&self, service: &ServiceName, choice: VersionChoice) -> VersionName {
        if self.pool.has(service, &choice.version) {
            return choice.version;
        }
        match choice.stand_in {
            Some(other) if self.pool.has(service, &other) => other,
            _ => choice.version,
        }
    }

    fn learn(&mut self, now: Mono, attempt: AttemptId, outcome: Outcome) {
        let Some(call) = self.calls.get_mut(&attempt) else {
            return;
        };
        if let Outcome::Answered { .. } = outcome
            && !call.answered
        {
            call.answered = true;
            let took = now.since(call.started).as_secs_f64();
            self.usual.learn(&call.attempt.route, &call.attempt.service, took);
        }
        let name = &call.attempt.server;
        let Some(server) = self.pool.find_mut(name) else {
            return;
        };
        let health = server.learn(now, outcome, now.since(call.started));
        if health == Health::Eject && self.mode == RouterMode::Full && self.pool.eject(now, name) {
            self.counters.ejections += 1;
        }
    }

    fn count(&mut self, next: &Next) {
        let Next::Refuse(refusal) = next else {
            return;
        };
        if refusal.kind == crate::RefusalKind::OutcomeUnknown {
            self.counters.unknown += 1;
        } else {
            self.counters.refused += 1;
        }
    }
}

/// What an attempt starts from.
struct Start {
    route: Arc<CompiledRoute>,
    service: ServiceName,
    aim: Mono,
    timeout_at: Mono,
    arrived: u32,
    draw: Draw,
    tried: FastSet<ServerName>,
    idempotent: bool,
    deadline: Mono,
    earlier: u32,
    may_have_run: bool,
}

fn idempotent(rule: Idempotence, method: &str) -> bool {
    match rule {
        Idempotence::Always => true,
        Idempotence::Never => false,
        Idempotence::ByMethod => {
            matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE")
        }
    }
}
