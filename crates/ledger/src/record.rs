//! Records as the log keeps them.

use std::sync::Arc;

use cyclamen_declarations::generated::RecordHead;
use cyclamen_types::Offset;
use serde::{Deserialize, Serialize};

/// One record of the platform's log. The payload is JSON text of the committed schema; it travels
/// between daemons untouched, so that every reader folds the same bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its position.
    pub offset: Offset,
    /// Its text.
    pub payload: Arc<str>,
}

impl LogRecord {
    /// Whether this is a part of a snapshot.
    pub fn is_snapshot(&self) -> bool {
        let head: Option<RecordHead> = serde_json::from_str(&self.payload).ok();
        head.and_then(|head| head.kind).is_some_and(|kind| kind == "snapshot")
    }
}
