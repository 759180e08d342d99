//! Typed access to one mapping of the settings tree.
//!
//! A [`Section`] wraps a YAML mapping, reads its keys with the parsers of
//! [`values`](super::values), and adds every fault to a [`FaultList`] instead of stopping at the
//! first one.

use std::cell::RefCell;

use serde_yaml_ng::{Mapping, Value};

use super::fault::SettingsFault;

/// Why a value is invalid for its key, and how to correct it.
pub(super) struct InvalidValue {
    pub(super) problem: String,
    pub(super) remedy: String,
}

impl InvalidValue {
    pub(super) fn new(problem: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self { problem: problem.into(), remedy: remedy.into() }
    }
}

/// The faults found so far, shared by all sections of one file.
#[derive(Default)]
pub(super) struct FaultList(RefCell<Vec<SettingsFault>>);

impl FaultList {
    pub(super) fn push(&self, place: &str, invalid: InvalidValue) {
        let InvalidValue { problem, remedy } = invalid;
        self.0.borrow_mut().push(SettingsFault { place: place.into(), problem, remedy });
    }

    pub(super) fn into_inner(self) -> Vec<SettingsFault> {
        self.0.into_inner()
    }
}

/// One mapping of the settings tree.
///
/// A section remembers which keys were read; [`Section::finish`] reports all others as unknown.
pub(super) struct Section<'a> {
    place: String,
    map: Option<&'a Mapping>,
    known_keys: Vec<&'static str>,
    faults: &'a FaultList,
}

impl<'a> Section<'a> {
    /// The section whose path in the file is `place`, empty for the root.
    ///
    /// An absent or null `value` gives an empty section; any other value that is not a mapping is
    /// reported and also read as empty.
    pub(super) fn new(place: String, value: Option<&'a Value>, faults: &'a FaultList) -> Self {
        let map = value.and_then(Value::as_mapping);
        let absent = value.is_none_or(Value::is_null);
        if map.is_none() && !absent {
            let place = if place.is_empty() { "the file" } else { place.as_str() };
            faults.push(place, InvalidValue::new("not a mapping", "write `key: value` lines"));
        }
        Self { place, map, known_keys: Vec::new(), faults }
    }

    /// The section under `key`, empty if the key is absent.
    pub(super) fn section(&mut self, key: &'static str) -> Section<'a> {
        let value = self.lookup(key);
        Section::new(self.place_of_key(key), value, self.faults)
    }

    /// The section under `key`, or `None` if the key is absent.
    pub(super) fn section_if_present(&mut self, key: &'static str) -> Option<Section<'a>> {
        let value = self.lookup(key)?;
        Some(Section::new(self.place_of_key(key), Some(value), self.faults))
    }

    /// The value of a required key; a missing or invalid one is reported.
    pub(super) fn required<T>(
        &mut self,
        key: &'static str,
        remedy: &str,
        parse: impl FnOnce(&Value) -> Result<T, InvalidValue>,
    ) -> Option<T> {
        if self.lookup(key).is_none() {
            self.fault(key, InvalidValue::new("missing", remedy));
            return None;
        }
        self.optional(key, parse)
    }

    /// The value of an optional key; an invalid one is reported and read as absent.
    pub(super) fn optional<T>(
        &mut self,
        key: &'static str,
        parse: impl FnOnce(&Value) -> Result<T, InvalidValue>,
    ) -> Option<T> {
        let value = self.lookup(key)?;
        match parse(value) {
            Ok(parsed) => Some(parsed),
            Err(invalid) => {
                self.fault(key, invalid);
                None
            }
        }
    }

    /// Sets `target` to the value of a key, if it is present and valid.
    pub(super) fn overwrite<T>(
        &mut self,
        key: &'static str,
        target: &mut T,
        parse: impl FnOnce(&Value) -> Result<T, InvalidValue>,
    ) {
        if let Some(value) = self.optional(key, parse) {
            *target = value;
        }
    }

    /// Whether a key is present and not null.
    pub(super) fn has(&self, key: &str) -> bool {
        self.map.is_some_and(|map| map.get(key).is_some_and(|value| !value.is_null()))
    }

    /// The items of a list, each with its path in the file; an absent list is empty.
    pub(super) fn items(&mut self, key: &'static str) -> Vec<(String, &'a Value)> {
        let Some(value) = self.lookup(key) else {
            return Vec::new();
        };
        let Some(list) = value.as_sequence() else {
            self.fault(key, InvalidValue::new("not a list", "write `- item` lines"));
            return Vec::new();
        };
        let place = self.place_of_key(key);
        let mut items = Vec::new();
        for (index, item) in list.iter().enumerate() {
            items.push((format!("{place}[{index}]"), item));
        }
        items
    }

    /// Reports a fault of the value under `key`.
    pub(super) fn fault(&self, key: &str, invalid: InvalidValue) {
        self.faults.push(&self.place_of_key(key), invalid);
    }

    /// Reports a fault of the section as a whole.
    pub(super) fn section_fault(&self, invalid: InvalidValue) {
        self.faults.push(&self.place, invalid);
    }

    /// Reports every key of the mapping that was never read.
    pub(super) fn finish(self) {
        let Some(map) = self.map else {
            return;
        };
        for key in map.keys() {
            let name = key_text(key);
            if self.known_keys.iter().any(|known| *known == name) {
                continue;
            }
            let remedy = format!("remove it; known keys: {}", self.known_keys.join(", "));
            self.fault(&name, InvalidValue::new("unknown key", remedy));
        }
    }

    /// The value under `key`, unless absent or null; marks the key as known.
    fn lookup(&mut self, key: &'static str) -> Option<&'a Value> {
        if !self.known_keys.contains(&key) {
            self.known_keys.push(key);
        }
        self.map?.get(key).filter(|value| !value.is_null())
    }

    fn place_of_key(&self, key: &str) -> String {
        match self.place.as_str() {
            "" => key.into(),
            place => format!("{place}.{key}"),
        }
    }
}

fn key_text(key: &Value) -> String {
    match key {
        Value::String(text) => text.clone(),
        other => serde_yaml_ng::to_string(other).unwrap_or_default().trim().into(),
    }
}
