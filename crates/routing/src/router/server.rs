//! What the router knows of one backend server: load, latency, health.

use std::time::Duration;

use cyclamen_types::{Mono, ServerName};

use crate::call::Outcome;
use crate::router::ServerInfo;

/// Weight of a new latency in the moving average.
const LATENCY_GAIN: f64 = 0.2;

/// Time in which an old latency loses most of its say.
const LATENCY_MEMORY: Duration = Duration::from_secs(5);

/// Time over which a cold server comes up to its full share.
const SLOW_START: Duration = Duration::from_secs(10);

/// Share of a server that has just come up.
const COLD_WEIGHT: f64 = 0.1;

/// Failures in a row that eject a server.
const EJECT_AFTER: u32 = 5;

/// Failed connections in a row that eject a server.
const EJECT_AFTER_UNCONNECTED: u32 = 2;

/// First time out of choice.
const EJECTED_FOR: Duration = Duration::from_secs(5);

/// Longest time out of choice.
const LONGEST_EJECTION: Duration = Duration::from_secs(60);

/// A report of load older than this says nothing.
const LOAD_MEMORY: Duration = Duration::from_secs(1);

/// Lowest status that counts as the server's own failure.
const SERVER_FAULT: u16 = 500;

/// The load that a backend server's own daemon reported with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// Calls that may run at a time, now.
    pub limit: u32,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    load: ServerLoad,
    at: Mono,
    /// Attempts of this router in flight when it came.
    mine: u32,
}

/// Why a finished attempt calls for an ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Health {
    Fine,
    Eject,
}

/// One backend server.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) info: ServerInfo,
    in_flight: u32,
    latency: f64,
    latency_at: Mono,
    up_since: Mono,
    warm: bool,
    failures: u32,
    unconnected: u32,
    ejected_until: Mono,
    ejections: u32,
    full_until: Mono,
    report: Option<Report>,
}

impl Server {
    /// A server first seen at `now`; `warm` ones get their full share at once.
    pub(super) fn new(info: ServerInfo, now: Mono, warm: bool) -> Self {
        Self {
            info,
            in_flight: 0,
            latency: 0.0,
            latency_at: now,
            up_since: now,
            warm,
            failures: 0,
            unconnected: 0,
            ejected_until: Mono(0),
            ejections: 0,
            full_until: Mono(0),
            report: None,
        }
    }

    pub(super) fn name(&self) -> &ServerName {
        &self.info.name
    }

    /// Takes over what was announced anew; another address or version is a fresh server.
    pub(super) fn update(&mut self, info: &ServerInfo, now: Mono) {
        if self.info.hop != info.hop || self.info.version != info.version {
            let in_flight = self.in_flight;
            *self = Self { in_flight, ..Self::new(info.clone(), now, false) };
            return;
        }
        if info.ready && !self.info.ready {
            self.up_since = now;
            self.warm = false;
        }
        self.info = info.clone();
    }

    pub(super) fn started(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(super) fn ejected(&self, now: Mono) -> bool {
        self.ejected_until > now
    }

    /// Whether a call sent now would likely find a slot.
    pub(super) fn has_room(&self, now: Mono) -> bool {
        if self.full_until > now {
            return false;
        }
        let limit = self.fresh_report(now).map_or(self.info.slots, |report| report.load.limit);
        self.load(now) < limit
    }

    /// How long a call sent now would take, up to a common factor: lower is better.
    pub(super) fn cost(&self, now: Mono, unknown_latency: f64) -> f64 {
        let latency = match self.latency > 0.0 {
            true => self.latency * self.latency_say(now) + unknown_latency * self.forgotten(now),
            false => unknown_latency,
        };
        let full = if self.full_until > now { f64::from(self.info.slots.max(1)) } else { 0.0 };
        let load = f64::from(self.load(now)) + full + 1.0;
        latency.max(1.0) * load / (f64::from(self.info.slots.max(1)) * self.weight(now))
    }

    /// The latency that its calls have lately had, in microseconds; zero when unknown.
    pub(super) fn latency(&self) -> f64 {
        self.latency
    }

    /// Its share while it comes up: from [`COLD_WEIGHT`] to 1.
    pub(super) fn weight(&self, now: Mono) -> f64 {
        if self.warm {
            return 1.0;
        }
        let up = now.since(self.up_since).as_secs_f64() / SLOW_START.as_secs_f64();
        (COLD_WEIGHT + (1.0 - COLD_WEIGHT) * up).min(1.0)
    }

    /// Learns from the load that came with an answer.
    pub(super) fn observe_load(&mut self, now: Mono, load: ServerLoad) {
        self.report = Some(Report { load, at: now, mine: self.in_flight });
        if load.waiting == 0 && load.running < load.limit {
            self.full_until = Mono(0);
        }
    }

    /// Learns from the end of an attempt.
    pub(super) fn learn(&mut self, now: Mono, outcome: Outcome, latency: Duration) -> Health {
        match outcome {
            Outcome::Answered { status } => {
                self.unconnected = 0;
                self.learn_latency(now, latency);
                if status < SERVER_FAULT {
                    return self.recovered(now);
                }
                self.failed()
            }
            Outcome::NotRun { retry_after } | Outcome::Shed { retry_after } => {
                self.full_until = now + retry_after;
                Health::Fine
            }
            Outcome::NotConnected => {
                self.unconnected += 1;
                match self.unconnected >= EJECT_AFTER_UNCONNECTED {
                    true => Health::Eject,
                    false => self.failed(),
                }
            }
            Outcome::TimedOut => {
                self.learn_latency(now, latency);
                self.failed()
            }
            Outcome::Reset | Outcome::Truncated => self.failed(),
            Outcome::Cancelled => Health::Fine,
        }
    }

    /// Takes the server out of choice for a while; it comes back slowly.
    pub(super) fn eject(&mut self, now: Mono) {
        let factor = 1 << self.ejections.min(8);
        self.ejected_until = now + (EJECTED_FOR * factor).min(LONGEST_EJECTION);
        self.ejections += 1;
        self.up_since = self.ejected_until;
        self.warm = false;
        // On probation one more failure ejects it again.
        self.failures = EJECT_AFTER - 1;
        self.unconnected = EJECT_AFTER_UNCONNECTED - 1;
    }

    fn recovered(&mut self, now: Mono) -> Health {
        self.failures = 0;
        if self.weight(now) >= 1.0 {
            self.ejections = 0;
        }
        Health::Fine
    }

    fn failed(&mut self) -> Health {
        self.failures += 1;
        if self.failures >= EJECT_AFTER { Health::Eject } else { Health::Fine }
    }

    fn learn_latency(&mut self, now: Mono, latency: Duration) {
        let sample = latency.as_secs_f64() * 1e6;
        self.latency = match self.latency > 0.0 {
            true => self.latency + LATENCY_GAIN * (sample - self.latency),
            false => sample,
        };
        self.latency_at = now;
    }

    fn latency_say(&self, now: Mono) -> f64 {
        (-now.since(self.latency_at).as_secs_f64() / LATENCY_MEMORY.as_secs_f64()).exp()
    }

    fn forgotten(&self, now: Mono) -> f64 {
        1.0 - self.latency_say(now)
    }

    fn fresh_report(&self, now: Mono) -> Option<&Report> {
        self.report.as_ref().filter(|report| now.since(report.at) < LOAD_MEMORY)
    }

    /// Calls at the server as far as this router can tell.
    fn load(&self, now: Mono) -> u32 {
        let Some(report) = self.fresh_report(now) else {
            return self.in_flight;
        };
        let since = self.in_flight.saturating_sub(report.mine);
        (report.load.running + report.load.waiting + since).max(self.in_flight)
    }
}
