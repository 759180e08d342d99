//! Selectors and labels as text.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use crate::generated::LabelMap;
use crate::labels::{LabelError, Labels, Requirement, Selector};

/// Longest key or value, in bytes.
const MAX_TOKEN_BYTES: usize = 63;

fn is_token_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || "-._/".contains(c)
}

fn is_token(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_TOKEN_BYTES && text.chars().all(is_token_char)
}

impl FromStr for Selector {
    type Err = LabelError;

    fn from_str(text: &str) -> Result<Self, LabelError> {
        let mut requirements = Vec::new();
        if text.trim().is_empty() {
            return Ok(Self { requirements });
        }
        for term in terms(text) {
            let Some(requirement) = parse_term(term.trim()) else {
                return Err(LabelError::Syntax(text.into()));
            };
            requirements.push(requirement);
        }
        Ok(Self { requirements })
    }
}

/// Splits at the commas that stand outside parentheses.
fn terms(text: &str) -> Vec<&str> {
    let mut terms = Vec::new();
    let mut start = 0;
    let mut inside = false;
    for (i, c) in text.char_indices() {
        match c {
            '(' => inside = true,
            ')' => inside = false,
            ',' if !inside => {
                terms.push(&text[start..i]);
                start = i + 1;
            }
            _ => {}
        }
    }
    terms.push(&text[start..]);
    terms
}

fn parse_term(term: &str) -> Option<Requirement> {
    if let Some(key) = term.strip_prefix('!') {
        return Some(Requirement::Absent(token(key)?));
    }
    let end = term.find(|c| !is_token_char(c)).unwrap_or(term.len());
    let key = token(&term[..end])?;
    let rest = term[end..].trim_start();
    if rest.is_empty() {
        return Some(Requirement::Exists(key));
    }
    if let Some(value) = rest.strip_prefix("!=") {
        return Some(Requirement::NotIn(key, vec![token(value)?]));
    }
    if let Some(value) = rest.strip_prefix("==").or_else(|| rest.strip_prefix('=')) {
        return Some(Requirement::In(key, vec![token(value)?]));
    }
    if let Some(list) = rest.strip_prefix("notin") {
        return Some(Requirement::NotIn(key, values(list)?));
    }
    Some(Requirement::In(key, values(rest.strip_prefix("in")?)?))
}

fn token(text: &str) -> Option<Arc<str>> {
    let text = text.trim();
    is_token(text).then(|| text.into())
}

fn values(list: &str) -> Option<Vec<Arc<str>>> {
    let inner = list.trim().strip_prefix('(')?.strip_suffix(')')?;
    let mut values = Vec::new();
    for value in inner.split(',') {
        values.push(token(value)?);
    }
    Some(values)
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, requirement) in self.requirements.iter().enumerate() {
            if i > 0 {
                f.write_str(", ")?;
            }
            requirement.fmt(f)?;
        }
        Ok(())
    }
}

impl fmt::Display for Requirement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::In(key, values) if values.len() == 1 => write!(f, "{key}={}", values[0]),
            Self::NotIn(key, values) if values.len() == 1 => write!(f, "{key}!={}", values[0]),
            Self::In(key, values) => write!(f, "{key} in ({})", values.join(",")),
            Self::NotIn(key, values) => write!(f, "{key} notin ({})", values.join(",")),
            Self::Exists(key) => write!(f, "{key}"),
            Self::Absent(key) => write!(f, "!{key}"),
        }
    }
}

impl TryFrom<LabelMap> for Labels {
    type Error = LabelError;

    fn try_from(map: LabelMap) -> Result<Self, LabelError> {
        let mut labels = Self::default();
        for (key, value) in map.0 {
            for text in [&key, &value] {
                if !is_token(text) {
                    return Err(LabelError::Token(text.clone()));
                }
            }
            labels.0.insert(key.into(), value.into());
        }
        Ok(labels)
    }
}

impl From<&Labels> for LabelMap {
    fn from(labels: &Labels) -> Self {
        let mut map = BTreeMap::new();
        for (key, value) in labels.iter() {
            map.insert(key.to_string(), value.to_string());
        }
        Self(map)
    }
}
