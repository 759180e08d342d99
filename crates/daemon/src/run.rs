//! Starts and stops one daemon.
//!
//! [`start`] binds the sockets, creates the instance and spawns the tasks that serve it. The
//! result, [`RunningDaemon`], stops the daemon gracefully or at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cyclamen_distribution::DistributionSettings;
use cyclamen_membership::{Addresses, MemberRecord, MembershipSettings};
use cyclamen_platform::Store;
use cyclamen_port::StoredMember;
use cyclamen_types::Incarnation;
use cyclamenmoor::{Event, Instance, InstanceSettings};
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::admin::AdminServer;
use crate::calls::{CallObservers, CallServer};
use crate::decision_log::DecisionLog;
use crate::effects::{self, EffectRunner};
use crate::local_backend::LocalBackend;
use crate::log_client::LogClient;
use crate::settings::{PlatformSettings, Settings};
use crate::shared::{self, SharedInstance};
use crate::store::{StoreSync, StoreView};
use crate::{gossip, http_endpoints, peers, store};

/// Largest gossip datagram, in bytes. It fits the smallest common path MTU.
const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Time in which a suspect member may refute the suspicion, in gossip periods.
const SUSPICION_PERIODS: u32 = 3;

/// Timeout of a long poll of the log.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of gossip periods without a known answer of the log to any daemon, after which a daemon
/// reads the log itself instead of waiting for its relays. Relays are the daemons that read the log
/// for their failure domain. Once the daemon is ready, the timeout of a long poll and the time that
/// gossip takes to spread are added.
const RELAY_SILENCE_PERIODS: u32 = 5;

/// Number of snapshots that are served to peers at the same time.
const MAX_SNAPSHOT_TRANSFERS: u32 = 4;

/// Number of ready peers that a newly started daemon asks for their configuration version before it
/// becomes ready without having read the log itself. After a few seconds, one answer is enough.
const STARTUP_PEERS: u32 = 3;

/// Time for the last gossip datagrams to be sent when a daemon stops.
const GOSSIP_FLUSH_TIME: Duration = Duration::from_millis(50);

/// Maximum number of retries to find a port that is free for both TCP and UDP.
const MAX_PEER_PORT_RETRIES: u32 = 16;

/// Why a daemon did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A socket could not be bound.
    #[error("cannot listen on {address} for {purpose}: {cause}; free the port or choose another")]
    Bind {
        /// The address in the settings; for UDP, with the port that was bound for TCP.
        address: SocketAddr,
        /// What the socket is for, as named in the message.
        purpose: &'static str,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// The thread that writes the decision log could not be started.
    #[error(
        "cannot start the thread that writes the decision log: {0}; check the limits of this process"
    )]
    DecisionLogThread(std::io::Error),
    /// The administration API could not be started.
    #[error("cannot start the administration API: {0}; check its address in the settings")]
    Admin(String),
}

/// A running daemon.
pub struct RunningDaemon {
    /// The instance, for inspection and for events from outside.
    pub shared: SharedInstance,
    /// The addresses that other daemons are told, with the ports that were actually bound. On the
    /// platform, `calls` is the listener for calls from other daemons, not the one for callers.
    pub addresses: Addresses,
    calls: CallServer,
    admin: AdminServer,
    tasks: JoinSet<()>,
}

/// Starts a daemon on the current tokio runtime. Decisions about calls are written to
/// `decision_log`, if given.
///
/// # Errors
/// A socket cannot be bound, for example because its port is in use or this machine does not have
/// the address, or the administration API cannot be started.
///
/// # Panics
/// If called outside a tokio runtime.
pub async fn start(
    settings: Settings,
    decision_log: Option<DecisionLog>,
) -> Result<RunningDaemon, StartError> {
    let started = Instant::now();
    let (socket, peer_listener) = bind_peer(settings.listen.peer).await?;
    let call_listener = bind(settings.listen.calls, "calls").await?;
    let admin = AdminServer::bind(&settings)?;
    let platform = match &settings.platform {
        Some(platform) => Some(PlatformListeners::bind(platform).await?),
        None => None,
    };
    let metrics_listener = match settings.metrics_listen {
        Some(address) => Some(bind(address, "metrics").await?),
        None => None,
    };
    let calls_address = bound_or_requested(call_listener.local_addr(), settings.listen.calls);
    let hops_address = platform.as_ref().map(|listeners| listeners.hops_address);
    let addresses = Addresses {
        calls: hops_address.unwrap_or(calls_address),
        peer: bound_or_requested(peer_listener.local_addr(), settings.listen.peer),
        admin: admin.local_address(),
    };
    let now = shared::now(started);
    let incarnation = Incarnation(now.wall.0);
    let seed = settings.seed.unwrap_or_else(rand::random);
    let instance = Instance::new(instance_settings(&settings, addresses, incarnation), seed, now);
    let (effect_sender, effect_receiver) = mpsc::unbounded_channel();
    let shared = SharedInstance::new(instance, started, effect_sender);
    let effect_runner = EffectRunner {
        shared: shared.clone(),
        socket: Arc::new(socket),
        log: LogClient::new(settings.log_service),
        key: settings.mesh_key.clone(),
        store: store_sync(&settings, &shared),
    };
    admin.set_instance(shared.clone());
    let mut tasks = JoinSet::new();
    let mut hops = None;
    if let (Some(listeners), Some(platform), Some(store)) =
        (platform, &settings.platform, &effect_runner.store)
    {
        let backend = LocalBackend { service: platform.service.clone(), address: platform.server };
        for listener in [listeners.ready, listeners.announcements] {
            let (store, backend) = (store.clone(), backend.clone());
            tasks.spawn(http_endpoints::serve(shared.clone(), store, backend, listener));
        }
        hops = Some(listeners.hops);
    }
    let observers = CallObservers { decision_log, metrics: Arc::default() };
    if let Some(listener) = metrics_listener {
        let metrics = Arc::clone(&observers.metrics);
        tasks.spawn(http_endpoints::serve_metrics(shared.clone(), metrics, listener));
    }
    let calls =
        CallServer::start(shared.clone(), &settings, observers.clone(), call_listener, hops);
    if let Some(sync) = &effect_runner.store {
        let me =
            StoredMember { instance: settings.instance.clone(), incarnation, peer: addresses.peer };
        tasks.spawn(store::follow_store(sync.clone()));
        tasks.spawn(store::keep_departures(sync.clone(), settings.instance.clone()));
        tasks.spawn(store::register_and_discover(sync.clone(), me));
    }
    let (key, me) = (settings.mesh_key.clone(), settings.instance.clone());
    tasks.spawn(store::ask_peers(shared.clone(), key, me, incarnation));
    tasks.spawn(gossip::receive(shared.clone(), Arc::clone(&effect_runner.socket)));
    let key = settings.mesh_key.clone();
    tasks.spawn(peers::serve(shared.clone(), effect_runner.store.clone(), peer_listener, key));
    tasks.spawn(effects::run(effect_runner, effect_receiver));
    tasks.spawn(gossip::run_timer(shared.clone()));
    Ok(RunningDaemon { shared, addresses, calls, admin, tasks })
}

impl RunningDaemon {
    /// Longest time of a graceful stop, until the connections that are still open are closed.
    pub fn longest_stop(&self) -> Duration {
        self.calls.longest_stop()
    }

    /// Stops gracefully: the instance leaves the mesh, and the call server drains (see
    /// [`CallServer::stop`]).
    pub async fn stop(mut self) {
        self.shared.with(|instance, now, out| {
            let times = self.calls.stop_times(now.mono);
            instance.handle(now, Event::Stop(times), out);
        });
        self.calls.stop().await;
        tokio::time::sleep(GOSSIP_FLUSH_TIME).await;
        self.admin.stop().await;
        self.tasks.shutdown().await;
    }

    /// Aborts calls and tasks at once, without notice to callers or members, like a killed process.
    /// Administration requests in progress are still answered.
    pub async fn kill(mut self) {
        self.tasks.shutdown().await;
        self.calls.abort();
        self.admin.stop().await;
    }
}

/// Listeners for calls from other daemons, for readiness checks of the platform, and for
/// announcements of the local backend server.
struct PlatformListeners {
    hops: TcpListener,
    hops_address: SocketAddr,
    ready: TcpListener,
    announcements: TcpListener,
}

impl PlatformListeners {
    async fn bind(platform: &PlatformSettings) -> Result<Self, StartError> {
        let hops = bind(platform.hops, "calls of daemons").await?;
        Ok(Self {
            hops_address: bound_or_requested(hops.local_addr(), platform.hops),
            hops,
            ready: bind(platform.ready, "readiness").await?,
            announcements: bind(platform.announcements, "announcements").await?,
        })
    }
}

fn store_sync(settings: &Settings, shared: &SharedInstance) -> Option<StoreSync> {
    let platform = settings.platform.as_ref()?;
    let view = StoreView::new(settings.instance.clone());
    Some(StoreSync::new(
        shared.clone(),
        Store::new(platform.store),
        settings.mesh_key.clone(),
        view,
    ))
}

fn instance_settings(
    settings: &Settings,
    addresses: Addresses,
    incarnation: Incarnation,
) -> InstanceSettings {
    let limits = &settings.limits;
    InstanceSettings {
        local_member: MemberRecord {
            instance: settings.instance.clone(),
            incarnation,
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            addresses,
        },
        labels: settings.labels.clone(),
        membership: MembershipSettings {
            gossip_period: limits.gossip_period,
            suspicion_timeout: limits.gossip_period * SUSPICION_PERIODS,
            max_datagram_bytes: MAX_DATAGRAM_BYTES,
            bytes_per_second: limits.gossip_bytes_per_second,
            seeds: settings.peers.clone(),
            key: settings.mesh_key.clone(),
        },
        distribution: DistributionSettings {
            source: settings.config_source(),
            long_poll: LONG_POLL_TIMEOUT,
            relay_silence: limits.gossip_period * RELAY_SILENCE_PERIODS,
            snapshot_transfers: MAX_SNAPSHOT_TRANSFERS,
            fresh_peers: STARTUP_PEERS,
            log_poll_interval: limits.log_poll_interval,
        },
        adaptive_slots: limits.adaptive_slots,
        cold_overshoot: limits.cold_overshoot,
        retry_limits: limits.retries,
        announcement_lease: limits.announcement_lease,
        awaits_history: settings.platform.is_some(),
        evidence_period: limits.evidence_period,
        default_queue_limit: limits.queue,
        default_queue_wait: limits.queue_wait,
        drain_time: limits.drain_time,
    }
}

async fn bind(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|cause| bind_error(address, purpose, cause))
}

/// Binds the same port number for TCP and UDP. With port 0, another port is tried if the one that
/// the system chose for TCP is taken for UDP.
async fn bind_peer(address: SocketAddr) -> Result<(UdpSocket, TcpListener), StartError> {
    let mut retries = 0;
    loop {
        let listener = bind(address, "peers (TCP)").await?;
        let bound = bound_or_requested(listener.local_addr(), address);
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((socket, listener)),
            Err(_) if address.port() == 0 && retries < MAX_PEER_PORT_RETRIES => retries += 1,
            Err(cause) => return Err(bind_error(bound, "peers (UDP)", cause)),
        }
    }
}

fn bind_error(address: SocketAddr, purpose: &'static str, cause: std::io::Error) -> StartError {
    StartError::Bind { address, purpose, cause }
}

fn bound_or_requested(bound: std::io::Result<SocketAddr>, requested: SocketAddr) -> SocketAddr {
    bound.unwrap_or(requested)
}
