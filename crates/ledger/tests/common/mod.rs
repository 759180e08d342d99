//! Declarations of a small mesh, and a log that keeps records.

use cyclamen_declarations::{Change, parse_change};
use cyclamen_ledger::{FoldOutcome, Ledger, LogRecord};
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

/// A ledger that holds [`MESH`], from record 0.
pub fn mesh() -> Ledger {
    let mut ledger = Ledger::default();
    assert_eq!(publish(&mut ledger, "mesh", MESH), FoldOutcome::Changed);
    ledger
}
