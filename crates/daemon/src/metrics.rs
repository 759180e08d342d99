//! Metrics to statsd over UDP: sampled from the dump, counters as differences.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, StatsdClient};
use cyclamen_membership::MemberState;
use cyclamen_moves::MovePhase;
use cyclamenmoor::StateDump;
use log::warn;

use crate::settings::Settings;

/// What every metric's name starts with.
const PREFIX: &str = "cyclamen";

const MEMBER_STATES: [MemberState; 4] =
    [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];

const MOVE_PHASES: [MovePhase; 7] = [
    MovePhase::Scheduled,
    MovePhase::Moving,
    MovePhase::Checking,
    MovePhase::Paused,
    MovePhase::Watched,
    MovePhase::Done,
    MovePhase::TakenBack,
];

/// Sends the metrics of one daemon; does nothing when the settings name no receiver.
pub struct Metrics {
    client: Option<StatsdClient>,
    last: Totals,
}

/// Totals at the last sample.
#[derive(Clone, Copy, Default)]
struct Totals {
    calls: u64,
    retries: u64,
    retries_refused: u64,
    refused: u64,
    unknown: u64,
    ejections: u64,
    slots_run: u64,
    slots_refused: u64,
    gossip_sent: u64,
    gossip_received: u64,
    gossip_forged: u64,
    log_reads: u64,
    changes_accepted: u64,
    changes_refused: u64,
}

impl Metrics {
    /// Metrics of a daemon with these settings.
    pub fn new(settings: &Settings) -> Self {
        let client = settings.metrics.and_then(|to| match client(settings, to) {
            Ok(client) => Some(client),
            Err(error) => {
                warn!("no metrics: {to} cannot be sent to ({error}); look at metrics.statsd");
                None
            }
        });
        Self { client, last: Totals::default() }
    }

    /// Whether the settings name a receiver.
    pub fn on(&self) -> bool {
        self.client.is_some()
    }

    /// Sends one sample.
    pub fn send(&mut self, dump: &StateDump) {
        let Some(client) = &self.client else {
            return;
        };
        let totals = Totals::from(dump);
        send_counters(client, &self.last, &totals);
        send_gauges(client, dump);
        self.last = totals;
        // Datagrams that cannot be sent are lost, as statsd allows.
        let _ = client.flush();
    }
}

impl From<&StateDump> for Totals {
    fn from(dump: &StateDump) -> Self {
        let mut totals = Self {
            calls: dump.router.calls,
            retries: dump.router.retries,
            retries_refused: dump.router.retries_refused,
            refused: dump.router.refused,
            unknown: dump.router.unknown,
            ejections: dump.router.ejections,
            slots_run: 0,
            slots_refused: 0,
            gossip_sent: dump.membership.bytes_sent,
            gossip_received: dump.membership.bytes_received,
            gossip_forged: dump.membership.forged,
            log_reads: dump.distribution.log_reads,
            changes_accepted: dump.ledger.accepted,
            changes_refused: dump.ledger.refused,
        };
        for slots in &dump.slots {
            totals.slots_run += slots.counters.run;
            totals.slots_refused += slots.counters.refused;
        }
        totals
    }
}

fn client(settings: &Settings, to: SocketAddr) -> std::io::Result<StatsdClient> {
    let any = match to {
        SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
    };
    let socket = UdpSocket::bind(any)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(to, socket).map_err(std::io::Error::other)?;
    let client = StatsdClient::builder(PREFIX, sink)
        .with_tag("instance", &settings.instance)
        .with_tag("failure_domain", &settings.domain)
        .build();
    Ok(client)
}

fn send_counters(client: &StatsdClient, last: &Totals, now: &Totals) {
    let count = |name: &str, last: u64, now: u64| {
        // A counter of a withdrawn server is gone, so that a sum may shrink.
        let grown = now.saturating_sub(last);
        if grown > 0 {
            // A full or broken sink loses the metric, as statsd allows.
            let _ = client.count(name, grown);
        }
    };
    count("calls", last.calls, now.calls);
    count("retries", last.retries, now.retries);
    count("retries_refused", last.retries_refused, now.retries_refused);
    count("refused.not_run", last.refused, now.refused);
    count("refused.outcome_unknown", last.unknown, now.unknown);
    count("ejections", last.ejections, now.ejections);
    count("slots.run", last.slots_run, now.slots_run);
    count("slots.refused", last.slots_refused, now.slots_refused);
    count("gossip.bytes_sent", last.gossip_sent, now.gossip_sent);
    count("gossip.bytes_received", last.gossip_received, now.gossip_received);
    count("gossip.forged", last.gossip_forged, now.gossip_forged);
    count("log.reads", last.log_reads, now.log_reads);
    count("changes.accepted", last.changes_accepted, now.changes_accepted);
    count("changes.refused", last.changes_refused, now.changes_refused);
}

fn send_gauges(client: &StatsdClient, dump: &StateDump) {
    let gauge = |name: &str, value: u64| {
        // A full or broken sink loses the metric, as statsd allows.
        let _ = client.gauge(name, value);
    };
    gauge("ready", u64::from(dump.ready));
    gauge("relay", u64::from(dump.relay));
    gauge("config.version", dump.version.0);
    gauge("config.table_version", dump.table_version.0);
    for state in MEMBER_STATES {
        let count = dump.members.iter().filter(|member| member.state == state).count();
        gauge(&format!("members.{state}"), count as u64);
    }
    let cut_off = dump.members.iter().filter(|member| member.cut_off).count();
    gauge("members.cut-off", cut_off as u64);
    for phase in MOVE_PHASES {
        let count = dump.moves.iter().filter(|status| status.phase == phase).count();
        gauge(&format!("moves.{}", phase_name(phase)), count as u64);
    }
    let late = dump.moves.iter().filter(|status| status.late).count();
    gauge("moves.late", late as u64);
}

fn phase_name(phase: MovePhase) -> &'static str {
    match phase {
        MovePhase::Scheduled => "scheduled",
        MovePhase::Moving => "moving",
        MovePhase::Checking => "checking",
        MovePhase::Paused => "paused",
        MovePhase::Watched => "watched",
        MovePhase::Done => "done",
        MovePhase::TakenBack => "taken-back",
    }
}
