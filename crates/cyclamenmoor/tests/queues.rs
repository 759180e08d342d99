//! Calls that wait for a slot of a local backend server: each of them gets a slot, or is refused as
//! not run, by its deadline, whatever happens to its server.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use cyclamen_declarations::Criticality;
use cyclamen_membership::ServerState;
use cyclamen_routing::{Admission, AncestorCalls, CallId, RunOutcome, SlotRequest};
use cyclamenmoor::{Announcement, Effect, Effects, Event, Instance};
use proptest::prelude::*;
use support::{START_MS, address, announcement, new_instance, server_state, time};

/// Time that a call has, in milliseconds.
const CALL_MS: u64 = 4_000;

/// Time within which an answer is wanted, in milliseconds.
const TARGET_MS: u64 = 1_200;

/// One local server and the calls that were sent to it.
struct Calls {
    instance: Instance,
    running: BTreeSet<CallId>,
    /// The calls that wait, with their deadlines in milliseconds.
    waiting: BTreeMap<CallId, u64>,
    refused: BTreeSet<CallId>,
    last: u64,
}

impl Calls {
    fn new(millis: u64, server: &Announcement) -> Self {
        let mut calls = Self {
            instance: new_instance(),
            running: BTreeSet::new(),
            waiting: BTreeMap::new(),
            refused: BTreeSet::new(),
            last: 0,
        };
        calls.announce(millis, server);
        calls
    }

    fn announce(&mut self, millis: u64, server: &Announcement) {
        let mut out = Effects::new();
        self.instance.announce_server(time(millis), server, &mut out).unwrap();
        self.note(out);
    }

    fn withdraw(&mut self, millis: u64, name: &str) {
        let mut out = Effects::new();
        // The server may be unknown.
        let _ = self.instance.withdraw_server(time(millis), &name.parse().unwrap(), None, &mut out);
        self.note(out);
    }

    fn call(&mut self, millis: u64, name: &str) {
        self.call_with(millis, name, AncestorCalls::default());
    }

    /// A call that another one made, which waits until its deadline.
    fn call_nested(&mut self, millis: u64, name: &str) {
        self.call_with(millis, name, AncestorCalls { depth: 1, same_service: false });
    }

    fn call_with(&mut self, millis: u64, name: &str, ancestors: AncestorCalls) {
        self.last += 1;
        let (call, deadline) = (CallId(self.last), millis + CALL_MS);
        let request = SlotRequest {
            target_at: time(millis + TARGET_MS).mono,
            ancestors,
            ..SlotRequest::new(Criticality::Normal, time(deadline).mono)
        };
        let mut out = Effects::new();
        let server = name.parse().unwrap();
        match self.instance.admit_call(time(millis), &server, call, &request, &mut out) {
            Admission::Run => drop(self.running.insert(call)),
            Admission::Queued => drop(self.waiting.insert(call, deadline)),
            Admission::Refused(_) => drop(self.refused.insert(call)),
        }
        self.note(out);
    }

    /// Ends the running call that began first.
    fn finish_one(&mut self, millis: u64, name: &str) {
        let Some(call) = self.running.pop_first() else {
            return;
        };
        let mut out = Effects::new();
        let outcome = RunOutcome::Answered(Duration::from_millis(100));
        self.instance.release_call(time(millis), &name.parse().unwrap(), call, outcome, &mut out);
        self.note(out);
    }

    fn wake(&mut self, millis: u64) {
        let mut out = Effects::new();
        self.instance.handle(time(millis), Event::Wakeup, &mut out);
        self.note(out);
    }

    fn note(&mut self, effects: Effects) {
        for effect in effects {
            match effect {
                Effect::RunQueued(calls) => {
                    for call in calls {
                        assert!(self.waiting.remove(&call).is_some(), "{call} did not wait");
                        self.running.insert(call);
                    }
                }
                Effect::RefuseQueued(calls) => {
                    for call in calls {
                        assert!(self.waiting.remove(&call).is_some(), "{call} did not wait");
                        self.refused.insert(call);
                    }
                }
                _ => {}
            }
        }
    }
}

fn server(name: &str, started_at_ms: u64, sequence: u64, slots: u32) -> Announcement {
    Announcement { slots, ..announcement(name, "v1", started_at_ms, sequence) }
}

/// Guards against calls that are never answered: those that wait for a server as it starts again
/// under its name.
#[test]
fn announce_restarted_server_keeps_the_calls_that_wait() {
    let mut calls = Calls::new(0, &server("s-1", 5, 1, 2));
    for _ in 0..5 {
        calls.call(1, "s-1");
    }
    assert_eq!((calls.running.len(), calls.waiting.len()), (2, 3));
    calls.announce(100, &server("s-1", 9, 1, 2));
    assert_eq!(server_state(&calls.instance, "s-1"), Some(ServerState::Ready));
    assert_eq!((calls.running.len(), calls.waiting.len()), (2, 3), "none beyond the slots");
    for _ in 0..5 {
        calls.finish_one(200, "s-1");
    }
    assert!(calls.waiting.is_empty(), "forgotten: {:?}", calls.waiting);
    assert!(calls.refused.is_empty());
}

/// Guards against calls that are never answered: those that wait for a server that was replaced by
/// another one, or that came back as another one.
#[test]
fn announce_replaced_server_refuses_the_calls_that_wait() {
    let elsewhere = |address: SocketAddr| Announcement { address, ..server("s-1", 9, 1, 2) };
    for later in [
        server("s-2", 9, 1, 2),
        elsewhere(address(10)),
        Announcement { version: "v2".parse().unwrap(), ..server("s-1", 9, 1, 2) },
        Announcement { service: "zavady".parse().unwrap(), ..server("s-1", 9, 1, 2) },
    ] {
        let mut calls = Calls::new(0, &server("s-1", 5, 1, 2));
        for _ in 0..5 {
            calls.call(1, "s-1");
        }
        calls.announce(100, &later);
        assert!(calls.waiting.is_empty(), "forgotten: {:?} by {later:?}", calls.waiting);
        assert_eq!(calls.refused.len(), 3, "{later:?}");
    }
}

/// Guards against calls that wait for longer than they have to: slots that are announced later, and
/// a call ahead of them that was cancelled, make room for them.
#[test]
fn announce_more_slots_runs_the_calls_that_wait() {
    let mut calls = Calls::new(0, &server("s-1", 5, 1, 1));
    for _ in 0..4 {
        calls.call(1, "s-1");
    }
    calls.announce(2, &server("s-1", 5, 2, 3));
    assert_eq!((calls.running.len(), calls.waiting.len()), (3, 1));
}

/// Guards against calls that reach a server long after its leave, or that it drains, was
/// acknowledged: those that waited for it then.
#[test]
fn calls_that_wait_for_a_leaving_server_start_soon_or_never() {
    let draining = Announcement { draining: true, ..server("s-1", 5, 2, 2) };
    for leaves in [true, false] {
        let mut calls = Calls::new(0, &server("s-1", 5, 1, 2));
        for _ in 0..6 {
            calls.call_nested(1, "s-1");
        }
        match leaves {
            true => calls.withdraw(100, "s-1"),
            false => calls.announce(100, &draining),
        }
        calls.finish_one(1_000, "s-1");
        assert_eq!((calls.running.len(), calls.waiting.len()), (2, 3), "within half of the time");
        calls.announce(1_050, &Announcement { draining: true, ..server("s-1", 5, 3, 2) });
        calls.wake(1_100);
        assert_eq!((calls.waiting.len(), calls.refused.len()), (0, 3), "refused as not run");
        calls.finish_one(1_200, "s-1");
        assert_eq!(calls.running.len(), 1);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Call,
    Finish,
    Report { slots: u32, draining: bool },
    Restart { slots: u32 },
    RestartElsewhere,
    ReplaceBy(&'static str),
    Leave,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => Just(Step::Call),
        3 => Just(Step::Finish),
        1 => (1..4_u32, any::<bool>())
            .prop_map(|(slots, draining)| Step::Report { slots, draining }),
        1 => (1..4_u32).prop_map(|slots| Step::Restart { slots }),
        1 => Just(Step::RestartElsewhere),
        1 => prop::sample::select(vec!["s-1", "s-2"]).prop_map(Step::ReplaceBy),
        1 => Just(Step::Leave),
        2 => (1..1_500_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Whatever happens to the server, no call waits beyond its deadline.
    #[test]
    fn queue_ends_every_wait_by_its_deadline(steps in prop::collection::vec(step(), 1..60)) {
        let (mut millis, mut born, mut sequence, mut port) = (0, 5, 1, 9);
        let (mut name, mut slots) = ("s-1", 2);
        let mut calls = Calls::new(0, &server(name, born, sequence, slots));
        for step in steps {
            millis += 1;
            sequence += 1;
            let mut draining = false;
            match step {
                Step::Call => calls.call(millis, name),
                Step::Finish => calls.finish_one(millis, name),
                Step::Report { slots: now, draining: drains } => (slots, draining) = (now, drains),
                Step::Restart { slots: now } => (born, slots) = (START_MS + millis, now),
                Step::RestartElsewhere => (born, port) = (START_MS + millis, port + 1),
                Step::ReplaceBy(other) => (born, name) = (START_MS + millis, other),
                Step::Leave => calls.withdraw(millis, name),
                Step::Wait(span) => millis += span,
            }
            let later = Announcement {
                draining,
                address: address(port),
                ..server(name, born, sequence, slots)
            };
            match step {
                Step::Call | Step::Finish | Step::Leave => {}
                _ => calls.announce(millis, &later),
            }
            while calls.instance.next_wakeup() <= time(millis).mono {
                calls.wake(millis);
            }
            for (call, deadline) in &calls.waiting {
                prop_assert!(*deadline >= millis, "call {call} waits at {millis}");
            }
        }
        // Nothing finishes any more, and only the timers of the instance run.
        let end = millis + CALL_MS + 1;
        while millis < end {
            millis += 10;
            calls.wake(millis);
        }
        prop_assert!(calls.waiting.is_empty(), "forgotten: {:?}", calls.waiting);
    }
}
