//! Allowances of client accounts: a token for each call at the daemon that the caller reached, the
//! return of those of calls that were not run, and the messages about shares.

#[cfg(test)]
mod tests;

use std::sync::Arc;

use cyclamen_allowances::{AllowanceCounters, Allowances, Denied, ShareView};
use cyclamen_ledger::Config;
use cyclamen_membership::{MemberRecord, MemberState};
use cyclamen_routing::{Attempt, Refusal, RefusalKind};
use cyclamen_types::{AccountName, InstanceName, Mono, Now};

use crate::instance::Instance;

/// The allowances, and what they were last told.
#[derive(Debug)]
pub(crate) struct AccountAllowances {
    allowances: Allowances,
    /// Whether any account has an allowance.
    any_limits: bool,
    /// Membership topology that the daemons were last taken from.
    applied_topology: Option<u64>,
    last_used: Mono,
}

impl AccountAllowances {
    pub(crate) fn new(me: &MemberRecord, now: Now) -> Self {
        Self {
            allowances: Allowances::new(me.instance.clone(), me.incarnation, now.mono),
            any_limits: false,
            applied_topology: None,
            last_used: now.mono,
        }
    }

    /// When [`Instance::tick_allowances`] is due.
    pub(crate) fn next_tick(&self) -> Mono {
        self.allowances.next_tick()
    }

    pub(crate) fn apply_config(&mut self, config: &Config) {
        let mut limits = Vec::new();
        for (name, account) in &config.accounts {
            limits.extend(account.allowance.map(|allowance| (name.clone(), allowance)));
        }
        self.any_limits = !limits.is_empty();
        self.allowances.set_limits(limits.into_iter());
    }

    pub(crate) fn shares(&self) -> Vec<ShareView> {
        self.allowances.shares(self.last_used)
    }

    pub(crate) fn counters(&self) -> &AllowanceCounters {
        self.allowances.counters()
    }
}

impl Instance {
    /// Takes a token for a call of an account, once for all its attempts.
    pub(crate) fn take_token(
        &mut self,
        now: Now,
        account: Option<&AccountName>,
    ) -> Result<(), Refusal> {
        let Some(account) = account else {
            return Ok(());
        };
        self.allowances.last_used = now.mono;
        let taken = self.allowances.allowances.admit(now.mono, account);
        taken.map_err(|denied| over_allowance(account, &denied))
    }

    /// Returns the token of a call that was not run.
    pub(crate) fn give_back_token(&mut self, now: Now, account: Option<&AccountName>) {
        if let Some(account) = account {
            self.allowances.allowances.give_back(now.mono, account);
        }
    }

    /// Returns the token of a call that ends with this refusal, if no attempt of it can have run.
    pub(crate) fn give_back_if_not_run(&mut self, now: Now, attempt: &Attempt, refusal: &Refusal) {
        if refusal.kind != RefusalKind::OutcomeUnknown {
            self.give_back_token(now, attempt.account.as_ref());
        }
    }

    /// Sends the reports to owners of accounts that are due.
    pub(crate) fn tick_allowances(&mut self, now: Now) {
        if now.mono < self.allowances.next_tick() {
            return;
        }
        self.allowances.last_used = now.mono;
        self.allowances.allowances.tick(now.mono);
        self.send_allowance_messages(now);
    }

    /// Handles a payload that another daemon sent to this one only.
    pub(crate) fn receive_direct(&mut self, now: Now, payload: &[u8]) {
        if !cyclamen_allowances::is_payload(payload) {
            return;
        }
        self.allowances.allowances.receive(now.mono, payload);
        self.send_allowance_messages(now);
    }

    /// Takes over which daemons share the allowances, if that has changed and there are any.
    pub(crate) fn apply_fleet(&mut self, now: Now) {
        let version = self.membership.topology_version();
        let applied = self.allowances.applied_topology == Some(version);
        if applied || !self.allowances.any_limits || !self.membership.is_settled(now) {
            return;
        }
        self.allowances.applied_topology = Some(version);
        let (mut reachable, mut cut_off) = (Vec::<InstanceName>::new(), 0);
        for view in self.membership.members() {
            if view.cut_off {
                cut_off += 1;
            } else if matches!(view.state, MemberState::Alive | MemberState::Suspect) {
                reachable.push(view.record.instance);
            }
        }
        cut_off += self.membership.unknown_seeds();
        self.allowances.allowances.set_fleet(now.mono, &reachable, cut_off);
    }

    fn send_allowance_messages(&mut self, now: Now) {
        for message in self.allowances.allowances.take_messages() {
            // A message that is not sent counts as lost: the holder asks again.
            let _ =
                self.membership.send_direct(now, &message.to, message.payload, &mut self.outgoing);
        }
    }
}

fn over_allowance(account: &AccountName, denied: &Denied) -> Refusal {
    let Denied { allowance, share, age, retry_after } = denied;
    let calls = allowance.calls_per_second;
    let known = match age {
        Some(age) => format!("{:.2} calls/s as of {} ms ago", calls * share, age.as_millis()),
        None => "not known yet".to_owned(),
    };
    let reason: Arc<str> = format!(
        "client account `{account}` has used up its allowance of {calls} calls/s and {} at once \
         (part of this daemon: {known}): come back later",
        allowance.burst,
    )
    .into();
    let retry_after = Some(*retry_after);
    Refusal { kind: RefusalKind::OverAllowance, reason, retry_after }
}
