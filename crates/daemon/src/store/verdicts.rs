//! Writes how a move ended into the store. The first final state of an order stays.

use cyclamen_ledger::{MoveId, MoveVerdict, VerdictKind};
use cyclamen_platform::{Appended, StoreError, Topic, moves};
use cyclamen_port::{MoveState, RecordedMove, StoredOrder};
use cyclamen_types::Offset;
use cyclamenmoor::AppendError;
use log::info;

use crate::store::Link;

/// Writes a verdict unless the store holds a final state of the same order; either way the state
/// that the store then holds is put in force.
///
/// # Errors
/// Nothing is known to be written: it is looked up and tried again.
pub(crate) async fn settle(
    link: &Link,
    id: &MoveId,
    verdict: &MoveVerdict,
) -> Result<Offset, AppendError> {
    let Some(order) = link.view().order_of(id).cloned() else {
        // A later order has replaced it, so nobody waits for this verdict.
        return Ok(id.declared);
    };
    let newest = link.store.newest(Topic::Status).await.map_err(|error| append_error(&error))?;
    for recorded in newest.records.iter().filter_map(moves::decode) {
        link.view().take_recorded(recorded);
    }
    if link.view().ended(&order).is_none() {
        write(link, &order, verdict, newest.end).await?;
    }
    link.put_in_force();
    Ok(order.offset)
}

async fn write(
    link: &Link,
    order: &StoredOrder,
    verdict: &MoveVerdict,
    at: Offset,
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
    match link.store.append(Topic::Status, &key, &value, Some(at)).await {
        Ok(Appended::At(_)) => {
            info!("wrote into the store: service {} is {}", order.service, verdict.kind);
            link.view().take_recorded(recorded);
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
