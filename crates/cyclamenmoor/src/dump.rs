//! Snapshot of the state of an instance for operators. The administration API returns it as JSON,
//! so field names are part of that API.

use std::sync::Arc;

use cyclamen_allowances::{AllowanceCounters, ShareView};
use cyclamen_blocklist::{BlockedCall, BlocklistCounters};
use cyclamen_distribution::DistributionCounters;
use cyclamen_ledger::LedgerCounters;
use cyclamen_membership::{MemberState, MembershipCounters, ServerState, ServerView};
use cyclamen_moves::MoveStatus;
use cyclamen_routing::{RouterCounters, SlotsCounters};
use cyclamen_types::{
    ConfigVersion, FailureDomain, Incarnation, InstanceName, RegionName, RouteName, ServerName,
    ServiceName, VersionName,
};
use serde::{Deserialize, Serialize};

use crate::instance::Instance;

/// State of one daemon. Contains no keys or tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StateDump {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Incarnation number, which changes when the daemon restarts.
    pub incarnation: Incarnation,
    /// Failure domain of the daemon.
    pub domain: FailureDomain,
    /// Region of the daemon.
    pub region: RegionName,
    /// Whether the daemon is ready for new callers.
    pub ready: bool,
    /// Version of the ledger's configuration, which tells how much of the log has been applied.
    pub version: ConfigVersion,
    /// Hash of the ledger's state, in hexadecimal.
    pub hash: Arc<str>,
    /// Configuration version that the active route table was built from.
    pub table_version: ConfigVersion,
    /// Whether the daemon is a relay, which reads the log or the store for its failure domain.
    pub relay: bool,
    /// Routes in the active route table.
    pub routes: Vec<RouteName>,
    /// Daemons known to membership.
    pub members: Vec<MemberDump>,
    /// Backend servers known to membership.
    pub servers: Vec<ServerDump>,
    /// Slot counters of the local backend servers, sorted by name.
    pub slots: Vec<SlotsDump>,
    /// Failure domains whose backend servers get no calls, by an operator's order.
    #[serde(default)]
    pub emptied_domains: Vec<FailureDomain>,
    /// Status of each move.
    pub moves: Vec<MoveStatus>,
    /// Calls that are refused because backend servers crashed while they ran them.
    #[serde(default)]
    pub blocked_calls: Vec<BlockedCall>,
    /// Counters of the blocklist.
    #[serde(default)]
    pub blocklist: BlocklistCounters,
    /// What this daemon may admit of the client accounts whose calls reached it lately.
    #[serde(default)]
    pub allowances: Vec<ShareView>,
    /// Counters of the allowances.
    #[serde(default)]
    pub allowance_counters: AllowanceCounters,
    /// Counters of the ledger.
    pub ledger: LedgerCounters,
    /// Counters of membership.
    pub membership: MembershipCounters,
    /// Counters of distribution.
    pub distribution: DistributionCounters,
    /// Counters of the router.
    pub router: RouterCounters,
}

/// One daemon as membership sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDump {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Incarnation number, which grows when the daemon restarts or refutes a suspicion.
    pub incarnation: Incarnation,
    /// Failure domain of the daemon.
    pub domain: FailureDomain,
    /// Liveness of the daemon as this instance sees it.
    pub state: MemberState,
    /// Whether it is assumed to be cut off by a partition rather than dead.
    pub cut_off: bool,
    /// Configuration version that the daemon is known to hold.
    pub held: Option<ConfigVersion>,
}

/// One backend server as membership sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerDump {
    /// Name of the backend server.
    pub name: ServerName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Version that it announced.
    pub version: VersionName,
    /// Failure domain that it runs in.
    pub domain: FailureDomain,
    /// Instance whose daemon hosts it.
    pub host: InstanceName,
    /// Whether it is ready, draining or gone.
    pub state: ServerState,
    /// Maximum number of calls that it runs concurrently.
    pub slots: u32,
}

/// Slot counters of one local backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotsDump {
    /// Name of the backend server.
    pub name: ServerName,
    /// Counters of its slots and queue.
    pub counters: SlotsCounters,
}

impl Instance {
    /// Collects the state of this instance for operators, without secrets.
    pub fn dump(&self) -> StateDump {
        let me = &self.settings.local_member;
        let mut slots: Vec<SlotsDump> = Vec::new();
        for (name, server) in &self.local_servers {
            slots.push(SlotsDump { name: name.clone(), counters: *server.slots.counters() });
        }
        slots.sort_by(|a, b| a.name.cmp(&b.name));
        StateDump {
            instance: me.instance.clone(),
            incarnation: me.incarnation,
            domain: me.domain.clone(),
            region: me.region.clone(),
            ready: self.ready(),
            version: self.ledger.version(),
            hash: self.ledger.hash().to_string().into(),
            table_version: self.router.table().version(),
            relay: self.membership.relays(&me.domain).contains(&me.instance),
            routes: self.router.table().route_names(),
            members: self.member_dumps(),
            servers: self.membership.servers().into_iter().map(ServerDump::from).collect(),
            slots,
            emptied_domains: self.ledger.config().emptied_domains.iter().cloned().collect(),
            moves: self.moves.statuses(),
            blocked_calls: self.blocked_calls(),
            blocklist: *self.blocked_calls.counters(),
            allowances: self.allowances.shares(),
            allowance_counters: *self.allowances.counters(),
            ledger: *self.ledger.counters(),
            membership: *self.membership.counters(),
            distribution: *self.distribution.counters(),
            router: *self.router.counters(),
        }
    }

    fn member_dumps(&self) -> Vec<MemberDump> {
        let mut dumps = Vec::new();
        for view in self.membership.members() {
            dumps.push(MemberDump {
                held: self
                    .membership
                    .applied_config_of(&view.record.instance)
                    .map(|applied| applied.version),
                instance: view.record.instance,
                incarnation: view.record.incarnation,
                domain: view.record.domain,
                state: view.state,
                cut_off: view.cut_off,
            });
        }
        dumps
    }
}

impl From<ServerView> for ServerDump {
    fn from(view: ServerView) -> Self {
        Self {
            name: view.record.name,
            service: view.record.service,
            version: view.record.version,
            domain: view.domain,
            host: view.host,
            state: view.record.state,
            slots: view.record.slots,
        }
    }
}
