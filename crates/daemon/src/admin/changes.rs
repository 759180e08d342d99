//! Publishing changes, and what became of them.

use std::time::Duration;

use cyclamen_declarations::Change;
use cyclamen_ledger::ChangeOutcome;
use cyclamen_types::ChangeId;
use cyclamenmoor::Instance;
use dropshot::{HttpResponseOk, Path, Query, UntypedBody, endpoint};
use tokio::time::Instant;

use super::api::{ChangeAnswer, ChangePath, OutcomeKind, PublishQuery, WaitQuery};
use super::border;
use super::context::{self, Context, Request};
use super::error::{ApiError, ErrorCode};

/// Largest change file, in bytes.
const CHANGE_BYTES: usize = 262_144;

/// Publications that may wait for the log at a time.
const MOST_PUBLICATIONS: usize = 256;

/// Wait for the outcome of a publication that names none.
const PUBLISH_WAIT: Duration = Duration::from_secs(5);

/// Publishes a change file (YAML or JSON): its entries are accepted or refused together.
///
/// The answer is `pending` when the log did not show the change in time; it is then still on its
/// way. Publishing again under the same id is always safe.
#[endpoint {
    method = POST,
    path = "/v1/changes",
    request_body_max_bytes = CHANGE_BYTES,
    tags = ["changes"],
}]
pub(super) async fn publish_change(
    cx: Request,
    query: Query<PublishQuery>,
    body: UntypedBody,
) -> Result<HttpResponseOk<ChangeAnswer>, ApiError> {
    let team = context::team(&cx)?;
    let query = query.into_inner();
    let id = match &query.change_id {
        Some(text) => checked_id(text)?,
        None => fresh_id()?,
    };
    let text = body.as_str()?;
    let now = cx.context().shared()?.now().wall;
    let change = border::read_change(text, id, team, now).map_err(refused)?;
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
    Ok(HttpResponseOk(answer(&id, &outcome, Vec::new())))
}

/// Checks a change against the configuration held, publishes it and waits for its outcome.
pub(super) async fn publish(
    cx: &Context,
    change: &Change,
    dry_run: bool,
    wait: Duration,
) -> Result<ChangeAnswer, ApiError> {
    let shared = cx.shared()?;
    let deadline = Instant::now() + wait;
    cx.wait_for(deadline, |instance| instance.ready().then_some(())).await?.ok_or_else(fresh)?;
    if let Some(outcome) = shared.read(|instance| instance.outcome(&change.id).cloned()) {
        return settled(&change.id, &outcome, Vec::new());
    }
    let findings = shared.read(|instance| border::check_change(change, instance));
    if !findings.faults.is_empty() {
        return Err(refusal(findings.stale_base, findings.faults));
    }
    if dry_run {
        return Ok(unsettled(&change.id, OutcomeKind::Checked, findings.warnings));
    }
    if shared.read(|instance| is_crowded(instance, &change.id)) {
        return Err(crowded());
    }
    shared.with(|instance, now, out| instance.publish(now, change, out));
    let outcome = cx.wait_for(deadline, |instance| instance.outcome(&change.id).cloned()).await?;
    match outcome {
        Some(outcome) => settled(&change.id, &outcome, findings.warnings),
        None => Ok(unsettled(&change.id, OutcomeKind::Pending, findings.warnings)),
    }
}

/// A new id for a change.
pub(super) fn fresh_id() -> Result<ChangeId, ApiError> {
    checked_id(&format!("change-{:032x}", rand::random::<u128>()))
}

fn checked_id(text: &str) -> Result<ChangeId, ApiError> {
    ChangeId::try_from(text).map_err(|error| {
        ApiError::new(ErrorCode::Malformed, format!("the change id does not fit: {error}"))
    })
}

fn settled(
    id: &ChangeId,
    outcome: &ChangeOutcome,
    warnings: Vec<String>,
) -> Result<ChangeAnswer, ApiError> {
    let ChangeOutcome::Refused(offset, refusal) = outcome else {
        return Ok(answer(id, outcome, warnings));
    };
    Err(self::refusal(refusal.stale_base, texts(&refusal.faults)).at_offset(offset.0))
}

fn refusal(stale_base: bool, faults: Vec<String>) -> ApiError {
    if !stale_base {
        return refused(faults);
    }
    let message = "another change came in between: read the declaration again and edit that";
    ApiError::new(ErrorCode::StaleBase, message).with_faults(faults)
}

fn refused(faults: Vec<String>) -> ApiError {
    let message = "the change is refused whole: mend every fault and publish it again";
    ApiError::new(ErrorCode::ChangeRefused, message).with_faults(faults)
}

/// A daemon that has not caught up would refuse changes that are in order.
fn fresh() -> ApiError {
    let message = "this daemon has not caught up with the configuration, or it stops; nothing was \
                   published: use another daemon, or try again";
    ApiError::new(ErrorCode::NotReady, message)
}

fn is_crowded(instance: &Instance, id: &ChangeId) -> bool {
    instance.pending_publications() >= MOST_PUBLICATIONS && !instance.is_publishing(id)
}

fn crowded() -> ApiError {
    let message = format!(
        "{MOST_PUBLICATIONS} publications wait for the log; this one was not published: try again \
         once the log answers"
    );
    ApiError::new(ErrorCode::NotReady, message)
}

fn unsettled(id: &ChangeId, outcome: OutcomeKind, warnings: Vec<String>) -> ChangeAnswer {
    let id = id.to_string();
    ChangeAnswer { id, outcome, offset: None, stale_base: false, faults: Vec::new(), warnings }
}

fn answer(id: &ChangeId, outcome: &ChangeOutcome, warnings: Vec<String>) -> ChangeAnswer {
    match outcome {
        ChangeOutcome::Accepted(offset) => ChangeAnswer {
            offset: Some(offset.0),
            ..unsettled(id, OutcomeKind::Accepted, warnings)
        },
        ChangeOutcome::Refused(offset, refusal) => ChangeAnswer {
            offset: Some(offset.0),
            stale_base: refusal.stale_base,
            faults: texts(&refusal.faults),
            ..unsettled(id, OutcomeKind::Refused, warnings)
        },
    }
}

fn texts(faults: &[std::sync::Arc<str>]) -> Vec<String> {
    faults.iter().map(|fault| fault.as_ref().into()).collect()
}
