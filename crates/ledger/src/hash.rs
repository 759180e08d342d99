//! The hash of a state: a sum of the hashes of its parts, kept up to date at each change.

use cyclamen_declarations::Change;
use cyclamen_declarations::generated::{ChangeRecord, HeldItem};
use cyclamen_types::ChangeId;

use crate::ledger::{ChangeOutcome, StateHash};
use crate::outcomes::Recorded;
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

/// Tells a change from another one under the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fingerprint(pub(crate) u32);

impl Fingerprint {
    /// The fingerprint of a change. The times of moves stay out: where they count from the
    /// publication, each attempt to publish the same file has others.
    pub(crate) fn of_change(change: &Change) -> Self {
        let mut record = ChangeRecord::from(change);
        for item in &mut record.declarations {
            let Some(mv) = &mut item.move_ else {
                continue;
            };
            mv.start = None;
            mv.deadline = None;
        }
        Self::of_text(&json(&record))
    }

    /// The fingerprint of a payload that is no change.
    pub(crate) fn of_text(text: &str) -> Self {
        let [a, b, c, d, ..] = of_bytes(text.as_bytes()).to_le_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

/// The hash of what is remembered of a change. Texts of faults stay out: they may differ between
/// releases.
pub(crate) fn of_recorded(id: &ChangeId, recorded: &Recorded) -> u64 {
    let print = recorded.print.0;
    let text = match recorded.outcome {
        ChangeOutcome::Accepted(offset) => format!("{id} {print} accepted {offset}"),
        ChangeOutcome::Refused(offset, _) => format!("{id} {print} refused {offset}"),
    };
    of_bytes(text.as_bytes())
}

fn of_bytes(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
