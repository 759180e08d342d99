//! Counters and latency histograms of calls, served as text. Their labels are of fixed sets, so the
//! number of series does not grow with callers, routes or servers.

use std::time::Duration;

use cyclamen_decisions::{AttemptEnd, CallEnd, SlotAnswer};
use cyclamen_membership::{MemberState, ServerState};
use cyclamenmoor::StateDump;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Upper bound of the first bucket of times, in seconds; each next one is twice as high.
const FIRST_BUCKET: f64 = 0.001;

/// Buckets of times.
const BUCKETS: u16 = 14;

/// What every name starts with.
const PREFIX: &str = "cyclamen";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabel {
    end: End,
}

/// How calls, attempts and waits for slots end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum End {
    Answered,
    Failed,
    Refused,
    Unknown,
    NoRoute,
    NoSlot,
    Shed,
    NotConnected,
    Broken,
    TimedOut,
    Cancelled,
    Run,
    Waited,
    Expired,
}

/// The metrics of one daemon.
pub struct CallMetrics {
    registry: Registry,
    calls: Family<EndLabel, Counter>,
    attempts: Family<EndLabel, Counter>,
    slots: Family<EndLabel, Counter>,
    call_seconds: Histogram,
    run_seconds: Histogram,
    state: StateGauges,
}

/// What is read off the instance when metrics are asked for.
#[derive(Default)]
struct StateGauges {
    ready: Gauge,
    config_version: Gauge,
    members_alive: Gauge,
    servers_ready: Gauge,
    retries: Gauge,
    retries_refused: Gauge,
    ejections: Gauge,
}

impl Default for CallMetrics {
    fn default() -> Self {
        let times = || Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS));
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            calls: Family::default(),
            attempts: Family::default(),
            slots: Family::default(),
            call_seconds: times(),
            run_seconds: times(),
            state: StateGauges::default(),
        };
        metrics.register();
        metrics
    }
}

impl CallMetrics {
    /// A caller was told the end of a call.
    pub(crate) fn call(&self, end: CallEnd, status: u16, took: Duration) {
        let end = match end {
            CallEnd::Answered if status >= 500 => End::Failed,
            CallEnd::Answered => End::Answered,
            CallEnd::Refused => End::Refused,
            CallEnd::Unknown => End::Unknown,
            CallEnd::NoRoute => End::NoRoute,
        };
        self.calls.get_or_create(&EndLabel { end }).inc();
        self.call_seconds.observe(took.as_secs_f64());
    }

    /// An attempt ended.
    pub(crate) fn attempt(&self, end: AttemptEnd) {
        let end = match end {
            AttemptEnd::Answered(status) if status >= 500 => End::Failed,
            AttemptEnd::Answered(_) => End::Answered,
            AttemptEnd::NoSlot => End::NoSlot,
            AttemptEnd::Shed => End::Shed,
            AttemptEnd::NotConnected => End::NotConnected,
            AttemptEnd::Broken => End::Broken,
            AttemptEnd::TimedOut => End::TimedOut,
            AttemptEnd::Cancelled => End::Cancelled,
        };
        self.attempts.get_or_create(&EndLabel { end }).inc();
    }

    /// A call requested a slot at a local backend server.
    pub(crate) fn slot(&self, answer: SlotAnswer) {
        let end = match answer {
            SlotAnswer::Run => End::Run,
            SlotAnswer::Waited => End::Waited,
            SlotAnswer::Expired => End::Expired,
            SlotAnswer::Refused => End::Refused,
        };
        self.slots.get_or_create(&EndLabel { end }).inc();
    }

    /// A call ran at a local backend server.
    pub(crate) fn ran(&self, took: Duration) {
        self.run_seconds.observe(took.as_secs_f64());
    }

    /// All metrics as text.
    ///
    /// # Errors
    /// The text could not be formatted.
    pub(crate) fn text(&self, dump: &StateDump) -> Result<String, std::fmt::Error> {
        self.state.set(dump);
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("calls", "calls of callers, by their end", self.calls.clone());
        r.register("attempts", "attempts of calls, by their end", self.attempts.clone());
        r.register("slots", "calls that asked for a slot, by the answer", self.slots.clone());
        r.register("call_seconds", "time to the end of a call", self.call_seconds.clone());
        r.register("run_seconds", "time of a call at its server", self.run_seconds.clone());
        let state = &self.state;
        r.register("ready", "1 when ready for callers", state.ready.clone());
        r.register("config_version", "configuration in force", state.config_version.clone());
        r.register("members_alive", "daemons that answer", state.members_alive.clone());
        r.register("servers_ready", "servers that take calls", state.servers_ready.clone());
        r.register("retries", "attempts beyond the first", state.retries.clone());
        let refused = state.retries_refused.clone();
        r.register("retries_refused", "retries that the budget refused", refused);
        r.register("ejections", "servers taken out of choice", state.ejections.clone());
    }
}

impl StateGauges {
    fn set(&self, dump: &StateDump) {
        self.ready.set(i64::from(dump.ready));
        self.config_version.set(signed(dump.version.0));
        let alive = dump.members.iter().filter(|member| member.state == MemberState::Alive);
        self.members_alive.set(signed(alive.count() as u64));
        let ready = dump.servers.iter().filter(|server| server.state == ServerState::Ready);
        self.servers_ready.set(signed(ready.count() as u64));
        self.retries.set(signed(dump.router.retries));
        self.retries_refused.set(signed(dump.router.retries_refused));
        self.ejections.set(signed(dump.router.ejections));
    }
}

fn signed(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
