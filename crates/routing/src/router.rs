//! Decisions at the daemon that a caller reached.

use std::sync::Arc;

use cyclamen_types::{FailureDomain, Now, RegionName, ServerName, ServiceName, VersionName};
use serde::{Deserialize, Serialize};

use crate::call::{Attempt, AttemptId, CallHead, Hop, Next, Outcome, Refusal, RefusalKind};
use crate::table::RouteTable;

/// Settings of the router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// This daemon's failure domain.
    pub domain: FailureDomain,
    /// Its region.
    pub region: RegionName,
}

/// A backend server that may take calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerInfo {
    /// Its name.
    pub name: ServerName,
    /// Its service.
    pub service: ServiceName,
    /// Its version.
    pub version: VersionName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its region.
    pub region: RegionName,
    /// How to reach it.
    pub hop: Hop,
    /// Calls it runs at a time.
    pub slots: u32,
    /// Whether it takes new calls.
    pub ready: bool,
    /// Whether the daemon beside it is suspect or its failure domain silent.
    pub doubtful: bool,
}

/// How a service's calls divide while a move runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionSplit {
    /// The service.
    pub service: ServiceName,
    /// The version that has the traffic.
    pub from: VersionName,
    /// The version that gets it.
    pub to: VersionName,
    /// Share of `to`, in parts per million.
    pub share_ppm: u32,
}

/// Counters for the dump and the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterCounters {
    /// Calls begun.
    pub calls: u64,
    /// Attempts beyond the first.
    pub retries: u64,
    /// Retries that the budget refused.
    pub retries_refused: u64,
    /// Calls refused as not run.
    pub refused: u64,
    /// Calls whose outcome is unknown.
    pub unknown: u64,
    /// Servers ejected.
    pub ejections: u64,
}

/// The router of one daemon.
#[derive(Debug)]
pub struct Router {
    table: Arc<RouteTable>,
    counters: RouterCounters,
}

impl Router {
    /// A router with an empty table.
    pub fn new(_settings: RouterSettings, _seed: u64) -> Self {
        Self { table: Default::default(), counters: Default::default() }
    }

    /// Swaps the table; one of a lower version is refused and `false` returned.
    pub fn install(&mut self, table: Arc<RouteTable>) -> bool {
        if table.version() < self.table.version() {
            return false;
        }
        self.table = table;
        true
    }

    /// The table in force.
    pub fn table(&self) -> &Arc<RouteTable> {
        &self.table
    }

    /// Replaces the backend servers; what is known of those that stay is kept.
    pub fn set_servers(&mut self, _now: Now, _servers: &[ServerInfo]) {}

    /// Replaces the splits of running moves.
    pub fn set_splits(&mut self, _splits: &[VersionSplit]) {}

    /// Begins a call.
    ///
    /// # Errors
    /// The refusal to tell the caller; nothing was run.
    pub fn begin(&mut self, _now: Now, _head: &CallHead<'_>) -> Result<Attempt, Refusal> {
        let reason = "no route takes this call: publish one, or check host and path".into();
        Err(Refusal { kind: RefusalKind::NoRoute, reason, retry_after: None })
    }

    /// Ends an attempt and says what follows.
    pub fn finish(&mut self, _now: Now, _attempt: AttemptId, _outcome: Outcome) -> Next {
        Next::Deliver
    }

    /// Counters so far.
    pub fn counters(&self) -> &RouterCounters {
        &self.counters
    }
}
