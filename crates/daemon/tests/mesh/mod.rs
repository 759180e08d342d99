//! A small mesh on loopback: the log's stand-in, daemons, and backend servers beside them.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_daemon::{LimitSettings, Running, Settings, start};
use cyclamen_declarations::{Labels, parse_change};
use cyclamen_membership::{Addresses, MeshKey, ServerState};
use cyclamen_standins::{
    Answer, BackendOptions, BackendServer, CallPlan, Client, Fault, LogOptions, LogService,
    RunRecord,
};
use cyclamen_types::Wall;
use cyclamenmoor::Announcement;

/// Longest wait for a condition; a test that meets it has failed.
const PATIENCE: Duration = Duration::from_secs(20);

/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(10);

/// One service, one version; everything under `/once` must not run twice.
pub const DOORS: &str = "
declarations:
- name: dvere
  service: {version: v1, labels: {tier: quick}}
- name: dvere/v1
  version: {}
- name: doors
  route: {service: dvere, timeout: 10s, match: {path_prefix: /}}
";

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Daemons with one backend server beside each.
pub struct Mesh {
    pub log: LogService,
    pub record: RunRecord,
    pub members: Vec<Member>,
    pub client: Client,
}

pub struct Member {
    pub daemon: Option<Running>,
    pub calls: SocketAddr,
    pub server: BackendServer,
    announcement: Announcement,
}

impl Mesh {
    /// Starts daemons, each with a server that has these slots, and waits until all know all.
    pub async fn start(count: usize, slots: u32, declarations: &str) -> Self {
        Self::start_with(count, slots, declarations, LimitSettings::default()).await
    }

    /// Like [`Mesh::start`], with limits of the daemons.
    pub async fn start_with(
        count: usize,
        slots: u32,
        declarations: &str,
        limits: LimitSettings,
    ) -> Self {
        let log = LogService::start(loopback(), LogOptions::default()).await.expect("a free port");
        let record = RunRecord::default();
        let mut mesh = Self { log, record, members: Vec::new(), client: Client::default() };
        for index in 0..count {
            let member = mesh.start_member(index, slots, limits).await;
            mesh.members.push(member);
        }
        mesh.publish(declarations).await;
        mesh.until(|mesh| mesh.members.iter().all(|member| member.servers_known() == count)).await;
        mesh
    }

    async fn start_member(&self, index: usize, slots: u32, limits: LimitSettings) -> Member {
        let options = backend(index, slots);
        let server = BackendServer::start(loopback(), options, self.record.clone())
            .await
            .expect("a free port");
        let mut peers = Vec::new();
        for member in &self.members {
            peers.push(member.daemon().addresses.peer);
        }
        let settings = settings(index, self.log.address(), peers, limits);
        let daemon = start(settings, None).await.expect("free ports");
        let calls = daemon.addresses.calls;
        let announcement = announcement(&server);
        let member = Member { daemon: Some(daemon), calls, server, announcement };
        member.announce(false);
        member
    }

    async fn publish(&self, declarations: &str) {
        let id = "change-1".try_into().expect("a name");
        let team = "doors".try_into().expect("a name");
        let change = parse_change(declarations, id, team, Wall(0)).expect("a change");
        let first = self.members[0].daemon();
        first.shared.with(|instance, now, out| instance.publish(now, &change, out));
        self.until(|mesh| {
            let holds = |member: &Member| {
                member.daemon().shared.read(|instance| !instance.table().route_names().is_empty())
            };
            mesh.members.iter().all(holds)
        })
        .await;
    }

    /// Waits for a condition; announcements are renewed meanwhile.
    pub async fn until(&self, holds: impl Fn(&Self) -> bool) {
        let wait = async {
            while !holds(self) {
                tokio::time::sleep(LOOK).await;
            }
        };
        tokio::time::timeout(PATIENCE, wait).await.expect("the condition holds in time");
    }

    pub async fn call(&self, member: usize, plan: &CallPlan) -> Answer {
        self.client.call(self.members[member].calls, plan).await
    }

    pub fn set_faults(&self, faults: &[Fault]) {
        for member in &self.members {
            member.server.set_faults(faults.to_vec());
        }
    }
}

impl Member {
    pub fn daemon(&self) -> &Running {
        self.daemon.as_ref().expect("a running daemon")
    }

    /// Backend servers that its router knows.
    pub fn servers_known(&self) -> usize {
        self.daemon().shared.read(|instance| instance.membership().servers().len())
    }

    /// Those of them that take calls.
    pub fn servers_ready(&self) -> usize {
        let servers = self.daemon().shared.read(|instance| instance.membership().servers());
        servers.iter().filter(|server| server.record.state == ServerState::Ready).count()
    }

    /// Puts a server at `address` in the place of its own.
    pub fn replace_server(&self, address: SocketAddr) {
        self.announce(true);
        let name = "raw-1".try_into().expect("a name");
        let announcement = Announcement { name, address, ..self.announcement.clone() };
        self.daemon().shared.with(|instance, now, out| {
            instance.announce(now, &announcement, out).expect("an announcement that holds");
        });
    }

    pub fn announce(&self, draining: bool) {
        let announcement = Announcement { draining, ..self.announcement.clone() };
        self.daemon().shared.with(|instance, now, out| {
            instance.announce(now, &announcement, out).expect("an announcement that holds");
        });
    }
}

pub fn plan(method: http::Method, path: &str, key: &str) -> CallPlan {
    CallPlan {
        method,
        host: "dvere".into(),
        path: path.into(),
        key: key.into(),
        body_bytes: 10,
        timeout: Duration::from_secs(10),
    }
}

fn backend(index: usize, slots: u32) -> BackendOptions {
    BackendOptions {
        name: format!("dvere-{index}").try_into().expect("a name"),
        service: "dvere".try_into().expect("a name"),
        version: "v1".try_into().expect("a name"),
        slots,
        connections: 130,
        service_time: Duration::from_millis(1),
        cold_start: Duration::ZERO,
        onward: None,
        faults: Vec::new(),
        seed: 1,
    }
}

fn settings(
    index: usize,
    log_service: SocketAddr,
    peers: Vec<SocketAddr>,
    limits: LimitSettings,
) -> Settings {
    Settings {
        instance: format!("daemon-{index}").try_into().expect("a name"),
        domain: "praha-a".try_into().expect("a name"),
        region: "cz-stred".try_into().expect("a name"),
        labels: Labels::default(),
        listen: Addresses { calls: loopback(), peer: loopback(), admin: loopback() },
        peers,
        log_service,
        platform: None,
        mesh_key: MeshKey([7; 32]),
        tokens: Vec::new(),
        limits: LimitSettings {
            gossip_period: Duration::from_millis(50),
            gossip_bytes_per_second: 1_000_000,
            announcement_lease: Duration::from_secs(120),
            stop_grace: Duration::from_secs(8),
            ..limits
        },
        metrics: None,
        metrics_text: None,
        decisions: None,
        seed: Some(index as u64 + 1),
    }
}

fn announcement(server: &BackendServer) -> Announcement {
    let options = server.options();
    Announcement {
        order: None,
        cold: Duration::ZERO,
        name: options.name.clone(),
        service: options.service.clone(),
        version: options.version.clone(),
        labels: Labels::default(),
        slots: options.slots,
        connections: options.connections,
        address: server.address(),
        draining: false,
    }
}
