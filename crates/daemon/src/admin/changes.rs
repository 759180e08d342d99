//! Endpoints that publish changes and read their outcomes.
//!
//! A change is checked against the configuration that this daemon holds, appended to the log, and
//! accepted or refused when the log shows it. [`publish`] does this for orders to moves as well.

use std::time::Duration;

use cyclamen_declarations::Change;
use cyclamen_ledger::ChangeOutcome;
use cyclamen_types::ChangeId;
use cyclamenmoor::Instance;
use dropshot::{HttpResponseOk, Path, Query, UntypedBody, endpoint};
use tokio::time::Instant;

use super::api::{ChangeAnswer, ChangePath, OutcomeKind, PublishQuery, WaitQuery};
use super::context::{self, Context, Request};
use super::error::{ApiError, ErrorCode};
use super::validation;

/// Maximum size of a change file, in bytes.
const MAX_CHANGE_BYTES: usize = 262_144;

/// Maximum number of published changes that the log has not confirmed yet.
const MAX_UNCONFIRMED_CHANGES: usize = 256;

/// How long a publication waits for its outcome if the request does not say.
const PUBLISH_WAIT: Duration = Duration::from_secs(5);

/// Publishes a change file (YAML or JSON): its entries are accepted or refused together.
///
/// The answer is `pending` when the log did not show the change in time; it is then still on its
/// way. Publishing again under the same id is always safe.
#[endpoint {
    method = POST,
    path = "/v1/changes",
    request_body_max_bytes = MAX_CHANGE_BYTES,
    tags = ["changes"],
}]
pub(super) async fn publish_change(
    cx: Request,
    query: Query<PublishQuery>,
    body: UntypedBody,
) -> Result<HttpResponseOk<ChangeAnswer>, ApiError> {
    let team = context::authenticate(&cx)?;
    let query = query.into_inner();
    let id = match &query.change_id {
        Some(text) => checked_id(text)?,
        None => new_change_id()?,
    };
    let text = body.as_str()?;
    let now = cx.context().shared()?.now().wall;
    let change = validation::parse_change_file(text, id, team, now).map_err(change_refused)?;
    let wait = query.wait_ms.map_or(PUBLISH_WAIT, Duration::from_millis);
    publish(cx.context(), &change, query.dry_run, wait).await.map(HttpResponseOk)
}

/// What became of a change.
///
/// A daemon remembers a change for as long as the log keeps its record.
#[endpoint { method = GET, path = "/v1/changes/{id}", tags = ["changes"] }]
pub(super) async fn read_change(
    cx: Request,
    path: Path<ChangePath>,
    query: Query<WaitQuery>,
) -> Result<HttpResponseOk<ChangeAnswer>, ApiError> {
    let id = checked_id(&path.into_inner().id)?;
    let wait = Duration::from_millis(query.into_inner().wait_ms.unwrap_or(0));
    let deadline = Instant::now() + wait;
    let outcome =
        cx.context().wait_for(deadline, |instance| instance.outcome(&id).cloned()).await?;
    let Some(outcome) = outcome else {
        let message = format!(
            "this daemon has not seen change `{id}`: wait, ask another daemon, or publish it \
             again under this id"
        );
        return Err(ApiError::new(ErrorCode::NotFound, message));
    };
    Ok(HttpResponseOk(answer_of(&id, &outcome, Vec::new())))
}

/// Checks a change against the configuration of this daemon, publishes it and waits for its
/// outcome.
///
/// A change whose id has an outcome already is not published again. The answer is
/// [`OutcomeKind::Pending`] if `wait` ends before the outcome is known.
///
/// # Errors
/// The daemon does not become ready within `wait`, the change has faults or is refused, or too many
/// changes are not confirmed by the log yet.
pub(super) async fn publish(
    cx: &Context,
    change: &Change,
    dry_run: bool,
    wait: Duration,
) -> Result<ChangeAnswer, ApiError> {
    let shared = cx.shared()?;
    let deadline = Instant::now() + wait;
    cx.wait_for(deadline, |instance| instance.ready().then_some(()))
        .await?
        .ok_or_else(not_caught_up)?;
    if let Some(outcome) = shared.read(|instance| instance.outcome(&change.id).cloned()) {
        return answer_with_outcome(&change.id, &outcome, Vec::new());
    }
    let findings = shared.read(|instance| validation::check_change(change, instance));
    if !findings.faults.is_empty() {
        return Err(refusal_error(findings.stale_base, findings.faults));
    }
    if dry_run {
        return Ok(answer_without_offset(&change.id, OutcomeKind::Checked, findings.warnings));
    }
    if shared.read(|instance| is_overloaded(instance, &change.id)) {
        return Err(overloaded());
    }
    shared.with(|instance, now, out| instance.publish(now, change, out));
    let outcome = cx.wait_for(deadline, |instance| instance.outcome(&change.id).cloned()).await?;
    match outcome {
        Some(outcome) => answer_with_outcome(&change.id, &outcome, findings.warnings),
        None => Ok(answer_without_offset(&change.id, OutcomeKind::Pending, findings.warnings)),
    }
}

/// A random change id, for a publication that names none and for an order to a move.
pub(super) fn new_change_id() -> Result<ChangeId, ApiError> {
    checked_id(&format!("change-{:032x}", rand::random::<u128>()))
}

fn checked_id(text: &str) -> Result<ChangeId, ApiError> {
    ChangeId::try_from(text)
        .map_err(|error| ApiError::new(ErrorCode::Malformed, format!("invalid change id: {error}")))
}

/// The answer to a publication whose outcome is known.
///
/// # Errors
/// The change was refused.
fn answer_with_outcome(
    id: &ChangeId,
    outcome: &ChangeOutcome,
    warnings: Vec<String>,
) -> Result<ChangeAnswer, ApiError> {
    let ChangeOutcome::Refused(offset, refusal) = outcome else {
        return Ok(answer_of(id, outcome, warnings));
    };
    Err(refusal_error(refusal.stale_base, to_strings(&refusal.faults)).with_offset(offset.0))
}

fn refusal_error(stale_base: bool, faults: Vec<String>) -> ApiError {
    if !stale_base {
        return change_refused(faults);
    }
    let message =
        "another change was made in the meantime: read the declaration again and edit that version";
    ApiError::new(ErrorCode::StaleBase, message).with_faults(faults)
}

fn change_refused(faults: Vec<String>) -> ApiError {
    let message = "the change is refused as a whole: correct every fault and publish it again";
    ApiError::new(ErrorCode::ChangeRefused, message).with_faults(faults)
}

/// The error of a daemon that has not caught up with the configuration.
///
/// Such a daemon must not check changes: it would refuse valid ones.
fn not_caught_up() -> ApiError {
    let message = "this daemon has not caught up with the configuration or is stopping; nothing was \
                   published: use another daemon, or try again";
    ApiError::new(ErrorCode::NotReady, message)
}

/// Whether too many changes are unconfirmed for a new one; publishing one of them again is always
/// allowed.
fn is_overloaded(instance: &Instance, id: &ChangeId) -> bool {
    instance.pending_publications() >= MAX_UNCONFIRMED_CHANGES && !instance.is_publishing(id)
}

fn overloaded() -> ApiError {
    let message = format!(
        "{MAX_UNCONFIRMED_CHANGES} changes have not been confirmed by the log yet; this one was not \
         published: try again once the log responds"
    );
    ApiError::new(ErrorCode::NotReady, message)
}

/// An answer about a change without a known position in the log, and without faults.
fn answer_without_offset(
    id: &ChangeId,
    outcome: OutcomeKind,
    warnings: Vec<String>,
) -> ChangeAnswer {
    let id = id.to_string();
    ChangeAnswer { id, outcome, offset: None, stale_base: false, faults: Vec::new(), warnings }
}

fn answer_of(id: &ChangeId, outcome: &ChangeOutcome, warnings: Vec<String>) -> ChangeAnswer {
    match outcome {
        ChangeOutcome::Accepted(offset) => ChangeAnswer {
            offset: Some(offset.0),
            ..answer_without_offset(id, OutcomeKind::Accepted, warnings)
        },
        ChangeOutcome::Refused(offset, refusal) => ChangeAnswer {
            offset: Some(offset.0),
            stale_base: refusal.stale_base,
            faults: to_strings(&refusal.faults),
            ..answer_without_offset(id, OutcomeKind::Refused, warnings)
        },
    }
}

fn to_strings(faults: &[std::sync::Arc<str>]) -> Vec<String> {
    faults.iter().map(|fault| fault.as_ref().into()).collect()
}
