//! The shape of a chart file.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;

/// A chart file as written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawChart {
    pub(crate) name: Arc<str>,
    pub(crate) events: Vec<Arc<str>>,
    pub(crate) states: Vec<RawState>,
}

/// A state as written: its transitions by event.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawState {
    pub(crate) name: Arc<str>,
    pub(crate) on: BTreeMap<Arc<str>, Arc<str>>,
}
