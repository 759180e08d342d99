//! Sends metrics to a statsd receiver over UDP.
//!
//! Every sample is taken from a state dump. The counters of a dump are totals; statsd gets their
//! increase since the previous sample.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, StatsdClient};
use cyclamen_membership::MemberState;
use cyclamen_moves::MovePhase;
use cyclamenmoor::StateDump;
use log::warn;

use crate::settings::Settings;

/// Prefix of every metric's name.
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

/// Sends the metrics of one daemon; does nothing if the settings name no receiver, or if the socket
/// for it cannot be opened.
pub struct StatsdMetrics {
    client: Option<StatsdClient>,
    previous: Totals,
}

/// The totals of all counters at one sample.
#[derive(Clone, Copy, Default)]
struct Totals {
    calls: u64,
    retries: u64,
    retries_of_errors: u64,
    repeats: u64,
    retries_refused: u64,
    calls_refused: u64,
    calls_unknown: u64,
    ejections: u64,
    slots_run: u64,
    slots_refused: u64,
    gossip_bytes_sent: u64,
    gossip_bytes_across: u64,
    gossip_repair_bytes_across: u64,
    gossip_bytes_received: u64,
    gossip_forged: u64,
    log_reads: u64,
    store_restores: u64,
    unreadable_entries: u64,
    changes_accepted: u64,
    changes_refused: u64,
}

impl StatsdMetrics {
    /// Opens the socket for the receiver that the settings name. A failure is logged, and the
    /// daemon runs without metrics.
    pub fn new(settings: &Settings) -> Self {
        let client = settings.statsd.and_then(|to| match statsd_client(settings, to) {
            Ok(client) => Some(client),
            Err(error) => {
                warn!("metrics are disabled: cannot send to {to} ({error}); check metrics.statsd");
                None
            }
        });
        Self { client, previous: Totals::default() }
    }

    /// Whether there is a receiver to send to.
    pub fn is_enabled(&self) -> bool {
        self.client.is_some()
    }

    /// Sends one sample, taken from `dump`.
    pub fn send_sample(&mut self, dump: &StateDump) {
        let Some(client) = &self.client else {
            return;
        };
        let totals = Totals::from(dump);
        send_counters(client, &self.previous, &totals);
        send_gauges(client, dump);
        self.previous = totals;
        // Statsd tolerates lost datagrams, so a failure to send is ignored.
        let _ = client.flush();
    }
}

impl From<&StateDump> for Totals {
    fn from(dump: &StateDump) -> Self {
        let mut totals = Self {
            calls: dump.router.calls,
            retries: dump.router.retries,
            retries_of_errors: dump.router.retries_of_errors,
            repeats: 0,
            retries_refused: dump.router.retries_refused,
            calls_refused: dump.router.refused,
            calls_unknown: dump.router.unknown,
            ejections: dump.router.ejections,
            slots_run: 0,
            slots_refused: 0,
            gossip_bytes_sent: dump.membership.bytes_sent,
            gossip_bytes_across: dump.membership.bytes_sent_across,
            gossip_repair_bytes_across: dump.membership.repair_bytes_across,
            gossip_bytes_received: dump.membership.bytes_received,
            gossip_forged: dump.membership.forged,
            log_reads: dump.distribution.log_reads,
            store_restores: dump.distribution.store_restores,
            unreadable_entries: dump.distribution.unreadable_entries,
            changes_accepted: dump.ledger.accepted,
            changes_refused: dump.ledger.refused,
        };
        for slots in &dump.slots {
            totals.slots_run += slots.counters.run;
            totals.slots_refused += slots.counters.refused;
            totals.repeats += slots.counters.repeats;
        }
        totals
    }
}

fn statsd_client(settings: &Settings, to: SocketAddr) -> std::io::Result<StatsdClient> {
    let local = match to {
        SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
    };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(to, socket).map_err(std::io::Error::other)?;
    let client = StatsdClient::builder(PREFIX, sink)
        .with_tag("instance", &settings.instance)
        .with_tag("failure_domain", &settings.domain)
        .build();
    Ok(client)
}

fn send_counters(client: &StatsdClient, previous: &Totals, current: &Totals) {
    let count = |name: &str, previous: u64, current: u64| {
        // The counters of a withdrawn server leave the dump, so that a sum may decrease.
        let increase = current.saturating_sub(previous);
        if increase > 0 {
            // Statsd tolerates lost metrics, so a full or broken sink is ignored.
            let _ = client.count(name, increase);
        }
    };
    count("calls", previous.calls, current.calls);
    count("retries", previous.retries, current.retries);
    count("retries_of_errors", previous.retries_of_errors, current.retries_of_errors);
    count("repeats", previous.repeats, current.repeats);
    count("retries_refused", previous.retries_refused, current.retries_refused);
    count("refused.not_run", previous.calls_refused, current.calls_refused);
    count("refused.outcome_unknown", previous.calls_unknown, current.calls_unknown);
    count("ejections", previous.ejections, current.ejections);
    count("slots.run", previous.slots_run, current.slots_run);
    count("slots.refused", previous.slots_refused, current.slots_refused);
    count("gossip.bytes_sent", previous.gossip_bytes_sent, current.gossip_bytes_sent);
    count("gossip.bytes_across", previous.gossip_bytes_across, current.gossip_bytes_across);
    let (before, now) = (previous.gossip_repair_bytes_across, current.gossip_repair_bytes_across);
    count("gossip.repair_bytes_across", before, now);
    count("gossip.bytes_received", previous.gossip_bytes_received, current.gossip_bytes_received);
    count("gossip.forged", previous.gossip_forged, current.gossip_forged);
    count("log.reads", previous.log_reads, current.log_reads);
    count("store.restores", previous.store_restores, current.store_restores);
    count("unreadable_entries", previous.unreadable_entries, current.unreadable_entries);
    count("changes.accepted", previous.changes_accepted, current.changes_accepted);
    count("changes.refused", previous.changes_refused, current.changes_refused);
}

fn send_gauges(client: &StatsdClient, dump: &StateDump) {
    let gauge = |name: &str, value: u64| {
        // Statsd tolerates lost metrics, so a full or broken sink is ignored.
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
    gauge("blocked_calls", dump.blocked_calls.len() as u64);
    for phase in MOVE_PHASES {
        let count = dump.moves.iter().filter(|status| status.phase == phase).count();
        gauge(&format!("moves.{}", phase_name(phase)), count as u64);
    }
    let late = dump.moves.iter().filter(|status| status.late).count();
    gauge("moves.late", late as u64);
}

/// The last part of the metric's name for a stage.
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
