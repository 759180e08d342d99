//! The status of a move as shown to operators. The administration port serves it in the state dump,
//! so the field names are part of that format.

use std::sync::Arc;

use cyclamen_ledger::MoveId;
use cyclamen_types::{RouteName, ServiceName, VersionName};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The states of a move, as listed in its chart.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum MovePhase {
    /// The start time has not been reached, or an operator paused the move before it.
    #[display("scheduled")]
    Scheduled,
    /// The share of the new version grows stage by stage.
    #[display("moving")]
    Moving,
    /// Part of the traffic is back on the old version so that a suspected fault of the new
    /// version can be checked.
    #[display("checking")]
    Checking,
    /// An operator paused the move; it enters no further stage. Only a verdict of done in the log
    /// still moves it to the last stage.
    #[display("paused")]
    Paused,
    /// All traffic is on the new version, which is still watched and may be rolled back.
    #[display("done, watched")]
    Watched,
    /// All traffic is on the new version and the watch has ended.
    #[display("done")]
    Done,
    /// The move was rolled back: all traffic is on the old version.
    #[display("taken back")]
    TakenBack,
}

/// Call counts of one route over the whole move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// The route that the counts belong to.
    pub route: RouteName,
    /// Calls to the old version.
    pub old_calls: u64,
    /// Calls to the old version that failed.
    pub old_failed: u64,
    /// Calls to the old version that exceeded the latency limit of the route.
    pub old_slow: u64,
    /// Calls to the new version.
    pub new_calls: u64,
    /// Calls to the new version that failed.
    pub new_failed: u64,
    /// Calls to the new version that exceeded the latency limit of the route.
    pub new_slow: u64,
}

/// A move as seen by this daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStatus {
    /// The publication of the move.
    pub id: MoveId,
    /// The service whose traffic moves.
    pub service: ServiceName,
    /// The version that traffic moves away from.
    pub from: VersionName,
    /// The version that traffic moves to.
    pub to: VersionName,
    /// The state of the move in its chart.
    #[serde(rename = "stage")]
    pub phase: MovePhase,
    /// Share of calls to the new version, in parts per million.
    pub share_ppm: u32,
    /// Whether the deadline was missed, or can no longer be met with the minimum time at each
    /// remaining stage.
    pub late: bool,
    /// Explanation of the present state, in one sentence.
    pub reason: Arc<str>,
    /// Call counts by route, for the routes whose names this daemon knows.
    pub evidence: Vec<RouteEvidence>,
}
