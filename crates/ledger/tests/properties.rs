//! Properties of the fold over random logs.

mod common;

use std::sync::Arc;

use common::ops::{Base, Entry, Log, log, op};
use cyclamen_declarations::VersionId;
use cyclamen_ledger::{ChangeOutcome, Config, Ledger, LogRecord};
use cyclamen_types::{ConfigVersion, ServiceName, VersionName};
use proptest::prelude::*;
use proptest::sample::Index;
use serde_json::json;

/// Steps by which a reader may come to a state.
#[derive(Clone, Debug)]
enum Step {
    Fold(Index),
    Next,
    Install(Index),
    InstallBroken(Index, Index),
    Restore(Index),
    Pull(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => any::<Index>().prop_map(Step::Fold),
        6 => Just(Step::Next),
        1 => any::<Index>().prop_map(Step::Install),
        1 => (any::<Index>(), any::<Index>()).prop_map(|(i, at)| Step::InstallBroken(i, at)),
        1 => any::<Index>().prop_map(Step::Restore),
        2 => (1..3_000usize).prop_map(Step::Pull),
    ]
}

/// A ledger that folded the first records of a log.
fn at(log: &Log, version: usize) -> Ledger {
    let mut ledger = Ledger::default();
    fold_all(&mut ledger, &log.records[..version]);
    ledger
}

fn fold_all(ledger: &mut Ledger, records: &[LogRecord]) {
    for record in records {
        ledger.fold(record);
    }
}

fn take(reader: &mut Ledger, log: &Log, step: &Step) {
    match step {
        Step::Fold(index) => {
            reader.fold(index.get(&log.records));
        }
        Step::Next => {
            if let Some(record) = log.records.get(reader.version().0 as usize) {
                reader.fold(record);
            }
        }
        Step::Install(index) => {
            let version = index.index(log.states.len());
            reader.install_snapshot(&at(log, version).snapshot());
        }
        Step::InstallBroken(index, cut) => {
            let text = at(log, index.index(log.states.len())).snapshot();
            reader.install_snapshot(&text[..cut.index(text.len())]);
        }
        Step::Restore(index) => {
            reader.restore_from_records(&log.records[index.index(log.records.len())..]);
        }
        Step::Pull(bytes) => match log.ledger.records_from(reader.version(), *bytes) {
            Some(records) => fold_all(reader, &records),
            None => {
                reader.install_snapshot(&log.ledger.snapshot());
            }
        },
    }
}

fn holds_version(config: &Config, service: &ServiceName, version: &VersionName) -> bool {
    let id = VersionId { service: service.clone(), version: version.clone() };
    config.versions.contains_key(&id)
}

/// The first thing that a declaration points at and that is not held.
fn dangling(config: &Config) -> Option<String> {
    for (name, held) in &config.services {
        if !holds_version(config, name, &held.body.version) {
            return Some(format!("service {name}"));
        }
    }
    for id in config.versions.keys() {
        if !config.services.contains_key(&id.service) {
            return Some(format!("version {id}"));
        }
    }
    for (name, held) in &config.routes {
        let route = &held.body;
        if !config.services.contains_key(&route.service) {
            return Some(format!("route {name}"));
        }
        for weighted in &route.split {
            if !holds_version(config, &route.service, &weighted.version) {
                return Some(format!("route {name}"));
            }
        }
    }
    for (name, held) in &config.moves {
        let mv = &held.held.body;
        for version in [&mv.from, &mv.to] {
            if !holds_version(config, &mv.service, version) {
                return Some(format!("move {name}"));
            }
        }
    }
    None
}

/// A configuration without its version.
fn content(config: &Config) -> Config {
    Config { version: ConfigVersion::NONE, ..config.clone() }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever a reader is given, in whatever order, its version never falls, and its state is
    /// the one that the log gives at that version.
    #[test]
    fn reader_any_path(log in log(), steps in prop::collection::vec(step(), 1..60)) {
        let mut reader = Ledger::default();
        for step in &steps {
            let before = reader.version();
            take(&mut reader, &log, step);
            prop_assert!(reader.version() >= before);
            let (config, hash) = &log.states[reader.version().0 as usize];
            prop_assert_eq!(reader.config(), config);
            prop_assert_eq!(reader.hash(), *hash);
        }
    }

    /// A log that was trimmed up to a snapshot gives the same state as the whole log.
    #[test]
    fn reader_trimmed_log(log in log(), keep in any::<Index>()) {
        let first = keep.index(log.records.len());
        let mut reader = Ledger::default();
        let restored = reader.restore_from_records(&log.records[first..]);
        let covered = log.snapshots.iter().any(|start| *start >= first as u64 && *start > 0);
        prop_assert!(restored || !covered);
        if restored {
            prop_assert_eq!(reader.snapshot(), log.ledger.snapshot());
        }
    }

    /// Equal hashes go with equal states and different hashes with different ones.
    #[test]
    fn hash_tells_states_apart(log in log(), i in any::<Index>(), j in any::<Index>()) {
        let (a, b) = (i.index(log.states.len()), j.index(log.states.len()));
        let (left, right) = (at(&log, a), at(&log, b));
        let mut texts = [left.snapshot(), right.snapshot()];
        for (text, version) in texts.iter_mut().zip([a, b]) {
            *text = text.replace(&format!("\"version\":{version}}}"), "");
        }
        prop_assert_eq!(left.hash() == right.hash(), texts[0] == texts[1]);
    }

    /// Nothing that a configuration holds points at something it does not hold.
    #[test]
    fn state_never_dangles(log in log()) {
        for (config, _) in &log.states {
            prop_assert_eq!(dangling(config), None);
        }
    }

    /// A change is carried out whole or not at all.
    #[test]
    fn change_whole(log in log(), ops in prop::collection::vec(op(), 20)) {
        let mut log = log;
        for (i, op) in ops.into_iter().enumerate() {
            let common::ops::Op::Change { team, entries, .. } = op else {
                continue;
            };
            let before = content(log.ledger.config());
            let team = if team { "a" } else { "b" };
            let outcome = log.change(&format!("whole-{i}"), team, &entries);
            let after = log.ledger.config();
            match outcome {
                Some(ChangeOutcome::Accepted(_)) => {
                    for entry in &entries {
                        prop_assert!(common::ops::is_in_force(after, &entry.body), "{entry:?}");
                    }
                }
                _ => prop_assert_eq!(content(after), before),
            }
        }
    }

    /// Of two operators who edit the same declaration from the same base, exactly one wins and
    /// the other is told why.
    #[test]
    fn race_one_wins(log in log(), route in any::<Index>(), noise in 0..3usize) {
        let mut log = log;
        let routes = log.ledger.config().routes.clone();
        prop_assume!(!routes.is_empty());
        let held = route.get(&routes.values().collect::<Vec<_>>()).to_owned().clone();
        let base = held.offset.0;
        let mut outcomes = Vec::new();
        for (i, timeout) in ["1111ms", "2222ms"].into_iter().enumerate() {
            let service = held.body.service.as_str();
            let name = held.body.name.as_str();
            let body = json!({
                "name": name, "base": base, "route": {"service": service, "timeout": timeout},
            });
            let entry = Entry { base: Base::None, body };
            outcomes.push(log.change(&format!("race-{i}"), held.team.as_str(), &[entry]));
            for _ in 0..noise {
                log.append("{}");
            }
        }
        prop_assert!(matches!(outcomes[0], Some(ChangeOutcome::Accepted(_))), "{outcomes:?}");
        let Some(ChangeOutcome::Refused(_, refusal)) = &outcomes[1] else {
            return Err(TestCaseError::fail("both won"));
        };
        prop_assert!(refusal.stale_base);
    }

    /// A change that is appended again, wherever, changes nothing.
    #[test]
    fn repeat_counts_once(log in log(), index in any::<Index>()) {
        let mut log = log;
        let mut changes = Vec::new();
        for record in &log.records {
            let value = serde_json::from_str::<serde_json::Value>(&record.payload);
            if value.is_ok_and(|value| value["kind"] == "change") {
                changes.push(Arc::clone(&record.payload));
            }
        }
        let repeated = index.get(&changes);
        let before = content(log.ledger.config());
        let hash = log.ledger.hash();
        log.append(repeated);
        prop_assert_eq!(content(log.ledger.config()), before);
        prop_assert_eq!(log.ledger.hash(), hash);
    }
}
