//! The daemons under measurement, and the log they read.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Context;
use cyclamen_daemon::log_client::LogClient;
use cyclamen_daemon::{LimitSettings, RunningDaemon, Settings, SharedInstance};
use cyclamen_declarations::{
    Change, ChangeEntry, EntryAction, Labels, Service, Version, VersionId,
};
use cyclamen_ledger::Ledger;
use cyclamen_membership::{Addresses, MemberState, MeshKey};
use cyclamen_standins::{LogOptions, LogService};
use cyclamen_types::{ConfigVersion, ServiceName, VersionName};
use cyclamenmoor::Announcement;
use tokio::task::JoinHandle;

use super::{Args, Mode};

/// Daemons whose addresses the others are given.
const SEEDS: usize = 3;

/// Pause between two reads of the log by a daemon that polls it.
const POLL_EVERY: Duration = Duration::from_secs(1);

/// Announcements of this measurement need no renewal.
const LEASE: Duration = Duration::from_secs(24 * 60 * 60);

/// Bytes of one label, about.
const LABEL_BYTES: usize = 48;

/// When a daemon held which version.
type Held = Arc<Mutex<Vec<(ConfigVersion, Instant)>>>;

/// A daemon with what it was seen to hold.
pub struct Daemon {
    running: RunningDaemon,
    settings: Settings,
    held: Held,
    watch: JoinHandle<()>,
}

/// All daemons.
pub struct Fleet {
    pub log: LogService,
    daemons: Vec<Daemon>,
    client: LogClient,
    appended: u64,
}

impl Fleet {
    pub async fn start(args: &Args) -> anyhow::Result<Self> {
        let log = LogService::start(any_port(), LogOptions::default()).await?;
        let client = LogClient::new(log.address());
        let mut fleet = Self { log, daemons: Vec::new(), client, appended: 0 };
        for index in 0..args.daemons {
            let settings = fleet.settings(args, index)?;
            fleet.daemons.push(Daemon::start(settings).await?);
        }
        let seeds: Vec<SocketAddr> = fleet.seeds();
        for daemon in &mut fleet.daemons {
            daemon.settings.peers.clone_from(&seeds);
        }
        Ok(fleet)
    }

    /// Whether a daemon accepted all changes that were appended.
    pub fn accepted_all(&self) -> bool {
        self.daemons.iter().all(|daemon| {
            let services = daemon.running.shared.read(|instance| instance.config().services.len());
            services as u64 == self.appended
        })
    }

    /// Whether every daemon is ready and knows all others and all backend servers.
    pub fn is_settled(&self) -> bool {
        let wanted = self.daemons.len();
        self.daemons.iter().all(|daemon| daemon.knows() == (wanted, wanted)) && self.is_ready()
    }

    pub fn is_ready(&self) -> bool {
        self.daemons.iter().all(|daemon| daemon.running.shared.read(|instance| instance.ready()))
    }

    /// Whether every daemon holds a version.
    pub fn holds(&self, version: ConfigVersion) -> bool {
        self.daemons.iter().all(|daemon| daemon.held_since(version).is_some())
    }

    /// How long each daemon took from `start` to hold a version.
    pub fn times(&self, version: ConfigVersion, start: Instant) -> Vec<Duration> {
        let mut times = Vec::new();
        for daemon in &self.daemons {
            times.extend(daemon.held_since(version).map(|at| at.saturating_duration_since(start)));
        }
        times
    }

    /// Appends a change of about `bytes` bytes; the version that it leads to.
    pub async fn append(&mut self, bytes: usize) -> anyhow::Result<ConfigVersion> {
        self.appended += 1;
        let payload = change_payload(self.appended, bytes)?;
        let offset = self.client.append(&payload.into()).await.context("no append")?;
        Ok(offset.version_after())
    }

    pub async fn restart(&mut self, index: usize) -> anyhow::Result<()> {
        let daemon = self.daemons.remove(index);
        let settings = daemon.kill().await;
        self.daemons.insert(index, Daemon::start(settings).await?);
        Ok(())
    }

    pub async fn restart_all(&mut self) -> anyhow::Result<()> {
        let mut all = Vec::new();
        for daemon in self.daemons.drain(..) {
            all.push(daemon.kill().await);
        }
        for settings in all {
            self.daemons.push(Daemon::start(settings).await?);
        }
        Ok(())
    }

    pub async fn stop(self) {
        for daemon in self.daemons {
            daemon.kill().await;
        }
        self.log.stop().await;
    }

    /// What each daemon sent and received so far, in bytes.
    pub fn traffic(&self) -> Vec<(u64, u64)> {
        let mut traffic = Vec::new();
        for daemon in &self.daemons {
            traffic.push(daemon.running.shared.read(|instance| {
                let gossip = instance.membership().counters();
                let fetched = instance.distribution().counters();
                let sent = gossip.bytes_sent + fetched.bytes_sent;
                (sent, gossip.bytes_received + fetched.bytes_received)
            }));
        }
        traffic
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        self.daemons.iter().take(SEEDS).map(|daemon| daemon.running.addresses.peer).collect()
    }

    fn settings(&self, args: &Args, index: usize) -> anyhow::Result<Settings> {
        let listen = Addresses { calls: any_port(), peer: any_port(), admin: any_port() };
        let log_poll_interval = (args.mode == Mode::Poll).then_some(POLL_EVERY);
        Ok(Settings {
            instance: format!("instance-{index}").parse()?,
            domain: format!("domain-{}", index % args.domains).parse()?,
            region: format!("region-{}", index % args.domains / 2).parse()?,
            labels: Default::default(),
            listen,
            peers: self.seeds(),
            log_service: self.log.address(),
            platform: None,
            mesh_key: MeshKey([1; 32]),
            tokens: Vec::new(),
            limits: LimitSettings {
                announcement_lease: LEASE,
                log_poll_interval,
                ..Default::default()
            },
            statsd: None,
            metrics_listen: None,
            decision_log: None,
            seed: Some(args.seed ^ ((index as u64) << 32)),
        })
    }
}

impl Daemon {
    async fn start(mut settings: Settings) -> anyhow::Result<Self> {
        let running = cyclamen_daemon::start(settings.clone(), None).await?;
        settings.listen = running.addresses;
        let server = Announcement {
            order: None,
            cold: None,
            name: format!("server-of-{}", settings.instance).parse()?,
            service: "dvere".parse()?,
            version: "v1".parse()?,
            labels: Default::default(),
            slots: 15,
            connections: 130,
            address: running.addresses.calls,
            draining: false,
        };
        running.shared.with(|instance, now, out| instance.announce_server(now, &server, out))?;
        let held = Held::default();
        let watch = tokio::spawn(watch(running.shared.clone(), Arc::clone(&held)));
        Ok(Self { running, settings, held, watch })
    }

    async fn kill(self) -> Settings {
        self.watch.abort();
        self.running.kill().await;
        self.settings
    }

    /// Members and backend servers it thinks are up.
    fn knows(&self) -> (usize, usize) {
        self.running.shared.read(|instance| {
            let members = instance.membership().members();
            let alive = members.iter().filter(|view| view.state == MemberState::Alive).count();
            (alive, instance.membership().servers().len())
        })
    }

    fn held_since(&self, version: ConfigVersion) -> Option<Instant> {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.iter().find(|(held, _)| *held >= version).map(|(_, at)| *at)
    }
}

/// Notes each version a daemon comes to hold.
async fn watch(shared: SharedInstance, held: Held) {
    let mut changed = shared.changed();
    let mut last = ConfigVersion::NONE;
    loop {
        let version = shared.read(|instance| instance.config().version);
        if version > last {
            last = version;
            held.lock().unwrap_or_else(PoisonError::into_inner).push((version, Instant::now()));
        }
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// A change that declares one service more, with labels of about `bytes` bytes.
fn change_payload(count: u64, bytes: usize) -> anyhow::Result<String> {
    let service: ServiceName = format!("service-{count}").parse()?;
    let version: VersionName = "v1".parse()?;
    let id = VersionId { service: service.clone(), version: version.clone() };
    let mut labels = Labels::default();
    for index in 0..bytes / LABEL_BYTES {
        let value = "x".repeat(LABEL_BYTES / 2);
        labels.0.insert(format!("label-{index}").into(), value.into());
    }
    let put = |declaration| ChangeEntry { base: None, action: EntryAction::Put(declaration) };
    let change = Change {
        id: format!("change-{count}").parse()?,
        team: "spolek".parse()?,
        entries: vec![
            put(Version { id, labels: Labels::default() }.into()),
            put(Service { name: service, labels, version }.into()),
        ],
    };
    Ok(Ledger::change_payload(&change))
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
