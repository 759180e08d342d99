//! How fast a backend server works, as it says itself in its answers.
//!
//! A server that shares its machine with others works now faster, now slower. Hold times are
//! averaged as if it had always worked at pace 100, and are scaled by the pace where they are used.

use std::time::Duration;

use cyclamen_types::Mono;

/// Slowest and quickest pace that a server is believed to have, in percent.
const PLAUSIBLE_PERCENT: std::ops::RangeInclusive<f64> = 10.0..=2_000.0;

/// Time constant with which the usual pace follows the present one.
const USUAL_PACE_TIME: Duration = Duration::from_secs(10);

/// Time constant of the decay of a figure towards the usual pace.
const PACE_DECAY: Duration = Duration::from_secs(1);

/// The pace of a server: how long work takes, as a multiple of what it takes at pace 100.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    /// By the latest answer.
    said: f64,
    said_at: Mono,
    /// Moving average over time.
    usual: f64,
}

impl Pace {
    /// The pace of a server that says this percentage for the first time.
    pub(super) fn new(percent: u16, now: Mono) -> Self {
        Self { said: plausible(percent), said_at: now, usual: 1.0 }
    }

    /// Takes over what the server says now.
    pub(super) fn observe(&mut self, percent: u16, now: Mono) {
        let age = now.since(self.said_at).as_secs_f64();
        let gain = 1.0 - (-age / USUAL_PACE_TIME.as_secs_f64()).exp();
        self.usual += gain * (self.said - self.usual);
        self.said = plausible(percent);
        self.said_at = now;
    }

    /// By the latest answer, however old.
    pub(super) fn said(&self) -> f64 {
        self.said
    }

    /// What it usually is.
    pub(super) fn usual(&self) -> f64 {
        self.usual
    }

    /// What it is believed to be now: what the server said, approaching the usual as that ages.
    pub(super) fn present(&self, now: Mono) -> f64 {
        let age = now.since(self.said_at).as_secs_f64();
        self.usual + (self.said - self.usual) * (-age / PACE_DECAY.as_secs_f64()).exp()
    }
}

fn plausible(percent: u16) -> f64 {
    f64::from(percent).clamp(*PLAUSIBLE_PERCENT.start(), *PLAUSIBLE_PERCENT.end()) / 100.0
}
