//! What callers get from the slots of one backend server at two and three times what it can do.

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

const MILLI: u64 = 1_000;
const SLOTS: u32 = 13;

/// One kind of call.
#[derive(Clone, Copy)]
struct Kind {
    route: &'static str,
    origin: &'static str,
    criticality: Criticality,
    /// Mean work, aim and deadline, in milliseconds.
    work: u64,
    aim: u64,
    deadline: u64,
    per_second: u64,
}

/// What became of the calls of a kind.
#[derive(Clone, Copy, Debug, Default)]
struct Got {
    calls: u64,
    in_aim: u64,
    late: u64,
    refused: u64,
    /// Longest time after which a call was refused, in milliseconds.
    held: u64,
}

struct Call {
    kind: usize,
    came: u64,
}

fn settings() -> SlotsSettings {
    SlotsSettings {
        slots: SLOTS,
        queue: 64,
        queue_wait: Duration::from_millis(200),
        order: QueueOrder::OldestFirst,
        adaptive: false,
    }
}

/// Plays `seconds` of load; `aims` tells whether the slots are told when answers are wanted.
fn play(kinds: &[Kind], seconds: u64, aims: bool) -> Vec<Got> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut slots = Slots::new(settings());
    let mut got = vec![Got::default(); kinds.len()];
    let mut calls: BTreeMap<u64, Call> = BTreeMap::new();
    let mut ends: BTreeMap<(u64, u64), ()> = BTreeMap::new();
    let mut arrivals: Vec<(u64, usize)> = Vec::new();
    for (kind, load) in kinds.iter().enumerate() {
        for _ in 0..load.per_second * seconds {
            arrivals.push((rng.random_range(0..seconds * 1_000 * MILLI), kind));
        }
    }
    arrivals.sort_unstable();
    for (id, (came, kind)) in arrivals.into_iter().enumerate() {
        let id = id as u64;
        run_until(came, kinds, &mut slots, &mut calls, &mut ends, &mut got, &mut rng);
        let load = &kinds[kind];
        got[kind].calls += 1;
        calls.insert(id, Call { kind, came });
        let needs = CallNeeds {
            criticality: load.criticality,
            route: Some(load.route.try_into().expect("a name")),
            origin: Some(load.origin.try_into().expect("a name")),
            around: Around::default(),
            aim: if aims { Mono(came + load.aim * MILLI) } else { Mono::NEVER },
            deadline: Mono(came + load.deadline * MILLI),
        };
        let mut evicted = Vec::new();
        match slots.admit(at(came), CallId(id), &needs, &mut evicted) {
            Admission::Run => start(came, id, load, &mut ends, &mut rng),
            Admission::Queued => {}
            Admission::Refused(_) => refuse(came, id, &mut calls, &mut got),
        }
        for out in evicted {
            refuse(came, out.0, &mut calls, &mut got);
        }
    }
    run_until(u64::MAX, kinds, &mut slots, &mut calls, &mut ends, &mut got, &mut rng);
    got
}

fn start(now: u64, id: u64, kind: &Kind, ends: &mut BTreeMap<(u64, u64), ()>, rng: &mut SmallRng) {
    let work = kind.work * MILLI * rng.random_range(50..150) / 100;
    ends.insert((now + work, id), ());
}

fn refuse(now: u64, id: u64, calls: &mut BTreeMap<u64, Call>, got: &mut [Got]) {
    let Some(call) = calls.remove(&id) else {
        return;
    };
    let got = &mut got[call.kind];
    got.refused += 1;
    got.held = got.held.max((now - call.came) / MILLI);
}

/// Ends calls and waits up to `until`.
fn run_until(
    until: u64,
    kinds: &[Kind],
    slots: &mut Slots,
    calls: &mut BTreeMap<u64, Call>,
    ends: &mut BTreeMap<(u64, u64), ()>,
    got: &mut [Got],
    rng: &mut SmallRng,
) {
    loop {
        let end = ends.keys().next().copied();
        let expiry = slots.next_expiry();
        let due = end.map_or(u64::MAX, |(at, _)| at).min(expiry.0);
        if due > until || due == u64::MAX {
            return;
        }
        if expiry.0 == due {
            for call in slots.expire(at(due)) {
                refuse(due, call.0, calls, got);
            }
            continue;
        }
        let Some(((now, id), ())) = ends.pop_first() else {
            return;
        };
        let call = calls.remove(&id).expect("a call that runs");
        let kind = &kinds[call.kind];
        let took = now - call.came;
        match took <= kind.aim * MILLI {
            true => got[call.kind].in_aim += 1,
            false => got[call.kind].late += 1,
        }
        let ran = Ran::Answered(Duration::from_micros(took));
        for next in slots.finish(at(now), CallId(id), ran) {
            let kind = &kinds[calls[&next.0].kind];
            start(now, next.0, kind, ends, rng);
        }
    }
}

const LOOKUP: Kind = Kind {
    route: "lookup",
    origin: "dvere",
    criticality: Criticality::Bulk,
    work: 100,
    aim: 300,
    deadline: 1_200,
    per_second: 260,
};

fn percent(part: u64, whole: u64) -> u64 {
    100 * part / whole
}

/// Slots do 130 of these calls a second.
#[test]
fn overload_served_calls_in_time() {
    for factor in [1, 2] {
        let load = Kind { per_second: LOOKUP.per_second * factor, ..LOOKUP };
        let aware = play(&[load], 20, true)[0];
        let plain = play(&[load], 20, false)[0];
        let capacity = 130 * 20;
        assert!(
            percent(aware.in_aim, capacity) >= 90,
            "{} of {capacity} in time at {} times: {aware:?}, without aims {plain:?}",
            aware.in_aim,
            2 * factor,
        );
        assert!(percent(aware.late, aware.in_aim + aware.late) <= 5, "{aware:?}");
        assert!(aware.in_aim >= plain.in_aim, "{aware:?} against {plain:?}");
    }
}

#[test]
fn overload_refuses_early() {
    let aware = play(&[Kind { per_second: 390, ..LOOKUP }], 20, true)[0];
    assert!(aware.held <= 300, "a call was refused after {} ms", aware.held);
}

#[test]
fn overload_more_urgent_kind_first() {
    let urgent = Kind {
        route: "notice",
        origin: "zavady",
        criticality: Criticality::Normal,
        per_second: 60,
        ..LOOKUP
    };
    let got = play(&[LOOKUP, urgent], 20, true);
    assert!(percent(got[1].in_aim, got[1].calls) >= 95, "{got:?}");
    assert!(got[0].in_aim > 0, "{got:?}");
}

/// Calls that servers make while they hold a slot elsewhere come from one service only; they are
/// served though calls of a class as urgent fill the slots twice over.
#[test]
fn overload_nested_calls_first() {
    let nested = Kind {
        route: "check",
        origin: "dvere",
        criticality: Criticality::Normal,
        work: 23,
        aim: 100,
        deadline: 300,
        per_second: 200,
    };
    let notice = |origin| Kind {
        route: "notice",
        origin,
        criticality: Criticality::Normal,
        work: 120,
        aim: 400,
        deadline: 1_500,
        per_second: 100,
    };
    let got = play(&[nested, notice("dvere"), notice("zavady")], 20, true);
    let served = got[0].in_aim + got[0].late;
    assert!(percent(served, got[0].calls) >= 98, "{got:?}");
    assert!(got[1].in_aim + got[2].in_aim > 0, "{got:?}");
}
