//! Random logs: changes, verdicts, repeats, garbage and snapshots, over few names.

use std::fmt;
use std::sync::Arc;

use cyclamen_declarations::generated::Item;
use cyclamen_declarations::{ChangeEntry, EntryAction};
use cyclamen_ledger::{
    ChangeOutcome, Config, FoldOutcome, Ledger, LogRecord, MoveId, StateHash, VerdictKind,
};
use cyclamen_types::Offset;
use proptest::prelude::*;
use proptest::sample::Index;
use serde_json::{Value, json};

use super::verdict_of;

/// Largest payload of a part of a snapshot in these logs, in bytes.
const PART_BYTES: usize = 2_000;

/// Which base an item names.
#[derive(Clone, Copy, Debug)]
pub enum Base {
    None,
    Current,
    Older,
}

/// One item of a change.
#[derive(Clone, Debug)]
pub struct Entry {
    pub base: Base,
    pub body: Value,
}

/// One step of a log.
#[derive(Clone, Debug)]
pub enum Op {
    Change { id: u8, team: bool, entries: Vec<Entry> },
    Verdict { mv: u8, older: bool, done: bool },
    Repeat(Index),
    Altered(Index, Index, u8),
    Garbage(String),
    Snapshot,
}

/// A log with the state after each record.
#[derive(Default)]
pub struct Log {
    pub records: Vec<LogRecord>,
    /// States by version, from the empty one.
    pub states: Vec<(Arc<Config>, StateHash)>,
    /// Offsets at which a whole snapshot starts.
    pub snapshots: Vec<u64>,
    pub ledger: Ledger,
}

/// Every service with every version, and one route to each service.
pub fn seed_entries() -> Vec<Entry> {
    let mut entries = Vec::new();
    for s in 0..3 {
        entries.push(json!({"name": format!("s{s}"), "service": {"version": "v0"}}));
        entries.push(json!({"name": format!("r{s}"), "route": {"service": format!("s{s}")}}));
        for v in 0..3 {
            entries.push(json!({"name": format!("s{s}/v{v}"), "version": {}}));
        }
    }
    entries.into_iter().map(|body| Entry { base: Base::None, body }).collect()
}

fn put() -> impl Strategy<Value = Value> {
    let index = 0..3u8;
    prop_oneof![
        (index.clone(), index.clone()).prop_map(
            |(s, v)| json!({"name": format!("s{s}"), "service": {"version": format!("v{v}")}})
        ),
        (index.clone(), index.clone(), any::<bool>()).prop_map(|(s, v, labels)| {
            let labels = if labels { json!({"a": "b"}) } else { json!({}) };
            json!({"name": format!("s{s}/v{v}"), "version": {"labels": labels}})
        }),
        (0..4u8, index.clone(), index.clone(), 0..3u32).prop_map(|(r, s, v, weight)| {
            let split = json!([{"version": format!("v{v}"), "weight": weight}]);
            let split = if weight == 0 { json!([]) } else { split };
            json!({"name": format!("r{r}"), "route": {"service": format!("s{s}"), "split": split}})
        }),
        (0..2u8, 0..5u32).prop_map(
            |(p, q)| json!({"name": format!("p{p}"), "policy": {"limits": {"queue": q}}})
        ),
    ]
}

fn mv() -> impl Strategy<Value = Value> {
    let from = prop_oneof![5 => Just(0u8), 1 => 1..3u8];
    (0..3u8, 0..3u8, from, 0..3u8, 1..3u8).prop_map(|(m, s, from, to, end)| {
        json!({"name": format!("m{m}"), "move": {
            "service": format!("s{s}"), "from": format!("v{from}"), "to": format!("v{to}"),
            "start": "2027-01-01T00:00:00Z", "deadline": format!("2027-01-0{end}T01:00:00Z"),
        }})
    })
}

fn deletion() -> impl Strategy<Value = Value> {
    let name = prop_oneof![
        (0..3u8).prop_map(|s| ("service", format!("s{s}"))),
        (0..3u8, 0..3u8).prop_map(|(s, v)| ("version", format!("s{s}/v{v}"))),
        (0..4u8).prop_map(|r| ("route", format!("r{r}"))),
        (0..2u8).prop_map(|p| ("policy", format!("p{p}"))),
        (0..3u8).prop_map(|m| ("move", format!("m{m}"))),
    ];
    name.prop_map(|(kind, name)| json!({"delete": {"kind": kind, "name": name}}))
}

fn order() -> impl Strategy<Value = Value> {
    (0..3u8, prop::sample::select(vec!["pause", "resume", "hasten", "take-back"]))
        .prop_map(|(m, action)| json!({"order": {"move": format!("m{m}"), "action": action}}))
}

fn entry() -> impl Strategy<Value = Entry> {
    let base = prop_oneof![4 => Just(Base::None), 2 => Just(Base::Current), 1 => Just(Base::Older)];
    let body = prop_oneof![5 => put(), 5 => mv(), 2 => deletion(), 1 => order()];
    (base, body).prop_map(|(base, body)| Entry { base, body })
}

/// One step of a log.
pub fn op() -> impl Strategy<Value = Op> {
    let entries = prop::collection::vec(entry(), 1..3);
    let garbage = prop_oneof![
        "\\PC{0,20}",
        r#"\{"format":[012],"kind":"(change|verdict|snapshot|peers|later)"\}"#,
        r#"\{"format":1,"kind":"change","id":"c[0-9]","team":"a","declarations":\[[0-9]\]\}"#,
    ];
    prop_oneof![
        10 => (any::<u8>(), prop::bool::weighted(0.9), entries)
            .prop_map(|(id, team, entries)| Op::Change { id, team, entries }),
        8 => (0..3u8, prop::bool::weighted(0.2), any::<bool>())
            .prop_map(|(mv, older, done)| Op::Verdict { mv, older, done }),
        2 => any::<Index>().prop_map(Op::Repeat),
        2 => (any::<Index>(), any::<Index>(), any::<u8>())
            .prop_map(|(i, at, byte)| Op::Altered(i, at, byte)),
        1 => garbage.prop_map(Op::Garbage),
        2 => Just(Op::Snapshot),
    ]
}

/// A log of random steps, after a first record that declares everything.
pub fn log() -> impl Strategy<Value = Log> {
    prop::collection::vec(op(), 1..40).prop_map(|ops| {
        let mut log = Log::default();
        log.states.push((Arc::clone(log.ledger.config()), log.ledger.hash()));
        log.change("seed", "a", &seed_entries());
        for op in ops {
            log.step(op);
        }
        log
    })
}

impl fmt::Debug for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.records.iter().map(|record| &record.payload)).finish()
    }
}

impl Log {
    /// Appends a record and folds it.
    pub fn append(&mut self, payload: &str) -> FoldOutcome {
        let offset = Offset(self.records.len() as u64);
        let record = LogRecord { offset, payload: payload.into() };
        let outcome = self.ledger.fold(&record);
        self.records.push(record);
        self.states.push((Arc::clone(self.ledger.config()), self.ledger.hash()));
        outcome
    }

    /// Appends a change; returns what became of this very record, if it was not a repeat.
    pub fn change(&mut self, id: &str, team: &str, entries: &[Entry]) -> Option<ChangeOutcome> {
        let mut items = Vec::new();
        for entry in entries {
            items.push(self.with_base(entry));
        }
        let payload = json!({
            "format": 1, "kind": "change", "id": id, "team": team, "declarations": items,
        });
        let known = self.ledger.outcome(&id.parse().expect("an id")).is_some();
        self.append(&payload.to_string());
        let outcome = self.ledger.outcome(&id.parse().expect("an id")).cloned();
        if known { None } else { outcome }
    }

    fn with_base(&self, entry: &Entry) -> Value {
        let mut body = entry.body.clone();
        let current = held_offset(self.ledger.config(), &body);
        let base = match entry.base {
            Base::None => None,
            Base::Current => current,
            Base::Older => Some(current.unwrap_or(1).saturating_sub(1)),
        };
        if let Some(base) = base {
            body["base"] = base.into();
        }
        body
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Change { id, team, entries } => {
                let team = if team { "a" } else { "b" };
                self.change(&format!("c{id}"), team, &entries);
            }
            Op::Verdict { mv, older, done } => {
                let name = format!("m{mv}").parse().expect("a name");
                let held = self.ledger.config().moves.get(&name);
                let declared = held.map_or(Offset(0), |held| held.held.offset);
                let declared = Offset(declared.0.saturating_sub(older.into()));
                let kind = if done { VerdictKind::Done } else { VerdictKind::TakenBack };
                let id = MoveId { name, declared };
                self.append(&Ledger::verdict_payload(&id, &verdict_of(kind)));
            }
            Op::Repeat(index) => {
                let payload = Arc::clone(&index.get(&self.records).payload);
                self.append(&payload);
            }
            Op::Altered(index, at, byte) => {
                let mut bytes = index.get(&self.records).payload.as_bytes().to_vec();
                if !bytes.is_empty() {
                    *at.get_mut(&mut bytes) = byte;
                }
                self.append(&String::from_utf8_lossy(&bytes));
            }
            Op::Garbage(text) => {
                self.append(&text);
            }
            Op::Snapshot => {
                self.snapshots.push(self.records.len() as u64);
                for payload in self.ledger.snapshot_payloads(PART_BYTES) {
                    self.append(&payload);
                }
            }
        }
    }
}

/// The offset that wrote the declaration of an item last.
fn held_offset(config: &Config, body: &Value) -> Option<u64> {
    let name = body["name"].as_str().or_else(|| body["delete"]["name"].as_str());
    let name = name.or_else(|| body["order"]["move"].as_str())?;
    for item in config.items() {
        let held = item.item?;
        if held.name.as_deref() == Some(name) {
            return item.offset;
        }
    }
    None
}

/// Whether a configuration is as an accepted item wanted it.
pub fn is_in_force(config: &Config, body: &Value) -> bool {
    let item: Item = serde_json::from_value(body.clone()).expect("an item");
    let entry = ChangeEntry::try_from(item).expect("a checked item");
    let held = config.item(&entry.action.key());
    match &entry.action {
        EntryAction::Put(declaration) => {
            held.is_some_and(|held| json!(held.item) == json!(Item::from(declaration)))
        }
        EntryAction::Delete(_) => held.is_none(),
        EntryAction::Order(order) => held.is_some_and(|held| held.order == Some(order.action)),
    }
}
