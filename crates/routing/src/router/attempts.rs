//! Starts attempts: picks a version and a server for one, and bounds its time.

use std::sync::Arc;

use cyclamen_declarations::Criticality;
use cyclamen_types::{AccountName, FastSet, Mono, ServerName, ServiceName, VersionName};

use crate::call::{Attempt, AttemptId, Outcome, Refusal, ServerSelection};
use crate::router::placement::CallNeeds;
use crate::router::pool::{ServerIndex, ServerRequest};
use crate::router::version_choice::{self, SplitPoint, VersionChoice};
use crate::router::{ActiveCall, Router, RouterMode, refusals};
use crate::stop::StopDecision;
use crate::table::CompiledRoute;

/// Inputs of [`Router::start_attempt`]: what all attempts of a call share, and the results of the
/// earlier ones.
pub(super) struct AttemptPlan {
    pub(super) route: Arc<CompiledRoute>,
    pub(super) service: ServiceName,
    pub(super) target_at: Mono,
    pub(super) route_timeout_at: Mono,
    pub(super) reached_attempts: u32,
    /// Earlier attempts that were sent on, see [`Attempt::moves_left`].
    pub(super) moves: u32,
    /// The server of the last attempt, if the call was sent on there.
    pub(super) sent_on_by: Option<ServerName>,
    pub(super) split_point: SplitPoint,
    pub(super) tried: FastSet<ServerName>,
    pub(super) idempotent: bool,
    pub(super) deadline: Mono,
    pub(super) previous_attempts: u32,
    /// The server that crashed during an earlier attempt, if one did.
    pub(super) crashed_server: Option<ServerName>,
    pub(super) earlier_run: Option<Outcome>,
    pub(super) inherited_repeat: f64,
    pub(super) nested: bool,
    pub(super) criticality: Criticality,
    pub(super) account: Option<AccountName>,
    /// When the attempt is sent.
    pub(super) starts_at: Mono,
}

impl Router {
    /// Picks a version and a server for an attempt and registers it as under way.
    pub(super) fn start_attempt(
        &mut self,
        now: Mono,
        plan: AttemptPlan,
    ) -> Result<Attempt, Refusal> {
        let service = &plan.service;
        let deadline = self.deadline_before_stop(&plan)?;
        let Some(compiled) = self.table.service(service) else {
            return Err(refusals::no_route());
        };
        let split = self.splits.get(service);
        let choice = version_choice::choose_version(&plan.route, compiled, split, plan.split_point);
        let version = self.version_with_servers(service, choice);
        let chosen = match self.mode {
            RouterMode::Full => self.choose_server(now, &plan, &version),
            RouterMode::Baseline => self.pool.choose_uniform(service, &version, &mut self.rng),
        };
        let Some((chosen, selection)) = chosen else {
            return Err(refusals::unavailable(service, &version, !plan.tried.is_empty()));
        };
        let moves_left = self.moves_left(&plan, &selection);
        let server = self.pool.get_mut(chosen);
        let connect_trial = server.begin_attempt();
        server.cold.take(now);
        self.last_attempt_id += 1;
        let attempt = Attempt {
            id: AttemptId(self.last_attempt_id),
            hop: server.info.hop,
            server: server.info.name.clone(),
            service: server.info.service.clone(),
            version,
            route: plan.route.name.clone(),
            target_at: plan.target_at,
            route_timeout_at: plan.route_timeout_at,
            criticality: plan.criticality,
            idempotent: plan.idempotent,
            deadline,
            previous_attempts: plan.previous_attempts,
            moves_left: if server.says_pace() { moves_left } else { 0 },
            repeat: if plan.reached_attempts > 0 { 1.0 } else { plan.inherited_repeat },
            crashed_server: plan.crashed_server,
            account: plan.account.clone(),
            config: self.table.version(),
            selection,
        };
        let call = ActiveCall {
            attempt: attempt.clone(),
            deadline: plan.deadline,
            route: plan.route,
            split_point: plan.split_point,
            tried: plan.tried,
            attempt_started: plan.starts_at,
            answered: false,
            connect_trial,
            reached_attempts: plan.reached_attempts,
            moves: plan.moves,
            earlier_run: plan.earlier_run,
            inherited_repeat: plan.inherited_repeat,
            nested: plan.nested,
            nested_failure: false,
        };
        self.calls.insert(attempt.id, call);
        Ok(attempt)
    }

    /// The deadline of an attempt: that of its call, or an earlier one while the daemon stops. An error
    /// is the refusal of a call that would probably get no answer before the daemon ends.
    fn deadline_before_stop(&self, plan: &AttemptPlan) -> Result<Mono, Refusal> {
        let Some(stop) = &self.stop else {
            return Ok(plan.deadline);
        };
        let average = self
            .route_times
            .average(&plan.route.name)
            .or_else(|| self.route_times.average_of_service(&plan.service));
        match stop.decide(plan.starts_at, plan.deadline, average) {
            StopDecision::Make(deadline) => Ok(deadline),
            StopDecision::Refuse(retry_after) => Err(refusals::stopping(retry_after)),
        }
    }

    /// Picks a server that the call has not tried. A call that is sent on goes back to the server that
    /// sent it on only if no other is left.
    fn choose_server(
        &mut self,
        now: Mono,
        plan: &AttemptPlan,
        version: &VersionName,
    ) -> Option<(ServerIndex, ServerSelection)> {
        let bytes = self.route_bytes.get(&plan.route.name).copied().unwrap_or_default();
        let needs = CallNeeds { bytes, target: plan.route.target.unwrap_or_default() };
        let (service, tried) = (&plan.service, &plan.tried);
        let request = ServerRequest { service, version, tried, needs };
        if let Some(server) = &plan.sent_on_by {
            let mut tried = tried.clone();
            tried.insert(server.clone());
            let request = ServerRequest { tried: &tried, ..request };
            if let Some(chosen) = self.pool.choose(now, &request, &mut self.rng) {
                return Some(chosen);
            }
        }
        self.pool.choose(now, &request, &mut self.rng)
    }

    /// The chosen version, or its fallback if only that one has servers that accept calls.
    fn version_with_servers(&self, service: &ServiceName, choice: VersionChoice) -> VersionName {
        if self.pool.has_ready_server(service, &choice.version) {
            return choice.version;
        }
        match choice.fallback {
            Some(other) if self.pool.has_ready_server(service, &other) => other,
            _ => choice.version,
        }
    }
}
