//! Appends that have to reach the log: tried again under one id until the fold shows them.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::Change;
use cyclamen_ledger::{ChangeOutcome, Ledger, MoveId, MoveVerdict};
use cyclamen_types::{ChangeId, FastMap, Mono, Now, Offset};

use crate::event::{AppendError, Effect, Effects, Ticket};
use crate::instance::Instance;

/// Pause before an append without an answer is tried again.
const APPEND_RETRY: Duration = Duration::from_millis(500);

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
    payload: Arc<str>,
    settles: Settles,
    retry_at: Mono,
}

/// The appends under way.
#[derive(Debug, Default)]
pub(crate) struct Appends {
    pending: FastMap<Ticket, Pending>,
    tickets: u64,
}

impl Appends {
    fn push(&mut self, payload: Arc<str>, settles: Settles, out: &mut Effects) {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        out.push(Effect::Append { ticket, payload: Arc::clone(&payload) });
        self.pending.insert(ticket, Pending { payload, settles, retry_at: Mono::NEVER });
    }

    /// Whether an append of this change is under way.
    fn has_change(&self, id: &ChangeId) -> bool {
        let same = |settles: &Settles| matches!(settles, Settles::Change(known) if known == id);
        self.pending.values().any(|pending| same(&pending.settles))
    }

    pub(crate) fn verdict(&mut self, id: MoveId, verdict: MoveVerdict, out: &mut Effects) {
        let payload = Ledger::verdict_payload(&id, &verdict).into();
        self.push(payload, Settles::Verdict(id, verdict), out);
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
        let pause = if result.is_ok() { FOLD_WAIT } else { APPEND_RETRY };
        pending.retry_at = now.mono + pause;
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
            out.push(Effect::Append { ticket: *ticket, payload: Arc::clone(&pending.payload) });
        }
    }

    /// Forgets appends that the fold shows.
    pub(crate) fn settle(&mut self, ledger: &Ledger) {
        self.pending.retain(|_, pending| !settled(&pending.settles, ledger));
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

    /// What became of a change; `None` while the log has not shown it.
    pub fn outcome(&self, id: &ChangeId) -> Option<&ChangeOutcome> {
        self.ledger.outcome(id)
    }
}
