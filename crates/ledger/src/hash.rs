//! The hash of a state: a sum of the hashes of its parts, kept up to date at each change.

use cyclamen_declarations::generated::HeldItem;
use cyclamen_types::ChangeId;

use crate::ledger::{ChangeOutcome, StateHash};
use crate::payload::json;

impl StateHash {
    pub(crate) fn add(&mut self, part: u64) {
        self.0 = self.0.wrapping_add(part);
    }

    pub(crate) fn remove(&mut self, part: u64) {
        self.0 = self.0.wrapping_sub(part);
    }
}

/// The hash of one declaration as held, over its canonical JSON.
pub(crate) fn of_item(item: &HeldItem) -> u64 {
    of_bytes(json(item).as_bytes())
}

/// The hash of an outcome. Texts of faults stay out: they may differ between releases.
pub(crate) fn of_outcome(id: &ChangeId, outcome: &ChangeOutcome) -> u64 {
    let text = match outcome {
        ChangeOutcome::Accepted(offset) => format!("{id} accepted {offset}"),
        ChangeOutcome::Refused(offset, _) => format!("{id} refused {offset}"),
    };
    of_bytes(text.as_bytes())
}

fn of_bytes(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
