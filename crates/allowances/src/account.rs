//! One account at a daemon that admits its calls: the bucket, the leased share, and when to report.

use std::time::Duration;

use cyclamen_declarations::Allowance;
use cyclamen_types::{AccountName, InstanceName, Mono};
use serde::{Deserialize, Serialize};

use crate::bucket::Bucket;
use crate::demand::Demand;
use crate::limits;
use crate::wire::{Need, Offer, Share};

/// Part of an even share on which a daemon refills its bucket without a lease.
const UNLEASED_PART: f64 = 0.5;

/// Calls that a daemon admits ahead of its first lease. They are paid back out of later tokens.
const UNLEASED_OVERDRAFT: f64 = 1.0;

/// Part of the daemons that the calls of an account newly reach within a few seconds, at most.
const NEWLY_REACHED_PART: f64 = 0.25;

/// Reports of a holder that needs nothing, within a lease.
const REPORTS_PER_LEASE: u32 = 6;

/// Most tokens beyond a full bucket that a holder keeps to return them. They are not counted in the
/// depth of its bucket.
const MAX_SURPLUS: f64 = 1.5;

/// Tokens that a holder returns before its next report is due, and the pause before that.
const EARLY_SURPLUS: f64 = 1.0;
const EARLY_RETURN_PAUSE: Duration = Duration::from_millis(800);

/// Time without calls after which a holder reports no more.
const ACTIVE_TIME: Duration = Duration::from_secs(8);

/// First pause before a report that got no reply is repeated; it doubles up to [`MAX_RETRY_PAUSE`].
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Calls for which a holder asks ahead of need, as the time in which they arrive, and besides.
const AHEAD: Duration = Duration::from_millis(400);
const AHEAD_CALLS: f64 = 3.0;

/// Part of the tokens that it asks for ahead below which a holder asks again.
const LOW_PART: f64 = 0.5;

/// Shortest and longest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// A part of an allowance that this daemon may use.
#[derive(Clone, Copy, Debug)]
struct Lease {
    share: Share,
    until: Mono,
    learned: Mono,
}

/// A report to which no reply has come.
#[derive(Clone, Copy, Debug)]
struct Pending {
    number: u64,
    sent: Mono,
    retry_pause: Duration,
}

/// What a daemon may admit of an account, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareView {
    /// The account.
    pub account: AccountName,
    /// Its calls per second over all daemons.
    pub calls_per_second: f64,
    /// Its burst over all daemons.
    pub burst: f64,
    /// Part of the calls per second that this daemon holds; 0 without a lease.
    pub share: f64,
    /// Calls that it may save up.
    pub depth: f64,
    /// Calls that this daemon would admit at once.
    pub tokens: f64,
    /// Calls per second that arrive at this daemon.
    pub demand: f64,
    /// The daemon that lends the shares; `None` while this one does not know the others.
    pub owner: Option<InstanceName>,
}

#[derive(Debug)]
pub(crate) struct Account {
    pub(crate) allowance: Allowance,
    pub(crate) owner: Option<InstanceName>,
    /// Number of daemons among which the allowance is divided without a lease.
    pub(crate) fleet_size: usize,
    bucket: Bucket,
    demand: Demand,
    /// What the share has brought in beyond the depth of the bucket since the last report.
    surplus: f64,
    lease: Option<Lease>,
    pending: Option<Pending>,
    reported: Option<Mono>,
    pause: Duration,
    refresh_interval: Duration,
    /// Refused callers that are yet to come back, each at the time that it was told.
    awaited: f64,
    awaited_at: Mono,
}

impl Account {
    pub(crate) fn new(now: Mono, allowance: Allowance) -> Self {
        Self {
            allowance,
            owner: None,
            fleet_size: 1,
            bucket: Bucket::empty(now),
            demand: Demand::new(now),
            surplus: 0.0,
            lease: None,
            pending: None,
            reported: None,
            pause: limits::MIN_PAUSE,
            refresh_interval: Duration::ZERO,
            awaited: 0.0,
            awaited_at: now,
        }
    }

    /// Takes over the owner of the account. A new one is reported to at once.
    pub(crate) fn set_owner(&mut self, owner: Option<InstanceName>, fleet_size: usize) {
        self.fleet_size = fleet_size;
        if self.owner != owner {
            self.owner = owner;
            self.pending = None;
            self.reported = None;
            self.surplus = 0.0;
        }
    }

    /// Takes a token for a call; `false` if none is left.
    pub(crate) fn take(&mut self, now: Mono) -> bool {
        self.refill(now);
        self.demand.record(now);
        self.bucket.take(self.overdraft())
    }

    /// Returns the token of a call that was not run.
    pub(crate) fn give_back(&mut self, now: Mono) {
        self.refill(now);
        self.bucket.add(1.0, self.depth());
    }

    /// When the bucket will have a token for a caller that is refused now, after those refused
    /// before it.
    pub(crate) fn retry_after(&mut self, now: Mono) -> Duration {
        let rate = self.rate().max(f64::MIN_POSITIVE);
        let passed = now.since(self.awaited_at).as_secs_f64();
        self.awaited = (self.awaited - rate * passed).max(0.0);
        self.awaited_at = now;
        let missing = 1.0 - self.bucket.tokens() + self.awaited;
        let wait = (missing / rate).min(MAX_RETRY_AFTER.as_secs_f64());
        if wait < MAX_RETRY_AFTER.as_secs_f64() {
            self.awaited += 1.0;
        }
        Duration::from_secs_f64(wait.max(0.0)).max(MIN_RETRY_AFTER)
    }

    /// When the share was last told by its owner; `None` without a lease.
    pub(crate) fn learned(&self) -> Option<Mono> {
        self.lease.map(|lease| lease.learned)
    }

    pub(crate) fn share(&self) -> f64 {
        self.lease.map_or(0.0, |lease| lease.share.rate.into())
    }

    /// Whether nothing would be lost if this was forgotten.
    pub(crate) fn is_unused(&self, now: Mono) -> bool {
        let leased = self.lease.is_some_and(|lease| lease.until > now);
        let overdrawn = self.bucket.tokens_at(now, self.rate(), self.depth()) < 0.0;
        !leased && !overdrawn && self.is_idle(now)
    }

    /// When a report is due, as far as is known now.
    pub(crate) fn report_due(&self, now: Mono) -> Mono {
        if self.owner.is_none() || self.is_idle(now) {
            return Mono::NEVER;
        }
        if let Some(pending) = self.pending {
            return pending.sent + pending.retry_pause.max(self.pause);
        }
        let Some(reported) = self.reported else {
            return now;
        };
        if self.is_low(now) {
            return reported + self.pause;
        }
        let refresh_due = reported + self.pause.max(self.refresh_interval);
        let return_due = reported + self.pause.max(EARLY_RETURN_PAUSE);
        refresh_due.min(return_due.max(self.early_return_at()))
    }

    /// What to report now, in the report of this number.
    pub(crate) fn report(&mut self, now: Mono, name: &AccountName, number: u64) -> Need {
        self.refill(now);
        let retry_pause = match self.pending {
            Some(pending) => (pending.retry_pause * 2).min(MAX_RETRY_PAUSE),
            None => RETRY_PAUSE,
        };
        self.pending = Some(Pending { number, sent: now, retry_pause });
        self.reported = Some(now);
        let wanted = self.wanted_tokens(now);
        Need {
            account: name.clone(),
            demand: self.demand.rate(now) as f32,
            held: self.lease.map_or(Share::default(), |lease| lease.share),
            room: wanted as f32,
            // What exceeds the depth would be lost.
            tokens: (wanted.min(self.depth()) - self.bucket.tokens()).max(0.0) as f32,
            surplus: std::mem::take(&mut self.surplus) as f32,
        }
    }

    /// Takes over what the owner lends in reply to the report of this number. A reply to an earlier
    /// report is ignored: the owner knows from the later one that it was not used.
    pub(crate) fn accept(&mut self, now: Mono, number: u64, offer: &Offer) -> bool {
        let Some(pending) = self.pending.filter(|pending| pending.number == number) else {
            return false;
        };
        self.refill(now);
        self.pending = None;
        self.pause = offer.pause().max(limits::MIN_PAUSE);
        self.refresh_interval = offer.lease() / REPORTS_PER_LEASE;
        // Counted from the report on, so that it ends here before it ends at the owner.
        let until = pending.sent + offer.lease();
        let lease = Lease { share: offer.share, until, learned: now };
        self.lease = (offer.share.rate > 0.0).then_some(lease);
        let depth = self.depth();
        self.bucket.add(offer.tokens.into(), depth);
        true
    }

    pub(crate) fn view(&self, now: Mono, name: &AccountName) -> ShareView {
        ShareView {
            account: name.clone(),
            calls_per_second: self.allowance.calls_per_second,
            burst: self.allowance.burst,
            share: self.share(),
            depth: self.depth(),
            tokens: self.bucket.tokens(),
            demand: self.demand.rate(now),
            owner: self.owner.clone(),
        }
    }

    /// By how much calls may overdraw the bucket: not at all, unless all daemons that the account
    /// newly reaches together stay within what its allowance may be exceeded by.
    fn overdraft(&self) -> f64 {
        let reached = self.fleet_size as f64 * NEWLY_REACHED_PART;
        let is_borne = reached * UNLEASED_OVERDRAFT <= limits::excess(self.allowance);
        if self.lease.is_none() && is_borne { UNLEASED_OVERDRAFT } else { 0.0 }
    }

    fn is_idle(&self, now: Mono) -> bool {
        self.demand.idle(now) > ACTIVE_TIME
    }

    fn is_low(&self, now: Mono) -> bool {
        let tokens = self.bucket.tokens_at(now, self.rate(), self.depth());
        tokens < self.wanted_tokens(now).min(self.depth()) * LOW_PART
    }

    /// When there will be tokens to return early, if no call comes before.
    fn early_return_at(&self) -> Mono {
        if self.lease.is_none() {
            return Mono::NEVER;
        }
        let missing = self.depth() - self.bucket.tokens() + EARLY_SURPLUS - self.surplus;
        self.bucket.refilled() + Duration::from_secs_f64((missing / self.rate()).clamp(0.0, 60.0))
    }

    /// Tokens that this daemon needs until the next report.
    fn wanted_tokens(&self, now: Mono) -> f64 {
        self.demand.peak(now) * AHEAD.as_secs_f64() + AHEAD_CALLS
    }

    /// Refills the bucket at the rate of the lease up to its end, and at that of a daemon without
    /// one from there on.
    fn refill(&mut self, now: Mono) {
        if let Some(lease) = self.lease
            && lease.until <= now
        {
            self.bucket.refill(lease.until, self.rate(), self.depth());
            self.lease = None;
            self.surplus = 0.0;
        }
        let surplus = self.bucket.refill(now, self.rate(), self.depth());
        if self.lease.is_some() {
            self.surplus = (self.surplus + surplus).min(MAX_SURPLUS);
        }
    }

    fn rate(&self) -> f64 {
        let part = match self.lease {
            Some(lease) => lease.share.rate.into(),
            None => UNLEASED_PART / self.fleet_size as f64,
        };
        self.allowance.calls_per_second * part
    }

    fn depth(&self) -> f64 {
        match self.lease {
            Some(lease) => (limits::depth(self.allowance) * f64::from(lease.share.depth)).max(1.0),
            None => 1.0,
        }
    }
}

#[cfg(test)]
mod tests;
