//! What an operator reads about a move.

use std::sync::Arc;

use cyclamen_ledger::MoveId;
use cyclamen_types::{RouteName, ServiceName, VersionName};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The states of a move, as its chart lists them.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum MoveStage {
    /// The start is in the future.
    #[display("scheduled")]
    Scheduled,
    /// Traffic moves.
    #[display("moving")]
    Moving,
    /// Part of the traffic is back on the old version while a suspicion is checked.
    #[display("checking")]
    Checking,
    /// An operator paused it.
    #[display("paused")]
    Paused,
    /// All traffic is on the new version and the watch goes on.
    #[display("done, watched")]
    Watched,
    /// All traffic is on the new version and the watch is over.
    #[display("done")]
    Done,
    /// Traffic is back on the old version.
    #[display("taken back")]
    TakenBack,
}

/// The figures behind a verdict, for one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceLine {
    /// The route.
    pub route: RouteName,
    /// Calls to the old version.
    pub old_calls: u64,
    /// Calls to the old version that failed.
    pub old_failed: u64,
    /// Calls to the old version that were slow.
    pub old_slow: u64,
    /// Calls to the new version.
    pub new_calls: u64,
    /// Calls to the new version that failed.
    pub new_failed: u64,
    /// Calls to the new version that were slow.
    pub new_slow: u64,
}

/// A move as this daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStatus {
    /// Which publication of the move.
    pub id: MoveId,
    /// Its service.
    pub service: ServiceName,
    /// The version that had the traffic.
    pub from: VersionName,
    /// The version that gets it.
    pub to: VersionName,
    /// Where it stands.
    pub stage: MoveStage,
    /// Share of calls to the new version, in parts per million.
    pub share_ppm: u32,
    /// Whether the deadline cannot be met, or was not, safely.
    pub late: bool,
    /// Why it stands where it stands, in one sentence.
    pub reason: Arc<str>,
    /// The figures, by route.
    pub evidence: Vec<EvidenceLine>,
}
