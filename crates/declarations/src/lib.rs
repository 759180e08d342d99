//! Declarations: border types, checked types, selectors and the verifier.
//!
//! Text from an operator (YAML) or from the log (JSON) becomes border types, which mirror the
//! schema, and those become the checked types of this crate by `TryFrom`. Only checked types
//! reach the other crates.

mod checked;
mod labels;

pub use checked::{
    Change, ChangeEntry, ClashRule, Criticality, Declaration, DeclarationKey, DeclarationKind,
    EntryAction, HeaderMatch, HostPattern, Idempotence, Limits, Move, MoveOrder, OrderAction,
    Policy, Retries, Route, RouteMatch, Service, StickyKey, Version, VersionId, WeightedVersion,
};
pub use labels::{LabelError, Labels, Requirement, Selector};
