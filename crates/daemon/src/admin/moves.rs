//! Endpoints that read the moves in force and give them orders.

use std::time::Duration;

use cyclamen_declarations::{Change, ChangeEntry, EntryAction, MoveOrder, OrderAction};
use cyclamen_moves::{MovePhase, MoveStatus, RouteEvidence};
use cyclamen_types::MoveName;
use dropshot::{HttpResponseOk, Path, Query, TypedBody, endpoint};
use tokio::time::Instant;

use super::api::{
    ChangeAnswer, EvidenceAnswer, MoveAnswer, MoveList, MoveState, NamePath, OrderBody, OrderKind,
    WaitQuery,
};
use super::changes;
use super::context::{self, Request};
use super::error::{ApiError, ErrorCode};

/// How long an order waits for its outcome if the request does not say.
const ORDER_WAIT: Duration = Duration::from_secs(5);

/// The moves in force, with their verdicts.
#[endpoint { method = GET, path = "/v1/moves", tags = ["moves"] }]
pub(super) async fn list_moves(cx: Request) -> Result<HttpResponseOk<MoveList>, ApiError> {
    let statuses = cx.context().shared()?.read(|instance| instance.moves().statuses());
    let moves = statuses.into_iter().map(MoveAnswer::from).collect();
    Ok(HttpResponseOk(MoveList { moves }))
}

/// Where one move stands and why. With `wait_ms` the answer waits for a verdict.
#[endpoint { method = GET, path = "/v1/moves/{name}", tags = ["moves"] }]
pub(super) async fn read_move(
    cx: Request,
    path: Path<NamePath>,
    query: Query<WaitQuery>,
) -> Result<HttpResponseOk<MoveAnswer>, ApiError> {
    let name = move_name(&path.into_inner().name)?;
    let wait = Duration::from_millis(query.into_inner().wait_ms.unwrap_or(0));
    // In `Watched`, all traffic is on the new version, but the move may still be rolled back.
    let decided = |status: &MoveStatus| {
        matches!(status.phase, MovePhase::Watched | MovePhase::Done | MovePhase::TakenBack)
    };
    let found = cx
        .context()
        .wait_for(Instant::now() + wait, |instance| instance.move_status(&name).filter(decided))
        .await?;
    let found = match found {
        Some(status) => Some(status),
        None => cx.context().shared()?.read(|instance| instance.move_status(&name)),
    };
    found.map(|status| HttpResponseOk(status.into())).ok_or_else(|| unknown_move(&name))
}

/// Orders a move to pause, resume, hasten or be taken back.
#[endpoint { method = POST, path = "/v1/moves/{name}/orders", tags = ["moves"] }]
pub(super) async fn order_move(
    cx: Request,
    path: Path<NamePath>,
    query: Query<WaitQuery>,
    body: TypedBody<OrderBody>,
) -> Result<HttpResponseOk<ChangeAnswer>, ApiError> {
    let team = context::authenticate(&cx)?;
    let name = move_name(&path.into_inner().name)?;
    let wait = query.into_inner().wait_ms.map_or(ORDER_WAIT, Duration::from_millis);
    let order = MoveOrder { name, action: body.into_inner().order.into() };
    let entries = vec![ChangeEntry { base: None, action: EntryAction::Order(order) }];
    let change = Change { id: changes::new_change_id()?, team, entries };
    changes::publish(cx.context(), &change, false, wait).await.map(HttpResponseOk)
}

fn move_name(text: &str) -> Result<MoveName, ApiError> {
    MoveName::try_from(text).map_err(|error| ApiError::new(ErrorCode::Malformed, error.to_string()))
}

fn unknown_move(name: &MoveName) -> ApiError {
    let message =
        format!("no move `{name}` is in force at this daemon: list the moves, or publish it first");
    ApiError::new(ErrorCode::NotFound, message)
}

impl From<OrderKind> for OrderAction {
    fn from(order: OrderKind) -> Self {
        match order {
            OrderKind::Pause => Self::Pause,
            OrderKind::Resume => Self::Resume,
            OrderKind::Hasten => Self::Hasten,
            OrderKind::TakeBack => Self::TakeBack,
        }
    }
}

impl From<MovePhase> for MoveState {
    fn from(phase: MovePhase) -> Self {
        match phase {
            MovePhase::Scheduled => Self::Scheduled,
            MovePhase::Moving => Self::Moving,
            MovePhase::Checking => Self::Checking,
            MovePhase::Paused => Self::Paused,
            MovePhase::Watched => Self::Watched,
            MovePhase::Done => Self::Done,
            MovePhase::TakenBack => Self::TakenBack,
        }
    }
}

impl From<MoveStatus> for MoveAnswer {
    fn from(status: MoveStatus) -> Self {
        Self {
            name: status.id.name.to_string(),
            declared: status.id.declared.0,
            service: status.service.to_string(),
            from: status.from.to_string(),
            to: status.to.to_string(),
            state: status.phase.into(),
            share_ppm: status.share_ppm,
            late: status.late,
            reason: status.reason.as_ref().into(),
            evidence: status.evidence.into_iter().map(EvidenceAnswer::from).collect(),
        }
    }
}

impl From<RouteEvidence> for EvidenceAnswer {
    fn from(evidence: RouteEvidence) -> Self {
        Self {
            route: evidence.route.to_string(),
            old_calls: evidence.old_calls,
            old_failed: evidence.old_failed,
            old_slow: evidence.old_slow,
            new_calls: evidence.new_calls,
            new_failed: evidence.new_failed,
            new_slow: evidence.new_slow,
        }
    }
}
