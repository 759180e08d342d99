//! When this daemon reads the log: always as a relay, else only where nobody else seems to.

use std::time::Duration;

use cyclamen_types::{ConfigVersion, Mono, Now, Offset};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::backoff::Backoff;

/// Bound of the first pause after a failed read.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Bound of the pause after many failed reads.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// How long an expected version is looked for in the log itself.
const EXPECTED_PATIENCE: Duration = Duration::from_secs(10);

/// Time over which the daemons of a fleet spread reads that each of them decides on, per daemon.
const SPREAD_PER_MEMBER: Duration = Duration::from_millis(100);

/// Why the log is read now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// This daemon reads the log for its failure domain.
    Relay,
    /// An append of this daemon was acknowledged.
    Expected,
    /// Nobody is known to have reached the log for long.
    Silence,
}

/// The reads of the log by one daemon.
#[derive(Debug)]
pub(crate) struct LogReader {
    reading: bool,
    paused_until: Mono,
    backoff: Backoff,
    expected: ConfigVersion,
    expected_until: Mono,
    fallback_at: Option<Mono>,
}

impl LogReader {
    pub(crate) fn new() -> Self {
        Self {
            reading: false,
            paused_until: Mono::default(),
            backoff: Backoff::new(FIRST_PAUSE, LONGEST_PAUSE),
            expected: ConfigVersion::NONE,
            expected_until: Mono::default(),
            fallback_at: None,
        }
    }

    /// A version that the log is known to have reached.
    pub(crate) fn expect(&mut self, now: Now, version: ConfigVersion) {
        self.expected = self.expected.max(version);
        self.expected_until = now.mono + EXPECTED_PATIENCE;
    }

    /// Whether a read should begin now, and why.
    pub(crate) fn cause(&self, now: Now, relay: bool, version: ConfigVersion) -> Option<Cause> {
        if self.reading || now.mono < self.paused_until {
            return None;
        }
        if relay {
            return Some(Cause::Relay);
        }
        if self.expected > version && now.mono < self.expected_until {
            return Some(Cause::Expected);
        }
        let fallback = self.fallback_at.is_some_and(|at| now.mono >= at);
        fallback.then_some(Cause::Silence)
    }

    /// Sets or forgets the time of a read on its own account: `silent` tells that nobody is known
    /// to have reached the log, `members` how many daemons may decide likewise.
    pub(crate) fn watch(&mut self, now: Now, silent: bool, members: usize, rng: &mut SmallRng) {
        if !silent {
            self.fallback_at = None;
            return;
        }
        if self.fallback_at.is_none() {
            let members = u32::try_from(members).unwrap_or(u32::MAX);
            let spread = SPREAD_PER_MEMBER.saturating_mul(members);
            self.fallback_at = Some(now.mono + spread.mul_f64(rng.random_range(0.0..=1.0)));
        }
    }

    /// A read begins.
    pub(crate) fn begin(&mut self) {
        self.reading = true;
        self.fallback_at = None;
    }

    /// A read succeeded; `pause` before the next one.
    pub(crate) fn succeed(&mut self, now: Now, pause: Duration) {
        self.reading = false;
        self.backoff.succeed();
        self.paused_until = now.mono + pause;
    }

    /// A read failed.
    pub(crate) fn fail(&mut self, now: Now, rng: &mut SmallRng) {
        self.reading = false;
        self.paused_until = now.mono + self.backoff.fail(rng);
    }

    /// The offset of an expected version is beyond the end of the log: it was lost.
    pub(crate) fn forget_expected(&mut self, next: Offset) {
        if self.expected.next_offset() > next {
            self.expected = ConfigVersion::NONE;
        }
    }

    /// When something may be due.
    pub(crate) fn due(&self) -> Mono {
        if self.reading {
            return Mono::NEVER;
        }
        self.paused_until
    }
}
