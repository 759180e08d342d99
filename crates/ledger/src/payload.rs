//! Payloads of records: text to typed records and back.

use cyclamen_declarations::generated::{
    ChangeRecord, RecordHead, SnapshotRecord, VerdictItem, VerdictRecord,
};
use cyclamen_declarations::{Change, FORMAT, Faults, SLASH_PREFIX_FORMAT, parse_json};
use cyclamen_types::{ChangeId, InstanceName, MoveName, Offset, Wall};

use crate::config::{MoveId, MoveVerdict, VerdictKind};

/// Longest reason of a verdict, in characters; the rest is cut off.
const MAX_REASON_CHARS: usize = 1_000;

/// A record as the fold sees it.
#[derive(Debug)]
pub(crate) enum Payload {
    Change(Change),
    /// A change with faults of its own. It has an id where one could be read.
    BadChange(Option<ChangeId>, Faults),
    Verdict(MoveId, MoveVerdict),
    Snapshot(SnapshotRecord),
    /// Of a format or kind that this release does not know, or that the fold skips.
    Unknown,
    Peers,
    Malformed,
}

pub(crate) fn parse(text: &str) -> Payload {
    let Ok(head) = serde_json::from_str::<RecordHead>(text) else {
        return Payload::Malformed;
    };
    let (Some(format), Some(kind)) = (head.format, head.kind) else {
        return Payload::Malformed;
    };
    match (kind.as_str(), format) {
        ("change", FORMAT | SLASH_PREFIX_FORMAT) => parse_change(text),
        ("verdict", FORMAT) => parse_verdict(text).unwrap_or(Payload::Malformed),
        ("snapshot", FORMAT | SLASH_PREFIX_FORMAT) => {
            parse_json(text).map_or(Payload::Malformed, Payload::Snapshot)
        }
        ("peers", FORMAT) => Payload::Peers,
        _ => Payload::Unknown,
    }
}

fn parse_change(text: &str) -> Payload {
    let record = match parse_json::<ChangeRecord>(text) {
        Ok(record) => record,
        Err(faults) => return Payload::BadChange(change_id(text), faults),
    };
    let id = record.id.as_deref().and_then(|id| id.parse().ok());
    match Change::try_from(record) {
        Ok(change) => Payload::Change(change),
        Err(faults) => Payload::BadChange(id, faults),
    }
}

/// The id of a change whose record has faults of shape.
fn change_id(text: &str) -> Option<ChangeId> {
    let value: serde_json::Value = serde_json::from_str(text).ok()?;
    value.get("id")?.as_str()?.parse().ok()
}

fn parse_verdict(text: &str) -> Option<Payload> {
    let record: VerdictRecord = parse_json(text).ok()?;
    let name: MoveName = record.move_?.parse().ok()?;
    let id = MoveId { name, declared: Offset(record.declared?) };
    let item = VerdictItem {
        verdict: record.verdict,
        reason: record.reason,
        by: record.by,
        at_ms: record.at_ms,
    };
    Some(Payload::Verdict(id, verdict_of(item)?))
}

/// The verdict of a border type; `None` when something is missing or malformed.
pub(crate) fn verdict_of(item: VerdictItem) -> Option<MoveVerdict> {
    let kind = match item.verdict?.as_str() {
        "done" => VerdictKind::Done,
        "taken-back" => VerdictKind::TakenBack,
        _ => return None,
    };
    let by: InstanceName = item.by?.parse().ok()?;
    let reason: String = item.reason?.chars().take(MAX_REASON_CHARS).collect();
    Some(MoveVerdict { kind, reason: reason.into(), by, at: Wall(item.at_ms?) })
}

/// The border type of a verdict.
pub(crate) fn verdict_item(verdict: &MoveVerdict) -> VerdictItem {
    let kind = match verdict.kind {
        VerdictKind::Done => "done",
        VerdictKind::TakenBack => "taken-back",
    };
    VerdictItem {
        verdict: Some(kind.into()),
        reason: Some(verdict.reason.to_string()),
        by: Some(verdict.by.to_string()),
        at_ms: Some(verdict.at.0),
    }
}

pub(crate) fn change_text(change: &Change) -> String {
    json(&ChangeRecord::from(change))
}

pub(crate) fn verdict_text(id: &MoveId, verdict: &MoveVerdict) -> String {
    let item = verdict_item(verdict);
    json(&VerdictRecord {
        format: Some(FORMAT),
        kind: Some("verdict".into()),
        move_: Some(id.name.to_string()),
        declared: Some(id.declared.0),
        verdict: item.verdict,
        reason: item.reason,
        by: item.by,
        at_ms: item.at_ms,
    })
}

/// JSON of a border type; these always have one.
pub(crate) fn json<T: serde::Serialize>(border: &T) -> String {
    serde_json::to_string(border).unwrap_or_default()
}
