//! Declarations: border types, checked types, selectors and the verifier.
//!
//! Text from an operator (YAML, [`parse_change`]) or from the log (JSON, [`parse_json`]) becomes
//! border types ([`generated`]), which mirror the schema, and those become the checked types of
//! this crate by `TryFrom`. Only the fold and the snapshots handle border types outside of it.

mod accounts;
mod bodies;
mod border;
mod change;
mod checked;
mod entries;
mod fault;
#[allow(missing_docs, unused_qualifications, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
pub mod generated;
mod labels;
mod routes;
mod selector;
mod shape;
mod text;

pub use accounts::{AccountKey, Allowance, ClientAccount, ColdLimit};
pub use change::{FORMAT, SLASH_PREFIX_FORMAT, parse_change, parse_json};
pub use checked::{
    Change, ChangeEntry, ClashRule, Criticality, Declaration, DeclarationKey, DeclarationKind,
    EntryAction, HeaderMatch, HostPattern, Idempotence, Limits, Move, MoveOrder, OrderAction,
    Policy, Retries, Route, RouteMatch, Service, StickyKey, Version, VersionId, WeightedService,
    WeightedVersion,
};
pub use fault::{Fault, Faults, Problem};
pub use labels::{LabelError, Labels, Requirement, Selector};
