//! The fold of the log into one configuration, alike for every reader.
//!
//! [`Ledger::fold`] takes records in offset order. Whatever it decides depends on the records
//! alone, so all daemons that folded the same records hold the same [`Config`] and hash.

mod apply;
mod config;
mod conflict;
mod draft;
mod hash;
mod items;
mod ledger;
mod outcomes;
mod payload;
mod policies;
mod record;
mod snapshot;
mod verify;
mod window;

pub use apply::ENDED_MOVES_KEPT;
pub use config::{Config, Held, HeldMove, MoveId, MoveVerdict, VerdictKind};
pub use conflict::{Caution, Conflict, Finding, Report};
pub use ledger::{ChangeOutcome, FoldOutcome, Ledger, LedgerCounters, Refusal, StateHash};
pub use outcomes::OUTCOMES_KEPT;
pub use record::LogRecord;
pub use verify::verify;
