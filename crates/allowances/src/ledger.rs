//! What the owner of an account has lent, and to whom.

use std::time::Duration;

use cyclamen_declarations::Allowance;
use cyclamen_types::{FastMap, Incarnation, InstanceName, Mono};

use crate::bucket::Bucket;
use crate::fleet::Fleet;
use crate::limits;
use crate::wire::{Need, Offer, Share};

/// Time in which a new owner hears from those that hold shares before it lends more.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);

/// Part of the allowance that is divided evenly among the holders, so that a holder with few calls
/// need not ask for each.
const EVEN_PART: f64 = 0.1;

/// Share that a holder gets per share that it needs, while there is enough.
const HEADROOM: f64 = 1.1;

/// Part of the allowance that is lent as shares. The rest is lent as single tokens.
const LENT_PART: f64 = 0.9;

/// Part of the tokens left that one report may get.
const TOKENS_PART: f64 = 0.5;

/// A daemon that holds a share, or may hold one.
#[derive(Debug)]
struct Holder {
    incarnation: Incarnation,
    number: u64,
    /// The most that it can hold now.
    charged: Sums,
    /// When that ends.
    until: Mono,
    /// The share that it needs.
    need: Sums,
}

/// Shares, or sums of them, as fractions of the whole.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    rate: f64,
    depth: f64,
}

impl Sums {
    fn add(&mut self, other: Self) {
        self.rate += other.rate;
        self.depth += other.depth;
    }

    fn max(self, other: Self) -> Self {
        Self { rate: self.rate.max(other.rate), depth: self.depth.max(other.depth) }
    }
}

impl From<Share> for Sums {
    fn from(share: Share) -> Self {
        Self { rate: share.rate.into(), depth: share.depth.into() }
    }
}

impl From<Sums> for Share {
    fn from(sums: Sums) -> Self {
        Self { rate: sums.rate as f32, depth: sums.depth as f32 }
    }
}

/// Sums over the holders.
#[derive(Clone, Copy, Debug, Default)]
struct Lent {
    /// Shares of daemons that are reachable.
    reachable: Sums,
    /// Shares of daemons that are not.
    unreachable: Sums,
    /// What the reachable ones need.
    needed: Sums,
}

/// Who sends a report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sender<'a> {
    pub(crate) name: &'a InstanceName,
    pub(crate) incarnation: Incarnation,
    pub(crate) number: u64,
}

#[derive(Debug)]
pub(crate) struct Ledger {
    /// Since when this daemon has been the owner.
    since: Mono,
    holders: FastMap<InstanceName, Holder>,
    /// Tokens of the part that is not lent as shares.
    spare: Bucket,
}

impl Ledger {
    /// The ledger of a daemon that has been the owner since then. What nobody reported by the end of
    /// the settling time has not been lent, so its tokens come in from there on.
    pub(crate) fn new(since: Mono) -> Self {
        let spare = Bucket::empty(since + SETTLING_TIME);
        Self { since, holders: FastMap::default(), spare }
    }

    /// Whether all shares that it knows of have ended.
    pub(crate) fn is_unused(&self, now: Mono) -> bool {
        self.holders.values().all(|holder| holder.until <= now)
    }

    /// Enters a report and decides what its sender may use from now on; `None` if a later report was
    /// heard before.
    pub(crate) fn answer(
        &mut self,
        now: Mono,
        allowance: Allowance,
        fleet: &Fleet,
        sender: Sender<'_>,
        need: &Need,
    ) -> Option<Offer> {
        self.refill(now, allowance, fleet);
        self.holders.retain(|_, holder| holder.until > now);
        let lease = limits::lease(fleet.size());
        self.enter(now + lease, sender, need, allowance)?;
        self.take_back(now, allowance, fleet, need.surplus.into());
        let held = Sums::from(need.held);
        let share = match self.is_settling(now) {
            true => held,
            false => self.fair_share(now, fleet, sender.name),
        };
        if let Some(holder) = self.holders.get_mut(sender.name) {
            holder.charged = held.max(share);
        }
        let tokens = self.lend_tokens(need.tokens.into());
        let enough = tokens >= f64::from(need.tokens) * TOKENS_PART;
        let pause = match enough {
            true => limits::MIN_PAUSE,
            false => limits::long_pause(self.holders.len()),
        };
        Some(Offer {
            share: share.into(),
            tokens: tokens as f32,
            lease_ms: to_millis(lease),
            pause_ms: to_millis(pause),
        })
    }

    /// Whether holders of shares may not have been heard yet.
    fn is_settling(&self, now: Mono) -> bool {
        now.since(self.since) < SETTLING_TIME
    }

    /// Refills the spare tokens at the rate that is not lent.
    fn refill(&mut self, now: Mono, allowance: Allowance, fleet: &Fleet) {
        if self.is_settling(now) {
            return;
        }
        let left = self.left(now, fleet);
        let rate = left.rate * allowance.calls_per_second;
        self.spare.refill(now, rate, left.depth * limits::depth(allowance));
    }

    /// What is not lent as shares.
    fn left(&self, now: Mono, fleet: &Fleet) -> Sums {
        let lent = self.lent(fleet);
        let bound = self.bound(now, fleet, &lent);
        Sums {
            rate: (bound.rate - lent.reachable.rate).max(0.0),
            depth: (bound.depth - lent.reachable.depth).max(0.0),
        }
    }

    /// Adds what a holder returns, up to the depth of what is not lent.
    fn take_back(&mut self, now: Mono, allowance: Allowance, fleet: &Fleet, tokens: f64) {
        if !self.is_settling(now) {
            self.spare.add(tokens, self.left(now, fleet).depth * limits::depth(allowance));
        }
    }

    /// Records what the sender holds and needs.
    fn enter(
        &mut self,
        until: Mono,
        sender: Sender<'_>,
        need: &Need,
        allowance: Allowance,
    ) -> Option<()> {
        let Sender { name, incarnation, number } = sender;
        let known = self.holders.get(name);
        if known.is_some_and(|known| (known.incarnation, known.number) >= (incarnation, number)) {
            return None;
        }
        let rate = f64::from(need.demand) / allowance.calls_per_second;
        let depth = f64::from(need.room) / limits::depth(allowance);
        let charged = need.held.into();
        let need = Sums { rate, depth };
        let holder = Holder { incarnation, number, charged, until, need };
        self.holders.insert(name.clone(), holder);
        Some(())
    }

    /// The share that a holder gets: what it needs, or its part by need if that is too much for
    /// all, as far as the others leave it.
    fn fair_share(&self, now: Mono, fleet: &Fleet, name: &InstanceName) -> Sums {
        let Some(holder) = self.holders.get(name) else {
            return Sums::default();
        };
        let lent = self.lent(fleet);
        let bound = self.bound(now, fleet, &lent);
        let Lent { reachable, needed, .. } = lent;
        let Holder { charged: own, need, .. } = holder;
        let even = EVEN_PART / self.holders.len() as f64;
        let lendable = bound.rate * LENT_PART;
        let scale = (lendable / (needed.rate + EVEN_PART)).min(HEADROOM);
        let rate = (need.rate + even) * scale;
        let rate = rate.min(lendable - (reachable.rate - own.rate)).max(0.0);
        let lendable = bound.depth * LENT_PART;
        let depth = need.depth * (lendable / needed.depth).min(1.0);
        let depth = depth.min(lendable - (reachable.depth - own.depth)).max(0.0);
        Sums { rate, depth }
    }

    fn lent(&self, fleet: &Fleet) -> Lent {
        let mut lent = Lent::default();
        for (name, holder) in &self.holders {
            if fleet.is_reachable(name) {
                lent.reachable.add(holder.charged);
                lent.needed.add(holder.need);
            } else {
                lent.unreachable.add(holder.charged);
            }
        }
        lent
    }

    /// What the reachable daemons together may hold. An owner that has seen all leases begin knows
    /// what is left beside those of daemons out of reach. A new one takes it that shares are spread
    /// as the daemons are, or that those reported are all.
    fn bound(&self, now: Mono, fleet: &Fleet, lent: &Lent) -> Sums {
        let lowest = match now.since(self.since) < limits::lease(fleet.size()) {
            true => lent.reachable,
            false => Sums::default(),
        };
        let left = |lowest: f64, unreachable: f64| {
            lowest.max(fleet.part()).min(1.0 - unreachable).max(0.0)
        };
        Sums {
            rate: left(lowest.rate, lent.unreachable.rate),
            depth: left(lowest.depth, lent.unreachable.depth),
        }
    }

    fn lend_tokens(&mut self, wanted: f64) -> f64 {
        let most = self.spare.tokens() * TOKENS_PART;
        self.spare.take_up_to(wanted.min(most))
    }
}

fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
