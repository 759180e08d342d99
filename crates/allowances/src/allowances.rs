//! [`Allowances`]: the accounts whose calls a daemon admits, and the ledgers of those that it owns.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::Allowance;
use cyclamen_types::{AccountName, FastMap, Incarnation, InstanceName, Mono};
use serde::{Deserialize, Serialize};

use crate::account::{Account, ShareView};
use crate::fleet::Fleet;
use crate::ledger::{Ledger, Sender};
use crate::limits;
use crate::wire::{self, MAX_ENTRIES, Need, Packet, Reply, Report};

/// Interval at which unused accounts and ledgers are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

/// Time by which a report is sent early, together with others to the same owner.
const BATCHING_TIME: Duration = Duration::from_millis(500);

/// A message for another daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The daemon that it is for.
    pub to: InstanceName,
    /// The encoded message.
    pub payload: Arc<[u8]>,
}

/// Why a call is refused.
#[derive(Clone, Debug, PartialEq)]
pub struct Denied {
    /// The allowance of its account.
    pub allowance: Allowance,
    /// The part of the allowance that this daemon may use; 0 without a lease.
    pub share: f64,
    /// How long ago the owner said so; `None` without a lease.
    pub age: Option<Duration>,
    /// When this daemon will have a token for the call.
    pub retry_after: Duration,
}

/// Counters since the start of the daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceCounters {
    /// Calls that were admitted.
    pub granted: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// Tokens that were returned because their call was not run.
    pub given_back: u64,
    /// Reports to owners.
    pub reports: u64,
    /// Bytes of messages to other daemons, without the headers of their datagrams.
    pub bytes_sent: u64,
}

/// Allowances of all accounts at one daemon.
#[derive(Debug)]
pub struct Allowances {
    me: InstanceName,
    incarnation: Incarnation,
    limits: FastMap<AccountName, Allowance>,
    fleet: Fleet,
    accounts: FastMap<AccountName, Account>,
    ledgers: FastMap<AccountName, Ledger>,
    messages: Vec<Message>,
    last_number: u64,
    due: Mono,
    next_cleanup: Mono,
    counters: AllowanceCounters,
}

impl Allowances {
    /// Creates the state of a daemon that knows no accounts and no other daemons. `incarnation`
    /// grows with each start of it.
    pub fn new(me: InstanceName, incarnation: Incarnation, now: Mono) -> Self {
        Self {
            me,
            incarnation,
            limits: FastMap::default(),
            fleet: Fleet::unknown(),
            accounts: FastMap::default(),
            ledgers: FastMap::default(),
            messages: Vec::new(),
            last_number: 0,
            due: Mono::NEVER,
            next_cleanup: now,
            counters: AllowanceCounters::default(),
        }
    }

    /// Replaces the allowances. Shares stay as they are, since they are parts of the allowance.
    pub fn set_limits(&mut self, limits: impl Iterator<Item = (AccountName, Allowance)>) {
        self.limits = limits.collect();
        let limits = &self.limits;
        self.ledgers.retain(|name, _| limits.contains_key(name));
        self.accounts.retain(|name, account| match limits.get(name) {
            Some(allowance) => {
                account.allowance = *allowance;
                true
            }
            None => false,
        });
    }

    /// Takes over the daemons that are reachable, this one among them, in a stable order, and the
    /// number of those that are cut off. Not called before they are known.
    pub fn set_fleet(&mut self, now: Mono, reachable: &[InstanceName], cut_off: usize) {
        let changed = self.fleet.set(now, reachable, cut_off);
        if changed {
            let (fleet, me) = (&self.fleet, &self.me);
            self.ledgers.retain(|name, _| fleet.owner(name) == Some(me));
        }
        let size = self.fleet.size();
        for (name, account) in &mut self.accounts {
            let owner = match changed {
                true => self.fleet.owner(name).cloned(),
                false => account.owner.clone(),
            };
            account.set_owner(owner, size);
            self.due = self.due.min(account.report_due(now));
        }
    }

    /// Takes a token for a call of an account.
    ///
    /// # Errors
    /// The account has used up its allowance, as far as this daemon may tell.
    pub fn admit(&mut self, now: Mono, name: &AccountName) -> Result<(), Denied> {
        let Some(allowance) = self.limits.get(name).copied() else {
            return Ok(());
        };
        let fleet = &self.fleet;
        let account = self.accounts.entry(name.clone()).or_insert_with(|| {
            let mut account = Account::new(now, allowance);
            account.set_owner(fleet.owner(name).cloned(), fleet.size());
            account
        });
        let admitted = account.take(now);
        self.due = self.due.min(account.report_due(now)).min(self.next_cleanup);
        if admitted {
            self.counters.granted += 1;
            return Ok(());
        }
        self.counters.refused += 1;
        Err(Denied {
            allowance,
            share: account.share(),
            age: account.learned().map(|learned| now.since(learned)),
            retry_after: account.retry_after(now),
        })
    }

    /// Returns the token of an admitted call that was not run.
    pub fn give_back(&mut self, now: Mono, name: &AccountName) {
        if let Some(account) = self.accounts.get_mut(name) {
            account.give_back(now);
            self.counters.given_back += 1;
        }
    }

    /// When [`Allowances::tick`] is due.
    pub fn next_tick(&self) -> Mono {
        self.due
    }

    /// Sends the reports that are due.
    pub fn tick(&mut self, now: Mono) {
        if now < self.due {
            return;
        }
        self.clean_up(now);
        for (owner, names) in self.due_reports(now) {
            for names in names.chunks(MAX_ENTRIES) {
                self.report(now, &owner, names);
            }
        }
        self.schedule(now);
    }

    /// Handles a message of another daemon. One that is malformed is ignored.
    pub fn receive(&mut self, now: Mono, payload: &[u8]) {
        match wire::decode(payload) {
            Some(Packet::Report(report)) => {
                let reply = self.answer(now, &report);
                if !reply.entries.is_empty() {
                    self.send(report.holder, &Packet::Reply(reply));
                }
            }
            Some(Packet::Reply(reply)) => self.accept(now, &reply),
            None => {}
        }
    }

    /// The messages to send, each to one daemon.
    pub fn take_messages(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.messages)
    }

    /// The accounts whose calls came here lately, by name.
    pub fn shares(&self, now: Mono) -> Vec<ShareView> {
        let mut views = Vec::new();
        for (name, account) in &self.accounts {
            views.push(account.view(now, name));
        }
        views.sort_by(|a, b| a.account.cmp(&b.account));
        views
    }

    /// Counters since the start.
    pub fn counters(&self) -> &AllowanceCounters {
        &self.counters
    }

    /// The accounts to report now, by owner: those that are due, and with them those that will soon
    /// be.
    fn due_reports(&self, now: Mono) -> Vec<(InstanceName, Vec<AccountName>)> {
        let mut soon: FastMap<&InstanceName, (bool, Vec<AccountName>)> = FastMap::default();
        for (name, account) in &self.accounts {
            let due = account.report_due(now);
            let Some(owner) = account.owner.as_ref().filter(|_| due <= now + BATCHING_TIME) else {
                continue;
            };
            let (any_due, names) = soon.entry(owner).or_default();
            *any_due |= due <= now;
            names.push(name.clone());
        }
        let due = soon.into_iter().filter(|(_, (any_due, _))| *any_due);
        due.map(|(owner, (_, names))| (owner.clone(), names)).collect()
    }

    fn report(&mut self, now: Mono, owner: &InstanceName, names: &[AccountName]) {
        self.last_number += 1;
        self.counters.reports += 1;
        let mut entries: Vec<Need> = Vec::new();
        for name in names {
            if let Some(account) = self.accounts.get_mut(name) {
                entries.push(account.report(now, name, self.last_number));
            }
        }
        let report = Report {
            holder: self.me.clone(),
            incarnation: self.incarnation,
            number: self.last_number,
            entries,
        };
        if *owner != self.me {
            self.send(owner.clone(), &Packet::Report(report));
            return;
        }
        let reply = self.answer(now, &report);
        self.accept(now, &reply);
    }

    /// Answers a report about the accounts that this daemon owns.
    fn answer(&mut self, now: Mono, report: &Report) -> Reply {
        let sender =
            Sender { name: &report.holder, incarnation: report.incarnation, number: report.number };
        let mut entries = Vec::new();
        for need in &report.entries {
            let Some(allowance) = self.limits.get(&need.account).copied() else {
                continue;
            };
            let Some(since) = self.fleet.owner_since(&self.me, &need.account) else {
                continue;
            };
            let ledger = self.ledgers.entry(need.account.clone());
            let ledger = ledger.or_insert_with(|| Ledger::new(since));
            if let Some(offer) = ledger.answer(now, allowance, &self.fleet, sender, need) {
                entries.push((need.account.clone(), offer));
            }
        }
        Reply { number: report.number, incarnation: report.incarnation, entries }
    }

    fn accept(&mut self, now: Mono, reply: &Reply) {
        if reply.incarnation != self.incarnation {
            return;
        }
        for (name, offer) in &reply.entries {
            if let Some(account) = self.accounts.get_mut(name) {
                account.accept(now, reply.number, offer);
                self.due = self.due.min(account.report_due(now));
            }
        }
    }

    fn send(&mut self, to: InstanceName, packet: &Packet) {
        let payload = wire::encode(packet);
        self.counters.bytes_sent += payload.len() as u64;
        self.messages.push(Message { to, payload });
    }

    fn clean_up(&mut self, now: Mono) {
        if now < self.next_cleanup {
            return;
        }
        self.next_cleanup = now + CLEANUP_INTERVAL;
        self.accounts.retain(|_, account| !account.is_unused(now));
        self.ledgers.retain(|_, ledger| !ledger.is_unused(now));
        self.fleet.forget(now, limits::lease(self.fleet.size()));
    }

    /// Sets when the next report is due.
    fn schedule(&mut self, now: Mono) {
        self.due = match self.accounts.is_empty() && self.ledgers.is_empty() {
            true => Mono::NEVER,
            false => self.next_cleanup,
        };
        for account in self.accounts.values() {
            self.due = self.due.min(account.report_due(now));
        }
    }
}
