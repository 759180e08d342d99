//! The router of the daemon that accepts calls from callers.
//!
//! [`Router::begin`] matches a route and picks a service, a version and a backend server.
//! [`Router::finish`] takes the outcome of that attempt and decides whether its answer is
//! delivered, the call is retried, or the caller gets a refusal. [`Router::end_body`] ends an
//! attempt whose answer was delivered, once its body has been passed on.

mod attempts;
mod cold;
mod connect_backoff;
mod nested_calls;
mod observations;
mod placement;
mod pool;
mod refusals;
mod retries;
mod retry_budget;
mod route_times;
mod server;
mod types;
mod version_choice;

use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::Idempotence;
use cyclamen_types::{
    AccountName, ConfigVersion, FastMap, FastSet, Mono, Now, RouteName, ServerName, ServiceName,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::call::{Attempt, AttemptId, CallHead, MIN_SERVER_ERROR_STATUS, Next, Outcome, Refusal};
use crate::router::attempts::AttemptPlan;
use crate::router::nested_calls::NestedCalls;
use crate::router::pool::ServerPool;
use crate::router::retry_budget::RetryBudget;
pub use crate::router::retry_budget::RetryLimits;
pub use crate::router::route_times::RouteHoldTime;
use crate::router::route_times::RouteTimes;
pub use crate::router::server::{ServerLoad, SharedLoad};
pub use crate::router::types::{
    RouterCounters, RouterMode, RouterSettings, ServerInfo, VersionSplit,
};
use crate::router::version_choice::{PPM, SplitPoint};
use crate::stop::StopTimes;
use crate::table::{CallAccount, CompiledRoute, NoAccount, RouteTable};

/// Time after this daemon learned of the first servers in which those that it learns of are not taken
/// for new ones.
const JOINING: Duration = Duration::from_secs(5);

/// State of a call whose latest attempt, or the body of its answer, is under way.
#[derive(Debug)]
struct ActiveCall {
    attempt: Attempt,
    /// When the call is given up; its attempts may have to end earlier if the daemon stops.
    deadline: Mono,
    route: Arc<CompiledRoute>,
    split_point: SplitPoint,
    /// Servers of earlier attempts.
    tried: FastSet<ServerName>,
    /// When the latest attempt is sent: when its server was picked, or for a retry the delay of
    /// [`Next::Retry`] later.
    attempt_started: Mono,
    /// Whether the latest attempt was answered and its body is under way.
    answered: bool,
    /// Whether the latest attempt is a trial after a failed connection and its outcome is unknown.
    connect_trial: bool,
    /// Earlier attempts of which bytes may have reached a backend server, see
    /// [`Outcome::reached_server`]. They include attempts that the server shed.
    reached_attempts: u32,
    /// Earlier attempts that were sent on to another server, see [`Attempt::moves_left`].
    moves: u32,
    /// The outcome of the last earlier attempt that may have run, see [`Outcome::not_run`]; `None`
    /// if none may have. An attempt that the server shed did not run.
    earlier_run: Option<Outcome>,
    /// How far the call is a repeat because the call that made it is, see [`Attempt::repeat`].
    inherited_repeat: f64,
    /// Whether a local backend server made the call, as far as known.
    nested: bool,
    /// Whether the latest attempt failed because a call failed that its server made.
    nested_failure: bool,
}

/// A call whose route and client account are known, and whose backend server is not picked yet.
#[derive(Clone, Debug)]
pub struct MatchedCall {
    route: Arc<CompiledRoute>,
    account: Option<CallAccount>,
}

impl MatchedCall {
    /// The client account that made the call; `None` if it is of none.
    pub fn account(&self) -> Option<&AccountName> {
        self.account.as_ref().map(|account| &account.name)
    }
}

/// Matches calls to routes and backend servers, and decides on retries.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    mode: RouterMode,
    table: Arc<RouteTable>,
    pool: ServerPool,
    splits: FastMap<ServiceName, VersionSplit>,
    budgets: FastMap<ServiceName, RetryBudget>,
    /// Most daemons that the mesh was known to have; 0 before any is known.
    daemons: usize,
    /// When this daemon learned of the first servers.
    had_servers_at: Option<Mono>,
    /// Active calls, by the id of their latest attempt.
    calls: FastMap<AttemptId, ActiveCall>,
    /// Moving average of the bytes of a call and its answer, by route.
    route_bytes: FastMap<RouteName, f64>,
    route_times: RouteTimes,
    nested_calls: NestedCalls,
    /// The times of the stop that the daemon was ordered to make.
    stop: Option<StopTimes>,
    last_attempt_id: u64,
    rng: SmallRng,
    counters: RouterCounters,
}

impl Router {
    /// Creates a router with an empty table, which refuses all calls. The `seed` makes its random
    /// choices reproducible.
    pub fn new(settings: RouterSettings, seed: u64) -> Self {
        Self {
            settings,
            mode: RouterMode::Full,
            table: Default::default(),
            pool: Default::default(),
            splits: Default::default(),
            budgets: Default::default(),
            daemons: 0,
            had_servers_at: None,
            calls: Default::default(),
            route_bytes: Default::default(),
            route_times: Default::default(),
            nested_calls: Default::default(),
            stop: None,
            last_attempt_id: 0,
            rng: SmallRng::seed_from_u64(seed),
            counters: Default::default(),
        }
    }

    /// Replaces the route table. Returns `false` and keeps the current table if the new one is of
    /// an older configuration.
    pub fn install(&mut self, table: Arc<RouteTable>) -> bool {
        if table.version() < self.table.version() {
            return false;
        }
        self.table = table;
        let table = &self.table;
        self.route_bytes.retain(|route, _| table.has_route(route));
        self.route_times.retain(|route| table.has_route(route));
        self.nested_calls.retain_routes(|route| table.has_route(route));
        true
    }

    /// The current route table.
    pub fn table(&self) -> &Arc<RouteTable> {
        &self.table
    }

    /// Replaces the set of backend servers. Load, latency and health of servers that stay are
    /// kept.
    pub fn set_servers(&mut self, now: Now, servers: &[ServerInfo]) {
        self.pool.replace(now.mono, servers, &self.settings.domain, &self.settings.region);
        let learned = self.had_servers_at.get_or_insert(now.mono);
        // A daemon that starts learns of the servers bit by bit.
        if now.mono.since(*learned) < JOINING {
            return;
        }
        for server in self.pool.beginning_slow_start(now.mono) {
            let limit = self.table.cold_limit(&server.info.service);
            let cold_until = limit.map(|limit| now.mono + limit.warm_up);
            if let Some((limit, cold_until)) = limit.zip(cold_until) {
                let first_saved = self.rng.random_range(0.0..1.0);
                server.cold.set(now.mono, cold_until, limit, self.daemons, first_saved);
            }
        }
    }

    /// Takes over how many daemons the mesh has, among which the retries of
    /// [`RetryLimits::mesh_reserve`] are divided. A lower number than before is ignored: daemons
    /// that are out of reach go on making retries.
    pub fn set_daemons(&mut self, daemons: usize) {
        if daemons <= self.daemons {
            return;
        }
        self.daemons = daemons;
        let limits = self.retry_limits();
        for budget in self.budgets.values_mut() {
            budget.set_limits(limits);
        }
    }

    /// Replaces the version splits of all moves under way.
    pub fn set_splits(&mut self, splits: &[VersionSplit]) {
        self.splits.clear();
        for split in splits {
            self.splits.insert(split.service.clone(), split.clone());
        }
    }

    /// Takes over that the daemon stops. From now on attempts are made only if they are expected to be
    /// answered before, and none outlasts the stop.
    pub fn stop(&mut self, times: StopTimes) {
        self.stop = Some(times);
    }

    /// Matches a route and picks a service, a version and a backend server for a new call.
    ///
    /// # Errors
    /// Returns the refusal to answer the caller with if there is no configuration, no matching
    /// route or no available server, or the deadline has passed. The call was not run.
    pub fn begin(&mut self, now: Now, head: &CallHead<'_>) -> Result<Attempt, Refusal> {
        let matched = self.match_call(now, head)?;
        self.begin_matched(now, head, matched)
    }

    /// Matches a route and finds the client account of a new call; see [`Router::begin`], of which
    /// this is the first half.
    ///
    /// # Errors
    /// Returns the refusal to answer the caller with if there is no configuration, no matching route
    /// or no client account where the route needs one, or the deadline has passed. The call was not run.
    pub fn match_call(&mut self, now: Now, head: &CallHead<'_>) -> Result<MatchedCall, Refusal> {
        self.counters.calls += 1;
        let result = self.try_match(now.mono, head);
        self.counters.refused += u64::from(result.is_err());
        result
    }

    /// Picks a service, a version and a backend server for a call that was matched; the second half
    /// of [`Router::begin`].
    ///
    /// # Errors
    /// Returns the refusal to answer the caller with if no server is available. The call was not
    /// run.
    pub fn begin_matched(
        &mut self,
        now: Now,
        head: &CallHead<'_>,
        matched: MatchedCall,
    ) -> Result<Attempt, Refusal> {
        let result = self.try_begin(now.mono, head, matched);
        self.counters.refused += u64::from(result.is_err());
        result
    }

    /// Records the outcome of an attempt and decides what comes next.
    ///
    /// After [`Next::Deliver`], the attempt counts towards the load of its server until
    /// [`Router::end_body`] is called. [`Next::Retry`] after an answer means that the server
    /// failed the call and another one may succeed; the answer is to be kept, and delivered if the
    /// retry gets none. An attempt that has ended already gets [`Next::Refuse`]: its answer comes
    /// too late and must not be delivered.
    pub fn finish(&mut self, now: Now, attempt: AttemptId, outcome: Outcome) -> Next {
        if self.calls.get(&attempt).is_none_or(|call| call.answered) {
            return Next::Refuse(refusals::already_ended());
        }
        self.observe_outcome(now.mono, attempt, outcome);
        let nested = self.calls.get(&attempt).is_some_and(|call| call.nested);
        if let Outcome::Answered { status } = outcome {
            if let Some(retry) = self.retry_server_error(now.mono, attempt, status) {
                return Next::Retry(retry, Duration::ZERO);
            }
            if nested && status >= MIN_SERVER_ERROR_STATUS {
                self.nested_calls.record_failure(now.mono);
            }
            return Next::Deliver;
        }
        // The call is present: this was checked above, and nothing has removed it since.
        let Some(call) = self.calls.remove(&attempt) else {
            return Next::Refuse(refusals::already_ended());
        };
        if let Some(server) = self.pool.find_mut(&call.attempt.server) {
            server.end_attempt();
        }
        let next = self.after_unanswered(now.mono, call, outcome);
        if nested && outcome != Outcome::Cancelled && matches!(next, Next::Refuse(_)) {
            self.nested_calls.record_failure(now.mono);
        }
        self.count_refusal(&next);
        next
    }

    /// Ends an attempt that must not be made because the call is blocked, before any byte of it is
    /// sent, and returns the refusal for the caller.
    pub fn refuse_blocked(&mut self, now: Now, attempt: AttemptId) -> Refusal {
        match self.finish(now, attempt, Outcome::Blocked) {
            Next::Refuse(refusal) => refusal,
            // No call is delivered or tried again after this outcome.
            Next::Deliver | Next::Retry(..) => refusals::blocked(),
        }
    }

    /// Ends an attempt whose answer was delivered, at the end of its body. `whole` is false if
    /// the server's side broke off within the body, which counts as a failure of the server.
    pub fn end_body(&mut self, now: Now, attempt: AttemptId, whole: bool) {
        if !self.calls.get(&attempt).is_some_and(|call| call.answered) {
            return;
        }
        if !whole {
            self.observe_outcome(now.mono, attempt, Outcome::Truncated);
        }
        let Some(call) = self.calls.remove(&attempt) else {
            return;
        };
        if let Some(server) = self.pool.find_mut(&call.attempt.server) {
            server.end_attempt();
        }
    }

    /// Selects the algorithms that the router uses.
    pub fn set_mode(&mut self, mode: RouterMode) {
        self.mode = mode;
    }

    /// The algorithms in use.
    pub fn mode(&self) -> RouterMode {
        self.mode
    }

    /// Number of attempts under way, including those whose answer body is still being passed on.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Counters since the router was created.
    pub fn counters(&self) -> &RouterCounters {
        &self.counters
    }

    fn try_match(&self, now: Mono, head: &CallHead<'_>) -> Result<MatchedCall, Refusal> {
        if self.table.version() == ConfigVersion::NONE {
            return Err(refusals::no_configuration());
        }
        let index = self.table.find(head).ok_or_else(refusals::no_route)?;
        let route = self.table.route(index);
        let account = self.table.accounts().account_of(head, route.open);
        let account = account.map_err(|NoAccount| refusals::no_account())?;
        if head.deadline <= now {
            return Err(refusals::expired());
        }
        let account = account.cloned();
        Ok(MatchedCall { route: Arc::clone(route), account })
    }

    fn try_begin(
        &mut self,
        now: Mono,
        head: &CallHead<'_>,
        matched: MatchedCall,
    ) -> Result<Attempt, Refusal> {
        let MatchedCall { route, account } = matched;
        // The split point returned is rescaled to the share of the chosen service.
        let (service, split_point) =
            version_choice::choose_service(&route, self.choose_split_point(&route, head));
        let service = service.clone();
        let percent = self.table.service(&service).map_or(0, |s| s.retries.budget_percent);
        let limits = self.retry_limits();
        let inherited_repeat = self.nested_calls.inherited_repeat(&route.name, head.nesting);
        let nested = self.nested_calls.is_nested(&route.name, head.nesting);
        // Each call adds `percent` of one retry to the retry budget of its service.
        let budget = self.budgets.entry(service.clone());
        let budget = budget.or_insert_with(|| RetryBudget::new(limits, now));
        budget.deposit(percent);
        budget.charge(inherited_repeat);
        let plan = AttemptPlan {
            service,
            deadline: head.deadline.min(now + route.timeout),
            target_at: route.target.map_or(Mono::NEVER, |target| now + target),
            route_timeout_at: now + route.timeout,
            reached_attempts: 0,
            moves: 0,
            sent_on_by: None,
            idempotent: idempotent(route.idempotence, head.method),
            criticality: account.as_ref().and_then(|a| a.criticality).unwrap_or(route.criticality),
            route,
            split_point,
            tried: FastSet::default(),
            previous_attempts: 0,
            crashed_server: None,
            earlier_run: None,
            inherited_repeat,
            nested,
            account: account.map(|account| account.name),
            starts_at: now,
        };
        self.start_attempt(now, plan)
    }

    /// The limits of the retry budgets of this daemon.
    fn retry_limits(&self) -> RetryLimits {
        self.settings.retries.shared_among(self.daemons)
    }

    fn choose_split_point(&mut self, route: &CompiledRoute, head: &CallHead<'_>) -> SplitPoint {
        let key = route.sticky.as_ref().and_then(|sticky| (head.header)(&sticky.header));
        match key {
            Some(key) => SplitPoint::of_key(route.service.as_str(), key),
            None => SplitPoint(self.rng.random_range(0..PPM)),
        }
    }

    fn count_refusal(&mut self, next: &Next) {
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

fn idempotent(rule: Idempotence, method: &str) -> bool {
    match rule {
        Idempotence::Always => true,
        Idempotence::Never => false,
        Idempotence::ByMethod => {
            matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE")
        }
    }
}
