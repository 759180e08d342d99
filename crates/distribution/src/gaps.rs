//! Requests to peers: when a gap is closed, who is being asked, who asked to be left alone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_types::{Mono, Now};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::backoff::Backoff;

/// Longest time that pushed records get to arrive before a gap is closed by asking.
const GRACE: Duration = Duration::from_millis(150);

/// Bound of the first pause after a request without an answer.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Bound of the pause after many of them.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// After this long without an answer a request counts as lost.
const LOST_AFTER: Duration = Duration::from_secs(10);

/// Pause before a peer that is not ready is asked again.
const REST: Duration = Duration::from_millis(500);

/// The requests to peers.
#[derive(Debug)]
pub(crate) struct Gaps {
    close_at: Option<Mono>,
    asking: BTreeMap<SocketAddr, Mono>,
    resting: BTreeMap<SocketAddr, Mono>,
    backoff: Backoff,
}

impl Default for Gaps {
    fn default() -> Self {
        Self {
            close_at: None,
            asking: BTreeMap::new(),
            resting: BTreeMap::new(),
            backoff: Backoff::new(FIRST_PAUSE, LONGEST_PAUSE),
        }
    }
}

impl Gaps {
    /// A peer holds more than this daemon.
    pub(crate) fn notice(&mut self, now: Now, rng: &mut SmallRng) {
        if self.close_at.is_none() {
            self.close_at = Some(now.mono + GRACE.mul_f64(rng.random_range(0.3..=1.0)));
        }
    }

    /// This daemon holds what its peers hold.
    pub(crate) fn closed(&mut self) {
        self.close_at = None;
    }

    /// Nobody can be asked now.
    pub(crate) fn postpone(&mut self, now: Now) {
        self.close_at = Some(now.mono + REST);
    }

    /// When a gap should be closed.
    pub(crate) fn due(&self) -> Mono {
        if self.asking.is_empty() { self.close_at.unwrap_or(Mono::NEVER) } else { Mono::NEVER }
    }

    /// Whether fewer than `at_once` requests are under way.
    pub(crate) fn may_ask(&self, now: Now, at_once: u32) -> bool {
        let lost = |asked: &Mono| now.mono.since(*asked) >= LOST_AFTER;
        let under_way = self.asking.values().filter(|asked| !lost(asked)).count();
        under_way < at_once as usize
    }

    /// Whether a peer is not being asked and did not ask to be left alone.
    pub(crate) fn may_ask_peer(&self, now: Now, peer: &SocketAddr) -> bool {
        let resting = self.resting.get(peer).is_some_and(|until| now.mono < *until);
        !resting && !self.asking.contains_key(peer)
    }

    /// A request goes out.
    pub(crate) fn ask(&mut self, now: Now, peer: SocketAddr) {
        self.asking.retain(|_, asked| now.mono.since(*asked) < LOST_AFTER);
        self.resting.retain(|_, until| now.mono < *until);
        self.asking.insert(peer, now.mono);
    }

    /// A peer answered; a gap that is left is closed at once.
    pub(crate) fn answered(&mut self, now: Now, peer: SocketAddr) {
        self.asking.remove(&peer);
        self.backoff.succeed();
        if self.close_at.is_some() {
            self.close_at = Some(now.mono);
        }
    }

    /// A request failed.
    pub(crate) fn fail(&mut self, now: Now, peer: SocketAddr, rng: &mut SmallRng) {
        self.asking.remove(&peer);
        self.resting.insert(peer, now.mono + REST);
        let pause = self.backoff.fail(rng);
        self.delay(now, pause);
    }

    /// A peer is busy and said when to come back.
    pub(crate) fn come_back(
        &mut self,
        now: Now,
        peer: SocketAddr,
        after_ms: u32,
        rng: &mut SmallRng,
    ) {
        self.asking.remove(&peer);
        self.resting.insert(peer, now.mono + Duration::from_millis(u64::from(after_ms)));
        let pause = self.backoff.fail(rng);
        self.delay(now, pause);
    }

    /// A peer is left alone for a while.
    pub(crate) fn rest(&mut self, now: Now, peer: SocketAddr) {
        self.resting.insert(peer, now.mono + REST);
    }

    fn delay(&mut self, now: Now, pause: Duration) {
        if self.close_at.is_some() {
            self.close_at = Some(now.mono + pause);
        }
    }
}
