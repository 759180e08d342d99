//! Daemons on a thread each, with one backend server beside each.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use cyclamen_daemon::{LimitSettings, RunningDaemon, Settings, SharedInstance, start};
use cyclamen_declarations::{Labels, parse_change};
use cyclamen_membership::{Addresses, MeshKey};
use cyclamen_routing::{QueueOrder, RouterCounters, RouterMode};
use cyclamen_standins::{BackendOptions, BackendServer, LogOptions, LogService, RunRecord};
use cyclamen_types::Wall;
use cyclamenmoor::Announcement;
use tokio::sync::oneshot;

use crate::calls::cpu::ThreadCpu;

/// Longest wait for the mesh to form.
const FORM_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two looks at whether it has.
const LOOK: Duration = Duration::from_millis(20);

/// Connections that a backend server takes.
const CONNECTIONS: u32 = 130;

const DOMAINS: [&str; 3] = ["praha-a", "praha-b", "kladno"];

const DECLARATIONS: &str = "
declarations:
- name: dvere
  service: {version: v1}
- name: dvere/v1
  version: {}
- name: records
  route: {service: dvere, timeout: 10s, match: {path_prefix: /}}
- name: notices
  route:
    {service: dvere, timeout: 10s, match: {path_prefix: /notices}, idempotence: never, criticality: critical}
- name: lookups
  route: {service: dvere, timeout: 10s, match: {path_prefix: /lookups}, criticality: critical}
- name: packs
  route: {service: dvere, timeout: 10s, match: {path_prefix: /packs}, criticality: bulk}
";

/// What a mesh is built from.
pub(super) struct MeshOptions {
    pub(super) daemons: usize,
    /// Slots that each server announces.
    pub(super) slots: u32,
    /// Slots that each server has beyond those, for the direct path.
    pub(super) spare_slots: u32,
    pub(super) service_time: Duration,
    pub(super) mode: RouterMode,
    pub(super) order: QueueOrder,
    pub(super) seed: u64,
}

/// A running mesh.
pub(super) struct Mesh {
    pub(super) record: RunRecord,
    pub(super) members: Vec<Member>,
    _log: LogService,
}

/// A daemon and the backend server beside it.
pub(super) struct Member {
    pub(super) calls: SocketAddr,
    pub(super) peer: SocketAddr,
    pub(super) server: BackendServer,
    pub(super) cpu: ThreadCpu,
    shared: SharedInstance,
    end: Option<oneshot::Sender<End>>,
    announcement: Announcement,
}

/// How a daemon ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Stop,
    Kill,
}

/// What a daemon's thread tells once it runs.
struct Started {
    shared: SharedInstance,
    addresses: Addresses,
    cpu: ThreadCpu,
}

impl Mesh {
    /// Starts a mesh and waits until every daemon knows every server and the routes.
    pub(super) async fn start(options: &MeshOptions) -> anyhow::Result<Self> {
        let log = LogService::start(loopback(), LogOptions::default()).await?;
        let mut mesh = Self { record: RunRecord::default(), members: Vec::new(), _log: log };
        for index in 0..options.daemons {
            let member = mesh.start_member(index, options).await?;
            mesh.members.push(member);
        }
        mesh.publish()?;
        tokio::time::timeout(FORM_TIMEOUT, mesh.formed()).await.context("the mesh did not form")?;
        Ok(mesh)
    }

    async fn start_member(&self, index: usize, options: &MeshOptions) -> anyhow::Result<Member> {
        let peers = self.members.iter().map(|member| member.peer).collect();
        let settings = settings(index, options.seed, self._log.address(), peers)?;
        let (end, started) = spawn_daemon(settings);
        let started = started.await.context("a daemon did not start")?;
        let calls = started.addresses.calls;
        let backend = backend(index, options, calls)?;
        let server = BackendServer::start(loopback(), backend, self.record.clone()).await?;
        let announcement = announcement(&server, options.slots);
        let member = Member {
            calls,
            peer: started.addresses.peer,
            server,
            cpu: started.cpu,
            shared: started.shared,
            end: Some(end),
            announcement,
        };
        member.shared.with(|instance, now, out| {
            instance.set_router_mode(options.mode);
            instance.set_queue_order(now, options.order, out);
        });
        member.announce(false);
        Ok(member)
    }

    fn publish(&self) -> anyhow::Result<()> {
        let change = parse_change(DECLARATIONS, "calls".try_into()?, "doors".try_into()?, Wall(0))
            .map_err(|faults| anyhow::anyhow!("{faults:?}"))?;
        self.members[0].shared.with(|instance, now, out| instance.publish(now, &change, out));
        Ok(())
    }

    async fn formed(&self) {
        while !self.members.iter().all(|member| member.knows(self.members.len())) {
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Processor time of all daemons that still run.
    pub(super) fn daemon_cpu(&self) -> Duration {
        self.members.iter().map(|member| member.cpu.used()).sum()
    }

    /// Counters of all routers, added up.
    pub(super) fn counters(&self) -> RouterCounters {
        let mut sum = RouterCounters::default();
        for member in &self.members {
            let counters = member.shared.read(|instance| *instance.router().counters());
            sum.calls += counters.calls;
            sum.retries += counters.retries;
            sum.retries_refused += counters.retries_refused;
            sum.refused += counters.refused;
            sum.unknown += counters.unknown;
            sum.ejections += counters.ejections;
        }
        sum
    }
}

impl Member {
    /// Announces its server, or lets it drain.
    pub(super) fn announce(&self, draining: bool) {
        let announcement = Announcement { draining, ..self.announcement.clone() };
        self.shared.with(|instance, now, out| {
            // The announcement has slots, which is all that is asked of it.
            let _ = instance.announce_server(now, &announcement, out);
        });
    }

    /// Asks its daemon to stop gracefully.
    pub(super) fn stop_daemon(&mut self) {
        self.end_daemon(End::Stop);
    }

    /// Ends its daemon at once.
    pub(super) fn kill_daemon(&mut self) {
        self.end_daemon(End::Kill);
    }

    fn end_daemon(&mut self, end: End) {
        if let Some(tx) = self.end.take() {
            // A daemon that has ended already needs no telling.
            let _ = tx.send(end);
        }
    }

    fn knows(&self, servers: usize) -> bool {
        self.shared.read(|instance| {
            let known = instance.membership().servers().len() >= servers;
            known && !instance.table().route_names().is_empty()
        })
    }
}

/// Runs a daemon on a thread of its own until told to end, or until the sender is dropped.
fn spawn_daemon(settings: Settings) -> (oneshot::Sender<End>, oneshot::Receiver<Started>) {
    let (end, ended) = oneshot::channel();
    let (tx, rx) = oneshot::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let (Ok(runtime), Ok(cpu)) = (runtime, ThreadCpu::of_this_thread()) else {
            return;
        };
        runtime.block_on(async {
            let Ok(daemon) = start(settings, None).await else {
                return;
            };
            let (shared, addresses) = (daemon.shared.clone(), daemon.addresses);
            if tx.send(Started { shared, addresses, cpu }).is_ok() {
                run_until(daemon, ended).await;
            }
        });
    });
    (end, rx)
}

async fn run_until(daemon: RunningDaemon, ended: oneshot::Receiver<End>) {
    match ended.await {
        Ok(End::Stop) => daemon.stop().await,
        Ok(End::Kill) | Err(_) => daemon.kill().await,
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn backend(
    index: usize,
    options: &MeshOptions,
    onward: SocketAddr,
) -> anyhow::Result<BackendOptions> {
    Ok(BackendOptions {
        name: format!("dvere-{index}").try_into()?,
        service: "dvere".try_into()?,
        version: "v1".try_into()?,
        slots: options.slots + options.spare_slots,
        connections: CONNECTIONS,
        service_time: options.service_time,
        cold_start: Duration::ZERO,
        onward: Some(onward),
        faults: Vec::new(),
        seed: options.seed,
    })
}

fn settings(
    index: usize,
    seed: u64,
    log_service: SocketAddr,
    peers: Vec<SocketAddr>,
) -> anyhow::Result<Settings> {
    Ok(Settings {
        instance: format!("daemon-{index}").try_into()?,
        domain: DOMAINS[index % DOMAINS.len()].try_into()?,
        region: "cz-stred".try_into()?,
        labels: Labels::default(),
        listen: Addresses { calls: loopback(), peer: loopback(), admin: loopback() },
        peers,
        log_service,
        platform: None,
        mesh_key: MeshKey([7; 32]),
        tokens: Vec::new(),
        limits: LimitSettings {
            announcement_lease: Duration::from_secs(3_600),
            ..LimitSettings::default()
        },
        statsd: None,
        metrics_listen: None,
        decision_log: None,
        seed: Some(seed.wrapping_add(index as u64)),
    })
}

fn announcement(server: &BackendServer, slots: u32) -> Announcement {
    let options = server.options();
    Announcement {
        order: None,
        cold: None,
        name: options.name.clone(),
        service: options.service.clone(),
        version: options.version.clone(),
        labels: Labels::default(),
        slots,
        connections: options.connections,
        address: server.address(),
        draining: false,
    }
}
