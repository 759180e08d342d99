//! [`Instance`]: combines ledger, distribution, membership, moves, routing and the blocklist into
//! one state machine.
//!
//! Events and public methods update one of these parts. [`Instance::reconcile`] then brings the
//! state derived from them up to date and emits the resulting effects.

use std::net::SocketAddr;
use std::sync::Arc;

use cyclamen_declarations::Labels;
use cyclamen_distribution::{
    ConfigSource, Distribution, Fetch, LogBatch, LogReadError, PeerRequest, PeerResponse,
};
use cyclamen_ledger::{Config, Ledger, LogRecord};
use cyclamen_membership::{
    AppliedConfig, Broadcast, BroadcastKind, Membership, Outgoing, ServerState, ServerView,
};
use cyclamen_moves::{Moves, MovesEffect, MovesSettings};
use cyclamen_routing::{
    QueueOrder, RouteTable, Router, RouterSettings, ServerInfo, StopTimes, VersionSplit,
};
use cyclamen_types::{ConfigVersion, FastMap, InstanceName, Mono, Now, Offset, ServerName};

use crate::allowances::AccountAllowances;
use crate::appends::Appends;
use crate::blocked_calls::BlockedCalls;
use crate::conversions;
use crate::departures::{self, Departures};
use crate::event::{AppendError, AppendTicket, Effect, Effects, Event};
use crate::history::History;
use crate::local_servers::LocalServer;
use crate::settings::InstanceSettings;

/// Maximum size of one record of a snapshot that is appended to the log, in bytes.
const SNAPSHOT_PART_BYTES: usize = 32 * 1024;

/// The state machine of one daemon. See the crate documentation for how it is driven.
#[derive(Debug)]
pub struct Instance {
    pub(crate) settings: InstanceSettings,
    pub(crate) labels: Labels,
    pub(crate) ledger: Ledger,
    pub(crate) distribution: Distribution,
    pub(crate) membership: Membership,
    pub(crate) moves: Moves,
    pub(crate) blocked_calls: BlockedCalls,
    pub(crate) allowances: AccountAllowances,
    pub(crate) router: Router,
    pub(crate) local_servers: FastMap<ServerName, LocalServer>,
    /// Departures of backend servers, by the daemon that hosts them; its own among them.
    pub(crate) departures: FastMap<InstanceName, Departures>,
    pub(crate) history: History,
    pub(crate) queue_order: QueueOrder,
    pub(crate) appends: Appends,
    /// Sequence number of the last server record that this instance published.
    pub(crate) record_sequence: u64,
    pub(crate) stopping: bool,
    pub(crate) started_at: Mono,
    /// Whether the local servers get no calls because this failure domain is emptied.
    pub(crate) domain_emptied: bool,
    /// The readiness that was last signalled with [`Effect::Changed`].
    signalled_ready: bool,
    /// The newest version held by another daemon that was signalled with [`Effect::Changed`].
    signalled_version: ConfigVersion,
    /// Configurations that no route table could be built from; the previous table stays active.
    pub(crate) route_table_failures: u64,
    /// Membership topology that the router's servers were last derived from; `None` if they have to
    /// be derived again.
    applied_topology: Option<u64>,
    /// Version of the ledger's configuration that was last applied to routing and moves; `None` if
    /// the configuration has to be applied again, even at an unchanged version.
    applied_version: Option<ConfigVersion>,
    pub(crate) outgoing: Vec<Outgoing>,
    fetches: Vec<Fetch>,
    pub(crate) move_effects: Vec<MovesEffect>,
}

impl Instance {
    /// Creates an instance without configuration, peers or backend servers. All its randomness
    /// derives from `seed`.
    pub fn new(settings: InstanceSettings, seed: u64, now: Now) -> Self {
        let me = settings.local_member.clone();
        let mut labels = settings.labels.clone();
        labels.0.insert("instance".into(), me.instance.as_str().into());
        labels.0.insert("failure-domain".into(), me.domain.as_str().into());
        labels.0.insert("region".into(), me.region.as_str().into());
        let moves = MovesSettings {
            instance: me.instance.clone(),
            incarnation: me.incarnation,
            failure_domain: me.domain.clone(),
            evidence_period: settings.evidence_period,
        };
        let router = RouterSettings {
            domain: me.domain.clone(),
            region: me.region.clone(),
            retries: settings.retry_limits,
        };
        Self {
            labels,
            ledger: Ledger::default(),
            distribution: Distribution::new(settings.distribution.clone(), seed, now),
            membership: Membership::new(me, settings.membership.clone(), seed, now),
            moves: Moves::new(moves, now),
            blocked_calls: BlockedCalls::new(now),
            allowances: AccountAllowances::new(&settings.local_member, now),
            router: Router::new(router, seed),
            local_servers: FastMap::default(),
            departures: FastMap::default(),
            history: History::new(settings.awaits_history, now),
            queue_order: QueueOrder::default(),
            appends: Appends::new(seed),
            record_sequence: 0,
            stopping: false,
            started_at: now.mono,
            domain_emptied: false,
            signalled_ready: false,
            signalled_version: ConfigVersion::NONE,
            route_table_failures: 0,
            applied_topology: None,
            applied_version: Some(ConfigVersion::NONE),
            outgoing: Vec::new(),
            fetches: Vec::new(),
            move_effects: Vec::new(),
            settings,
        }
    }

    /// Processes one event and pushes the resulting effects to `out`.
    pub fn handle(&mut self, now: Now, event: Event, out: &mut Effects) {
        match event {
            Event::Wakeup => self.wakeup(now, out),
            Event::Datagram { from, bytes } => self.on_datagram(now, from, &bytes, out),
            Event::LogRead(answer) => self.on_log_read(now, answer),
            Event::PeerResponse { from, response } => self.on_peer_response(now, from, response),
            Event::Appended { ticket, result } => self.on_appended(now, ticket, &result),
            Event::Stop(times) => self.stop(now, times),
        }
        self.reconcile(now, out);
    }

    /// Installs a complete configuration from the store. Returns `false` and changes nothing if its
    /// version is lower than that of the current one. One of equal version is installed and applied
    /// again, since its content may differ.
    pub fn install_config(&mut self, now: Now, config: Config, out: &mut Effects) -> bool {
        if !self.ledger.adopt(config) {
            return false;
        }
        self.distribution.stored();
        self.applied_version = None;
        self.reconcile(now, out);
        true
    }

    /// Whether another daemon is known to hold a newer configuration from the store; always false
    /// if the configuration comes from the log.
    pub fn is_behind(&self) -> bool {
        !self.reads_log() && self.membership.highest_version() > self.ledger.version()
    }

    /// Whether this daemon should read the store for its failure domain, so that other daemons
    /// learn of new configurations from it. True too while it does not know enough members to tell.
    pub fn should_read_store(&self, now: Now) -> bool {
        let me = self.membership.local_member();
        !self.membership.is_settled(now)
            || self.membership.relays(&me.domain).contains(&me.instance)
    }

    /// Records that the store has just answered a read by this daemon.
    pub fn record_store_contact(&mut self, now: Now) {
        self.membership.record_log_contact(now);
    }

    /// Counts that the store has come back from an older copy.
    pub fn record_store_restore(&mut self) {
        self.distribution.store_restored();
    }

    /// Counts a record of the store, or an announcement of a backend server, that cannot be used.
    pub fn record_unreadable_entry(&mut self) {
        self.distribution.unreadable_entry();
    }

    /// Adds seed addresses of other members, through which this daemon joins.
    pub fn add_seed_addresses(&mut self, now: Now, peers: &[SocketAddr], out: &mut Effects) {
        self.membership.add_seeds(now, peers);
        self.reconcile(now, out);
    }

    /// When [`Event::Wakeup`] is due. May change with any call that takes `&mut self`.
    pub fn next_wakeup(&self) -> Mono {
        let mut next = self.membership.next_tick();
        next = next.min(self.distribution.next_tick());
        next = next.min(self.moves.next_tick());
        next = next.min(self.blocked_calls.next_tick());
        next = next.min(self.allowances.next_tick());
        next = next.min(self.appends.next_retry());
        next = next.min(self.history.next_tick());
        next.min(self.next_server_timer())
    }

    /// Answers a peer's request. If the response carries a snapshot, call
    /// [`Instance::snapshot_transfer_ended`] once the transfer has ended: concurrent snapshot
    /// transfers are limited.
    pub fn answer_peer(&mut self, now: Now, request: &PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Departures { host, incarnation } => PeerResponse::Departures {
                departures: self.departures_of(host),
                knew_before: self.knew_before(host, *incarnation),
            },
            _ => self.distribution.serve(now, request, &self.ledger),
        }
    }

    /// Reports that a snapshot transfer has ended, whether it was sent or its connection broke.
    pub fn snapshot_transfer_ended(&mut self) {
        self.distribution.served();
    }

    /// The ledger's configuration.
    pub fn config(&self) -> &Arc<Config> {
        self.ledger.config()
    }

    /// The active route table.
    pub fn table(&self) -> &Arc<RouteTable> {
        self.router.table()
    }

    /// The ledger: configuration and change outcomes, as built from the log or read from the store.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The known members and backend servers.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// How this daemon fetches its configuration, with counters.
    pub fn distribution(&self) -> &Distribution {
        &self.distribution
    }

    /// The moves of services between versions.
    pub fn moves(&self) -> &Moves {
        &self.moves
    }

    /// The router, which chooses routes and backend servers, with counters.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// Whether the configuration comes from the log, which relays read for the other daemons,
    /// rather than from the store.
    pub fn reads_log(&self) -> bool {
        self.settings.distribution.source == ConfigSource::Log
    }

    /// Whether this daemon is ready for new callers: its configuration is recent and it is not
    /// stopping.
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
        self.tick_blocklist(now, out);
        self.tick_allowances(now);
        self.appends.retry(now, out);
        self.tick_history(now, out);
        self.tick_servers(now, out);
    }

    fn tick_moves(&mut self, now: Now) {
        let servers = self.routable_servers();
        let domain = self.settings.local_member.domain.clone();
        let slots = |service: &_, version: &_| {
            conversions::ready_slots(&servers, &domain, service, version)
        };
        self.moves.tick(now, &slots, &mut self.move_effects);
    }

    fn on_datagram(&mut self, now: Now, from: SocketAddr, bytes: &[u8], out: &mut Effects) {
        let Ok(received) = self.membership.on_datagram(now, from, bytes, &mut self.outgoing) else {
            return;
        };
        for broadcast in received.broadcasts {
            match broadcast.kind {
                BroadcastKind::Direct => self.receive_direct(now, &broadcast.payload),
                BroadcastKind::Urgent | BroadcastKind::Evidence
                    if cyclamen_blocklist::is_payload(&broadcast.payload) =>
                {
                    self.merge_blocklist(now, &broadcast.payload, out);
                }
                BroadcastKind::Urgent if departures::is_payload(&broadcast.payload) => {
                    self.merge_departure(now, &broadcast.payload, out);
                }
                BroadcastKind::Urgent | BroadcastKind::Evidence => {
                    self.moves.merge_payload(now, &broadcast.payload, &mut self.move_effects);
                }
                BroadcastKind::Records => self.apply_gossiped_records(now, &broadcast),
            }
        }
        self.distribution.heard(now, &self.ledger, &self.membership);
        self.signal_newer_version(out);
    }

    /// Signals that another daemon holds a newer configuration than any signalled before, so that
    /// the task that reads the store wakes up.
    fn signal_newer_version(&mut self, out: &mut Effects) {
        let highest = self.membership.highest_version();
        if self.is_behind() && highest > self.signalled_version {
            self.signalled_version = highest;
            out.push(Effect::Changed);
        }
    }

    /// Applies log records that another daemon pushed. A payload that cannot be decoded is ignored.
    fn apply_gossiped_records(&mut self, now: Now, broadcast: &Broadcast) {
        let Ok(records) = postcard::from_bytes::<Vec<LogRecord>>(&broadcast.payload) else {
            return;
        };
        self.distribution.on_records(now, &records, &mut self.ledger);
    }

    fn on_log_read(&mut self, now: Now, answer: Result<LogBatch, LogReadError>) {
        let fresh = self.distribution.on_log(now, answer, &mut self.ledger);
        // Reported before gossiping, so that the pushed datagrams state the new version.
        self.report_applied_config();
        self.gossip_records(now, &fresh);
    }

    fn on_appended(
        &mut self,
        now: Now,
        ticket: AppendTicket,
        result: &Result<Offset, AppendError>,
    ) {
        if let Ok(offset) = result {
            self.distribution.expect(now, offset.version_after());
        }
        self.appends.on_result(now, ticket, result);
    }

    fn on_peer_response(&mut self, now: Now, from: SocketAddr, response: Option<PeerResponse>) {
        self.distribution.on_peer(now, from, response, &mut self.ledger);
    }

    fn append_snapshot_if_due(&mut self, now: Now, out: &mut Effects) {
        if !self.distribution.snapshot_due(now) {
            return;
        }
        for payload in self.ledger.snapshot_payloads(SNAPSHOT_PART_BYTES) {
            self.appends.append_once(payload.into(), out);
        }
    }

    /// Pushes newly read log records to other daemons, one record per payload: a record read by
    /// several relays is then one broadcast, whatever batches they read, and a large record does
    /// not keep the others from fitting a datagram.
    fn gossip_records(&mut self, now: Now, records: &[LogRecord]) {
        for record in records {
            let record = record.for_peers();
            let Ok(bytes) = postcard::to_stdvec(std::slice::from_ref(&record)) else {
                continue;
            };
            let broadcast = Broadcast { kind: BroadcastKind::Records, payload: bytes.into() };
            self.membership.broadcast(now, broadcast, true, &mut self.outgoing);
        }
    }

    fn stop(&mut self, now: Now, times: StopTimes) {
        self.stopping = true;
        self.router.stop(times);
        self.drain_local_servers(now);
        self.membership.leave(now, &mut self.outgoing);
    }

    /// Brings derived state up to date after a change of any part, and turns the output of the
    /// parts into effects. The configuration comes first, since moves and servers depend on it.
    pub(crate) fn reconcile(&mut self, now: Now, out: &mut Effects) {
        self.apply_config(now, out);
        self.perform_move_effects(now, out);
        self.apply_topology(now);
        self.apply_fleet(now);
        self.signal_readiness(out);
        out.extend(self.outgoing.drain(..).map(Effect::Send));
        out.extend(self.fetches.drain(..).map(Effect::Fetch));
    }

    fn signal_readiness(&mut self, out: &mut Effects) {
        if self.signalled_ready != self.ready() {
            self.signalled_ready = self.ready();
            out.push(Effect::Changed);
        }
    }

    /// Applies the ledger's configuration to router, moves and pending appends if it has changed.
    fn apply_config(&mut self, now: Now, out: &mut Effects) {
        if self.applied_version == Some(self.ledger.version()) {
            return;
        }
        self.applied_version = Some(self.ledger.version());
        self.applied_topology = None;
        self.report_applied_config();
        let config = Arc::clone(self.ledger.config());
        match RouteTable::build(&config, &self.labels) {
            Ok(table) => {
                self.router.install(Arc::new(table));
                self.apply_limits(now, out);
            }
            Err(_) => self.route_table_failures += 1,
        }
        self.apply_emptied_domains(now, out);
        self.moves.apply_config(now, &config, &mut self.move_effects);
        self.allowances.apply_config(&config);
        self.apply_splits();
        self.appends.remove_completed(&self.ledger);
        out.push(Effect::Changed);
    }

    /// Passes version and hash of the applied configuration to membership, which reports them to
    /// the other daemons.
    fn report_applied_config(&mut self) {
        let applied = AppliedConfig { version: self.ledger.version(), hash: self.ledger.hash().0 };
        self.membership.set_applied_config(applied);
    }

    fn apply_splits(&mut self) {
        let splits: Vec<VersionSplit> =
            self.moves.splits().into_iter().map(conversions::version_split).collect();
        self.router.set_splits(&splits);
    }

    /// Passes the known backend servers to the router if they have changed.
    fn apply_topology(&mut self, now: Now) {
        self.router.set_daemons(self.membership.reachable_count());
        if self.applied_topology == Some(self.membership.topology_version()) {
            return;
        }
        self.applied_topology = Some(self.membership.topology_version());
        let mut servers: Vec<ServerInfo> = Vec::new();
        let emptied = &self.ledger.config().emptied_domains;
        for mut view in self.routable_servers() {
            // Moves go by the slots that the domain has when it is taken back.
            if emptied.contains(&view.domain) && view.record.state == ServerState::Ready {
                view.record.state = ServerState::Draining;
            }
            servers.extend(conversions::server_info(&view, &self.settings.local_member.instance));
        }
        self.router.set_servers(now, &servers);
    }

    /// The backend servers whose version may take calls. The version in each record is the one that
    /// the configuration assigns to the server, which can differ from the announced one.
    fn routable_servers(&self) -> Vec<ServerView> {
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

    fn perform_move_effects(&mut self, now: Now, out: &mut Effects) {
        let mut effects = std::mem::take(&mut self.move_effects);
        for effect in effects.drain(..) {
            match effect {
                MovesEffect::BroadcastRollback(payload) => {
                    self.gossip_move_payload(now, BroadcastKind::Urgent, payload);
                }
                MovesEffect::SendEvidence(payload) => {
                    self.gossip_move_payload(now, BroadcastKind::Evidence, payload);
                }
                MovesEffect::AppendVerdict(id, verdict) => {
                    match self.settings.distribution.source {
                        ConfigSource::Log => self.appends.append_verdict(id, verdict, out),
                        ConfigSource::Store => {
                            self.appends.write_verdict_to_store(id, verdict, out);
                        }
                    }
                }
                MovesEffect::SplitsChanged => {
                    self.apply_splits();
                    out.push(Effect::Changed);
                }
            }
        }
        self.move_effects = effects;
    }

    fn gossip_move_payload(&mut self, now: Now, kind: BroadcastKind, payload: Arc<[u8]>) {
        let urgent = kind == BroadcastKind::Urgent;
        self.membership.broadcast(now, Broadcast { kind, payload }, urgent, &mut self.outgoing);
    }
}
