//! The YAML format of a chart file, before validation.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;

/// A chart file as parsed. The first state is the initial one.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawChart {
    pub(crate) name: Arc<str>,
    pub(crate) events: Vec<Arc<str>>,
    pub(crate) states: Vec<RawState>,
}

/// A state as parsed, with its target states by event name in `on`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawState {
    pub(crate) name: Arc<str>,
    pub(crate) on: BTreeMap<Arc<str>, Arc<str>>,
}
