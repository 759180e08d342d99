//! What the router knows of one backend server: load, latency, health.

use std::time::Duration;

use cyclamen_types::{Mono, ServerName};

use crate::call::{Outcome, SERVER_FAULT_STATUS};
use crate::router::ServerInfo;
use crate::router::placing::{Distance, Prospect};

/// Weight of a new latency in the moving average.
const LATENCY_GAIN: f64 = 0.2;

/// Time in which an old latency loses most of its say.
const LATENCY_MEMORY: Duration = Duration::from_secs(5);

/// Weight of one more end of a call in the share that fails.
const FAILING_GAIN: f64 = 0.1;

/// Time in which failures lose most of their say.
const FAILING_MEMORY: Duration = Duration::from_secs(4);

/// Time over which a cold server comes up to its full share.
const SLOW_START: Duration = Duration::from_secs(4);

/// Share of a server that has just come up.
const COLD_WEIGHT: f64 = 0.4;

/// Failures in a row that eject a server.
const EJECT_AFTER: u32 = 5;

/// Failed connections in a row that eject a server.
const EJECT_AFTER_UNCONNECTED: u32 = 2;

/// First time out of choice.
const EJECTED_FOR: Duration = Duration::from_secs(5);

/// Longest time out of choice.
const LONGEST_EJECTION: Duration = Duration::from_secs(60);

/// For how long a report of load holds as it is. Of many servers each is heard of seldom, and a
/// busy one must not pass for empty in between.
const LOAD_MEMORY: Duration = Duration::from_secs(2);

/// Time in which an older report loses most of its say.
const LOAD_FADING: Duration = Duration::from_secs(3);

/// The load that a backend server's own daemon reported with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// Calls that may run at a time, now.
    pub limit: u32,
    /// How long the server holds a call of the usual mix, in microseconds; zero while unknown.
    pub hold_us: u64,
}

/// The load of a backend server as another daemon heard of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeardLoad {
    /// The backend server.
    pub server: ServerName,
    /// What it carried.
    pub load: ServerLoad,
    /// How long ago.
    pub age: Duration,
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
    failing: f64,
    failing_at: Mono,
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
            failing: 0.0,
            failing_at: now,
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

    /// What is known of it for a call placed now; `hoped_hold` stands in for what is not, in
    /// seconds.
    pub(super) fn prospect(
        &self,
        now: Mono,
        hoped_hold: f64,
        distance: Distance,
        bytes: f64,
    ) -> Prospect {
        let known = self.say(now);
        let hold = match self.hold() {
            Some(hold) => hold * known + hoped_hold * (1.0 - known),
            None => hoped_hold,
        };
        let full = if self.full_until > now { self.info.slots } else { 0 };
        Prospect {
            hold,
            load: self.load(now) + full,
            slots: self.info.slots,
            failing: self.failing(now),
            weight: self.weight(now),
            distance,
            bytes,
        }
    }

    /// How long it has lately held a call, in seconds, as the daemon beside it tells, else as
    /// seen from here; `None` when unknown.
    pub(super) fn hold(&self) -> Option<f64> {
        let told = self.report.map(|report| report.load.hold_us).filter(|hold| *hold > 0);
        let seconds = told.map_or(self.latency, |hold| hold as f64) / 1e6;
        (seconds > 0.0).then_some(seconds)
    }

    fn failing(&self, now: Mono) -> f64 {
        let age = now.since(self.failing_at).as_secs_f64();
        self.failing * (-age / FAILING_MEMORY.as_secs_f64()).exp()
    }

    fn learn_failing(&mut self, now: Mono, failed: bool) {
        let before = self.failing(now);
        let sample = if failed { 1.0 } else { 0.0 };
        self.failing = before + FAILING_GAIN * (sample - before);
        self.failing_at = now;
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

    /// Learns from the load that another daemon heard of, where it is newer.
    pub(super) fn hear_load(&mut self, now: Mono, heard: &HeardLoad) {
        let at = now - heard.age;
        if self.report.is_some_and(|known| known.at >= at) {
            return;
        }
        self.report = Some(Report { load: heard.load, at, mine: self.in_flight });
    }

    /// The load to tell other daemons of; `None` when what is known is older than `longest`.
    pub(super) fn tell_load(&self, now: Mono, longest: Duration) -> Option<HeardLoad> {
        let report = self.report?;
        let age = now.since(report.at);
        let (server, load) = (self.info.name.clone(), report.load);
        (age < longest).then_some(HeardLoad { server, load, age })
    }

    /// Learns from the end of an attempt.
    pub(super) fn learn(&mut self, now: Mono, outcome: Outcome, latency: Duration) -> Health {
        if let Some(failed) = outcome.failed() {
            self.learn_failing(now, failed);
        }
        match outcome {
            Outcome::Answered { status } => {
                self.unconnected = 0;
                self.learn_latency(now, latency);
                if status < SERVER_FAULT_STATUS {
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

    /// How much of what is known of its quickness still counts, from 0 to 1.
    fn say(&self, now: Mono) -> f64 {
        let told_at = self.report.map_or(Mono(0), |report| report.at);
        let age = now.since(self.latency_at.max(told_at)).as_secs_f64();
        (-age / LATENCY_MEMORY.as_secs_f64()).exp()
    }

    /// Age of what the daemon beside it last told.
    pub(super) fn told_ago(&self, now: Mono) -> Option<Duration> {
        self.report.map(|report| now.since(report.at))
    }

    /// Calls at the server as far as this router can tell.
    pub(super) fn load(&self, now: Mono) -> u32 {
        let Some(report) = &self.report else {
            return self.in_flight;
        };
        let since = self.in_flight.saturating_sub(report.mine);
        let faded = now.since(report.at).saturating_sub(LOAD_MEMORY).as_secs_f64();
        let weight = (-faded / LOAD_FADING.as_secs_f64()).exp();
        let told = f64::from(report.load.running + report.load.waiting) * weight;
        (told.round() as u32 + since).max(self.in_flight)
    }
}
