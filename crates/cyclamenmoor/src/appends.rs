//! Appends that have to reach the log: tried again under one id until the fold shows them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::Change;
use cyclamen_ledger::{ChangeOutcome, Ledger, MoveId, MoveVerdict};
use cyclamen_types::{ChangeId, Mono, Now, Offset};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::event::{AppendError, Effect, Effects, Ticket};
use crate::instance::Instance;

#[cfg(test)]
mod tests;

/// Longest pause before the first retry of an append without an answer; it doubles with each try.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause between two tries of a change: an operator waits for it.
const CHANGE_PAUSE: Duration = Duration::from_secs(2);

/// Longest pause between two tries of a verdict: after a long outage every daemon may have one.
const VERDICT_PAUSE: Duration = Duration::from_secs(30);

/// Longest wait for the fold to show a record that the log acknowledged.
const FOLD_WAIT: Duration = Duration::from_secs(10);

/// When an append is no longer needed.
#[derive(Debug)]
enum Settles {
    /// The change has an outcome.
    Change(ChangeId),
    /// The move has this verdict or one that outranks it, or was published anew.
    Verdict(MoveId, MoveVerdict),
}

#[derive(Debug)]
struct Pending {
    /// The record for the log; `None` for a verdict that goes to the store.
    payload: Option<Arc<str>>,
    settles: Settles,
    retry_at: Mono,
    failures: u32,
}

/// The appends under way.
#[derive(Debug)]
pub(crate) struct Appends {
    pending: BTreeMap<Ticket, Pending>,
    tickets: u64,
    rng: SmallRng,
}

impl Appends {
    pub(crate) fn new(seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed.rotate_left(29));
        Self { pending: BTreeMap::new(), tickets: 0, rng }
    }

    fn push(&mut self, payload: Arc<str>, settles: Settles, out: &mut Effects) {
        self.tickets += 1;
        self.begin(Ticket(self.tickets), Some(payload), settles, out);
    }

    fn begin(
        &mut self,
        ticket: Ticket,
        payload: Option<Arc<str>>,
        settles: Settles,
        out: &mut Effects,
    ) {
        let pending = Pending { payload, settles, retry_at: Mono::NEVER, failures: 0 };
        out.extend(pending.effect(ticket));
        self.pending.insert(ticket, pending);
    }

    /// Whether an append of this change is under way.
    fn has_change(&self, id: &ChangeId) -> bool {
        let same = |settles: &Settles| matches!(settles, Settles::Change(known) if known == id);
        self.pending.values().any(|pending| same(&pending.settles))
    }

    /// Changes under way.
    fn changes(&self) -> usize {
        let is_change = |pending: &&Pending| matches!(pending.settles, Settles::Change(_));
        self.pending.values().filter(is_change).count()
    }

    pub(crate) fn verdict(&mut self, id: MoveId, verdict: MoveVerdict, out: &mut Effects) {
        let payload = Ledger::verdict_payload(&id, &verdict).into();
        self.push(payload, Settles::Verdict(id, verdict), out);
    }

    /// Writes a verdict into the store until the configuration that it hands over shows one.
    pub(crate) fn settle_in_store(&mut self, id: MoveId, verdict: MoveVerdict, out: &mut Effects) {
        self.tickets += 1;
        self.begin(Ticket(self.tickets), None, Settles::Verdict(id, verdict), out);
    }

    /// Appends a record that is not tried again.
    pub(crate) fn once(&mut self, payload: Arc<str>, out: &mut Effects) {
        self.tickets += 1;
        out.push(Effect::Append { ticket: Ticket(self.tickets), payload });
    }

    pub(crate) fn answered(
        &mut self,
        now: Now,
        ticket: Ticket,
        result: &Result<Offset, AppendError>,
    ) {
        let Some(pending) = self.pending.get_mut(&ticket) else {
            return;
        };
        if result.is_ok() {
            pending.retry_at = now.mono + FOLD_WAIT;
            return;
        }
        let full = pending.full_pause();
        pending.failures += 1;
        pending.retry_at = now.mono + full.mul_f64(self.rng.random_range(0.5..=1.0));
    }

    pub(crate) fn next_retry(&self) -> Mono {
        self.pending.values().map(|pending| pending.retry_at).min().unwrap_or(Mono::NEVER)
    }

    pub(crate) fn retry(&mut self, now: Now, out: &mut Effects) {
        for (ticket, pending) in &mut self.pending {
            if pending.retry_at > now.mono {
                continue;
            }
            pending.retry_at = Mono::NEVER;
            out.extend(pending.effect(*ticket));
        }
    }

    /// Forgets appends that the fold shows.
    pub(crate) fn settle(&mut self, ledger: &Ledger) {
        self.pending.retain(|_, pending| !pending.settled(ledger));
    }
}

impl Pending {
    /// The longest pause after the failures so far.
    fn full_pause(&self) -> Duration {
        let longest = match (&self.settles, &self.payload) {
            (Settles::Verdict(..), Some(_)) => VERDICT_PAUSE,
            (Settles::Change(_), _) | (Settles::Verdict(..), None) => CHANGE_PAUSE,
        };
        FIRST_PAUSE.saturating_mul(2_u32.saturating_pow(self.failures)).min(longest)
    }

    /// What has to be done for it.
    fn effect(&self, ticket: Ticket) -> Option<Effect> {
        match (&self.payload, &self.settles) {
            (Some(payload), _) => Some(Effect::Append { ticket, payload: Arc::clone(payload) }),
            (None, Settles::Verdict(id, verdict)) => {
                Some(Effect::Settle { ticket, id: id.clone(), verdict: verdict.clone() })
            }
            (None, Settles::Change(_)) => None,
        }
    }

    /// Whether it is no longer needed. The store keeps the first verdict on a move, the log the
    /// one of the highest rank.
    fn settled(&self, ledger: &Ledger) -> bool {
        let Settles::Verdict(id, _) = &self.settles else {
            return settled(&self.settles, ledger);
        };
        let held = ledger.config().moves.get(&id.name);
        let shown = held.is_some_and(|held| held.id() == *id && held.verdict.is_some());
        self.payload.is_none() && shown || settled(&self.settles, ledger)
    }
}

fn settled(settles: &Settles, ledger: &Ledger) -> bool {
    match settles {
        Settles::Change(id) => ledger.outcome(id).is_some(),
        Settles::Verdict(id, verdict) => {
            let Some(held) = ledger.config().moves.get(&id.name) else {
                return true;
            };
            let settled = held.verdict.as_ref().is_some_and(|known| known.kind >= verdict.kind);
            settled || held.id() != *id
        }
    }
}

impl Instance {
    /// Publishes a change: it is appended, and appended again under the same id until the fold
    /// shows it. [`Instance::outcome`] tells what became of it. Nothing new is appended while one
    /// of the same id is under way.
    pub fn publish(&mut self, now: Now, change: &Change, out: &mut Effects) {
        if self.appends.has_change(&change.id) {
            return;
        }
        let payload = Ledger::change_payload(change).into();
        self.appends.push(payload, Settles::Change(change.id.clone()), out);
        self.settle(now, out);
    }

    /// Whether a change is published here and the log has not shown it yet.
    pub fn is_publishing(&self, id: &ChangeId) -> bool {
        self.appends.has_change(id)
    }

    /// Publications that the log has not shown yet.
    pub fn publications(&self) -> usize {
        self.appends.changes()
    }

    /// What became of a change; `None` while the log has not shown it.
    pub fn outcome(&self, id: &ChangeId) -> Option<&ChangeOutcome> {
        self.ledger.outcome(id)
    }
}
