//! Several daemons' blocklists that exchange their updates, at times given in milliseconds.

#![allow(dead_code, reason = "each test file uses a part of it")]

use cyclamen_blocklist::{Blocklist, CallDigest, CallKey, RunId, ScopeDigest};
use cyclamen_types::{Mono, Now, ServerName, Wall};

/// Wall clock at time zero.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Step of time while nothing happens, in milliseconds.
const STEP: u64 = 100;

/// Time that a run takes, in milliseconds.
const RUN: u64 = 40;

pub fn at(millis: u64) -> Now {
    Now { mono: Mono(millis * 1_000), wall: Wall(EPOCH_MS + millis) }
}

pub fn server(name: &str) -> ServerName {
    name.try_into().expect("a name")
}

pub fn call(call: u64, scope: u64) -> CallKey {
    CallKey { call: CallDigest(call), scope: ScopeDigest(scope) }
}

pub fn key(number: u64) -> CallKey {
    call(number, 1)
}

pub struct Mesh {
    pub daemons: Vec<Blocklist>,
    last_run: u64,
    now: u64,
}

impl Mesh {
    pub fn new(daemons: usize) -> Self {
        let daemons = (0..daemons).map(|_| Blocklist::default()).collect();
        Self { daemons, last_run: 0, now: 0 }
    }

    /// Runs calls at a server beside a daemon, which crashes at `now`.
    pub fn crash(
        &mut self,
        now: u64,
        daemon: usize,
        name: &str,
        keys: &[CallKey],
        follows: Option<&str>,
    ) {
        let began = at(now.saturating_sub(RUN));
        for key in keys {
            self.last_run += 1;
            // A suspect that does not run alone is refused.
            let _ = self.daemons[daemon].begin_run(
                began,
                &server(name),
                RunId(self.last_run),
                *key,
                follows.map(server),
            );
        }
        self.daemons[daemon].server_crashed(at(now), &server(name));
        self.exchange(now);
    }

    /// Runs a call at a server beside each daemon. All of them crash before any daemon hears of
    /// another.
    pub fn crash_all(&mut self, now: u64, wave: u64, key: CallKey) {
        for (daemon, list) in self.daemons.iter_mut().enumerate() {
            self.last_run += 1;
            let name = server(&format!("server-{daemon}-{wave}"));
            let began = at(now.saturating_sub(RUN));
            // A suspect that does not run alone is refused.
            let _ = list.begin_run(began, &name, RunId(self.last_run), key, None);
            list.server_crashed(at(now), &name);
        }
        self.exchange(now);
    }

    /// Runs a call at a server beside a daemon, which answers it at `now`.
    pub fn answer(&mut self, now: u64, daemon: usize, key: CallKey) {
        self.last_run += 1;
        let (list, id) = (&mut self.daemons[daemon], RunId(self.last_run));
        if list.begin_run(at(now.saturating_sub(RUN)), &server("sound"), id, key, None).is_ok() {
            list.end_run(at(now), &server("sound"), id, true);
        }
        self.exchange(now);
    }

    /// Has a call crash two servers, one after the other.
    pub fn block(&mut self, key: CallKey) {
        let last = self.daemons.len() - 1;
        self.crash(10_000, 0, "blocking-1", &[key], None);
        self.crash(10_100, last, "blocking-2", &[key], Some("blocking-1"));
        self.settle(11_000);
        assert!(self.blocked().contains(&key));
    }

    /// Has every daemon send its list of blocked calls to all.
    pub fn repeat_summaries(&mut self, now: u64) {
        self.settle(now);
        let summaries: Vec<_> = self.daemons.iter().flat_map(|list| list.summary(0)).collect();
        for payload in summaries {
            self.daemons.iter_mut().for_each(|list| list.merge(at(now), &payload));
        }
    }

    /// Lets time pass until `until`.
    pub fn settle(&mut self, until: u64) {
        while self.now < until {
            let now = (self.now + STEP.max((until - self.now) / 8)).min(until);
            self.exchange(now);
        }
    }

    /// The calls that all daemons have blocked.
    ///
    /// # Panics
    /// The daemons disagree.
    pub fn blocked(&self) -> Vec<CallKey> {
        let mut blocked = Vec::new();
        for number in 0..100 {
            let votes = self.daemons.iter().filter(|list| list.is_blocked(key(number))).count();
            assert!(votes == 0 || votes == self.daemons.len(), "{number}: {votes} daemons");
            if votes > 0 {
                blocked.push(key(number));
            }
        }
        blocked
    }

    /// Has all daemons do what is due, and exchange their updates.
    fn exchange(&mut self, now: u64) {
        self.now = self.now.max(now);
        let now = at(self.now);
        for index in 0..self.daemons.len() {
            if self.daemons[index].next_tick() <= now.mono {
                self.daemons[index].tick(now);
            }
            for update in self.daemons[index].take_updates() {
                for other in &mut self.daemons {
                    other.merge(now, &update.payload);
                }
            }
        }
    }
}
