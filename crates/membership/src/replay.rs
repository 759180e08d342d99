//! Replay protection: a sliding window over the sequence numbers of one sender's datagrams.

use cyclamen_types::Incarnation;

/// Length of the window in datagrams, one bit of `seen` each. Datagrams may be reordered within
/// it; one that is this far or farther behind the highest sequence number counts as a replay.
const WINDOW_LEN: u64 = 128;

/// Records which of a sender's latest datagrams have been received.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplayWindow {
    start_incarnation: Incarnation,
    highest: u64,
    seen: u128,
}

impl ReplayWindow {
    /// Records a datagram. Returns whether to accept it: false if it was seen before, is older than
    /// the window, or dates from before the sender's last restart.
    pub(crate) fn accept(&mut self, start_incarnation: Incarnation, sequence: u64) -> bool {
        if start_incarnation < self.start_incarnation {
            return false;
        }
        if start_incarnation > self.start_incarnation {
            *self = Self { start_incarnation, highest: sequence, seen: 1 };
            return true;
        }
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.seen = if ahead < WINDOW_LEN { self.seen << ahead } else { 0 };
            self.seen |= 1;
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW_LEN {
            return false;
        }
        let bit = 1 << behind;
        let fresh = self.seen & bit == 0;
        self.seen |= bit;
        fresh
    }
}
