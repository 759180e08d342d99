//! Fair shares of a backend server's room among client accounts.
//!
//! Each account's calls ask for work: the time for which they would hold slots. While the accounts of
//! a criticality class ask for more than there is room for, each of them has a right to as much as it
//! asks for, up to a level that is the same for all (max-min fairness). What one account asks for
//! beyond the level goes behind the calls of the others, and is turned away first.
//!
//! Work counts as an exponentially decayed sum, so that the latest seconds decide. Calls without an
//! account together ask for one share and are never beyond it.

use std::time::Duration;

use cyclamen_declarations::Criticality;
use cyclamen_types::{AccountName, FastMap, Mono};

use crate::slots::queue::{CLASSES, class_index};

#[cfg(test)]
mod tests;

/// Time in which a sum of work decays to `1 / e` of its value.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// How much of the room is divided, as a share. Calls within their shares hardly wait then, and those
/// beyond them get the rest.
const DIVIDED_ROOM: f64 = 0.9;

/// How many accounts of a class are kept. Beyond it, those that asked for least lately are dropped.
const MAX_ACCOUNTS: usize = 512;

/// Work of calls whose hold time is not known yet, in seconds.
const UNKNOWN_WORK_SECS: f64 = 0.001;

/// The work of one account's calls in the latest seconds, in slot seconds.
#[derive(Clone, Copy, Debug, Default)]
struct RecentWork {
    /// Of all calls that arrived.
    asked: f64,
    /// Number of all calls that arrived.
    calls: f64,
    /// Of the calls that run, wait or have run.
    admitted: f64,
    updated_at: Mono,
}

/// The recent work of one class.
#[derive(Debug, Default)]
struct ClassWork {
    accounts: FastMap<AccountName, RecentWork>,
    without_account: RecentWork,
}

/// The recent work at one backend server, by class and account.
#[derive(Debug, Default)]
pub(super) struct FairShares {
    classes: [ClassWork; CLASSES.len()],
}

impl FairShares {
    /// Records a call that arrives and would hold a slot for `work`.
    pub(super) fn ask(
        &mut self,
        now: Mono,
        criticality: Criticality,
        account: Option<&AccountName>,
        work: Duration,
    ) {
        let recent = self.classes[class_index(criticality)].recent(now, account);
        recent.asked += seconds(work);
        recent.calls += 1.0;
    }

    /// Records that a call which asked before runs or is queued.
    pub(super) fn admit(
        &mut self,
        now: Mono,
        criticality: Criticality,
        account: Option<&AccountName>,
        work: Duration,
    ) {
        let recent = self.classes[class_index(criticality)].recent(now, account);
        recent.admitted += seconds(work);
    }

    /// Takes back [`FairShares::admit`] for a queued call that will not run.
    pub(super) fn give_back(
        &mut self,
        now: Mono,
        criticality: Criticality,
        account: Option<&AccountName>,
        work: Duration,
    ) {
        let recent = self.classes[class_index(criticality)].recent(now, account);
        recent.admitted = (recent.admitted - seconds(work)).max(0.0);
    }

    /// How long an account has to wait until one more call of this work is within its fair share of
    /// `slots` slots; zero if it is by now. The call must have asked already.
    pub(super) fn excess_wait(
        &self,
        now: Mono,
        criticality: Criticality,
        account: Option<&AccountName>,
        work: Duration,
        slots: u32,
    ) -> Duration {
        let class = class_index(criticality);
        let recent = account.and_then(|account| self.classes[class].accounts.get(account));
        let Some(recent) = recent.map(|recent| recent.decayed(now)) else {
            return Duration::ZERO;
        };
        let Some(level) = self.level(now, class, slots) else {
            return Duration::ZERO;
        };
        let wanted = recent.admitted + seconds(work);
        if wanted <= level.max(seconds(work)) {
            return Duration::ZERO;
        }
        let room = (level - seconds(work)).max(UNKNOWN_WORK_SECS);
        DECAY_TIME.mul_f64((recent.admitted / room).ln().max(0.0))
    }

    /// The slots that the classes above this one have asked for on average, and the average time for
    /// which one of their calls holds its slot.
    pub(super) fn asked_above(&self, now: Mono, criticality: Criticality) -> (f64, Duration) {
        let (mut asked, mut calls) = (0.0, 0.0);
        for class in &self.classes[..class_index(criticality)] {
            for recent in class.accounts.values().chain([&class.without_account]) {
                let recent = recent.decayed(now);
                asked += recent.asked;
                calls += recent.calls;
            }
        }
        let average = if calls > 0.0 { asked / calls } else { 0.0 };
        (asked / DECAY_TIME.as_secs_f64(), Duration::from_secs_f64(average))
    }

    /// The work up to which every account of a class is served, if all that ask for less get what
    /// they ask for; `None` if there is room for all, or only one asks.
    fn level(&self, now: Mono, class: usize, slots: u32) -> Option<f64> {
        let room = f64::from(slots) * DECAY_TIME.as_secs_f64() * DIVIDED_ROOM;
        let higher: f64 = self.classes[..class].iter().map(|class| class.asked(now)).sum();
        let mut asked: Vec<f64> = self.classes[class].asked_each(now).collect();
        if asked.len() < 2 {
            return None;
        }
        asked.sort_unstable_by(f64::total_cmp);
        water_level((room - higher).max(0.0), &asked)
    }
}

impl ClassWork {
    /// The work of an account, decayed until now.
    fn recent(&mut self, now: Mono, account: Option<&AccountName>) -> &mut RecentWork {
        let Some(account) = account else {
            self.without_account = self.without_account.decayed(now);
            return &mut self.without_account;
        };
        if self.accounts.len() >= MAX_ACCOUNTS && !self.accounts.contains_key(account) {
            self.drop_least(now);
        }
        let recent = self.accounts.entry(account.clone()).or_default();
        *recent = recent.decayed(now);
        recent
    }

    /// Drops the half of the accounts that asked for least.
    fn drop_least(&mut self, now: Mono) {
        let mut asked: Vec<f64> =
            self.accounts.values().map(|recent| recent.decayed(now).asked).collect();
        let middle = asked.len() / 2;
        let (_, median, _) = asked.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        self.accounts.retain(|_, recent| recent.decayed(now).asked > median);
    }

    fn asked(&self, now: Mono) -> f64 {
        self.asked_each(now).sum()
    }

    /// What each account asked for, and all calls without an account together.
    fn asked_each(&self, now: Mono) -> impl Iterator<Item = f64> {
        let all = self.accounts.values().chain([&self.without_account]);
        all.map(move |recent| recent.decayed(now).asked).filter(|asked| *asked > 0.0)
    }
}

impl RecentWork {
    fn decayed(self, now: Mono) -> Self {
        let age = now.since(self.updated_at).as_secs_f64();
        let left = (-age / DECAY_TIME.as_secs_f64()).exp();
        Self {
            asked: self.asked * left,
            calls: self.calls * left,
            admitted: self.admitted * left,
            updated_at: now,
        }
    }
}

fn seconds(work: Duration) -> f64 {
    work.as_secs_f64().max(UNKNOWN_WORK_SECS)
}

/// The level at which `room` is filled if each of `asked`, in ascending order, gets as much as it
/// asks for up to the level; `None` if there is room for all.
fn water_level(room: f64, asked: &[f64]) -> Option<f64> {
    let mut left = room;
    for (index, asks) in asked.iter().enumerate() {
        let share = left / (asked.len() - index) as f64;
        if *asks > share {
            return Some(share);
        }
        left -= asks;
    }
    None
}
