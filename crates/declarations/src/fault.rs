//! Faults of a change, each with its place and its remedy.

use std::fmt;
use std::sync::Arc;

use cyclamen_types::NameError;
use thiserror::Error;

use crate::labels::LabelError;

/// Most faults reported of one text.
pub(crate) const MAX_FAULTS: usize = 100;

/// Most items of one change.
pub(crate) const MAX_ITEMS: usize = 2_000;

/// Deepest nesting of brackets in a text; a parser's work grows with its square.
pub(crate) const MAX_NESTING: usize = 64;

/// What is wrong at one place. The message says what to do.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Problem {
    /// The text is not YAML or JSON.
    #[error("the text does not parse: {0}")]
    Syntax(String),
    /// Brackets within brackets without end.
    #[error("brackets are nested deeper than {MAX_NESTING}: nest less")]
    Nesting,
    /// A key or value that the schema does not have.
    #[error("{0}")]
    Shape(String),
    /// A required key is absent.
    #[error("is missing: add it")]
    Missing,
    /// A name is malformed.
    #[error(transparent)]
    Name(#[from] NameError),
    /// A label or a selector is malformed.
    #[error(transparent)]
    Label(#[from] LabelError),
    /// A duration is malformed or out of bounds.
    #[error("`{0}` is no duration from 1ms to 7days: write one such as `800ms`, `2s` or `5m`")]
    Duration(String),
    /// A time is malformed.
    #[error("`{0}` is no time: write RFC 3339 such as `2027-01-31T06:00:00Z`, or `+30s`")]
    Time(String),
    /// An item is of no kind, or of several.
    #[error("gives {0} of service, version, route, policy, move, delete and order: give one")]
    Kinds(usize),
    /// The name of a version lacks its service.
    #[error("`{0}` is no name of a version: write `SERVICE/VERSION`")]
    VersionName(String),
    /// A key that this kind of item does not take.
    #[error("does not belong here: remove it")]
    Misplaced,
    /// A number is out of bounds.
    #[error("{value} is not from {min} to {max}: choose a value between them")]
    Range {
        /// The number.
        value: u64,
        /// The least one allowed.
        min: u64,
        /// The greatest one allowed.
        max: u64,
    },
    /// A host is malformed.
    #[error("`{0}` is no host: write `name.example` or `*.example`, in lower case, without port")]
    Host(String),
    /// A path prefix is malformed.
    #[error("`{0}` is no path prefix: start it with `/`, without spaces, `?` and `#`")]
    Path(String),
    /// A header is malformed.
    #[error("`{0}` is no header name: use letters, digits and `-`")]
    Header(String),
    /// A header's value is malformed.
    #[error("`{0}` is no header value: use visible ASCII characters")]
    HeaderValue(String),
    /// The weights of a split add up to nothing.
    #[error("the weights add up to 0: give a version a weight above 0")]
    NoWeight,
    /// Something stands twice.
    #[error("`{0}` stands twice: keep one of them")]
    Twice(String),
    /// A policy that sets nothing.
    #[error("sets neither limits nor retries: set one or leave the policy out")]
    SetsNothing,
    /// A move that goes nowhere.
    #[error("`from` and `to` are both `{0}`: name two versions")]
    SameVersion(String),
    /// A deadline that is no later than the start.
    #[error("the deadline is not after the start: choose a later deadline")]
    DeadlineFirst,
    /// A change without items.
    #[error("lists nothing: list at least one declaration")]
    Empty,
    /// A change with more items than one record takes.
    #[error("lists {0} items, more than {MAX_ITEMS}: publish them in several changes")]
    TooLong(usize),
    /// There were more faults than are listed.
    #[error("has more faults than the {MAX_FAULTS} listed: mend these first")]
    TooMany,
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Where, such as `declarations[2].route.timeout`; empty for the whole text.
    pub place: Arc<str>,
    /// What is wrong, and the remedy.
    pub problem: Problem,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.place.is_empty() {
            return self.problem.fmt(f);
        }
        write!(f, "{}: {}", self.place, self.problem)
    }
}

/// All faults of a text, in the order found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            fault.fmt(f)?;
        }
        Ok(())
    }
}

impl Faults {
    /// Adds one fault.
    pub(crate) fn push(&mut self, place: &str, problem: impl Into<Problem>) {
        self.0.push(Fault { place: place.into(), problem: problem.into() });
    }

    /// Adds faults whose places lie within `place`.
    pub(crate) fn push_within(&mut self, place: &str, inner: Self) {
        for fault in inner.0 {
            let place = join(place, &fault.place);
            self.0.push(Fault { place, problem: fault.problem });
        }
    }

    /// The value, or its fault.
    pub(crate) fn take<T, E: Into<Problem>>(
        &mut self,
        place: &str,
        result: Result<T, E>,
    ) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(problem) => {
                self.push(place, problem);
                None
            }
        }
    }

    /// The value, or the fault that it is missing.
    pub(crate) fn required<T>(&mut self, place: &str, value: Option<T>) -> Option<T> {
        if value.is_none() {
            self.push(place, Problem::Missing);
        }
        value
    }

    /// The checked name that a required text gives.
    pub(crate) fn name<N>(&mut self, place: &str, text: Option<String>) -> Option<N>
    where
        N: TryFrom<String, Error = NameError>,
    {
        let text = self.required(place, text)?;
        self.take(place, N::try_from(text))
    }

    /// Whether a number lies within bounds; a fault is added when it does not.
    pub(crate) fn range(&mut self, place: &str, value: u64, min: u64, max: u64) -> bool {
        let within = (min..=max).contains(&value);
        if !within {
            self.push(place, Problem::Range { value, min, max });
        }
        within
    }

    /// `value`, unless there are faults.
    pub(crate) fn or<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() { Ok(value) } else { Err(self) }
    }
}

/// Joins two parts of a place.
fn join(outer: &str, inner: &str) -> Arc<str> {
    if outer.is_empty() {
        return inner.into();
    }
    if inner.is_empty() {
        return outer.into();
    }
    let dot = if inner.starts_with('[') { "" } else { "." };
    format!("{outer}{dot}{inner}").into()
}
