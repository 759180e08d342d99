//! Which datagrams of one sender were seen.

use cyclamen_types::Incarnation;

/// Datagrams that may cross on the way without being taken for replays.
const WINDOW: u64 = 128;

/// The datagrams seen of one sender.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Window {
    life: Incarnation,
    highest: u64,
    seen: u128,
}

impl Window {
    /// Takes a datagram of a sender's life; whether it is new.
    pub(crate) fn take(&mut self, life: Incarnation, sequence: u64) -> bool {
        if life < self.life {
            return false;
        }
        if life > self.life {
            *self = Self { life, highest: sequence, seen: 1 };
            return true;
        }
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.seen = if ahead < WINDOW { self.seen << ahead } else { 0 };
            self.seen |= 1;
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW {
            return false;
        }
        let bit = 1 << behind;
        let fresh = self.seen & bit == 0;
        self.seen |= bit;
        fresh
    }
}
