//! Reliable appends to the log and verdict writes to the store.
//!
//! An append that fails, or whose effect does not become visible, is repeated with backoff. The
//! payload is the same each time and carries the same id, so that duplicates in the log are
//! harmless. An append is complete once the ledger, built from the log or read from the store, shows
//! its effect.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::Change;
use cyclamen_ledger::{ChangeOutcome, Ledger, MoveId, MoveVerdict};
use cyclamen_types::{ChangeId, Mono, Now, Offset};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::event::{AppendError, AppendTicket, Effect, Effects};
use crate::instance::Instance;

#[cfg(test)]
mod tests;

/// Maximum pause before the first retry after a failure; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum pause between attempts to append a change or to write a verdict to the store. It is
/// short because an operator waits for a change.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Maximum pause between attempts to append a verdict to the log. It is long because every daemon
/// may have a verdict to append after a long outage of the log.
const MAX_LOG_VERDICT_BACKOFF: Duration = Duration::from_secs(30);

/// Time after which an append that the log acknowledged is repeated if the ledger still does not
/// show its effect.
const ACKNOWLEDGED_RETRY_DELAY: Duration = Duration::from_secs(10);

/// What an append is to achieve, which decides when it is complete.
#[derive(Debug)]
enum AppendGoal {
    /// Publish a change. Complete once the change has an outcome.
    Change(ChangeId),
    /// Record a verdict on a move. Complete once the move has a verdict of the same or a higher
    /// rank, has been published again, or no longer exists. A write to the store is also complete
    /// once the move has any verdict.
    Verdict(MoveId, MoveVerdict),
}

#[derive(Debug)]
struct PendingAppend {
    /// Payload of the log record; `None` for a verdict that is written to the store.
    payload: Option<Arc<str>>,
    goal: AppendGoal,
    /// When the next attempt is due; [`Mono::NEVER`] while one is in flight.
    retry_at: Mono,
    failures: u32,
}

/// The appends that are not complete yet.
#[derive(Debug)]
pub(crate) struct Appends {
    pending: BTreeMap<AppendTicket, PendingAppend>,
    last_ticket: u64,
    rng: SmallRng,
}

impl Appends {
    pub(crate) fn new(seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed.rotate_left(29));
        Self { pending: BTreeMap::new(), last_ticket: 0, rng }
    }

    /// Appends a record to the log, and repeats that until the append is complete.
    fn append(&mut self, payload: Arc<str>, goal: AppendGoal, out: &mut Effects) {
        self.last_ticket += 1;
        self.start(AppendTicket(self.last_ticket), Some(payload), goal, out);
    }

    /// Adds a pending append and emits its first attempt.
    fn start(
        &mut self,
        ticket: AppendTicket,
        payload: Option<Arc<str>>,
        goal: AppendGoal,
        out: &mut Effects,
    ) {
        let pending = PendingAppend { payload, goal, retry_at: Mono::NEVER, failures: 0 };
        out.extend(pending.effect(ticket));
        self.pending.insert(ticket, pending);
    }

    /// Whether an append of the change with this id is pending.
    fn has_pending_change(&self, id: &ChangeId) -> bool {
        let same = |goal: &AppendGoal| matches!(goal, AppendGoal::Change(known) if known == id);
        self.pending.values().any(|pending| same(&pending.goal))
    }

    /// Number of changes whose append is pending.
    fn pending_changes(&self) -> usize {
        let is_change = |pending: &&PendingAppend| matches!(pending.goal, AppendGoal::Change(_));
        self.pending.values().filter(is_change).count()
    }

    /// Appends a verdict to the log, and repeats that until the append is complete.
    pub(crate) fn append_verdict(&mut self, id: MoveId, verdict: MoveVerdict, out: &mut Effects) {
        let payload = Ledger::verdict_payload(&id, &verdict).into();
        self.append(payload, AppendGoal::Verdict(id, verdict), out);
    }

    /// Writes a verdict to the store, and repeats that until the configuration from the store shows
    /// a verdict on the move.
    pub(crate) fn write_verdict_to_store(
        &mut self,
        id: MoveId,
        verdict: MoveVerdict,
        out: &mut Effects,
    ) {
        self.last_ticket += 1;
        self.start(AppendTicket(self.last_ticket), None, AppendGoal::Verdict(id, verdict), out);
    }

    /// Appends a record without retries. Used for snapshots: a relay appends another one if none
    /// shows up in the log in time.
    pub(crate) fn append_once(&mut self, payload: Arc<str>, out: &mut Effects) {
        self.last_ticket += 1;
        out.push(Effect::Append { ticket: AppendTicket(self.last_ticket), payload });
    }

    /// Handles the result of an append and schedules the next attempt. Pauses after a failure are
    /// random, between half of the current limit and all of it.
    pub(crate) fn on_result(
        &mut self,
        now: Now,
        ticket: AppendTicket,
        result: &Result<Offset, AppendError>,
    ) {
        let Some(pending) = self.pending.get_mut(&ticket) else {
            return;
        };
        if result.is_ok() {
            pending.retry_at = now.mono + ACKNOWLEDGED_RETRY_DELAY;
            return;
        }
        let limit = pending.backoff_limit();
        pending.failures += 1;
        pending.retry_at = now.mono + limit.mul_f64(self.rng.random_range(0.5..=1.0));
    }

    /// When [`Appends::retry`] is due.
    pub(crate) fn next_retry(&self) -> Mono {
        self.pending.values().map(|pending| pending.retry_at).min().unwrap_or(Mono::NEVER)
    }

    /// Repeats the appends that are due.
    pub(crate) fn retry(&mut self, now: Now, out: &mut Effects) {
        for (ticket, pending) in &mut self.pending {
            if pending.retry_at > now.mono {
                continue;
            }
            pending.retry_at = Mono::NEVER;
            out.extend(pending.effect(*ticket));
        }
    }

    /// Removes the appends that are complete according to the ledger.
    pub(crate) fn remove_completed(&mut self, ledger: &Ledger) {
        self.pending.retain(|_, pending| !pending.is_complete(ledger));
    }
}

impl PendingAppend {
    /// Maximum pause before the next attempt, given the number of failures so far.
    fn backoff_limit(&self) -> Duration {
        let longest = match (&self.goal, &self.payload) {
            (AppendGoal::Verdict(..), Some(_)) => MAX_LOG_VERDICT_BACKOFF,
            (AppendGoal::Change(_), _) | (AppendGoal::Verdict(..), None) => MAX_BACKOFF,
        };
        INITIAL_BACKOFF.saturating_mul(2_u32.saturating_pow(self.failures)).min(longest)
    }

    /// The effect that performs one attempt.
    fn effect(&self, ticket: AppendTicket) -> Option<Effect> {
        match (&self.payload, &self.goal) {
            (Some(payload), _) => Some(Effect::Append { ticket, payload: Arc::clone(payload) }),
            (None, AppendGoal::Verdict(id, verdict)) => {
                Some(Effect::WriteVerdict { ticket, id: id.clone(), verdict: verdict.clone() })
            }
            (None, AppendGoal::Change(_)) => None,
        }
    }

    /// Whether no further attempt is needed. The store keeps the first verdict on a move, so any
    /// verdict completes a write to it; in the log the verdict of the highest rank wins.
    fn is_complete(&self, ledger: &Ledger) -> bool {
        let AppendGoal::Verdict(id, _) = &self.goal else {
            return is_complete_in_ledger(&self.goal, ledger);
        };
        let held = ledger.config().moves.get(&id.name);
        let has_verdict = held.is_some_and(|held| held.id() == *id && held.verdict.is_some());
        (self.payload.is_none() && has_verdict) || is_complete_in_ledger(&self.goal, ledger)
    }
}

fn is_complete_in_ledger(goal: &AppendGoal, ledger: &Ledger) -> bool {
    match goal {
        AppendGoal::Change(id) => ledger.outcome(id).is_some(),
        AppendGoal::Verdict(id, verdict) => {
            let Some(held) = ledger.config().moves.get(&id.name) else {
                return true;
            };
            let outranked = held.verdict.as_ref().is_some_and(|known| known.kind >= verdict.kind);
            outranked || held.id() != *id
        }
    }
}

impl Instance {
    /// Publishes a change: appends it to the log, repeatedly under the same id, until the ledger
    /// has an outcome for it, which [`Instance::outcome`] then returns. Does nothing while a
    /// change of the same id is being published.
    pub fn publish(&mut self, now: Now, change: &Change, out: &mut Effects) {
        if self.appends.has_pending_change(&change.id) {
            return;
        }
        let payload = Ledger::change_payload(change).into();
        self.appends.append(payload, AppendGoal::Change(change.id.clone()), out);
        self.reconcile(now, out);
    }

    /// Whether this instance is publishing a change that has no outcome yet.
    pub fn is_publishing(&self, id: &ChangeId) -> bool {
        self.appends.has_pending_change(id)
    }

    /// Number of changes that this instance is publishing and that have no outcome yet.
    pub fn pending_publications(&self) -> usize {
        self.appends.pending_changes()
    }

    /// Whether a change was accepted or refused; `None` until its log record has been applied, and
    /// again once the ledger has dropped the outcome to make room for later ones.
    pub fn outcome(&self, id: &ChangeId) -> Option<&ChangeOutcome> {
        self.ledger.outcome(id)
    }
}
