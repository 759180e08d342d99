//! Reads one mapping of the settings tree and collects its faults.

use std::cell::RefCell;

use serde_yaml_ng::{Mapping, Value};

use super::fault::SettingsFault;

/// Why a value does not fit its key.
pub(super) struct Misfit {
    pub(super) problem: String,
    pub(super) remedy: String,
}

impl Misfit {
    pub(super) fn new(problem: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self { problem: problem.into(), remedy: remedy.into() }
    }
}

/// The faults found so far; shared by all sections of one file.
#[derive(Default)]
pub(super) struct FaultList(RefCell<Vec<SettingsFault>>);

impl FaultList {
    pub(super) fn push(&self, place: &str, misfit: Misfit) {
        let Misfit { problem, remedy } = misfit;
        self.0.borrow_mut().push(SettingsFault { place: place.into(), problem, remedy });
    }

    pub(super) fn into_inner(self) -> Vec<SettingsFault> {
        self.0.into_inner()
    }
}

/// One mapping of the tree. [`Section::end`] reports the keys that nobody asked for.
pub(super) struct Section<'a> {
    place: String,
    map: Option<&'a Mapping>,
    known: Vec<&'static str>,
    faults: &'a FaultList,
}

impl<'a> Section<'a> {
    /// The section at `place`; an absent one reads as empty.
    pub(super) fn new(place: String, value: Option<&'a Value>, faults: &'a FaultList) -> Self {
        let map = value.and_then(Value::as_mapping);
        let absent = value.is_none_or(Value::is_null);
        if map.is_none() && !absent {
            let shown = if place.is_empty() { "the file" } else { place.as_str() };
            faults.push(shown, Misfit::new("not a mapping", "write `key: value` lines"));
        }
        Self { place, map, known: Vec::new(), faults }
    }

    /// The section under `key`.
    pub(super) fn section(&mut self, key: &'static str) -> Section<'a> {
        let value = self.take(key);
        Section::new(self.place_of(key), value, self.faults)
    }

    /// The section under `key` when it is there.
    pub(super) fn section_if_present(&mut self, key: &'static str) -> Option<Section<'a>> {
        let value = self.take(key)?;
        Some(Section::new(self.place_of(key), Some(value), self.faults))
    }

    /// The value of a key that has to be there.
    pub(super) fn required<T>(
        &mut self,
        key: &'static str,
        remedy: &str,
        parse: impl FnOnce(&Value) -> Result<T, Misfit>,
    ) -> Option<T> {
        if self.take(key).is_none() {
            self.fault(key, Misfit::new("missing", remedy));
            return None;
        }
        self.optional(key, parse)
    }

    /// The value of a key that may be absent; a faulty one is reported and read as absent.
    pub(super) fn optional<T>(
        &mut self,
        key: &'static str,
        parse: impl FnOnce(&Value) -> Result<T, Misfit>,
    ) -> Option<T> {
        let value = self.take(key)?;
        match parse(value) {
            Ok(parsed) => Some(parsed),
            Err(misfit) => {
                self.fault(key, misfit);
                None
            }
        }
    }

    /// Replaces `target` by the value of a key when it is there.
    pub(super) fn overwrite<T>(
        &mut self,
        key: &'static str,
        target: &mut T,
        parse: impl FnOnce(&Value) -> Result<T, Misfit>,
    ) {
        if let Some(value) = self.optional(key, parse) {
            *target = value;
        }
    }

    /// Whether a key is there.
    pub(super) fn has(&self, key: &str) -> bool {
        self.map.is_some_and(|map| map.get(key).is_some_and(|value| !value.is_null()))
    }

    /// The items of a list, each with its place; an absent list is empty.
    pub(super) fn items(&mut self, key: &'static str) -> Vec<(String, &'a Value)> {
        let Some(value) = self.take(key) else {
            return Vec::new();
        };
        let Some(list) = value.as_sequence() else {
            self.fault(key, Misfit::new("not a list", "write `- item` lines"));
            return Vec::new();
        };
        let place = self.place_of(key);
        let mut items = Vec::new();
        for (index, item) in list.iter().enumerate() {
            items.push((format!("{place}[{index}]"), item));
        }
        items
    }

    /// Reports a fault of a key.
    pub(super) fn fault(&self, key: &str, misfit: Misfit) {
        self.faults.push(&self.place_of(key), misfit);
    }

    /// Reports a fault of the section itself.
    pub(super) fn own_fault(&self, misfit: Misfit) {
        self.faults.push(&self.place, misfit);
    }

    /// Reports the keys that nobody asked for.
    pub(super) fn end(self) {
        let Some(map) = self.map else {
            return;
        };
        for key in map.keys() {
            let shown = shown_key(key);
            if self.known.iter().any(|known| *known == shown) {
                continue;
            }
            let remedy = format!("remove it; known here: {}", self.known.join(", "));
            self.fault(&shown, Misfit::new("unknown key", remedy));
        }
    }

    fn take(&mut self, key: &'static str) -> Option<&'a Value> {
        if !self.known.contains(&key) {
            self.known.push(key);
        }
        self.map?.get(key).filter(|value| !value.is_null())
    }

    fn place_of(&self, key: &str) -> String {
        match self.place.as_str() {
            "" => key.into(),
            place => format!("{place}.{key}"),
        }
    }
}

fn shown_key(key: &Value) -> String {
    match key {
        Value::String(text) => text.clone(),
        other => serde_yaml_ng::to_string(other).unwrap_or_default().trim().into(),
    }
}
