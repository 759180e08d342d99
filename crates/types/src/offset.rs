//! Positions in the log, and the counters that order what the log does not.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// The position of one record in the platform's log, from 0.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Offset(pub u64);

/// How much of the log a configuration was folded from: the offset of the next record to fold.
///
/// A configuration of a higher version holds everything that one of a lower version decided.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// The version of a daemon that holds nothing yet.
    pub const NONE: Self = Self(0);

    /// The offset of the next record to fold.
    pub fn next_offset(self) -> Offset {
        Offset(self.0)
    }
}

impl Offset {
    /// The version reached once the record at this offset is folded.
    pub fn version_after(self) -> ConfigVersion {
        ConfigVersion(self.0 + 1)
    }
}

/// Orders the lives of one instance: a restart has a higher one. Unix milliseconds at start,
/// raised by one for each suspicion refuted.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Incarnation(pub u64);
