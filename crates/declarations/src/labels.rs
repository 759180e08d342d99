//! Labels, and the selectors that match them.

use std::collections::BTreeMap;
use std::sync::Arc;

use derive_more::{Deref, From};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a label or a selector is not one. The message says what to write instead.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LabelError {
    /// The selector does not parse.
    #[error(
        "`{0}` is no selector: write `key=value`, `key!=value`, `key in (a,b)`, `key notin (a,b)`, `key` or `!key`, joined by commas"
    )]
    Syntax(String),
    /// A key or a value has a character that labels do not have, or a length they may not have.
    #[error("`{0}` is no label key or value: use 1 to 63 letters, digits, `-`, `.`, `_` and `/`")]
    Token(String),
}

/// The labels of a service, a proxy or a backend server, in order of key.
#[derive(Clone, Debug, Default, Deref, From, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Labels(pub BTreeMap<Arc<str>, Arc<str>>);

/// One condition on labels.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Requirement {
    /// The key has one of these values.
    In(Arc<str>, Vec<Arc<str>>),
    /// The key is absent or has none of these values.
    NotIn(Arc<str>, Vec<Arc<str>>),
    /// The key is present.
    Exists(Arc<str>),
    /// The key is absent.
    Absent(Arc<str>),
}

/// Conditions that all have to hold; none at all matches everything.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector {
    /// The conditions, in the order they were written.
    pub requirements: Vec<Requirement>,
}

impl Selector {
    /// Whether all conditions hold for `labels`.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.requirements.iter().all(|requirement| requirement.matches(labels))
    }
}

impl Requirement {
    /// Whether this condition holds for `labels`.
    pub fn matches(&self, labels: &Labels) -> bool {
        match self {
            Self::In(key, values) => labels.get(key).is_some_and(|v| values.contains(v)),
            Self::NotIn(key, values) => labels.get(key).is_none_or(|v| !values.contains(v)),
            Self::Exists(key) => labels.contains_key(key),
            Self::Absent(key) => !labels.contains_key(key),
        }
    }
}
