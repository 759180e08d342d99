//! The state of an instance as operators read it.

use std::sync::Arc;

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

/// Everything an operator may ask of one daemon. Holds no key and no token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dump {
    /// This daemon.
    pub instance: InstanceName,
    /// Which life of it.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its region.
    pub region: RegionName,
    /// Whether it is ready for new callers.
    pub ready: bool,
    /// How much of the log it folded.
    pub version: ConfigVersion,
    /// The hash of its configuration, in hexadecimal.
    pub hash: Arc<str>,
    /// The version of the table in force.
    pub table_version: ConfigVersion,
    /// Whether it reads the log for its failure domain.
    pub relay: bool,
    /// The routes it holds.
    pub routes: Vec<RouteName>,
    /// Daemons it knows.
    pub members: Vec<MemberDump>,
    /// Backend servers it knows.
    pub servers: Vec<ServerDump>,
    /// The backend servers beside it.
    pub slots: Vec<SlotsDump>,
    /// The moves.
    pub moves: Vec<MoveStatus>,
    /// Counters of the fold.
    pub ledger: LedgerCounters,
    /// Counters of membership.
    pub membership: MembershipCounters,
    /// Counters of distribution.
    pub distribution: DistributionCounters,
    /// Counters of calls.
    pub router: RouterCounters,
}

/// A daemon in a dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDump {
    /// Its name.
    pub instance: InstanceName,
    /// Which life of it.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// What is thought of it.
    pub state: MemberState,
    /// Whether its whole failure domain is silent.
    pub cut_off: bool,
    /// What it is known to hold.
    pub held: Option<ConfigVersion>,
}

/// A backend server in a dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerDump {
    /// Its name.
    pub name: ServerName,
    /// Its service.
    pub service: ServiceName,
    /// Its version.
    pub version: VersionName,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The instance of the daemon beside it.
    pub host: InstanceName,
    /// Its state.
    pub state: ServerState,
    /// Calls it runs at a time.
    pub slots: u32,
}

/// The slots of a backend server beside the daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotsDump {
    /// The backend server.
    pub name: ServerName,
    /// Counters of its slots.
    pub counters: SlotsCounters,
}

impl Instance {
    /// The state of this instance, without secrets.
    pub fn dump(&self) -> Dump {
        let me = &self.settings.me;
        let mut slots: Vec<SlotsDump> = Vec::new();
        for (name, beside) in &self.beside {
            slots.push(SlotsDump { name: name.clone(), counters: *beside.slots.counters() });
        }
        slots.sort_by(|a, b| a.name.cmp(&b.name));
        Dump {
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
            moves: self.moves.statuses(),
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
                held: self.membership.held_by(&view.record.instance).map(|held| held.version),
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
