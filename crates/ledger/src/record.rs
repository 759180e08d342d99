//! Records as the log keeps them.

use std::sync::Arc;

use cyclamen_declarations::generated::RecordHead;
use cyclamen_types::Offset;
use serde::{Deserialize, Serialize};

use crate::payload::{self, Payload};

/// One record of the platform's log. The payload is JSON text of the committed schema; it travels
/// between daemons untouched, so that every reader folds the same bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its position.
    pub offset: Offset,
    /// Its text.
    pub payload: Arc<str>,
}

/// Payload of a part of a snapshot whose text was left out.
const PART_WITHOUT_TEXT: &str = r#"{"format":1,"kind":"snapshot"}"#;

impl LogRecord {
    /// Whether this is a part of a snapshot.
    pub fn is_snapshot(&self) -> bool {
        let head: Option<RecordHead> = serde_json::from_str(&self.payload).ok();
        head.and_then(|head| head.kind).is_some_and(|kind| kind == "snapshot")
    }

    /// The record as peers need it: a part of a snapshot changes no state, so its text stays out.
    pub fn for_peers(&self) -> Self {
        match payload::parse(&self.payload) {
            Payload::Snapshot(_) => self.without_text(),
            _ => self.clone(),
        }
    }

    pub(crate) fn without_text(&self) -> Self {
        Self { offset: self.offset, payload: PART_WITHOUT_TEXT.into() }
    }
}
