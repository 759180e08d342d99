//! The instance: ledger, distribution, membership, moves and routing joined.

use std::net::SocketAddr;
use std::sync::Arc;

use cyclamen_declarations::Labels;
use cyclamen_distribution::{
    ConfigSource, Distribution, Fetch, LogBatch, LogReadError, PeerRequest, PeerResponse,
};
use cyclamen_ledger::{Config, Ledger, LogRecord};
use cyclamen_membership::{Held, Membership, Outgoing, Rider, RiderKind, ServerView};
use cyclamen_moves::{Moves, MovesEffect, MovesSettings};
use cyclamen_routing::{QueueOrder, RouteTable, Router, RouterSettings, ServerInfo, VersionSplit};
use cyclamen_types::{ConfigVersion, FastMap, Mono, Now, Offset, ServerName};

use crate::appends::Appends;
use crate::event::{AppendError, Effect, Effects, Event, Ticket};
use crate::servers::Beside;
use crate::settings::InstanceSettings;
use crate::sync;

/// Largest part of a snapshot in the log, in bytes.
const SNAPSHOT_PART_BYTES: usize = 32 * 1024;

/// One instance of the system.
#[derive(Debug)]
pub struct Instance {
    pub(crate) settings: InstanceSettings,
    pub(crate) labels: Labels,
    pub(crate) ledger: Ledger,
    pub(crate) distribution: Distribution,
    pub(crate) membership: Membership,
    pub(crate) moves: Moves,
    pub(crate) router: Router,
    pub(crate) beside: FastMap<ServerName, Beside>,
    /// The lives of backend servers that said that they leave.
    pub(crate) left: FastMap<ServerName, u64>,
    pub(crate) queue_order: QueueOrder,
    pub(crate) appends: Appends,
    pub(crate) sequence: u64,
    pub(crate) stopping: bool,
    told_ready: bool,
    /// The latest configuration of which it was told that others hold it.
    told_behind: ConfigVersion,
    pub(crate) table_faults: u64,
    /// The topology that the router was last told; `None` when it has to be told anew.
    topology: Option<u64>,
    /// The configuration in force; `None` when the one held was not put in force yet.
    adopted: Option<ConfigVersion>,
    outgoing: Vec<Outgoing>,
    fetches: Vec<Fetch>,
    pub(crate) moves_out: Vec<MovesEffect>,
}

impl Instance {
    /// An instance that knows its settings only. All its randomness comes from `seed`.
    pub fn new(settings: InstanceSettings, seed: u64, now: Now) -> Self {
        let me = settings.me.clone();
        let mut labels = settings.labels.clone();
        labels.0.insert("instance".into(), me.instance.as_str().into());
        labels.0.insert("failure-domain".into(), me.domain.as_str().into());
        labels.0.insert("region".into(), me.region.as_str().into());
        let moves = MovesSettings {
            instance: me.instance.clone(),
            incarnation: me.incarnation,
            domain: me.domain.clone(),
            evidence_period: settings.evidence_period,
        };
        let router = RouterSettings {
            domain: me.domain.clone(),
            region: me.region.clone(),
            retries: settings.retries,
        };
        Self {
            labels,
            ledger: Ledger::default(),
            distribution: Distribution::new(settings.distribution.clone(), seed, now),
            membership: Membership::new(me, settings.membership.clone(), seed, now),
            moves: Moves::new(moves, now),
            router: Router::new(router, seed),
            beside: FastMap::default(),
            left: FastMap::default(),
            queue_order: QueueOrder::default(),
            appends: Appends::new(seed),
            sequence: 0,
            stopping: false,
            told_ready: false,
            told_behind: ConfigVersion::NONE,
            table_faults: 0,
            topology: None,
            adopted: Some(ConfigVersion::NONE),
            outgoing: Vec::new(),
            fetches: Vec::new(),
            moves_out: Vec::new(),
            settings,
        }
    }

    /// Takes one event; what has to be done is pushed to `out`.
    pub fn handle(&mut self, now: Now, event: Event, out: &mut Effects) {
        match event {
            Event::Wakeup => self.wakeup(now, out),
            Event::Datagram { from, bytes } => self.on_datagram(now, from, &bytes, out),
            Event::LogRead(answer) => self.on_log(now, answer),
            Event::PeerAnswer { from, response } => self.on_peer(now, from, response),
            Event::Appended { ticket, result } => self.on_appended(now, ticket, &result),
            Event::Stop => self.stop(now, out),
        }
        self.settle(now, out);
    }

    /// Takes over a configuration that the store keeps whole; one of a lower version than the one
    /// held is ignored, and `false` returned.
    pub fn adopt(&mut self, now: Now, config: Config, out: &mut Effects) -> bool {
        if !self.ledger.adopt(config) {
            return false;
        }
        self.distribution.stored();
        self.adopted = None;
        self.settle(now, out);
        true
    }

    /// Whether another daemon was heard to hold a later configuration of the store.
    pub fn behind(&self) -> bool {
        !self.reads_log() && self.membership.best_version() > self.ledger.version()
    }

    /// Whether this daemon reads the store for its failure domain, so that others hear from it.
    pub fn reads_store(&self, now: Now) -> bool {
        let me = self.membership.me();
        !self.membership.settled(now) || self.membership.relays(&me.domain).contains(&me.instance)
    }

    /// Notes that the store answered this daemon.
    pub fn store_answered(&mut self, now: Now) {
        self.membership.log_answered(now);
    }

    /// Adds addresses of other members to join by.
    pub fn add_peers(&mut self, now: Now, peers: &[SocketAddr], out: &mut Effects) {
        self.membership.add_seeds(now, peers);
        self.settle(now, out);
    }

    /// When [`Event::Wakeup`] is due.
    pub fn next_wakeup(&self) -> Mono {
        let mut next = self.membership.next_tick();
        next = next.min(self.distribution.next_tick());
        next = next.min(self.moves.next_tick());
        next = next.min(self.appends.next_retry());
        next.min(self.next_server_timer())
    }

    /// Answers a peer's request. After an answer that carries a snapshot call
    /// [`Instance::served`].
    pub fn serve(&mut self, now: Now, request: &PeerRequest) -> PeerResponse {
        self.distribution.serve(now, request, &self.ledger)
    }

    /// A snapshot was sent, or its connection broke.
    pub fn served(&mut self) {
        self.distribution.served();
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        self.ledger.config()
    }

    /// The table of routes in force.
    pub fn table(&self) -> &Arc<RouteTable> {
        self.router.table()
    }

    /// The fold of the log.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Members and backend servers.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Who fetches what from whom.
    pub fn distribution(&self) -> &Distribution {
        &self.distribution
    }

    /// The moves.
    pub fn moves(&self) -> &Moves {
        &self.moves
    }

    /// The router, with its counters.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// Whether the configuration comes from a log, which some daemons read for the others.
    pub fn reads_log(&self) -> bool {
        self.settings.distribution.source == ConfigSource::Log
    }

    /// Whether this daemon is ready for new callers.
    pub fn ready(&self) -> bool {
        self.distribution.ready() && !self.stopping
    }

    fn wakeup(&mut self, now: Now, out: &mut Effects) {
        if now.mono >= self.membership.next_tick() {
            self.membership.tick(now, &mut self.outgoing);
        }
        if now.mono >= self.distribution.next_tick() {
            self.distribution.tick(now, &self.ledger, &mut self.membership, &mut self.fetches);
            self.append_snapshot_if_due(now, out);
        }
        if now.mono >= self.moves.next_tick() {
            self.tick_moves(now);
        }
        self.appends.retry(now, out);
        self.tick_servers(now, out);
    }

    fn tick_moves(&mut self, now: Now) {
        let servers = self.counted_servers();
        let domain = self.settings.me.domain.clone();
        let slots = |service: &_, version: &_| sync::slots_in(&servers, &domain, service, version);
        self.moves.tick(now, &slots, &mut self.moves_out);
    }

    fn on_datagram(&mut self, now: Now, from: SocketAddr, bytes: &[u8], out: &mut Effects) {
        let Ok(received) = self.membership.on_datagram(now, from, bytes, &mut self.outgoing) else {
            return;
        };
        for rider in received.riders {
            match rider.kind {
                RiderKind::Conviction | RiderKind::Evidence => {
                    self.moves.merge(now, &rider.payload, &mut self.moves_out);
                }
                RiderKind::Records => self.fold_rider(now, &rider),
            }
        }
        self.distribution.heard(now, &self.ledger, &self.membership);
        self.notice_behind(out);
    }

    /// Wakes whoever reads the store when a later configuration is heard of than ever before.
    fn notice_behind(&mut self, out: &mut Effects) {
        let best = self.membership.best_version();
        if self.behind() && best > self.told_behind {
            self.told_behind = best;
            out.push(Effect::Changed);
        }
    }

    fn fold_rider(&mut self, now: Now, rider: &Rider) {
        let Ok(records) = postcard::from_bytes::<Vec<LogRecord>>(&rider.payload) else {
            return;
        };
        self.distribution.on_records(now, &records, &mut self.ledger);
    }

    fn on_log(&mut self, now: Now, answer: Result<LogBatch, LogReadError>) {
        let fresh = self.distribution.on_log(now, answer, &mut self.ledger);
        self.state_held();
        self.spread_records(now, &fresh);
    }

    fn on_appended(&mut self, now: Now, ticket: Ticket, result: &Result<Offset, AppendError>) {
        if let Ok(offset) = result {
            self.distribution.expect(now, offset.version_after());
        }
        self.appends.answered(now, ticket, result);
    }

    fn on_peer(&mut self, now: Now, from: SocketAddr, response: Option<PeerResponse>) {
        self.distribution.on_peer(now, from, response, &mut self.ledger);
    }

    fn append_snapshot_if_due(&mut self, now: Now, out: &mut Effects) {
        if !self.distribution.snapshot_due(now) {
            return;
        }
        for payload in self.ledger.snapshot_payloads(SNAPSHOT_PART_BYTES) {
            self.appends.once(payload.into(), out);
        }
    }

    fn spread_records(&mut self, now: Now, records: &[LogRecord]) {
        for record in records {
            let record = record.for_peers();
            let Ok(bytes) = postcard::to_stdvec(std::slice::from_ref(&record)) else {
                continue;
            };
            let rider = Rider { kind: RiderKind::Records, payload: bytes.into() };
            self.membership.spread(now, rider, true, &mut self.outgoing);
        }
    }

    fn stop(&mut self, now: Now, out: &mut Effects) {
        self.stopping = true;
        self.drain_all(now, out);
        self.membership.leave(now, &mut self.outgoing);
    }

    /// Brings derived state in step and turns what the parts pushed into effects.
    pub(crate) fn settle(&mut self, now: Now, out: &mut Effects) {
        self.adopt_config(now, out);
        self.carry_out_moves(now, out);
        self.adopt_topology(now);
        self.tell_ready(out);
        out.extend(self.outgoing.drain(..).map(Effect::Send));
        out.extend(self.fetches.drain(..).map(Effect::Fetch));
    }

    fn tell_ready(&mut self, out: &mut Effects) {
        if self.told_ready != self.ready() {
            self.told_ready = self.ready();
            out.push(Effect::Changed);
        }
    }

    fn adopt_config(&mut self, now: Now, out: &mut Effects) {
        if self.adopted == Some(self.ledger.version()) {
            return;
        }
        self.adopted = Some(self.ledger.version());
        self.topology = None;
        self.state_held();
        let config = Arc::clone(self.ledger.config());
        match RouteTable::build(&config, &self.labels) {
            Ok(table) => {
                self.router.install(Arc::new(table));
                self.adopt_limits();
            }
            Err(_) => self.table_faults += 1,
        }
        self.moves.adopt(now, &config, &mut self.moves_out);
        self.adopt_splits();
        self.appends.settle(&self.ledger);
        out.push(Effect::Changed);
    }

    fn state_held(&mut self) {
        let held = Held { version: self.ledger.version(), hash: self.ledger.hash().0 };
        self.membership.set_held(held);
    }

    fn adopt_splits(&mut self) {
        let splits: Vec<VersionSplit> =
            self.moves.splits().into_iter().map(sync::version_split).collect();
        self.router.set_splits(&splits);
    }

    fn adopt_topology(&mut self, now: Now) {
        if self.topology == Some(self.membership.topology()) {
            return;
        }
        self.topology = Some(self.membership.topology());
        let mut servers: Vec<ServerInfo> = Vec::new();
        for view in self.counted_servers() {
            servers.extend(sync::server_info(&view, &self.settings.me.instance));
        }
        self.router.set_servers(now, &servers);
    }

    /// The backend servers that may take calls, each under the version that it counts under.
    fn counted_servers(&self) -> Vec<ServerView> {
        let config = self.ledger.config();
        let mut views = self.membership.servers();
        views.retain_mut(|view| {
            let record = &mut view.record;
            let Some(version) = config.counted_version(&record.service, &record.version) else {
                return false;
            };
            record.version = version;
            true
        });
        views
    }

    fn carry_out_moves(&mut self, now: Now, out: &mut Effects) {
        let mut effects = std::mem::take(&mut self.moves_out);
        for effect in effects.drain(..) {
            match effect {
                MovesEffect::Convict(payload) => {
                    self.spread_moves(now, RiderKind::Conviction, payload);
                }
                MovesEffect::Evidence(payload) => {
                    self.spread_moves(now, RiderKind::Evidence, payload);
                }
                MovesEffect::Append(id, verdict) => match self.settings.distribution.source {
                    ConfigSource::Log => self.appends.verdict(id, verdict, out),
                    ConfigSource::Store => self.appends.settle_in_store(id, verdict, out),
                },
                MovesEffect::SplitsChanged => {
                    self.adopt_splits();
                    out.push(Effect::Changed);
                }
            }
        }
        self.moves_out = effects;
    }

    fn spread_moves(&mut self, now: Now, kind: RiderKind, payload: Arc<[u8]>) {
        let urgent = kind == RiderKind::Conviction;
        self.membership.spread(now, Rider { kind, payload }, urgent, &mut self.outgoing);
    }
}
