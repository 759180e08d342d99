//! Whole changes: from an operator's text, to and from records of the log.

use cyclamen_types::{ChangeId, TeamName, Wall};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::checked::Change;
use crate::entries::check_items;
use crate::fault::{Fault, Faults, MAX_ITEMS, MAX_NESTING, Problem};
use crate::generated::{ChangeFile, ChangeRecord, Item, MoveBody};
use crate::shape::read_border;
use crate::text::{format_time, resolve_time};

/// The format of records that every release reads.
pub const FORMAT: u32 = 1;

/// The format of records with a route whose path prefix ends with a slash. It is used for these
/// only: in records of [`FORMAT`] the slash has no meaning, so releases that know no other format
/// have to skip them. Format 2 is not used: the golden log of format 1 holds a record of it.
pub const SLASH_PREFIX_FORMAT: u32 = 3;

/// Reads a change file (YAML). Times such as `+30s` count from `now`; a move without a start
/// starts at `now`.
///
/// # Errors
/// All faults of the file, each with its place and remedy.
pub fn parse_change(yaml: &str, id: ChangeId, team: TeamName, now: Wall) -> Result<Change, Faults> {
    let mut faults = Faults::default();
    let Some(value) = faults.take("", parse_yaml(yaml)) else {
        return Err(faults);
    };
    let file: ChangeFile = read_border(value, &mut faults).unwrap_or_default();
    let mut semantic = Faults::default();
    let mut items = file.declarations;
    for (i, item) in items.iter_mut().enumerate() {
        resolve_item(item, &format!("declarations[{i}]"), now, &mut semantic);
    }
    check_whole(id, team, items, faults, semantic)
}

/// Reads a change from a record's border type.
///
/// # Errors
/// All faults of the record.
impl TryFrom<ChangeRecord> for Change {
    type Error = Faults;

    fn try_from(record: ChangeRecord) -> Result<Self, Faults> {
        let mut faults = Faults::default();
        let mut items = record.declarations;
        if record.format == Some(FORMAT) {
            items.iter_mut().for_each(trim_path_prefix);
        }
        let id = faults.name("id", record.id);
        let team = faults.name("team", record.team);
        let (Some(id), Some(team)) = (id, team) else {
            return Err(faults);
        };
        check_whole(id, team, items, faults, Faults::default())
    }
}

impl From<&Change> for ChangeRecord {
    fn from(change: &Change) -> Self {
        let declarations: Vec<Item> = change.entries.iter().map(Item::from).collect();
        let format = match declarations.iter().any(has_slash_prefix) {
            true => SLASH_PREFIX_FORMAT,
            false => FORMAT,
        };
        Self {
            format: Some(format),
            kind: Some("change".into()),
            id: Some(change.id.to_string()),
            team: Some(change.team.to_string()),
            declarations,
        }
    }
}

/// Whether an item is a route whose path prefix ends with a slash.
fn has_slash_prefix(item: &Item) -> bool {
    let matches = item.route.as_ref().and_then(|route| route.match_.as_ref());
    let prefix = matches.and_then(|matches| matches.path_prefix.as_ref());
    prefix.is_some_and(|prefix| prefix.ends_with('/'))
}

/// Takes the slashes off the end of a route's path prefix.
fn trim_path_prefix(item: &mut Item) {
    let matches = item.route.as_mut().and_then(|route| route.match_.as_mut());
    if let Some(prefix) = matches.and_then(|matches| matches.path_prefix.as_mut()) {
        prefix.truncate(prefix.trim_end_matches('/').len());
    }
}

/// Reads a border type from JSON text.
///
/// # Errors
/// All faults of shape.
pub fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, Faults> {
    if let Ok(border) = serde_json::from_str(text) {
        return Ok(border);
    }
    let mut faults = Faults::default();
    let parsed = serde_json::from_str(text).map_err(|e| Problem::Syntax(e.to_string()));
    let Some(value) = faults.take::<Value, _>("", parsed) else {
        return Err(faults);
    };
    let border = read_border(value, &mut faults);
    match border {
        Some(border) if faults.0.is_empty() => Ok(border),
        _ => Err(faults),
    }
}

fn parse_yaml(yaml: &str) -> Result<Value, Problem> {
    if nesting(yaml) > MAX_NESTING {
        return Err(Problem::Nesting);
    }
    let syntax = |message: String| Problem::Syntax(message);
    let value: serde_yaml_ng::Value =
        serde_yaml_ng::from_str(yaml).map_err(|e| syntax(e.to_string()))?;
    serde_json::to_value(value).map_err(|e| syntax(e.to_string()))
}

/// The most brackets open at a time, wherever they stand.
fn nesting(yaml: &str) -> usize {
    let mut open: usize = 0;
    let mut most = 0;
    for byte in yaml.bytes() {
        match byte {
            b'[' | b'{' => open += 1,
            b']' | b'}' => open = open.saturating_sub(1),
            _ => {}
        }
        most = most.max(open);
    }
    most
}

fn check_whole(
    id: ChangeId,
    team: TeamName,
    items: Vec<Item>,
    mut faults: Faults,
    mut semantic: Faults,
) -> Result<Change, Faults> {
    if items.is_empty() {
        semantic.push("declarations", Problem::Empty);
    }
    if items.len() > MAX_ITEMS {
        semantic.push("declarations", Problem::TooLong(items.len()));
        return Err(semantic);
    }
    let entries = check_items(items, &mut semantic);
    for fault in semantic.0 {
        if !is_known(&faults, &fault) {
            faults.0.push(fault);
        }
    }
    faults.0.sort_by_key(|fault| item_of(&fault.place));
    faults.or(Change { id, team, entries })
}

/// The number of the item that a place lies in; `None` outside the items.
fn item_of(place: &str) -> Option<usize> {
    let (number, _) = place.strip_prefix("declarations[")?.split_once(']')?;
    number.parse().ok()
}

/// Whether a fault only follows from one already reported, because what it misses was dropped.
fn is_known(faults: &Faults, fault: &Fault) -> bool {
    let misses = matches!(
        fault.problem,
        Problem::Missing | Problem::Empty | Problem::Kinds(0) | Problem::NoWeight
    );
    for known in &faults.0 {
        let Some(rest) = known.place.strip_prefix(fault.place.as_ref()) else {
            continue;
        };
        if rest.is_empty() || misses && rest.starts_with(['.', '[']) {
            return true;
        }
    }
    false
}

/// Replaces relative times by absolute ones.
fn resolve_item(item: &mut Item, place: &str, now: Wall, faults: &mut Faults) {
    let Some(MoveBody { start, deadline, .. }) = &mut item.move_ else {
        return;
    };
    start.get_or_insert_with(|| "+0s".into());
    for (key, time) in [("start", start), ("deadline", deadline)] {
        let Some(text) = time else {
            continue;
        };
        match resolve_time(text, now) {
            Ok(resolved) => *text = format_time(resolved),
            Err(problem) => {
                faults.push(&format!("{place}.move.{key}"), problem);
            }
        }
    }
}
