//! A served system that runs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cyclamen_daemon::LimitSettings;
use cyclamen_declarations::{Change, parse_change};
use cyclamen_ledger::ChangeOutcome;
use cyclamen_moves::MoveStatus;
use cyclamen_standins::{Fault, LogOptions, LogService, RunRecord};
use cyclamen_types::{ChangeId, ConfigVersion, MoveName, TeamName, Wall};
use thiserror::Error;
use tokio::task::JoinSet;

use crate::deployment::{Deployment, version_declaration};
use crate::node::{Node, NodePlan};

/// A free port on loopback.
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Time between two looks at a condition that is waited for.
const LOOK: Duration = Duration::from_millis(10);

/// Daemons whose addresses a new daemon gets as peers.
const PEERS: usize = 3;

/// Options of a lab.
#[derive(Clone, Copy, Debug)]
pub struct LabOptions {
    /// The served system.
    pub deployment: Deployment,
    /// Limits of all daemons.
    pub limits: LimitSettings,
    /// Limits of the log service.
    pub log: LogOptions,
    /// Seed of everything.
    pub seed: u64,
}

/// Why a publication did not get through.
#[derive(Debug, Error)]
pub enum PublishError {
    /// The text has faults.
    #[error("the declarations have faults: {0}")]
    Faults(String),
    /// The fold refused it.
    #[error("the change was refused: {0}")]
    Refused(String),
    /// Not in force in time.
    #[error("the change is not in force after {0:?}: see whether the log service answers")]
    Late(Duration),
}

/// A served system that runs.
pub struct Lab {
    /// Its options.
    pub options: LabOptions,
    /// The log service.
    pub log: LogService,
    /// Its instances.
    pub nodes: Vec<Node>,
    /// What all backend servers ran.
    pub record: RunRecord,
    team: TeamName,
    changes: u64,
}

impl Lab {
    /// Starts the log service and one instance for each backend server of the deployment.
    ///
    /// # Errors
    /// A port could not be bound.
    pub async fn start(options: LabOptions) -> anyhow::Result<Self> {
        let log = LogService::start(ANY_PORT, options.log).await?;
        let record = RunRecord::default();
        let team = TeamName::try_from("lab")?;
        let mut lab = Self { options, log, nodes: Vec::new(), record, team, changes: 0 };
        for service in options.deployment.services {
            for server in 0..service.servers {
                lab.add(service.name, "v1", server, Vec::new()).await?;
            }
        }
        Ok(lab)
    }

    /// Starts one more instance with a backend server of a version.
    ///
    /// # Errors
    /// A port could not be bound.
    pub async fn add(
        &mut self,
        service: &str,
        version: &str,
        server: usize,
        faults: Vec<Fault>,
    ) -> anyhow::Result<()> {
        let deployment = self.options.deployment;
        let seed = self.options.seed + self.nodes.len() as u64;
        let plan = NodePlan {
            name: format!("{service}-{version}-{server}"),
            service: service.into(),
            version: version.into(),
            domain: deployment.domains[server % deployment.domains.len()].into(),
            region: deployment.region.into(),
            slots: deployment.slots,
            connections: deployment.connections,
            work: deployment.work,
            cold_start: Duration::ZERO,
            faults,
            seed,
        };
        self.start_node(plan).await
    }

    /// Starts an instance of a plan.
    ///
    /// # Errors
    /// A port could not be bound.
    pub async fn start_node(&mut self, plan: NodePlan) -> anyhow::Result<()> {
        let peers = self.peers();
        let limits = self.options.limits;
        let record = self.record.clone();
        let node = Node::start(plan, self.log.address(), peers, limits, record).await?;
        self.nodes.push(node);
        Ok(())
    }

    /// Peer addresses for a new daemon.
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.nodes.iter().take(PEERS).map(|node| node.daemon.addresses.peer).collect()
    }

    /// Where callers reach the daemons.
    pub fn call_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.daemon.addresses.calls).collect()
    }

    /// Publishes at the first daemon and waits until the change is in force there.
    ///
    /// # Errors
    /// The text has faults, the fold refuses it, or it is not in force within `patience`.
    pub async fn publish(
        &mut self,
        yaml: &str,
        patience: Duration,
    ) -> Result<ConfigVersion, PublishError> {
        let change = self.parse(yaml)?;
        let shared = self.nodes[0].daemon.shared.clone();
        shared.with(|instance, now, out| instance.publish(now, &change, out));
        let started = Instant::now();
        loop {
            match shared.read(|instance| instance.outcome(&change.id).cloned()) {
                Some(ChangeOutcome::Accepted(offset)) => return Ok(offset.version_after()),
                Some(ChangeOutcome::Refused(_, refusal)) => {
                    return Err(PublishError::Refused(refusal.faults.join("; ")));
                }
                None if started.elapsed() > patience => return Err(PublishError::Late(patience)),
                None => tokio::time::sleep(LOOK).await,
            }
        }
    }

    /// Waits until all daemons hold a version; returns how long that took.
    pub async fn converged(&self, version: ConfigVersion, patience: Duration) -> Option<Duration> {
        let started = Instant::now();
        while !self.all_hold(version) {
            if started.elapsed() > patience {
                return None;
            }
            tokio::time::sleep(LOOK).await;
        }
        Some(started.elapsed())
    }

    /// Waits until every daemon is ready and knows every backend server.
    pub async fn assembled(&self, patience: Duration) -> Option<Duration> {
        let started = Instant::now();
        while !self.all_know_all() {
            if started.elapsed() > patience {
                return None;
            }
            tokio::time::sleep(LOOK).await;
        }
        Some(started.elapsed())
    }

    /// Publishes a move of a service from `v1` to `to`, with the version it needs.
    ///
    /// # Errors
    /// As [`Lab::publish`].
    pub async fn publish_move(
        &mut self,
        name: &str,
        service: &str,
        to: &str,
        deadline: Duration,
    ) -> Result<ConfigVersion, PublishError> {
        let version = version_declaration(service, to);
        let seconds = deadline.as_secs();
        let yaml = format!(
            "declarations:\n{version}  - name: {name}\n    move:\n      service: {service}\n      \
             from: v1\n      to: {to}\n      start: +0s\n      deadline: +{seconds}s\n      \
             watch: 5s\n"
        );
        self.publish(&yaml, Duration::from_secs(5)).await
    }

    /// A move as the daemon of an instance sees it.
    pub fn move_status(&self, node: usize, name: &MoveName) -> Option<MoveStatus> {
        self.nodes[node].daemon.shared.read(|instance| instance.move_status(name))
    }

    /// Stops all instances gracefully, then the log service.
    pub async fn stop(self) {
        let mut stops = JoinSet::new();
        for node in self.nodes {
            stops.spawn(node.stop());
        }
        while stops.join_next().await.is_some() {}
        self.log.stop().await;
    }

    fn parse(&mut self, yaml: &str) -> Result<Change, PublishError> {
        self.changes += 1;
        let id = ChangeId::try_from(format!("lab-{}", self.changes))
            .map_err(|err| PublishError::Faults(err.to_string()))?;
        parse_change(yaml, id, self.team.clone(), wall())
            .map_err(|faults| PublishError::Faults(faults.to_string()))
    }

    fn all_hold(&self, version: ConfigVersion) -> bool {
        let holds =
            |node: &Node| node.daemon.shared.read(|instance| instance.table().version() >= version);
        self.nodes.iter().all(holds)
    }

    fn all_know_all(&self) -> bool {
        let knows = |node: &Node| {
            node.daemon.shared.read(|instance| {
                instance.ready() && instance.membership().servers().len() >= self.nodes.len()
            })
        };
        self.nodes.iter().all(knows)
    }
}

fn wall() -> Wall {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    Wall(u64::try_from(unix.unwrap_or_default().as_millis()).unwrap_or(u64::MAX))
}
