//! A token bucket whose rate and depth are passed in, since both change with the share.

use cyclamen_types::Mono;

/// Tokens of one account at one daemon. It starts empty, and may be overdrawn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    refilled: Mono,
}

impl Bucket {
    pub(crate) fn empty(now: Mono) -> Self {
        Self { tokens: 0.0, refilled: now }
    }

    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    pub(crate) fn refilled(&self) -> Mono {
        self.refilled
    }

    /// The tokens after a refill, see [`Bucket::refill`].
    pub(crate) fn tokens_at(&self, now: Mono, rate: f64, depth: f64) -> f64 {
        let passed = now.since(self.refilled).as_secs_f64();
        (self.tokens + rate * passed).min(depth)
    }

    /// Adds what has come in at `rate`, in tokens per second. Returns what of it exceeds the depth.
    pub(crate) fn refill(&mut self, now: Mono, rate: f64, depth: f64) -> f64 {
        let gained = rate * now.since(self.refilled).as_secs_f64();
        let before = self.tokens;
        self.tokens = self.tokens_at(now, rate, depth);
        self.refilled = self.refilled.max(now);
        (before.min(depth) + gained - self.tokens).max(0.0)
    }

    /// Takes one token, if no more than `overdraft` are missing then.
    pub(crate) fn take(&mut self, overdraft: f64) -> bool {
        if self.tokens - 1.0 < -overdraft {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Takes up to `most` tokens that are there.
    pub(crate) fn take_up_to(&mut self, most: f64) -> f64 {
        let taken = most.min(self.tokens).max(0.0);
        self.tokens -= taken;
        taken
    }

    pub(crate) fn add(&mut self, tokens: f64, depth: f64) {
        self.tokens = (self.tokens + tokens).min(depth);
    }
}
