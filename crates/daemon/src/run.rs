//! Starts and stops one daemon.

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
use crate::calls::{CallServer, Observers};
use crate::effects::{self, Carrier};
use crate::lines::Lines;
use crate::log_client::LogClient;
use crate::settings::{PlatformSettings, Settings};
use crate::shared::{self, Shared};
use crate::store::{StoreSync, StoreView};
use crate::{gossip, http_endpoints, peers, store};

/// Largest gossip datagram, in bytes; fits the smallest common path MTU.
const DATAGRAM_BYTES: usize = 1_200;

/// How long a suspect member may take to refute, in gossip periods.
const SUSPICION_PERIODS: u32 = 3;

/// Longest wait of a read of the log.
const LONG_POLL: Duration = Duration::from_secs(10);

/// Silence of the relays after which a daemon reads the log itself, in gossip periods.
const RELAY_SILENCE_PERIODS: u32 = 5;

/// Snapshots served at a time.
const SNAPSHOT_TRANSFERS: u32 = 4;

/// Peers whose answers a fresh daemon waits for.
const FRESH_PEERS: u32 = 3;

/// Time for the last datagrams to leave when a daemon stops.
const LAST_WORDS: Duration = Duration::from_millis(50);

/// Tries to find a port that is free for both TCP and UDP.
const PEER_PORT_TRIES: u32 = 16;

/// Why a daemon did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A socket could not be bound.
    #[error("cannot listen on {address} for {purpose}: {cause}; free the port or choose another")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What for.
        purpose: &'static str,
        /// The system's word.
        cause: std::io::Error,
    },
    /// The thread that writes lines did not start.
    #[error("no thread for log lines: {0}; look at the limits of this process")]
    Lines(std::io::Error),
    /// The administration API did not start.
    #[error("the administration API does not start: {0}; check the address in the settings")]
    Admin(String),
}

/// A running daemon.
pub struct Running {
    /// The instance.
    pub shared: Shared,
    /// Where it listens, with the ports it got.
    pub addresses: Addresses,
    calls: CallServer,
    admin: AdminServer,
    tasks: JoinSet<()>,
}

/// Starts a daemon on the present tokio runtime.
///
/// # Errors
/// A port in use, or an address that this machine does not have.
pub async fn start(settings: Settings, lines: Option<Lines>) -> Result<Running, StartError> {
    let started = Instant::now();
    let (socket, peer_listener) = bind_peer(settings.listen.peer).await?;
    let call_listener = bind(settings.listen.calls, "calls").await?;
    let admin = AdminServer::bind(&settings)?;
    let platform = match &settings.platform {
        Some(platform) => Some(PlatformListeners::bind(platform).await?),
        None => None,
    };
    let metrics_listener = match settings.metrics_text {
        Some(address) => Some(bind(address, "metrics").await?),
        None => None,
    };
    let calls_at = local(call_listener.local_addr(), settings.listen.calls);
    let hops_at = platform.as_ref().map(|listeners| listeners.hops_at);
    let addresses = Addresses {
        calls: hops_at.unwrap_or(calls_at),
        peer: local(peer_listener.local_addr(), settings.listen.peer),
        admin: admin.address(),
    };
    let now = shared::now(started);
    let incarnation = Incarnation(now.wall.0);
    let seed = settings.seed.unwrap_or_else(rand::random);
    let instance = Instance::new(instance_settings(&settings, addresses, incarnation), seed, now);
    let (tx, rx) = mpsc::unbounded_channel();
    let shared = Shared::new(instance, started, tx);
    let carrier = Carrier {
        shared: shared.clone(),
        socket: Arc::new(socket),
        log: LogClient::new(settings.log_service),
        key: settings.mesh_key.clone(),
        store: store_sync(&settings, &shared),
    };
    admin.serve(shared.clone());
    let mut tasks = JoinSet::new();
    let hops = platform.map(|listeners| {
        tasks.spawn(http_endpoints::serve(shared.clone(), listeners.ready));
        tasks.spawn(http_endpoints::serve(shared.clone(), listeners.announcements));
        listeners.hops
    });
    let observers = Observers { lines, metrics: Arc::default() };
    if let Some(listener) = metrics_listener {
        let metrics = Arc::clone(&observers.metrics);
        tasks.spawn(http_endpoints::serve_metrics(shared.clone(), metrics, listener));
    }
    let calls =
        CallServer::start(shared.clone(), &settings, observers.clone(), call_listener, hops);
    if let Some(sync) = &carrier.store {
        let me =
            StoredMember { instance: settings.instance.clone(), incarnation, peer: addresses.peer };
        tasks.spawn(store::follow_store(sync.clone()));
        tasks.spawn(store::register_and_discover(sync.clone(), me));
    }
    tasks.spawn(gossip::receive(shared.clone(), Arc::clone(&carrier.socket)));
    let key = settings.mesh_key.clone();
    tasks.spawn(peers::serve(shared.clone(), carrier.store.clone(), peer_listener, key));
    tasks.spawn(effects::carry(carrier, rx));
    tasks.spawn(gossip::keep_time(shared.clone()));
    Ok(Running { shared, addresses, calls, admin, tasks })
}

impl Running {
    /// Stops gracefully: new calls are refused as not run, calls in flight end.
    pub async fn stop(mut self) {
        self.shared.with(|instance, now, out| instance.handle(now, Event::Stop, out));
        self.calls.stop().await;
        tokio::time::sleep(LAST_WORDS).await;
        self.admin.stop().await;
        self.tasks.shutdown().await;
    }

    /// Ends at once, as a killed process would.
    pub async fn kill(mut self) {
        self.tasks.shutdown().await;
        self.calls.kill();
        self.admin.stop().await;
    }
}

/// Listeners for the platform and for the backend server beside this daemon.
struct PlatformListeners {
    hops: TcpListener,
    hops_at: SocketAddr,
    ready: TcpListener,
    announcements: TcpListener,
}

impl PlatformListeners {
    async fn bind(platform: &PlatformSettings) -> Result<Self, StartError> {
        let hops = bind(platform.hops, "calls of daemons").await?;
        Ok(Self {
            hops_at: local(hops.local_addr(), platform.hops),
            hops,
            ready: bind(platform.ready, "readiness").await?,
            announcements: bind(platform.announcements, "announcements").await?,
        })
    }
}

fn store_sync(settings: &Settings, shared: &Shared) -> Option<StoreSync> {
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
        me: MemberRecord {
            instance: settings.instance.clone(),
            incarnation,
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            addresses,
        },
        labels: settings.labels.clone(),
        membership: MembershipSettings {
            period: limits.gossip_period,
            suspicion: limits.gossip_period * SUSPICION_PERIODS,
            datagram_bytes: DATAGRAM_BYTES,
            bytes_per_second: limits.gossip_bytes_per_second,
            seeds: settings.peers.clone(),
            key: settings.mesh_key.clone(),
        },
        distribution: DistributionSettings {
            source: settings.source(),
            long_poll: LONG_POLL,
            relay_silence: limits.gossip_period * RELAY_SILENCE_PERIODS,
            snapshot_transfers: SNAPSHOT_TRANSFERS,
            fresh_peers: FRESH_PEERS,
            poll_log: limits.poll_log,
        },
        adaptive_slots: limits.adaptive_slots,
        retries: limits.retries,
        announcement_lease: limits.announcement_lease,
        evidence_period: limits.evidence_period,
        queue: limits.queue,
        queue_wait: limits.queue_wait,
    }
}

async fn bind(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|cause| bind_error(address, purpose, cause))
}

/// Binds one port number for TCP and UDP.
async fn bind_peer(address: SocketAddr) -> Result<(UdpSocket, TcpListener), StartError> {
    let mut tries = 0;
    loop {
        let listener = bind(address, "peers (TCP)").await?;
        let bound = local(listener.local_addr(), address);
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((socket, listener)),
            Err(_) if address.port() == 0 && tries < PEER_PORT_TRIES => tries += 1,
            Err(cause) => return Err(bind_error(bound, "peers (UDP)", cause)),
        }
    }
}

fn bind_error(address: SocketAddr, purpose: &'static str, cause: std::io::Error) -> StartError {
    StartError::Bind { address, purpose, cause }
}

fn local(bound: std::io::Result<SocketAddr>, asked: SocketAddr) -> SocketAddr {
    bound.unwrap_or(asked)
}
