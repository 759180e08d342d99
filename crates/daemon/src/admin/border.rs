//! The way from text to a checked change.

use cyclamen_declarations::Change;
use cyclamen_ledger::Config;
use cyclamen_types::{ChangeId, TeamName};

/// What the verifier says of a change.
pub(super) struct Findings {
    pub(super) faults: Vec<String>,
    pub(super) warnings: Vec<String>,
}

pub(super) fn parse_change(
    _text: &str,
    _id: ChangeId,
    _team: TeamName,
) -> Result<Change, Vec<String>> {
    Err(vec!["this build reads no change files yet: merge the parser".into()])
}

pub(super) fn verify(_change: &Change, _config: &Config) -> Findings {
    Findings { faults: Vec::new(), warnings: Vec::new() }
}
