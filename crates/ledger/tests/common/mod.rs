//! Declarations of a small mesh, and what tests do with a ledger.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod ops;

use cyclamen_declarations::{Change, parse_change};
use cyclamen_ledger::{FoldOutcome, Ledger, LogRecord, MoveVerdict, VerdictKind, verify};
use cyclamen_types::{Offset, Wall};

/// When everything is published.
pub const NOW: Wall = Wall(1_800_000_000_000);

/// Two services with two versions each, and a route to each.
pub const MESH: &str = "
declarations:
- {name: dvere, service: {version: v1, labels: {tier: quick}}}
- {name: dvere/v1, version: {}}
- {name: dvere/v2, version: {}}
- {name: zavady, service: {version: v1}}
- {name: zavady/v1, version: {}}
- {name: zavady/v2, version: {}}
- name: doors
  route: {match: {hosts: [dvere.example], path_prefix: /doors}, service: dvere, timeout: 800ms}
- name: notices
  route:
    match: {path_prefix: /notices}
    service: zavady
    split: [{version: v1, weight: 9}, {version: v2, weight: 1}]
    idempotence: never
";

/// A change of team `doors`.
pub fn change(id: &str, yaml: &str) -> Change {
    change_of(id, "doors", yaml)
}

/// A change of any team.
pub fn change_of(id: &str, team: &str, yaml: &str) -> Change {
    let id = id.parse().expect("a change id");
    let team = team.parse().expect("a team");
    parse_change(yaml, id, team, NOW).unwrap_or_else(|faults| panic!("{faults}"))
}

/// Appends a payload to a ledger's log.
pub fn append(ledger: &mut Ledger, payload: &str) -> FoldOutcome {
    let offset = Offset(ledger.version().0);
    ledger.fold(&LogRecord { offset, payload: payload.into() })
}

/// Publishes a change of team `doors` and folds it.
pub fn publish(ledger: &mut Ledger, id: &str, yaml: &str) -> FoldOutcome {
    append(ledger, &Ledger::change_payload(&change(id, yaml)))
}

/// Folds a verdict on the present publication of a move.
pub fn verdict(ledger: &mut Ledger, name: &str, kind: VerdictKind) -> FoldOutcome {
    let id = ledger.config().moves[name].id();
    append(ledger, &Ledger::verdict_payload(&id, &verdict_of(kind)))
}

/// A verdict of some daemon.
pub fn verdict_of(kind: VerdictKind) -> MoveVerdict {
    let by = "praha-a-1".parse().expect("an instance");
    MoveVerdict { kind, reason: "as the figures say".into(), by, at: NOW }
}

/// The faults that a change is refused for, as text.
pub fn faults(ledger: &Ledger, change: &Change) -> Vec<String> {
    verify(change, ledger.config()).faults.iter().map(ToString::to_string).collect()
}

/// The warnings about a change, as text.
pub fn warnings(ledger: &Ledger, change: &Change) -> Vec<String> {
    verify(change, ledger.config()).warnings.iter().map(ToString::to_string).collect()
}

/// A ledger that holds [`MESH`], from record 0.
pub fn mesh() -> Ledger {
    let mut ledger = Ledger::default();
    assert_eq!(publish(&mut ledger, "mesh", MESH), FoldOutcome::Changed);
    ledger
}
