//! A small mesh on loopback for tests: a stand-in for the log service, daemons, and one backend
//! server for each daemon.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_daemon::{LimitSettings, RunningDaemon, Settings, start};
use cyclamen_declarations::{Labels, parse_change};
use cyclamen_membership::{Addresses, MeshKey, ServerState};
use cyclamen_standins::{
    Answer, BackendOptions, BackendServer, CallPlan, Client, Fault, LogOptions, LogService,
    RunRecord,
};
use cyclamen_types::Wall;
use cyclamenmoor::Announcement;

/// Longest wait for a condition before the test fails.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// One service with one version, and a route for all paths.
pub const DECLARATIONS: &str = "
declarations:
- name: dvere
  service: {version: v1, labels: {tier: quick}}
- name: dvere/v1
  version: {}
- name: doors
  route: {service: dvere, timeout: 10s, match: {path_prefix: /}}
";

/// The mesh key of all daemons.
pub const MESH_KEY: [u8; 32] = [7; 32];

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The daemons, each with one local backend server.
pub struct Mesh {
    pub log: LogService,
    pub record: RunRecord,
    pub members: Vec<Member>,
    pub client: Client,
}

/// A daemon and its local backend server. `daemon` is `None` once a test has taken it to stop it.
pub struct Member {
    pub daemon: Option<RunningDaemon>,
    pub calls: SocketAddr,
    pub server: BackendServer,
    announcement: Announcement,
}

impl Mesh {
    /// Starts `count` daemons, each with a backend server of `slots` slots, publishes
    /// `declarations`, and waits until every daemon knows every backend server.
    pub async fn start(count: usize, slots: u32, declarations: &str) -> Self {
        Self::start_with(count, slots, declarations, LimitSettings::default()).await
    }

    /// Like [`Mesh::start`], with `limits` for the daemons.
    pub async fn start_with(
        count: usize,
        slots: u32,
        declarations: &str,
        limits: LimitSettings,
    ) -> Self {
        Self::start_members(count, slots, declarations, limits, None).await
    }

    /// Like [`Mesh::start`] with one daemon, whose metrics are served at the address returned.
    pub async fn start_with_metrics(slots: u32, declarations: &str) -> (Self, SocketAddr) {
        let free_port = std::net::TcpListener::bind(loopback()).expect("a free port");
        let address = free_port.local_addr().expect("an address");
        drop(free_port);
        let limits = LimitSettings::default();
        (Self::start_members(1, slots, declarations, limits, Some(address)).await, address)
    }

    async fn start_members(
        count: usize,
        slots: u32,
        declarations: &str,
        limits: LimitSettings,
        metrics_listen: Option<SocketAddr>,
    ) -> Self {
        let log = LogService::start(loopback(), LogOptions::default()).await.expect("a free port");
        let record = RunRecord::default();
        let mut mesh = Self { log, record, members: Vec::new(), client: Client::default() };
        for index in 0..count {
            let member = mesh.start_member(index, slots, limits, metrics_listen).await;
            mesh.members.push(member);
        }
        mesh.publish(declarations).await;
        mesh.wait_until(|mesh| mesh.members.iter().all(|member| member.servers_known() == count))
            .await;
        mesh
    }

    /// Starts one more daemon with a backend server.
    pub async fn add_member(&mut self, slots: u32) {
        let index = self.members.len();
        let member = self.start_member(index, slots, LimitSettings::default(), None).await;
        self.members.push(member);
    }

    async fn start_member(
        &self,
        index: usize,
        slots: u32,
        limits: LimitSettings,
        metrics_listen: Option<SocketAddr>,
    ) -> Member {
        let options = backend(index, slots);
        let server = BackendServer::start(loopback(), options, self.record.clone())
            .await
            .expect("a free port");
        let mut peers = Vec::new();
        for member in &self.members {
            peers.push(member.daemon().addresses.peer);
        }
        let settings = settings(index, self.log.address(), peers, limits);
        let settings = Settings { metrics_listen, ..settings };
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
        self.wait_until(|mesh| {
            let holds = |member: &Member| {
                member.daemon().shared.read(|instance| !instance.table().route_names().is_empty())
            };
            mesh.members.iter().all(holds)
        })
        .await;
    }

    /// Waits until a condition holds.
    ///
    /// # Panics
    /// The condition does not hold within [`CONDITION_TIMEOUT`].
    pub async fn wait_until(&self, holds: impl Fn(&Self) -> bool) {
        let wait = async {
            while !holds(self) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(CONDITION_TIMEOUT, wait).await.expect("the condition holds in time");
    }

    pub async fn call(&self, member: usize, call_plan: &CallPlan) -> Answer {
        self.client.call(self.members[member].calls, call_plan).await
    }

    pub fn set_faults(&self, faults: &[Fault]) {
        for member in &self.members {
            member.server.set_faults(faults.to_vec());
        }
    }
}

impl Member {
    pub fn daemon(&self) -> &RunningDaemon {
        self.daemon.as_ref().expect("a running daemon")
    }

    /// Number of backend servers in its membership.
    pub fn servers_known(&self) -> usize {
        self.daemon().shared.read(|instance| instance.membership().servers().len())
    }

    /// Number of backend servers in its membership that are ready for calls.
    pub fn servers_ready(&self) -> usize {
        let servers = self.daemon().shared.read(|instance| instance.membership().servers());
        servers.iter().filter(|server| server.record.state == ServerState::Ready).count()
    }

    /// Drains its own backend server and announces another one, `raw-1`, at `address`.
    pub fn replace_server(&self, address: SocketAddr) {
        self.drain();
        let name = "raw-1".try_into().expect("a name");
        let announcement = Announcement { name, address, ..self.announcement.clone() };
        self.daemon().shared.with(|instance, now, out| {
            instance.announce_server(now, &announcement, out).expect("an announcement that holds");
        });
    }

    /// Announces that its backend server is draining.
    pub fn drain(&self) {
        self.announce(true);
    }

    fn announce(&self, draining: bool) {
        let announcement = Announcement { draining, ..self.announcement.clone() };
        self.daemon().shared.with(|instance, now, out| {
            instance.announce_server(now, &announcement, out).expect("an announcement that holds");
        });
    }
}

pub fn call_plan(method: http::Method, path: &str, key: &str) -> CallPlan {
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
        mesh_key: MeshKey(MESH_KEY),
        tokens: Vec::new(),
        limits: LimitSettings {
            gossip_period: Duration::from_millis(50),
            gossip_bytes_per_second: 1_000_000,
            announcement_lease: Duration::from_secs(120),
            stop_grace: Duration::from_secs(8),
            ..limits
        },
        statsd: None,
        metrics_listen: None,
        decision_log: None,
        seed: Some(index as u64 + 1),
    }
}

/// The announcement of a server, without an order.
pub fn announcement(server: &BackendServer) -> Announcement {
    let options = server.options();
    Announcement {
        order: None,
        cold: None,
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
