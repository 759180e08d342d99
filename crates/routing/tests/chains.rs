//! What callers get from a service whose calls call the service again, near what its slots carry.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::at;
use cyclamen_declarations::Criticality;
use cyclamen_routing::{
    Admission, Around, CallId, CallNeeds, QueueOrder, Ran, Slots, SlotsSettings,
};
use cyclamen_types::Mono;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVERS: usize = 6;
const SLOTS: u32 = 15;

/// Calls in a chain: each holds its slot until those below it have ended.
const LEVELS: u8 = 7;

/// Work of one level, in microseconds.
const WORK: u64 = 3_300;

/// A chain's time, in microseconds.
const DEADLINE: u64 = 5_000_000;

/// Servers that a level tries.
const TRIES: u32 = 3;

/// A chain under way: the calls that hold slots, outermost first.
struct Chain {
    came: u64,
    held: Vec<(usize, u64)>,
    tries: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Got {
    chains: u64,
    answered: u64,
    /// Chains that failed after some of their work was done.
    failed: u64,
}

struct World {
    slots: Vec<Slots>,
    chains: BTreeMap<u64, Chain>,
    /// Which chain a call is of, and where it waits or runs.
    calls: BTreeMap<u64, (u64, usize)>,
    /// Ends of work, by time.
    ends: BTreeMap<(u64, u64), ()>,
    last_call: u64,
    got: Got,
    rng: SmallRng,
}

impl World {
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
            got: Got::default(),
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
        let depth = u8::try_from(chain.held.len()).expect("a short chain");
        let deadline = Mono(chain.came + DEADLINE);
        let around = Around { depth, same_service: depth > 0 };
        let needs = CallNeeds { around, ..CallNeeds::new(Criticality::Normal, deadline) };
        self.last_call += 1;
        let call = self.last_call;
        self.calls.insert(call, (id, server));
        let mut evicted = Vec::new();
        match self.slots[server].admit(at(now), CallId(call), &needs, &mut evicted) {
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
        let chain = self.chains.get_mut(&id).expect("under way");
        chain.held.push((server, call));
        chain.tries = 0;
        self.ends.insert((now + WORK, call), ());
    }

    /// Another server, or the end of the whole chain.
    fn refused(&mut self, now: u64, call: u64) {
        let Some((id, _)) = self.calls.remove(&call) else {
            return;
        };
        let chain = self.chains.get_mut(&id).expect("under way");
        chain.tries += 1;
        if chain.tries < TRIES {
            self.call(now, id);
            return;
        }
        if !chain.held.is_empty() {
            self.got.failed += 1;
        }
        self.unwind(now, id);
    }

    /// The work of a call is done: the next level, or the answer.
    fn worked(&mut self, now: u64, call: u64) {
        let id = self.calls[&call].0;
        if self.chains[&id].held.len() < usize::from(LEVELS) {
            self.call(now, id);
            return;
        }
        self.got.answered += 1;
        self.unwind(now, id);
    }

    fn unwind(&mut self, now: u64, id: u64) {
        let chain = self.chains.remove(&id).expect("under way");
        let mut turns = Vec::new();
        for (server, call) in chain.held.into_iter().rev() {
            self.calls.remove(&call);
            let ran = Ran::Answered(Duration::from_micros(now - chain.came));
            turns.extend(self.slots[server].finish(at(now), CallId(call), ran));
        }
        for turn in turns {
            self.run(now, turn.0);
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
                self.worked(now, call);
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

/// Plays `per_second` chains for some seconds.
fn play(per_second: u64, seconds: u64) -> Got {
    let mut world = World::new();
    let mut now = 0.0;
    while now < seconds as f64 * 1e6 {
        let came = now as u64;
        world.run_until(came);
        world.got.chains += 1;
        let id = world.got.chains;
        world.chains.insert(id, Chain { came, held: Vec::new(), tries: 0 });
        world.call(came, id);
        let draw: f64 = world.rng.random_range(f64::EPSILON..1.0);
        now -= draw.ln() / per_second as f64 * 1e6;
    }
    world.run_until(u64::MAX - 1);
    world.got
}

/// Chains a second that need two slots of three: 28 turns of 3.3 ms each.
const NEAR_THE_SLOTS: u64 = 600;

/// Seconds of load.
const SECONDS: u64 = 10;

#[test]
fn chain_near_the_slots() {
    let got = play(NEAR_THE_SLOTS, SECONDS);
    assert!(got.answered * 100 >= got.chains * 98, "{got:?}");
}

/// At two and three times that load as many are answered, and hardly any after part of the work.
#[test]
fn chain_beyond_the_slots() {
    let near = play(NEAR_THE_SLOTS, SECONDS);
    for times in [2, 3] {
        let got = play(NEAR_THE_SLOTS * times, SECONDS);
        assert!(got.answered * 100 >= near.answered * 98, "{times} times: {got:?}, {near:?}");
        assert!(got.failed * 50 <= got.answered, "{times} times: {got:?}");
    }
}
