//! Whole states as text, whole or in parts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cyclamen_declarations::generated::{HeldItem, RefusedItem, SnapshotRecord, StateSnapshot};
use cyclamen_declarations::{
    ChangeEntry, DeclarationKind, EntryAction, FORMAT, SLASH_PREFIX_FORMAT, VersionId, parse_json,
};
use cyclamen_types::{ChangeId, ConfigVersion, Offset, TeamName};

use crate::apply::put;
use crate::config::Config;
use crate::hash::{self, Fingerprint};
use crate::ledger::{ChangeOutcome, Refusal, StateHash};
use crate::outcomes::{Outcomes, Recorded};
use crate::payload::{Payload, json, parse, verdict_of};
use crate::record::LogRecord;

/// Bytes of a part's payload beside its text, at most.
const PART_OVERHEAD_BYTES: usize = 400;

/// Least text in a part, in bytes, however small the limit.
const MIN_PART_BYTES: usize = 64;

/// A state that was read from text and found whole.
#[derive(Debug)]
pub(crate) struct Restored {
    pub(crate) config: Config,
    pub(crate) hash: StateHash,
    pub(crate) outcomes: Outcomes,
}

/// The format of a state's snapshots, by the path prefixes of its routes.
fn format_of(config: &Config) -> u32 {
    let mut routes = config.routes.values();
    match routes.any(|held| held.body.matches.path_prefix.ends_with('/')) {
        true => SLASH_PREFIX_FORMAT,
        false => FORMAT,
    }
}

/// Writes a state.
pub(crate) fn write(config: &Config, hash: StateHash, outcomes: &Outcomes) -> String {
    let mut snapshot = StateSnapshot {
        format: Some(format_of(config)),
        version: Some(config.version.0),
        hash: Some(hash.to_string()),
        held: config.items(),
        ..StateSnapshot::default()
    };
    for (id, recorded) in outcomes.oldest_first() {
        let print = recorded.print.0;
        match &recorded.outcome {
            ChangeOutcome::Accepted(offset) => {
                snapshot.accepted.push(format!("{id} {offset} {print}"));
            }
            ChangeOutcome::Refused(offset, refusal) => snapshot.refused.push(RefusedItem {
                id: Some(id.to_string()),
                offset: Some(offset.0),
                print: Some(print),
                faults: refusal.faults.iter().map(ToString::to_string).collect(),
                stale_base: Some(refusal.stale_base),
            }),
        }
    }
    json(&snapshot)
}

/// Reads a state; `None` when it is broken in any way or its hash differs.
pub(crate) fn read(text: &str) -> Option<Restored> {
    let snapshot: StateSnapshot = parse_json(text).ok()?;
    if !matches!(snapshot.format?, FORMAT | SLASH_PREFIX_FORMAT) {
        return None;
    }
    let mut hash = StateHash::default();
    let mut config = Config { version: ConfigVersion(snapshot.version?), ..Config::default() };
    for item in snapshot.held {
        insert(&mut config, item)?;
    }
    for item in config.items() {
        hash.add(hash::of_item(&item));
    }
    let mut outcomes = Outcomes::default();
    for (_, (id, recorded)) in read_recorded(&snapshot.accepted, snapshot.refused)? {
        hash.add(hash::of_recorded(&id, &recorded));
        outcomes.push(id, recorded);
    }
    let whole = hash.to_string() == snapshot.hash? && is_closed(&config);
    whole.then_some(Restored { config, hash, outcomes })
}

/// What is remembered of changes, by offset.
fn read_recorded(
    accepted: &[String],
    refused: Vec<RefusedItem>,
) -> Option<BTreeMap<Offset, (ChangeId, Recorded)>> {
    let mut by_offset = BTreeMap::new();
    for row in accepted {
        let mut fields = row.split(' ');
        let id = fields.next()?.parse().ok()?;
        let offset = Offset(fields.next()?.parse().ok()?);
        let print = Fingerprint(fields.next()?.parse().ok()?);
        let outcome = ChangeOutcome::Accepted(offset);
        by_offset.insert(offset, (id, Recorded { outcome, print }));
    }
    for item in refused {
        let id = item.id?.parse().ok()?;
        let offset = Offset(item.offset?);
        let print = Fingerprint(item.print?);
        let faults = item.faults.into_iter().map(Arc::from).collect();
        let refusal = Refusal { faults, stale_base: item.stale_base? };
        let outcome = ChangeOutcome::Refused(offset, refusal);
        by_offset.insert(offset, (id, Recorded { outcome, print }));
    }
    Some(by_offset)
}

fn insert(config: &mut Config, item: HeldItem) -> Option<()> {
    let offset = Offset(item.offset?);
    let team: TeamName = item.team?.parse().ok()?;
    let entry = ChangeEntry::try_from(item.item?).ok()?;
    let EntryAction::Put(declaration) = entry.action else {
        return None;
    };
    let verdict = match item.verdict {
        Some(verdict) => Some(verdict_of(verdict)?),
        None => None,
    };
    let key = declaration.key();
    put(config, declaration, &team, offset);
    if key.kind == DeclarationKind::Move {
        let held = config.moves.get_mut(key.name.as_ref())?;
        held.order = item.order;
        held.verdict = verdict;
    }
    Some(())
}

/// Whether everything that a declaration points at is held.
fn is_closed(config: &Config) -> bool {
    let has = |service: &_, version: &_| {
        let id = VersionId { service: Clone::clone(service), version: Clone::clone(version) };
        config.versions.contains_key(&id)
    };
    for (name, held) in &config.services {
        if !has(name, &held.body.version) {
            return false;
        }
    }
    for id in config.versions.keys() {
        if !config.services.contains_key(&id.service) {
            return false;
        }
    }
    for held in config.routes.values() {
        let route = &held.body;
        let split = route.split.iter().all(|weighted| has(&route.service, &weighted.version));
        if !config.services.contains_key(&route.service) || !split {
            return false;
        }
    }
    for held in config.moves.values() {
        let mv = &held.held.body;
        if !has(&mv.service, &mv.from) || !has(&mv.service, &mv.to) {
            return false;
        }
    }
    true
}

/// Writes the payloads of the records that carry a state, each at most `max_bytes`.
pub(crate) fn write_parts(
    config: &Config,
    hash: StateHash,
    outcomes: &Outcomes,
    max_bytes: usize,
) -> Vec<String> {
    let text = write(config, hash, outcomes);
    let digest = blake3::hash(text.as_bytes()).to_hex().to_string();
    let room = max_bytes.saturating_sub(PART_OVERHEAD_BYTES).max(MIN_PART_BYTES);
    let parts = cut(&text, room);
    let count = u32::try_from(parts.len()).ok();
    let mut payloads = Vec::new();
    for (part, text) in (0..).zip(parts) {
        payloads.push(json(&sealed(SnapshotRecord {
            format: Some(format_of(config)),
            kind: Some("snapshot".into()),
            version: Some(config.version.0),
            hash: Some(hash.to_string()),
            digest: Some(digest.clone()),
            part: Some(part),
            parts: count,
            text: Some(text.into()),
            seal: None,
        })));
    }
    payloads
}

/// Adds the hash by which a reader tells a part that was altered.
fn sealed(part: SnapshotRecord) -> SnapshotRecord {
    let seal = blake3::hash(json(&part).as_bytes()).to_hex().to_string();
    SnapshotRecord { seal: Some(seal), ..part }
}

fn is_sealed(part: &SnapshotRecord) -> bool {
    let bare = SnapshotRecord { seal: None, ..part.clone() };
    sealed(bare).seal == part.seal
}

/// Cuts a text into parts that take at most `room` bytes each as the inside of a JSON string.
fn cut(text: &str, room: usize) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut bytes = 0;
    for (i, c) in text.char_indices() {
        let width = match c {
            '"' | '\\' => 2,
            c if c.is_control() => 6,
            c => c.len_utf8(),
        };
        if bytes + width > room {
            parts.push(&text[start..i]);
            start = i;
            bytes = 0;
        }
        bytes += width;
    }
    parts.push(&text[start..]);
    parts
}

/// Parts by number.
type Parts = BTreeMap<u32, SnapshotRecord>;

/// The newest whole state that these records carry and that reaches at least the offset of the
/// first of them.
pub(crate) fn newest_in(records: &[LogRecord]) -> Option<Restored> {
    for ((version, digest), parts) in parts_in(records).into_iter().rev() {
        let Some(text) = join(&digest, parts) else {
            continue;
        };
        let Some(restored) = read(&text) else {
            continue;
        };
        if restored.config.version.0 == version {
            return Some(restored);
        }
    }
    None
}

/// The parts of snapshots in these records, by version and digest of the whole text.
fn parts_in(records: &[LogRecord]) -> BTreeMap<(u64, String), Parts> {
    let mut by_text: BTreeMap<(u64, String), Parts> = BTreeMap::new();
    let first = records.first().map_or(Offset(0), |record| record.offset);
    for record in records {
        let Payload::Snapshot(part) = parse(&record.payload) else {
            continue;
        };
        if !is_sealed(&part) {
            continue;
        }
        let (Some(version), Some(digest), Some(number)) =
            (part.version, part.digest.clone(), part.part)
        else {
            continue;
        };
        if version >= first.0 && version <= record.offset.0 {
            by_text.entry((version, digest)).or_default().insert(number, part);
        }
    }
    by_text
}

/// The text of all parts; `None` when one is missing or the digest differs.
fn join(digest: &str, parts: Parts) -> Option<String> {
    let wanted = parts.values().next()?.parts?;
    let numbers: BTreeSet<u32> = parts.keys().copied().collect();
    if !numbers.into_iter().eq(0..wanted) {
        return None;
    }
    let mut text = String::new();
    for part in parts.into_values() {
        text.push_str(&part.text?);
    }
    (blake3::hash(text.as_bytes()).to_hex().as_str() == digest).then_some(text)
}
