//! Time as a value: the crates below the daemon read no clock.

use std::ops::{Add, Sub};
use std::time::Duration;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Monotonic time in microseconds since an arbitrary start of the process; for durations.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Mono(pub u64);

impl Mono {
    /// Later than any time that occurs.
    pub const NEVER: Self = Self(u64::MAX);

    /// Time passed since `earlier`; zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Mono {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for Mono {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}

/// Wall-clock time in Unix milliseconds; for schedules only, since clocks differ by seconds.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Wall(pub u64);

impl Wall {
    /// Time passed since `earlier`; zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Wall {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(span.as_millis()).unwrap_or(u64::MAX)))
    }
}

/// The time of one event, read once by whoever owns the clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// For durations and timers.
    pub mono: Mono,
    /// For schedules that operators set.
    pub wall: Wall,
}

impl Add<Duration> for Now {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self { mono: self.mono + span, wall: self.wall + span }
    }
}
