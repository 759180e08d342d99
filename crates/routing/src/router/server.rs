//! The state that the router keeps for each backend server: load, latency, failures and ejection.

use std::time::Duration;

use cyclamen_types::{Mono, ServerName};

use crate::call::{MIN_SERVER_ERROR_STATUS, Outcome};
use crate::router::ServerInfo;
use crate::router::cold::ColdShare;
use crate::router::connect_backoff::ConnectBackoff;
use crate::router::placement::{CallNeeds, Distance, PlacementInputs};

/// Weight of a new sample in the moving average of the latency.
const LATENCY_GAIN: f64 = 0.2;

/// Time constant of the exponential decay of confidence in the measured hold time or latency.
const HOLD_CONFIDENCE_DECAY: Duration = Duration::from_secs(5);

/// Weight of a new sample in the moving average of the failure rate.
const FAILURE_RATE_GAIN: f64 = 0.1;

/// Time constant of the exponential decay of the failure rate since its last update.
const FAILURE_RATE_DECAY: Duration = Duration::from_secs(4);

/// How long the weight of a new or returning server takes to rise to 1.
const SLOW_START: Duration = Duration::from_secs(4);

/// Weight of a server at the beginning of its slow start.
const INITIAL_WEIGHT: f64 = 0.4;

/// Consecutive failures after which a server is ejected.
const EJECT_AFTER_FAILURES: u32 = 5;

/// A call that its caller cancels counts as a failure of the server if it has waited for its answer
/// for more than this many hold times, and [`MIN_OVERDUE`] besides. A server that is cut off would
/// get calls until its daemon is suspected, since callers with short deadlines leave before a
/// timeout tells.
const OVERDUE_HOLD_TIMES: f64 = 4.0;

/// See [`OVERDUE_HOLD_TIMES`].
const MIN_OVERDUE: Duration = Duration::from_millis(100);

/// Duration of the first ejection; each further one lasts twice as long as the one before, up to
/// [`MAX_EJECTION`], until a success after the slow start resets this.
const FIRST_EJECTION: Duration = Duration::from_secs(5);

/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);

/// How long a load report counts in full. A daemon that calls many servers gets a report of each
/// of them only rarely, and a busy server must not appear idle between two reports.
const LOAD_REPORT_FRESH: Duration = Duration::from_secs(2);

/// Time constant of the exponential decay of a load report older than [`LOAD_REPORT_FRESH`].
const LOAD_REPORT_DECAY: Duration = Duration::from_secs(3);

/// Time constant of the decay of a reported pace towards the server's usual one, which other work on
/// its machine changes every moment.
const PACE_DECAY: Duration = Duration::from_secs(1);

/// The load of a backend server, as reported by the daemon that hosts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Calls running.
    pub running: u32,
    /// Calls queued.
    pub waiting: u32,
    /// How many calls may run at a time at the moment.
    pub limit: u32,
    /// Average hold time of a call, in microseconds; 0 if unknown. [`Slots::load`] gives the
    /// average over the server's own calls; the daemon replaces it by
    /// [`Router::average_hold_seconds`] where that is known.
    ///
    /// [`Slots::load`]: crate::Slots::load
    /// [`Router::average_hold_seconds`]: crate::Router::average_hold_seconds
    pub hold_us: u64,
    /// How long work takes at the server at present, in percent of what it usually takes there, by
    /// what the server says of its machine; 0 if it does not say. `hold_us` is that at 100.
    /// [`Slots::pace_percent`] gives it.
    ///
    /// [`Slots::pace_percent`]: crate::Slots::pace_percent
    pub pace_percent: u16,
    /// How much longer the server is cold, in milliseconds; 0 if it is warm.
    pub cold_ms: u32,
}

/// A load report of a backend server that one daemon passes on to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedLoad {
    /// The backend server that the report is about.
    pub server: ServerName,
    /// The load when the report was made.
    pub load: ServerLoad,
    /// Time since the report was made.
    pub age: Duration,
}

/// The newest load report of a server, direct or shared by another daemon.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    load: ServerLoad,
    /// When a direct report arrived, or when a shared one was made.
    at: Mono,
    /// Attempts of this router in flight at the server when the report arrived.
    in_flight: u32,
}

impl LoadReport {
    /// How much the report still says of the server, from 0 to 1.
    fn weight(&self, now: Mono) -> f64 {
        let stale = now.since(self.at).saturating_sub(LOAD_REPORT_FRESH).as_secs_f64();
        (-stale / LOAD_REPORT_DECAY.as_secs_f64()).exp()
    }

    /// How long work takes at present, as a multiple of the usual; 1 if the server does not say.
    fn pace(&self, now: Mono) -> f64 {
        if self.load.pace_percent == 0 {
            return 1.0;
        }
        let reported = f64::from(self.load.pace_percent) / 100.0;
        let age = now.since(self.at).as_secs_f64();
        1.0 + (reported - 1.0) * (-age / PACE_DECAY.as_secs_f64()).exp()
    }
}

/// Whether a server is to be ejected after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EjectionAdvice {
    Keep,
    Eject,
    /// No ejection is needed: the server gets no calls for a while after a failed connection.
    BackedOff,
}

/// The state of one backend server.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) info: ServerInfo,
    in_flight: u32,
    latency_us: f64,
    latency_updated_at: Mono,
    failure_rate: f64,
    failure_rate_at: Mono,
    slow_start_since: Mono,
    skips_slow_start: bool,
    consecutive_failures: u32,
    connect_backoff: ConnectBackoff,
    ejected_until: Mono,
    ejections: u32,
    overloaded_until: Mono,
    report: Option<LoadReport>,
    pub(super) cold: ColdShare,
}

impl Server {
    /// Creates the state of a server first seen at `now`.
    pub(super) fn new(info: ServerInfo, now: Mono, skips_slow_start: bool) -> Self {
        Self {
            info,
            in_flight: 0,
            latency_us: 0.0,
            latency_updated_at: now,
            failure_rate: 0.0,
            failure_rate_at: now,
            slow_start_since: now,
            skips_slow_start,
            consecutive_failures: 0,
            connect_backoff: ConnectBackoff::default(),
            ejected_until: Mono(0),
            ejections: 0,
            overloaded_until: Mono(0),
            report: None,
            cold: ColdShare::default(),
        }
    }

    pub(super) fn name(&self) -> &ServerName {
        &self.info.name
    }

    /// Takes over a new announcement. If the address or version has changed, all but the count of
    /// attempts in flight is reset, and the slow start begins. It also begins when the server
    /// becomes ready again. A new announcement, and the end of a suspicion, are signs that the
    /// server can be connected to.
    pub(super) fn update(&mut self, info: &ServerInfo, now: Mono) {
        if self.info.hop != info.hop || self.info.version != info.version {
            let in_flight = self.in_flight;
            *self = Self { in_flight, ..Self::new(info.clone(), now, false) };
            return;
        }
        if info.ready && !self.info.ready {
            self.slow_start_since = now;
            self.skips_slow_start = false;
        }
        let announced = info.announcement != self.info.announcement;
        if announced || (self.info.suspected_down && !info.suspected_down) {
            self.connect_backoff.clear(now);
        }
        self.info = info.clone();
    }

    /// Begins an attempt and returns whether it is a trial after a failed connection. A trial ends
    /// with [`Server::end_trial`].
    pub(super) fn begin_attempt(&mut self) -> bool {
        self.in_flight += 1;
        self.connect_backoff.begin_attempt()
    }

    pub(super) fn end_trial(&mut self) {
        self.connect_backoff.end_trial();
    }

    pub(super) fn connect_backoff(&self) -> &ConnectBackoff {
        &self.connect_backoff
    }

    pub(super) fn end_attempt(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(super) fn ejected(&self, now: Mono) -> bool {
        self.ejected_until > now
    }

    /// The inputs of the cost function for a call.
    ///
    /// The measured hold time is taken for at least `shortest_hold_seconds`, and is blended with it
    /// as confidence decays. A server that refused a call counts as having all its slots in use on
    /// top of its load, until its `retry_after` has passed or its daemon reports a free slot and an
    /// empty queue directly.
    pub(super) fn placement_inputs(
        &self,
        now: Mono,
        shortest_hold_seconds: f64,
        distance: Distance,
        needs: CallNeeds,
    ) -> PlacementInputs {
        let confidence = self.hold_confidence(now);
        let hold_seconds = match self.hold_seconds() {
            Some(hold_seconds) => {
                hold_seconds.max(shortest_hold_seconds) * confidence
                    + shortest_hold_seconds * (1.0 - confidence)
            }
            None => shortest_hold_seconds,
        };
        let overload_penalty = if self.overloaded_until > now { self.info.slots } else { 0 };
        let pace = self.report.as_ref().map_or(1.0, |report| report.pace(now));
        PlacementInputs {
            hold_seconds: hold_seconds * pace,
            load: self.load(now) + overload_penalty,
            slots: self.usable_slots(now),
            failure_rate: self.failure_rate(now),
            weight: self.weight(now),
            distance,
            needs,
        }
    }

    /// Recent hold time of a call, in seconds: as reported by the daemon that hosts the server,
    /// else the latency measured by this router. `None` without either.
    pub(super) fn hold_seconds(&self) -> Option<f64> {
        let reported = self.report.map(|report| report.load.hold_us).filter(|hold_us| *hold_us > 0);
        let seconds = reported.map_or(self.latency_us, |hold_us| hold_us as f64) / 1e6;
        (seconds > 0.0).then_some(seconds)
    }

    fn failure_rate(&self, now: Mono) -> f64 {
        let age = now.since(self.failure_rate_at).as_secs_f64();
        self.failure_rate * (-age / FAILURE_RATE_DECAY.as_secs_f64()).exp()
    }

    fn update_failure_rate(&mut self, now: Mono, failed: bool) {
        let before = self.failure_rate(now);
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate = before + FAILURE_RATE_GAIN * (sample - before);
        self.failure_rate_at = now;
    }

    /// Whether the server begins its slow start now.
    pub(super) fn begins_slow_start(&self, now: Mono) -> bool {
        !self.skips_slow_start && self.slow_start_since == now
    }

    /// Until when the server is cold by its newest load report; `None` without a report.
    pub(super) fn reported_cold_until(&self) -> Option<Mono> {
        // A limit of 0 is that of a daemon that did not know the server.
        let report = self.report.as_ref().filter(|report| report.load.limit > 0)?;
        Some(report.at + Duration::from_millis(u64::from(report.load.cold_ms)))
    }

    /// Whether the server is known to say its pace.
    pub(super) fn says_pace(&self) -> bool {
        self.report.is_some_and(|report| report.load.pace_percent > 0)
    }

    /// Slow-start weight, rising linearly from [`INITIAL_WEIGHT`] to 1 within [`SLOW_START`].
    pub(super) fn weight(&self, now: Mono) -> f64 {
        if self.skips_slow_start {
            return 1.0;
        }
        let elapsed = now.since(self.slow_start_since).as_secs_f64() / SLOW_START.as_secs_f64();
        (INITIAL_WEIGHT + (1.0 - INITIAL_WEIGHT) * elapsed).min(1.0)
    }

    /// Records the load that came with an answer of the server's daemon.
    pub(super) fn observe_load(&mut self, now: Mono, load: ServerLoad) {
        self.report = Some(LoadReport { load, at: now, in_flight: self.in_flight });
        if load.waiting == 0 && load.running < load.limit {
            self.overloaded_until = Mono(0);
        }
    }

    /// Records a load report that another daemon shared, if it is newer than the known one. Unlike
    /// [`Server::observe_load`], it does not end the overload penalty.
    pub(super) fn observe_shared_load(&mut self, now: Mono, shared: &SharedLoad) {
        let at = now - shared.age;
        if self.report.is_some_and(|report| report.at >= at) {
            return;
        }
        self.report = Some(LoadReport { load: shared.load, at, in_flight: self.in_flight });
    }

    /// The newest load report, to be shared with another daemon; `None` unless it is younger than
    /// `max_age`.
    pub(super) fn share_load(&self, now: Mono, max_age: Duration) -> Option<SharedLoad> {
        let report = self.report?;
        let age = now.since(report.at);
        let (server, load) = (self.info.name.clone(), report.load);
        (age < max_age).then_some(SharedLoad { server, load, age })
    }

    /// Updates latency, failure rate, failure counts, overload penalty and the backoff after failed
    /// connections from the outcome of an attempt. A shed call counts in the failure rate but does
    /// not lead to ejection. A failed connection counts in the backoff only, so that the server
    /// gets its share of calls as soon as it can be connected to.
    pub(super) fn observe_outcome(
        &mut self,
        now: Mono,
        outcome: Outcome,
        latency: Duration,
    ) -> EjectionAdvice {
        if let Some(failed) = outcome.failed()
            && outcome != Outcome::NotConnected
        {
            self.update_failure_rate(now, failed);
        }
        match outcome {
            Outcome::Answered { status } => {
                self.connect_backoff.clear(now);
                self.update_latency(now, latency);
                if status < MIN_SERVER_ERROR_STATUS {
                    return self.record_success(now);
                }
                self.record_failure()
            }
            Outcome::RefusedByDaemon { retry_after } | Outcome::Shed { retry_after } => {
                // This daemon's own refusal, for lack of time or connections, has no `retry_after`.
                if !retry_after.is_zero() {
                    self.connect_backoff.clear(now);
                }
                self.overloaded_until = now + retry_after;
                EjectionAdvice::Keep
            }
            Outcome::Blocked => EjectionAdvice::Keep,
            Outcome::NotConnected => {
                match self.connect_backoff.record_failure(now, now - latency) {
                    true => EjectionAdvice::BackedOff,
                    false => EjectionAdvice::Keep,
                }
            }
            Outcome::TimedOut => {
                self.update_latency(now, latency);
                self.record_failure()
            }
            Outcome::Reset | Outcome::ServerCrashed | Outcome::Truncated => self.record_failure(),
            Outcome::Cancelled if self.is_overdue(latency) => {
                self.update_failure_rate(now, true);
                self.record_failure()
            }
            Outcome::Cancelled => EjectionAdvice::Keep,
        }
    }

    /// Whether an answer after this time would be later than the server usually takes. False while
    /// its hold time is unknown.
    fn is_overdue(&self, latency: Duration) -> bool {
        let usual = self.hold_seconds();
        usual.is_some_and(|hold| {
            latency.as_secs_f64() > hold * OVERDUE_HOLD_TIMES + MIN_OVERDUE.as_secs_f64()
        })
    }

    /// Ejects the server for a while. It returns with a slow start.
    pub(super) fn eject(&mut self, now: Mono) {
        // Bounded against overflow; [`MAX_EJECTION`] is reached earlier.
        let factor = 1 << self.ejections.min(8);
        self.ejected_until = now + (FIRST_EJECTION * factor).min(MAX_EJECTION);
        self.ejections += 1;
        self.slow_start_since = self.ejected_until;
        self.skips_slow_start = false;
        // A single failure after its return ejects the server again.
        self.consecutive_failures = EJECT_AFTER_FAILURES - 1;
    }

    fn record_success(&mut self, now: Mono) -> EjectionAdvice {
        self.consecutive_failures = 0;
        if self.weight(now) >= 1.0 {
            self.ejections = 0;
        }
        EjectionAdvice::Keep
    }

    fn record_failure(&mut self) -> EjectionAdvice {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= EJECT_AFTER_FAILURES {
            EjectionAdvice::Eject
        } else {
            EjectionAdvice::Keep
        }
    }

    fn update_latency(&mut self, now: Mono, latency: Duration) {
        let sample = latency.as_secs_f64() * 1e6;
        self.latency_us = match self.latency_us > 0.0 {
            true => self.latency_us + LATENCY_GAIN * (sample - self.latency_us),
            false => sample,
        };
        self.latency_updated_at = now;
    }

    /// Confidence in the hold time or latency, from 0 to 1, by the age of the newest sample.
    fn hold_confidence(&self, now: Mono) -> f64 {
        let reported_at = self.report.map_or(Mono(0), |report| report.at);
        let age = now.since(self.latency_updated_at.max(reported_at)).as_secs_f64();
        (-age / HOLD_CONFIDENCE_DECAY.as_secs_f64()).exp()
    }

    /// Age of the newest load report; `None` without a report.
    pub(super) fn report_age(&self, now: Mono) -> Option<Duration> {
        self.report.map(|report| now.since(report.at))
    }

    /// Estimated number of calls running or queued at the server: the reported ones, decayed by
    /// the age of the report, plus the increase since then in this router's attempts in flight.
    /// Never less than the attempts of this router in flight.
    pub(super) fn load(&self, now: Mono) -> u32 {
        let Some(report) = &self.report else {
            return self.in_flight;
        };
        let sent_since = self.in_flight.saturating_sub(report.in_flight);
        let reported = f64::from(report.load.running + report.load.waiting) * report.weight(now);
        (reported.round() as u32 + sent_since).max(self.in_flight)
    }

    /// Whether no call is believed to wait at the server.
    pub(super) fn has_no_queue(&self, now: Mono) -> bool {
        self.load(now) <= self.usable_slots(now)
    }

    /// How many calls the server is believed to run at a time: the limit that its daemon reported,
    /// approaching the announced slots as the report ages.
    fn usable_slots(&self, now: Mono) -> u32 {
        let announced = self.info.slots;
        // A limit of 0 is that of a daemon that did not know the server.
        let Some(report) = self.report.as_ref().filter(|report| report.load.limit > 0) else {
            return announced;
        };
        let missing = f64::from(announced.saturating_sub(report.load.limit)) * report.weight(now);
        announced - missing.round() as u32
    }
}
