//! The fold of the log into one configuration, alike for every reader.
//!
//! [`Ledger::fold`] takes records in offset order. Whatever it decides depends on the records
//! alone, so all daemons that folded the same records hold the same [`Config`] and hash.

mod config;
mod ledger;
mod record;

pub use config::{Config, Held, HeldMove, MoveId, MoveVerdict, VerdictKind};
pub use ledger::{ChangeOutcome, FoldOutcome, Ledger, LedgerCounters, Refusal, StateHash};
pub use record::LogRecord;
