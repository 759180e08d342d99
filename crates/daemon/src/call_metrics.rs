//! Counters and latency histograms of calls, served in the Prometheus text format.
//!
//! The call paths record calls, attempts and waits for slots as they end; gauges of the daemon's
//! state are set from a dump when the metrics are read. All labels have fixed sets of values, so
//! the number of series does not grow with callers, routes or servers.

use std::time::Duration;

use cyclamen_decisions::{AttemptEnd, CallEnd, Loss, SlotAnswer};
use cyclamen_membership::{MemberState, ServerState};
use cyclamen_routing::{TurnedAway, TurnedAwayByClass};
use cyclamenmoor::StateDump;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Upper bound of the first histogram bucket, in seconds; each further bound is twice the one
/// before.
const FIRST_BUCKET_SECONDS: f64 = 0.001;

/// Number of histogram buckets with an upper bound; the highest bound is 8.192 seconds.
const BUCKET_COUNT: u16 = 14;

/// Prefix of every metric's name.
const PREFIX: &str = "cyclamen";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabel {
    end: End,
}

/// How a call, an attempt or a wait for a slot ended. The names of the variants are label values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum End {
    Answered,
    Failed,
    Refused,
    Unknown,
    NoRoute,
    NoAccount,
    OverAllowance,
    Rejected,
    NoSlot,
    Shed,
    Blocked,
    NotConnected,
    Broken,
    Crashed,
    TimedOut,
    Cancelled,
    Run,
    Waited,
    Expired,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    cause: LossCause,
}

/// Why a caller got no whole response. The names of the variants are label values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum LossCause {
    CallerLeft,
    Reset,
    ConnectionTimedOut,
    ResponseBrokeOff,
    EarlierResponseBrokeOff,
    ConnectionEnded,
    Stopped,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TurnedAwayLabel {
    class: Class,
    reason: TurnAwayReason,
}

/// The criticality class of a call. The names of the variants are label values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum Class {
    Critical,
    Normal,
    Bulk,
}

/// Why a local backend server had no room for a call. The names of the variants are label values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum TurnAwayReason {
    NoTime,
    QueueFull,
    Displaced,
    Expired,
    BeyondShare,
}

/// The call metrics of one daemon, and gauges of its state.
pub struct CallMetrics {
    registry: Registry,
    calls: Family<EndLabel, Counter>,
    attempts: Family<EndLabel, Counter>,
    slots: Family<EndLabel, Counter>,
    losses: Family<CauseLabel, Counter>,
    lost_waits: Counter,
    call_seconds: Histogram,
    run_seconds: Histogram,
    state: StateGauges,
}

/// Gauges that are set from a dump each time the metrics are read.
#[derive(Default)]
struct StateGauges {
    ready: Gauge,
    config_version: Gauge,
    members_alive: Gauge,
    servers_ready: Gauge,
    retries: Gauge,
    retries_of_errors: Gauge,
    repeats: Gauge,
    retries_refused: Gauge,
    ejections: Gauge,
    store_restores: Gauge,
    unreadable_entries: Gauge,
    refused_cold: Gauge,
    emptied_domains: Gauge,
    blocked_calls: Gauge,
    blocked_refusals: Gauge,
    server_crashes: Gauge,
    turned_away: Family<TurnedAwayLabel, Gauge>,
    allowance_grants: Gauge,
    allowance_refusals: Gauge,
    allowance_returns: Gauge,
    allowance_bytes: Gauge,
}

impl Default for CallMetrics {
    fn default() -> Self {
        let histogram =
            || Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT));
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            calls: Family::default(),
            attempts: Family::default(),
            slots: Family::default(),
            losses: Family::default(),
            lost_waits: Counter::default(),
            call_seconds: histogram(),
            run_seconds: histogram(),
            state: StateGauges::default(),
        };
        metrics.register();
        metrics
    }
}

impl CallMetrics {
    /// Records that a caller got the answer to a call, `took` after the call arrived.
    ///
    /// An answer with a status of 500 or above counts as failed. For calls that the daemon rejects
    /// itself, see [`CallMetrics::record_rejection`].
    pub(crate) fn record_call(&self, end: CallEnd, status: u16, took: Duration) {
        let end = match end {
            CallEnd::Answered if status >= 500 => End::Failed,
            CallEnd::Answered => End::Answered,
            CallEnd::Refused => End::Refused,
            CallEnd::Unknown => End::Unknown,
            CallEnd::NoRoute => End::NoRoute,
            CallEnd::NoAccount => End::NoAccount,
            CallEnd::OverAllowance => End::OverAllowance,
        };
        self.calls.get_or_create(&EndLabel { end }).inc();
        self.call_seconds.observe(took.as_secs_f64());
    }

    /// Records that a call was rejected for its head, its body or the connection limit. The time
    /// that it took is not recorded.
    pub(crate) fn record_rejection(&self) {
        self.calls.get_or_create(&EndLabel { end: End::Rejected }).inc();
    }

    /// Records the end of an attempt; an answer with a status of 500 or above counts as failed.
    pub(crate) fn record_attempt(&self, end: AttemptEnd) {
        let end = match end {
            AttemptEnd::Answered(status) if status >= 500 => End::Failed,
            AttemptEnd::Answered(_) => End::Answered,
            AttemptEnd::NoSlot => End::NoSlot,
            AttemptEnd::Shed => End::Shed,
            AttemptEnd::Blocked => End::Blocked,
            AttemptEnd::NotConnected => End::NotConnected,
            AttemptEnd::Broken => End::Broken,
            AttemptEnd::Crashed => End::Crashed,
            AttemptEnd::TimedOut => End::TimedOut,
            AttemptEnd::Cancelled => End::Cancelled,
        };
        self.attempts.get_or_create(&EndLabel { end }).inc();
    }

    /// Records the answer to a call that asked for a slot of a local backend server.
    pub(crate) fn record_slot_answer(&self, answer: SlotAnswer) {
        let end = match answer {
            SlotAnswer::Run => End::Run,
            SlotAnswer::Waited => End::Waited,
            SlotAnswer::Expired => End::Expired,
            SlotAnswer::Refused => End::Refused,
        };
        self.slots.get_or_create(&EndLabel { end }).inc();
    }

    /// Records a call whose caller got no whole response.
    pub(crate) fn record_loss(&self, loss: Loss) {
        let cause = match loss {
            Loss::CallerLeft => LossCause::CallerLeft,
            Loss::Reset => LossCause::Reset,
            Loss::ConnectionTimedOut => LossCause::ConnectionTimedOut,
            Loss::ResponseBrokeOff => LossCause::ResponseBrokeOff,
            Loss::EarlierResponseBrokeOff => LossCause::EarlierResponseBrokeOff,
            Loss::ConnectionEnded => LossCause::ConnectionEnded,
            Loss::Stopped => LossCause::Stopped,
        };
        self.losses.get_or_create(&CauseLabel { cause }).inc();
    }

    /// Records a call whose time in the queue for a slot was never ended by the instance.
    pub(crate) fn record_lost_wait(&self) {
        self.lost_waits.inc();
    }

    /// Records the time from sending a call to a local backend server to its response or failure,
    /// of a call that the server ran or may have run.
    pub(crate) fn record_run(&self, took: Duration) {
        self.run_seconds.observe(took.as_secs_f64());
    }

    /// All metrics in the Prometheus text format, with the gauges set from `dump`.
    ///
    /// # Errors
    /// A metric cannot be formatted.
    pub(crate) fn encode(&self, dump: &StateDump) -> Result<String, std::fmt::Error> {
        self.state.set(dump);
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("calls", "calls of callers, by their end", self.calls.clone());
        registry.register("attempts", "attempts of calls, by their end", self.attempts.clone());
        registry.register(
            "slots",
            "calls that asked for a slot, by the answer",
            self.slots.clone(),
        );
        let help = "calls whose callers got no whole response, by cause";
        registry.register("unanswered", help, self.losses.clone());
        let help = "calls forgotten while they waited for a slot, refused after their deadline";
        registry.register("lost_waits", help, self.lost_waits.clone());
        registry.register("call_seconds", "time to the end of a call", self.call_seconds.clone());
        registry.register("run_seconds", "time of a call at its server", self.run_seconds.clone());
        let state = &self.state;
        registry.register("ready", "1 when ready for callers", state.ready.clone());
        registry.register("config_version", "configuration in force", state.config_version.clone());
        registry.register("members_alive", "daemons that answer", state.members_alive.clone());
        registry.register("servers_ready", "servers that take calls", state.servers_ready.clone());
        registry.register("retries", "attempts beyond the first", state.retries.clone());
        let of_errors = state.retries_of_errors.clone();
        registry.register("retries_of_errors", "retries after a server error", of_errors);
        let help = "calls run at local backend servers that are surely repeats";
        registry.register("repeats", help, state.repeats.clone());
        let refused = state.retries_refused.clone();
        registry.register("retries_refused", "retries that the budget refused", refused);
        registry.register("ejections", "servers taken out of choice", state.ejections.clone());
        let restores = state.store_restores.clone();
        registry.register("store_restores", "times the store came back older", restores);
        let help = "records and announcements that could not be used";
        registry.register("unreadable_entries", help, state.unreadable_entries.clone());
        let help = "calls refused because a local backend server is cold";
        registry.register("refused_cold", help, state.refused_cold.clone());
        let help = "failure domains that are emptied";
        registry.register("emptied_domains", help, state.emptied_domains.clone());
        let help = "different calls that are refused because they crash backend servers";
        registry.register("blocked_calls", help, state.blocked_calls.clone());
        let help = "refusals of calls that crash backend servers";
        registry.register("blocked_refusals", help, state.blocked_refusals.clone());
        let help = "crashes of local backend servers while they ran calls";
        registry.register("server_crashes", help, state.server_crashes.clone());
        let help = "calls for which local backend servers had no room, by class and reason";
        registry.register("turned_away", help, state.turned_away.clone());
        let help = "calls of client accounts admitted within their allowance";
        registry.register("allowance_grants", help, state.allowance_grants.clone());
        let help = "calls refused because their client account used up its allowance";
        registry.register("allowance_refusals", help, state.allowance_refusals.clone());
        let help = "tokens returned to an allowance because their call was not run";
        registry.register("allowance_returns", help, state.allowance_returns.clone());
        let help = "bytes of messages about allowances to other daemons";
        registry.register("allowance_bytes", help, state.allowance_bytes.clone());
    }
}

impl StateGauges {
    fn set(&self, dump: &StateDump) {
        self.ready.set(i64::from(dump.ready));
        self.config_version.set(to_gauge_value(dump.version.0));
        let alive = dump.members.iter().filter(|member| member.state == MemberState::Alive);
        self.members_alive.set(to_gauge_value(alive.count() as u64));
        let ready = dump.servers.iter().filter(|server| server.state == ServerState::Ready);
        self.servers_ready.set(to_gauge_value(ready.count() as u64));
        self.retries.set(to_gauge_value(dump.router.retries));
        self.retries_of_errors.set(to_gauge_value(dump.router.retries_of_errors));
        let repeats = dump.slots.iter().map(|slots| slots.counters.repeats).sum();
        self.repeats.set(to_gauge_value(repeats));
        self.retries_refused.set(to_gauge_value(dump.router.retries_refused));
        self.ejections.set(to_gauge_value(dump.router.ejections));
        self.store_restores.set(to_gauge_value(dump.distribution.store_restores));
        self.unreadable_entries.set(to_gauge_value(dump.distribution.unreadable_entries));
        let refused_cold = dump.slots.iter().map(|slots| slots.counters.refused_cold).sum();
        self.refused_cold.set(to_gauge_value(refused_cold));
        self.emptied_domains.set(to_gauge_value(dump.emptied_domains.len() as u64));
        self.blocked_calls.set(to_gauge_value(dump.blocked_calls.len() as u64));
        self.blocked_refusals.set(to_gauge_value(dump.blocklist.calls_refused));
        self.server_crashes.set(to_gauge_value(dump.blocklist.server_crashes));
        let allowances = &dump.allowance_counters;
        self.allowance_grants.set(to_gauge_value(allowances.granted));
        self.allowance_refusals.set(to_gauge_value(allowances.refused));
        self.allowance_returns.set(to_gauge_value(allowances.given_back));
        self.allowance_bytes.set(to_gauge_value(allowances.bytes_sent));
        self.set_turned_away(dump);
    }

    fn set_turned_away(&self, dump: &StateDump) {
        let by_class = dump.slots.iter().map(|slots| slots.counters.turned_away);
        let sum = by_class.fold(TurnedAwayByClass::default(), TurnedAwayByClass::plus);
        self.set_turned_away_of(Class::Critical, sum.critical);
        self.set_turned_away_of(Class::Normal, sum.normal);
        self.set_turned_away_of(Class::Bulk, sum.bulk);
    }

    fn set_turned_away_of(&self, class: Class, counts: TurnedAway) {
        let by_reason = [
            (TurnAwayReason::NoTime, counts.no_time),
            (TurnAwayReason::QueueFull, counts.queue_full),
            (TurnAwayReason::Displaced, counts.displaced),
            (TurnAwayReason::Expired, counts.expired),
            (TurnAwayReason::BeyondShare, counts.beyond_share),
        ];
        for (reason, count) in by_reason {
            let label = TurnedAwayLabel { class, reason };
            self.turned_away.get_or_create(&label).set(to_gauge_value(count));
        }
    }
}

/// Converts a count to the type of a gauge; counts above its maximum are cut off there.
fn to_gauge_value(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
