//! Calls that crash backend servers: registration of the runs at local servers, crashes, the exchange
//! of records with other daemons, and the list for operators.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_blocklist::{
    BlockedCall, Blocklist, BlocklistCounters, CallDigest, CallKey, Denial, RunId,
};
use cyclamen_membership::{Broadcast, BroadcastKind};
use cyclamen_routing::{Attempt, CallId, Refusal};
use cyclamen_types::{Mono, Now, ServerName, VersionName};

use crate::event::Effects;
use crate::instance::Instance;

/// Pause between two transmissions of a part of the blocked calls to a random member, which may have
/// missed the gossip.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(5);

/// The blocklist and when it is next sent.
#[derive(Debug)]
pub(crate) struct BlockedCalls {
    list: Blocklist,
    next_summary: Mono,
    /// Number of the summary that joining members get now.
    summary_round: usize,
}

impl BlockedCalls {
    pub(crate) fn new(now: Now) -> Self {
        let next_summary = now.mono + SUMMARY_INTERVAL;
        Self { list: Blocklist::default(), next_summary, summary_round: 0 }
    }

    /// When [`Instance::tick_blocklist`] is due.
    pub(crate) fn next_tick(&self) -> Mono {
        match self.list.is_empty() {
            true => Mono::NEVER,
            false => self.list.next_tick().min(self.next_summary),
        }
    }

    pub(crate) fn calls(&self) -> Vec<BlockedCall> {
        self.list.blocked_calls()
    }

    pub(crate) fn counters(&self) -> &BlocklistCounters {
        self.list.counters()
    }
}

impl Instance {
    /// Version of its service under which the calls of a local backend server are counted; `None`
    /// if it is unknown, gone, or of a version that takes no calls.
    pub fn local_server_version(&self, server: &ServerName) -> Option<VersionName> {
        let record = self.local_server(server)?;
        self.ledger.config().counted_version(&record.service, &record.version)
    }

    /// Whether a call is blocked because backend servers crashed while they ran it.
    pub fn is_blocked(&self, key: CallKey) -> bool {
        self.blocked_calls.list.is_blocked(key)
    }

    /// Registers a call that is about to run at a local backend server. `follows` is the server
    /// that crashed during an earlier attempt of it, if one did.
    ///
    /// # Errors
    /// The call is blocked, or another call as suspect runs there.
    pub fn begin_run(
        &mut self,
        now: Now,
        server: &ServerName,
        call: CallId,
        key: CallKey,
        follows: Option<ServerName>,
    ) -> Result<(), Denial> {
        self.blocked_calls.list.begin_run(now, server, RunId(call.0), key, follows)
    }

    /// Ends a run that was registered; others are ignored. `answered` is whether the server ran the
    /// call and answered it whole.
    pub fn end_run(
        &mut self,
        now: Now,
        server: &ServerName,
        call: CallId,
        answered: bool,
        out: &mut Effects,
    ) {
        self.blocked_calls.list.end_run(now, server, RunId(call.0), answered);
        self.gossip_blocklist(now, out);
    }

    /// Records that a local backend server has crashed. Returns the number of calls that are
    /// suspected of it; 0 if the crash was recorded before, or no call ran.
    pub fn server_crashed(&mut self, now: Now, server: &ServerName, out: &mut Effects) -> usize {
        let suspects = self.blocked_calls.list.server_crashed(now, server);
        self.gossip_blocklist(now, out);
        suspects
    }

    /// Ends an attempt that must not be made because its call is blocked, and returns the refusal
    /// for the caller.
    pub fn refuse_blocked(&mut self, now: Now, attempt: &Attempt) -> Refusal {
        let refusal = self.router.refuse_blocked(now, attempt.id);
        self.give_back_if_not_run(now, attempt, &refusal);
        refusal
    }

    /// Counts a call that is refused because it is blocked. `example` makes its method and target
    /// for the list. Returns it the first time, when it is worth a log line.
    pub fn record_blocked_call(
        &mut self,
        key: CallKey,
        example: impl FnOnce() -> Arc<str>,
    ) -> Option<Arc<str>> {
        self.blocked_calls.list.record_refusal(key, example)
    }

    /// Unblocks a call at all daemons. Returns `false` if nothing was known against it.
    pub fn unblock_call(&mut self, now: Now, call: CallDigest, out: &mut Effects) -> bool {
        let lifted = self.blocked_calls.list.lift(now, call);
        self.gossip_blocklist(now, out);
        lifted
    }

    /// The blocked calls.
    pub fn blocked_calls(&self) -> Vec<BlockedCall> {
        self.blocked_calls.calls()
    }

    /// Takes over what another daemon knows of suspected calls.
    pub(crate) fn merge_blocklist(&mut self, now: Now, payload: &[u8], out: &mut Effects) {
        self.blocked_calls.list.merge(now, payload);
        self.update_join_broadcasts();
        self.gossip_blocklist(now, out);
    }

    /// Judges crashes that are due, and repeats the list of blocked calls.
    pub(crate) fn tick_blocklist(&mut self, now: Now, out: &mut Effects) {
        if now.mono < self.blocked_calls.next_tick() {
            return;
        }
        self.blocked_calls.list.tick(now);
        self.gossip_blocklist(now, out);
        if now.mono >= self.blocked_calls.next_summary {
            self.blocked_calls.next_summary = now.mono + SUMMARY_INTERVAL;
            self.blocked_calls.summary_round += 1;
            self.update_join_broadcasts();
            self.membership.send_join_broadcasts(now, &mut self.outgoing);
        }
    }

    /// Sends what has changed in the blocklist to the other daemons.
    fn gossip_blocklist(&mut self, now: Now, out: &mut Effects) {
        let updates = self.blocked_calls.list.take_updates();
        if updates.is_empty() {
            return;
        }
        for update in updates {
            let kind = if update.urgent { BroadcastKind::Urgent } else { BroadcastKind::Evidence };
            let broadcast = Broadcast { kind, payload: update.payload };
            self.membership.broadcast(now, broadcast, update.urgent, &mut self.outgoing);
        }
        self.update_join_broadcasts();
        self.reconcile(now, out);
    }

    fn update_join_broadcasts(&mut self) {
        let broadcast = |payload| Broadcast { kind: BroadcastKind::Urgent, payload };
        let BlockedCalls { list, summary_round, .. } = &self.blocked_calls;
        let summary = list.summary(*summary_round).into_iter().map(broadcast).collect();
        self.membership.set_join_broadcasts(summary);
    }
}
