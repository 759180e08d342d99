//! What records of a format fold to. It never changes: a release that folds them differently
//! would disagree with the daemons beside it, so a new rule needs a new format.

use std::fmt::Write;

use cyclamen_ledger::{ChangeOutcome, Ledger, LogRecord};
use cyclamen_types::{ChangeId, Offset};

/// One line for each record: how it starts, the hash after it, and what became of its change.
fn fold_all(log: &str) -> String {
    let mut ledger = Ledger::default();
    let mut lines = String::new();
    for (i, payload) in (0..).zip(log.lines()) {
        ledger.fold(&LogRecord { offset: Offset(i), payload: payload.into() });
        let outcome = outcome(&ledger, payload);
        let _ = writeln!(lines, "{i} {} {outcome}", ledger.hash());
    }
    let _ = write!(lines, "{:?}", ledger.counters());
    lines
}

/// The outcome that a change has by its id; its texts may differ between releases.
fn outcome(ledger: &Ledger, payload: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(payload).unwrap_or_default();
    let Some(id) = value["id"].as_str().and_then(|id| ChangeId::try_from(id).ok()) else {
        return "-".into();
    };
    match ledger.outcome(&id) {
        None => format!("{id}: none"),
        Some(ChangeOutcome::Accepted(offset)) => format!("{id}: accepted at {offset}"),
        Some(ChangeOutcome::Refused(offset, refusal)) => {
            format!("{id}: refused at {offset}, stale {}", refusal.stale_base)
        }
    }
}

#[test]
fn golden_format_1() {
    insta::assert_snapshot!(fold_all(include_str!("golden/format-1.jsonl")));
}
