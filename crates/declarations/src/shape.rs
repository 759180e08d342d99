//! Raw values into border types, with all faults of shape at once.

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};

use crate::fault::{Faults, MAX_FAULTS, Problem};

/// Reads a border type. At each fault the key at fault is dropped and the rest is read again, so
/// that one pass over the text shows all of them. `None` when nothing of the value could be read.
pub(crate) fn read_border<T: DeserializeOwned>(mut value: Value, faults: &mut Faults) -> Option<T> {
    for _ in 0..MAX_FAULTS {
        let error = match serde_path_to_error::deserialize(&value) {
            Ok(border) => return Some(border),
            Err(error) => error,
        };
        let place = place_of(error.path());
        faults.push(&place, Problem::Shape(message(&error.inner().to_string())));
        if !drop_key(&mut value, error.path()) {
            return None;
        }
    }
    faults.push("", Problem::TooMany);
    None
}

/// How the deserializer names numbers, and how operators do.
const NUMBERS: [(&str, &str); 3] = [
    ("expected i32", "expected a whole number"),
    ("expected u32", "expected a whole number, 0 or more"),
    ("expected u64", "expected a whole number, 0 or more"),
];

fn message(text: &str) -> String {
    if text.starts_with("invalid type") && text.ends_with("expected a string") {
        return format!("{text}: put it in quotes");
    }
    if text.starts_with("unknown field") {
        return format!("{text}: correct it or remove it");
    }
    for (theirs, ours) in NUMBERS {
        if let Some(start) = text.strip_suffix(theirs) {
            return format!("{start}{ours}: correct it");
        }
    }
    format!("{text}: correct it")
}

fn place_of(path: &Path) -> String {
    let text = path.to_string();
    if text == "." { String::new() } else { text }
}

/// Removes the innermost key on `path`; false when there is none.
fn drop_key(value: &mut Value, path: &Path) -> bool {
    let segments: Vec<&Segment> = path.iter().collect();
    let Some(last) = segments.iter().rposition(|s| matches!(s, Segment::Map { .. })) else {
        return false;
    };
    let mut node = value;
    for segment in &segments[..last] {
        let next = match segment {
            Segment::Seq { index } => node.get_mut(*index),
            Segment::Map { key } => node.get_mut(key.as_str()),
            Segment::Enum { .. } | Segment::Unknown => None,
        };
        let Some(next) = next else {
            return false;
        };
        node = next;
    }
    let (Segment::Map { key }, Value::Object(map)) = (segments[last], node) else {
        return false;
    };
    map.remove(key.as_str()).is_some()
}
