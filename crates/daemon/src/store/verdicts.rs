//! Writes the verdict on a move to the store. The first final state written for an order is kept;
//! later ones are not written. States that the store lost are written again.

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

/// Writes the final states again that the store does not hold any more, each unless another daemon
/// did so first.
///
/// # Errors
/// The store did not answer as it should, or another record was appended meanwhile. What is
/// missing then is found by the next call.
pub(crate) async fn rewrite_lost_states(sync: &StoreSync) -> Result<(), StoreError> {
    let newest = sync.store.newest(Topic::Status).await?;
    let stored: Vec<RecordedMove> = newest.records.iter().filter_map(moves::decode).collect();
    let lost = sync.view().lost_states(&stored);
    let mut end = newest.end;
    for recorded in lost {
        let (key, value) = (moves::key(&recorded.service), moves::encode(&recorded));
        match sync.store.append(Topic::Status, &key, &value, Some(end)).await? {
            Appended::At(offset) => {
                info!("recorded in the store again: the state of service {}", recorded.service);
                end = Offset(offset.0 + 1);
            }
            Appended::Behind => {
                return Err(StoreError::Unanswered("another daemon wrote a state first".into()));
            }
        }
    }
    Ok(())
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
        StoreError::Unanswered(_)
        | StoreError::Trimmed
        | StoreError::CameBackOlder
        | StoreError::Malformed(_) => AppendError::Unanswered,
    }
}
