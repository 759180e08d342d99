//! One instance: a backend server and the daemon beside it.

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_daemon::{LimitSettings, RunningDaemon, Settings, start};
use cyclamen_declarations::Labels;
use cyclamen_membership::{Addresses, MeshKey};
use cyclamen_standins::{Announcer, BackendOptions, BackendServer, Fault, RunRecord};
use cyclamen_types::{
    FailureDomain, InstanceName, RegionName, ServerName, ServiceName, VersionName,
};

/// The key of the lab's mesh.
const LAB_KEY: MeshKey = MeshKey([7; 32]);

/// A free port on loopback.
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// What an instance runs.
#[derive(Clone, Debug)]
pub struct NodePlan {
    /// Name of the instance and of its backend server.
    pub name: String,
    /// Service of the backend server.
    pub service: String,
    /// Version of the backend server.
    pub version: String,
    /// Failure domain.
    pub domain: String,
    /// Region.
    pub region: String,
    /// Calls the backend server runs at a time.
    pub slots: u32,
    /// Connections it takes.
    pub connections: u32,
    /// Work of a call.
    pub work: Duration,
    /// How long after its start calls take twice their time.
    pub cold_start: Duration,
    /// Faults of the backend server.
    pub faults: Vec<Fault>,
    /// Seed of its daemon and its draws.
    pub seed: u64,
}

/// A running instance.
pub struct Node {
    /// What it runs.
    pub plan: NodePlan,
    /// The daemon.
    pub daemon: RunningDaemon,
    /// The backend server.
    pub server: BackendServer,
    /// Keeps the backend server announced.
    pub announcer: Announcer,
}

impl Node {
    /// Starts the daemon, the backend server, and its announcement.
    ///
    /// # Errors
    /// A port could not be bound, or a name of the plan is none.
    pub async fn start(
        plan: NodePlan,
        log_service: SocketAddr,
        peers: Vec<SocketAddr>,
        limits: LimitSettings,
        record: RunRecord,
    ) -> anyhow::Result<Self> {
        let daemon = Self::start_daemon(&plan, log_service, peers, limits).await?;
        let mut options = backend_options(&plan)?;
        options.onward = Some(daemon.addresses.calls);
        let server = BackendServer::start(ANY_PORT, options, record).await?;
        let announcer = Announcer::start(&server, daemon.addresses.admin);
        Ok(Self { plan, daemon, server, announcer })
    }

    /// Starts the daemon of a plan alone.
    ///
    /// # Errors
    /// A port could not be bound, or a name of the plan is none.
    pub async fn start_daemon(
        plan: &NodePlan,
        log_service: SocketAddr,
        peers: Vec<SocketAddr>,
        limits: LimitSettings,
    ) -> anyhow::Result<RunningDaemon> {
        let settings = settings(plan, log_service, peers, limits)?;
        Ok(start(settings, None).await?)
    }

    /// Withdraws the backend server, stops the daemon gracefully, then the server.
    pub async fn stop(mut self) {
        self.announcer.withdraw().await;
        self.daemon.stop().await;
        self.server.stop().await;
    }

    /// Ends daemon and backend server at once.
    pub async fn kill(self) {
        drop(self.announcer);
        self.daemon.kill().await;
        self.server.stop().await;
    }
}

fn backend_options(plan: &NodePlan) -> anyhow::Result<BackendOptions> {
    Ok(BackendOptions {
        name: ServerName::try_from(plan.name.as_str())?,
        service: ServiceName::try_from(plan.service.as_str())?,
        version: VersionName::try_from(plan.version.as_str())?,
        slots: plan.slots,
        connections: plan.connections,
        service_time: plan.work,
        cold_start: plan.cold_start,
        onward: None,
        faults: plan.faults.clone(),
        seed: plan.seed,
    })
}

fn settings(
    plan: &NodePlan,
    log_service: SocketAddr,
    peers: Vec<SocketAddr>,
    limits: LimitSettings,
) -> anyhow::Result<Settings> {
    Ok(Settings {
        instance: InstanceName::try_from(plan.name.as_str())?,
        domain: FailureDomain::try_from(plan.domain.as_str())?,
        region: RegionName::try_from(plan.region.as_str())?,
        labels: Labels::default(),
        listen: Addresses { calls: ANY_PORT, peer: ANY_PORT, admin: ANY_PORT },
        peers,
        log_service,
        platform: None,
        mesh_key: LAB_KEY,
        tokens: Vec::new(),
        limits,
        statsd: None,
        metrics_listen: None,
        decision_log: None,
        seed: Some(plan.seed),
    })
}
