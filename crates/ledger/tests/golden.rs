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

/// Format 3 is format 1 with path prefixes that may end with a slash.
#[test]
fn golden_format_3() {
    insta::assert_snapshot!(fold_all(include_str!("golden/format-3.jsonl")));
}

/// Guards against a release that folds records of format 1 in another way than those before it: the
/// slash at the end of a path prefix has a meaning from format 3 on.
#[test]
fn fold_slash_prefix_by_format() {
    for (format, prefix) in [(1, "/doors"), (3, "/doors/")] {
        let payload = include_str!("golden/format-3.jsonl").lines().next().unwrap_or_default();
        let payload = payload.replace(r#""format": 3"#, &format!(r#""format": {format}"#));
        let mut ledger = Ledger::default();
        ledger.fold(&LogRecord { offset: Offset(0), payload: payload.into() });
        let route = &ledger.config().routes["doors"].body;
        assert_eq!(&*route.matches.path_prefix, prefix);
    }
}
