//! Simulations of chains of reentrant calls to one service, within and beyond the capacity of its
//! slots.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::at;
use cyclamen_declarations::Criticality;
use cyclamen_routing::{
    Admission, AncestorCalls, CallId, QueueOrder, RunOutcome, SlotRequest, Slots, SlotsSettings,
};
use cyclamen_types::Mono;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVERS: usize = 6;
const SLOTS: u32 = 15;

/// Calls in a chain. Each makes the next one and holds its slot until that one has ended.
const DEPTH: u8 = 7;

/// Work of one call, in microseconds, before it makes the next one.
const WORK_US: u64 = 3_300;

/// Deadline of a whole chain, from its arrival, in microseconds.
const DEADLINE_US: u64 = 5_000_000;

/// Attempts of each call of a chain.
const MAX_ATTEMPTS: u32 = 3;

/// A chain under way.
struct Chain {
    arrived_at: u64,
    /// Server and id of each call that holds a slot, outermost first.
    holding: Vec<(usize, u64)>,
    /// Refused attempts of the chain's next call.
    refused_attempts: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Results {
    chains: u64,
    answered: u64,
    /// Chains that failed after some of their work was done.
    failed: u64,
}

/// The servers of the service and the chains under way.
struct Simulation {
    slots: Vec<Slots>,
    chains: BTreeMap<u64, Chain>,
    /// The chain of each call, and the server at which it is queued or running.
    calls: BTreeMap<u64, (u64, usize)>,
    /// When the work of each running call ends, as time and call.
    ends: BTreeMap<(u64, u64), ()>,
    last_call: u64,
    results: Results,
    rng: SmallRng,
}

impl Simulation {
    fn new() -> Self {
        let settings = SlotsSettings {
            slots: SLOTS,
            queue: 64,
            queue_wait: Duration::from_millis(200),
            order: QueueOrder::OldestFirst,
            adaptive: false,
        };
        Self {
            slots: (0..SERVERS).map(|_| Slots::new(settings)).collect(),
            chains: BTreeMap::new(),
            calls: BTreeMap::new(),
            ends: BTreeMap::new(),
            last_call: 0,
            results: Results::default(),
            rng: SmallRng::seed_from_u64(11),
        }
    }

    /// Sends the next call of a chain to the less loaded of two servers.
    fn call(&mut self, now: u64, id: u64) {
        let two = [self.rng.random_range(0..SERVERS), self.rng.random_range(0..SERVERS)];
        let load = |server: &usize| {
            let load = self.slots[*server].load();
            load.running + load.waiting
        };
        let server = if load(&two[0]) <= load(&two[1]) { two[0] } else { two[1] };
        let chain = &self.chains[&id];
        let depth = u8::try_from(chain.holding.len()).expect("depth fits in a byte");
        let deadline = Mono(chain.arrived_at + DEADLINE_US);
        let ancestors = AncestorCalls { depth, same_service: depth > 0 };
        let request = SlotRequest { ancestors, ..SlotRequest::new(Criticality::Normal, deadline) };
        self.last_call += 1;
        let call = self.last_call;
        self.calls.insert(call, (id, server));
        let mut evicted = Vec::new();
        match self.slots[server].admit(at(now), CallId(call), &request, &mut evicted) {
            Admission::Run => self.run(now, call),
            Admission::Queued => {}
            Admission::Refused(_) => self.refused(now, call),
        }
        for out in evicted {
            self.refused(now, out.0);
        }
    }

    fn run(&mut self, now: u64, call: u64) {
        let (id, server) = self.calls[&call];
        let chain = self.chains.get_mut(&id).expect("chain is under way");
        chain.holding.push((server, call));
        chain.refused_attempts = 0;
        self.ends.insert((now + WORK_US, call), ());
    }

    /// Sends a refused call to a server once more, or ends the whole chain after the last attempt.
    fn refused(&mut self, now: u64, call: u64) {
        let Some((id, _)) = self.calls.remove(&call) else {
            return;
        };
        let chain = self.chains.get_mut(&id).expect("chain is under way");
        chain.refused_attempts += 1;
        if chain.refused_attempts < MAX_ATTEMPTS {
            self.call(now, id);
            return;
        }
        if !chain.holding.is_empty() {
            self.results.failed += 1;
        }
        self.end_chain(now, id);
    }

    /// Ends the work of a call: makes the next call of the chain, or answers the whole chain.
    fn finish_work(&mut self, now: u64, call: u64) {
        let id = self.calls[&call].0;
        if self.chains[&id].holding.len() < usize::from(DEPTH) {
            self.call(now, id);
            return;
        }
        self.results.answered += 1;
        self.end_chain(now, id);
    }

    fn end_chain(&mut self, now: u64, id: u64) {
        let chain = self.chains.remove(&id).expect("chain is under way");
        let mut runnable = Vec::new();
        for (server, call) in chain.holding.into_iter().rev() {
            self.calls.remove(&call);
            let outcome = RunOutcome::Answered(Duration::from_micros(now - chain.arrived_at));
            runnable.extend(self.slots[server].finish(at(now), CallId(call), outcome));
        }
        for next in runnable {
            self.run(now, next.0);
        }
    }

    fn run_until(&mut self, until: u64) {
        loop {
            let end = self.ends.first_key_value().map_or(u64::MAX, |((due, _), ())| *due);
            let expiry = self.slots.iter().map(|slots| slots.next_expiry().0).min();
            let now = end.min(expiry.unwrap_or(u64::MAX));
            if now > until || now == u64::MAX {
                return;
            }
            if now == end {
                let Some(((_, call), ())) = self.ends.pop_first() else {
                    return;
                };
                self.finish_work(now, call);
                continue;
            }
            for server in 0..SERVERS {
                for call in self.slots[server].expire(at(now)) {
                    self.refused(now, call.0);
                }
            }
        }
    }
}

/// Simulates chains that arrive at random, `per_second` on average, for some seconds.
fn simulate(per_second: u64, seconds: u64) -> Results {
    let mut simulation = Simulation::new();
    let mut now = 0.0;
    while now < seconds as f64 * 1e6 {
        let arrived_at = now as u64;
        simulation.run_until(arrived_at);
        simulation.results.chains += 1;
        let id = simulation.results.chains;
        simulation
            .chains
            .insert(id, Chain { arrived_at, holding: Vec::new(), refused_attempts: 0 });
        simulation.call(arrived_at, id);
        let draw: f64 = simulation.rng.random_range(f64::EPSILON..1.0);
        now -= draw.ln() / per_second as f64 * 1e6;
    }
    simulation.run_until(u64::MAX - 1);
    simulation.results
}

/// Load that needs two thirds of the slots: a chain holds slots for 28 (7 + 6 + ... + 1)
/// times 3.3 ms in total.
const CHAINS_PER_SECOND: u64 = 600;

/// Length of each simulation, in seconds.
const SECONDS: u64 = 10;

#[test]
fn chain_within_capacity_is_answered() {
    let results = simulate(CHAINS_PER_SECOND, SECONDS);
    assert!(results.answered * 100 >= results.chains * 98, "{results:?}");
}

/// At two and three times the load, as many chains are answered, and few fail after part of their
/// work was done.
#[test]
fn chain_beyond_capacity_keeps_throughput() {
    let within_capacity = simulate(CHAINS_PER_SECOND, SECONDS);
    for factor in [2, 3] {
        let results = simulate(CHAINS_PER_SECOND * factor, SECONDS);
        assert!(
            results.answered * 100 >= within_capacity.answered * 98,
            "{factor} times: {results:?}, {within_capacity:?}"
        );
        assert!(results.failed * 50 <= results.answered, "{factor} times: {results:?}");
    }
}
