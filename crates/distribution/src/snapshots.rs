//! When a relay appends a snapshot to the log: often enough that the log always keeps one.

use std::time::Duration;

use cyclamen_types::{Mono, Now, Offset};
use rand::Rng;
use rand::rngs::SmallRng;

/// Time between two snapshots.
const EVERY: Duration = Duration::from_secs(60 * 60);

/// Time over which relays spread theirs, so that the first one spares the others theirs.
const SPREAD: Duration = Duration::from_secs(10 * 60);

/// The same where the log may soon trim the last snapshot.
const HURRIED_SPREAD: Duration = Duration::from_secs(30);

/// Pause before a snapshot that did not show in the log is appended again.
const AGAIN: Duration = Duration::from_secs(60);

/// The snapshots in the log.
#[derive(Debug)]
pub(crate) struct Snapshots {
    last: Option<Offset>,
    due: Mono,
    hurried: bool,
}

impl Snapshots {
    pub(crate) fn new(now: Now, rng: &mut SmallRng) -> Self {
        Self { last: None, due: now.mono + EVERY + spread(SPREAD, rng), hurried: false }
    }

    /// A part of a snapshot stands in the log.
    pub(crate) fn seen(&mut self, now: Now, offset: Offset, rng: &mut SmallRng) {
        if self.last.is_some_and(|last| last >= offset) {
            return;
        }
        self.last = Some(offset);
        self.due = now.mono + EVERY + spread(SPREAD, rng);
        self.hurried = false;
    }

    /// The log keeps records from `first` to before `next`: a snapshot in the older half, or none
    /// in a log that trims, makes another one due soon.
    pub(crate) fn log_keeps(&mut self, now: Now, first: Offset, next: Offset, rng: &mut SmallRng) {
        let middle = first.0 + next.0.saturating_sub(first.0) / 2;
        let safe = self.last.is_some_and(|last| last.0 >= middle);
        if first.0 == 0 || safe || self.hurried {
            return;
        }
        self.hurried = true;
        self.due = self.due.min(now.mono + spread(HURRIED_SPREAD, rng));
    }

    /// Whether one has to be appended now; asked again, not before it should have shown.
    pub(crate) fn take_due(&mut self, now: Now, rng: &mut SmallRng) -> bool {
        if now.mono < self.due {
            return false;
        }
        self.due = now.mono + AGAIN + spread(HURRIED_SPREAD, rng);
        true
    }
}

fn spread(longest: Duration, rng: &mut SmallRng) -> Duration {
    longest.mul_f64(rng.random_range(0.0..=1.0))
}
