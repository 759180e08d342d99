//! Writes the verdict on a move to the store. The first final state written for an order is kept;
//! later ones are not written.

use cyclamen_ledger::{MoveId, MoveVerdict, VerdictKind};
use cyclamen_platform::{Appended, StoreError, Topic, moves};
use cyclamen_port::{MoveState, RecordedMove, StoredOrder};
use cyclamen_types::Offset;
use cyclamenmoor::AppendError;
use log::info;

use crate::store::StoreSync;

/// Writes `verdict` unless the store already holds a final state for the same order, and passes the
/// resulting configuration to the instance. Returns the offset of the order.
///
/// # Errors
/// The verdict may or may not have been written. The instance retries until the configuration shows
/// a verdict; each attempt looks up the recorded state first.
pub(crate) async fn record_verdict(
    sync: &StoreSync,
    id: &MoveId,
    verdict: &MoveVerdict,
) -> Result<Offset, AppendError> {
    let Some(order) = sync.view().order_for(id).cloned() else {
        // A later order has replaced this one, so the verdict is no longer needed.
        return Ok(id.declared);
    };
    let newest = sync.store.newest(Topic::Status).await.map_err(|error| append_error(&error))?;
    for recorded in newest.records.iter().filter_map(moves::decode) {
        sync.view().apply_recorded_move(recorded);
    }
    if sync.view().final_state(&order).is_none() {
        append_verdict(sync, &order, verdict, newest.end).await?;
    }
    sync.activate_config();
    Ok(order.offset)
}

async fn append_verdict(
    sync: &StoreSync,
    order: &StoredOrder,
    verdict: &MoveVerdict,
    expected_end: Offset,
) -> Result<(), AppendError> {
    let state = match verdict.kind {
        VerdictKind::Done => MoveState::Done,
        VerdictKind::TakenBack => MoveState::TakenBack,
    };
    let recorded = RecordedMove {
        service: order.service.clone(),
        to: order.to.clone(),
        order: Some(order.offset),
        state,
    };
    let (key, value) = (moves::key(&order.service), moves::encode(&recorded));
    match sync.store.append(Topic::Status, &key, &value, Some(expected_end)).await {
        Ok(Appended::At(_)) => {
            info!("recorded in the store: move of service {} is {}", order.service, verdict.kind);
            sync.view().apply_recorded_move(recorded);
            Ok(())
        }
        Ok(Appended::Behind) => Err(AppendError::Busy),
        Err(error) => Err(append_error(&error)),
    }
}

fn append_error(error: &StoreError) -> AppendError {
    match error {
        StoreError::Refused(_) => AppendError::Busy,
        StoreError::Unanswered(_) | StoreError::Trimmed | StoreError::Malformed(_) => {
            AppendError::Unanswered
        }
    }
}
