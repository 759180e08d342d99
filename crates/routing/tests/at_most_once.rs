//! Property test: calls that must not run twice run at most once, and no call is reported as not
//! run if it ran, whatever fails in whatever order.
//!
//! A router and the slots of each backend server go through random sequences of calls, failures of
//! attempts and changes of the servers. The test itself counts which calls ran.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{TWO_VERSIONS, at, head, router, server};
use cyclamen_routing::{
    Admission, Attempt, AttemptId, CallId, Next, Outcome, QueueOrder, RefusalKind, Router,
    RunOutcome, ServerInfo, SlotRequest, Slots, SlotsSettings, VersionSplit,
};
use proptest::prelude::*;

/// How an attempt that got a slot ends.
#[derive(Clone, Copy, Debug)]
enum AttemptEnd {
    Answered(u16),
    NotConnected,
    /// The connection broke after bytes were sent, before or after the call ran.
    Reset {
        ran: bool,
    },
    /// No answer arrived in time; the call has run, or still runs later.
    TimedOut {
        runs_later: bool,
    },
    Cancelled {
        ran: bool,
    },
    Truncated,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Call { at_most_once: bool },
    EndAttempt { pick: usize, end: AttemptEnd },
    LateAnswer { pick: usize },
    RunLater { pick: usize },
    ToggleReady { pick: usize },
    SetDomainSuspected { suspected_down: bool },
    Share { ppm: u32 },
    Wait { micros: u64 },
}

fn attempt_end() -> impl Strategy<Value = AttemptEnd> {
    prop_oneof![
        4 => prop::sample::select(vec![200, 404, 500, 503]).prop_map(AttemptEnd::Answered),
        2 => Just(AttemptEnd::NotConnected),
        2 => any::<bool>().prop_map(|ran| AttemptEnd::Reset { ran }),
        2 => any::<bool>().prop_map(|runs_later| AttemptEnd::TimedOut { runs_later }),
        1 => any::<bool>().prop_map(|ran| AttemptEnd::Cancelled { ran }),
        1 => Just(AttemptEnd::Truncated),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => any::<bool>().prop_map(|at_most_once| Step::Call { at_most_once }),
        12 => (any::<usize>(), attempt_end()).prop_map(|(pick, end)| Step::EndAttempt { pick, end }),
        2 => any::<usize>().prop_map(|pick| Step::LateAnswer { pick }),
        2 => any::<usize>().prop_map(|pick| Step::RunLater { pick }),
        1 => any::<usize>().prop_map(|pick| Step::ToggleReady { pick }),
        1 => any::<bool>().prop_map(|suspected_down| Step::SetDomainSuspected { suspected_down }),
        1 => (0_u32..=1_000_000).prop_map(|ppm| Step::Share { ppm }),
        2 => (1_u64..2_000_000).prop_map(|micros| Step::Wait { micros }),
    ]
}

/// What happened to a call at the backend servers and at its caller.
#[derive(Debug, Default)]
struct CallRecord {
    /// Whether the route of the call forbids to run it twice.
    at_most_once: bool,
    /// How often a backend server ran the call.
    runs: u32,
    /// Answers and refusals that the caller got.
    results: u32,
    /// Whether the caller was told that the call was not run.
    told_not_run: bool,
}

/// A router, the slots of each backend server, and the calls between them.
struct TestMesh {
    router: Router,
    servers: Vec<ServerInfo>,
    slots: BTreeMap<String, Slots>,
    calls: Vec<CallRecord>,
    /// Attempts under way, with the index of their call.
    in_flight: Vec<(Attempt, usize)>,
    /// Attempts that have ended for the router.
    ended_attempts: Vec<AttemptId>,
    /// Calls that a backend server runs only after their attempt has timed out.
    to_run_later: Vec<usize>,
    now: u64,
}

impl TestMesh {
    fn new() -> Self {
        let mut servers = Vec::new();
        for (name, version, domain) in [
            ("a", "v1", "praha-a"),
            ("b", "v1", "praha-a"),
            ("c", "v1", "kladno"),
            ("d", "v2", "praha-a"),
            ("e", "v2", "kladno"),
        ] {
            servers.push(server(name, version, domain));
        }
        let settings = SlotsSettings {
            slots: 2,
            queue: 0,
            queue_wait: Duration::from_millis(50),
            adaptive: true,
            order: QueueOrder::OldestFirst,
        };
        let slots = servers.iter().map(|s| (s.name.to_string(), Slots::new(settings))).collect();
        Self {
            router: router(TWO_VERSIONS, &servers),
            servers,
            slots,
            calls: Vec::new(),
            in_flight: Vec::new(),
            ended_attempts: Vec::new(),
            to_run_later: Vec::new(),
            now: 1,
        }
    }

    fn call(&mut self, at_most_once: bool) {
        let index = self.calls.len();
        self.calls.push(CallRecord { at_most_once, ..CallRecord::default() });
        let path = if at_most_once { "/once" } else { "/" };
        match self.router.begin(at(self.now), &head("GET", path)) {
            Ok(attempt) => self.arrive(attempt, index),
            Err(_) => self.refuse(index, RefusalKind::Unavailable),
        }
    }

    /// Passes an attempt to the slots of its server, which let it run or refuse it.
    fn arrive(&mut self, attempt: Attempt, call: usize) {
        let slots = self.slots.get_mut(attempt.server.as_str()).expect("known server");
        let id = CallId(attempt.id.0);
        let request = SlotRequest::new(attempt.criticality, attempt.deadline);
        let admission = slots.admit(at(self.now), id, &request, &mut Vec::new());
        if admission == Admission::Run {
            self.in_flight.push((attempt, call));
            return;
        }
        let retry_after = Duration::from_millis(20);
        self.finish(&attempt, call, Outcome::RefusedByDaemon { retry_after });
    }

    fn end_attempt(&mut self, pick: usize, end: AttemptEnd) {
        if self.in_flight.is_empty() {
            return;
        }
        let (attempt, call) = self.in_flight.swap_remove(pick % self.in_flight.len());
        let slots = self.slots.get_mut(attempt.server.as_str()).expect("known server");
        slots.finish(at(self.now), CallId(attempt.id.0), RunOutcome::Unmeasured);
        let (ran, outcome) = match end {
            AttemptEnd::Answered(status) => (true, Outcome::Answered { status }),
            AttemptEnd::Truncated => (true, Outcome::Answered { status: 200 }),
            AttemptEnd::NotConnected => (false, Outcome::NotConnected),
            AttemptEnd::Reset { ran } => (ran, Outcome::Reset),
            AttemptEnd::TimedOut { runs_later } => (!runs_later, Outcome::TimedOut),
            AttemptEnd::Cancelled { ran } => (ran, Outcome::Cancelled),
        };
        self.calls[call].runs += u32::from(ran);
        if matches!(end, AttemptEnd::TimedOut { runs_later: true }) {
            self.to_run_later.push(call);
        }
        self.finish(&attempt, call, outcome);
        if matches!(outcome, Outcome::Answered { .. }) {
            let whole = !matches!(end, AttemptEnd::Truncated);
            self.router.end_body(at(self.now), attempt.id, whole);
        }
    }

    fn finish(&mut self, attempt: &Attempt, call: usize, outcome: Outcome) {
        self.ended_attempts.push(attempt.id);
        match self.router.finish(at(self.now), attempt.id, outcome) {
            Next::Deliver => self.calls[call].results += 1,
            Next::Refuse(refusal) => self.refuse(call, refusal.kind),
            Next::Retry(next, delay) => {
                self.now += delay.as_micros() as u64;
                self.arrive(next, call);
            }
        }
    }

    fn refuse(&mut self, call: usize, kind: RefusalKind) {
        self.calls[call].results += 1;
        self.calls[call].told_not_run = kind != RefusalKind::OutcomeUnknown;
    }

    /// Passes an answer for an attempt that has ended already; it must not be delivered.
    fn late_answer(&mut self, pick: usize) {
        let Some(id) = self.ended_attempts.get(pick % self.ended_attempts.len().max(1)).copied()
        else {
            return;
        };
        let next = self.router.finish(at(self.now), id, Outcome::Answered { status: 200 });
        assert!(matches!(next, Next::Refuse(_)), "a late answer is delivered");
    }

    fn set_servers(&mut self) {
        self.router.set_servers(at(self.now), &self.servers);
    }

    fn step(&mut self, step: Step) {
        self.now += 100;
        match step {
            Step::Call { at_most_once } => self.call(at_most_once),
            Step::EndAttempt { pick, end } => self.end_attempt(pick, end),
            Step::LateAnswer { pick } => self.late_answer(pick),
            Step::RunLater { pick } => {
                if !self.to_run_later.is_empty() {
                    let call = self.to_run_later.swap_remove(pick % self.to_run_later.len());
                    self.calls[call].runs += 1;
                }
            }
            Step::ToggleReady { pick } => {
                let index = pick % self.servers.len();
                let server = &mut self.servers[index];
                server.ready = !server.ready;
                let slots = self.slots.get_mut(server.name.as_str()).expect("known server");
                if server.ready {
                    slots.resume();
                } else {
                    slots.drain(cyclamen_types::Mono::NEVER);
                }
                self.set_servers();
            }
            Step::SetDomainSuspected { suspected_down } => {
                for server in &mut self.servers {
                    server.suspected_down = suspected_down && server.domain.as_str() == "kladno";
                }
                self.set_servers();
            }
            Step::Share { ppm } => self.router.set_splits(&[VersionSplit {
                service: "dvere".try_into().expect("valid name"),
                from: "v1".try_into().expect("valid name"),
                to: "v2".try_into().expect("valid name"),
                share_ppm: ppm,
            }]),
            Step::Wait { micros } => self.now += micros,
        }
    }

    /// Ends all attempts and calls under way.
    fn settle(&mut self) {
        while !self.in_flight.is_empty() {
            self.end_attempt(0, AttemptEnd::Answered(200));
        }
        for call in std::mem::take(&mut self.to_run_later) {
            self.calls[call].runs += 1;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    #[test]
    fn call_runs_at_most_once(steps in prop::collection::vec(step(), 1..250)) {
        let mut mesh = TestMesh::new();
        for step in steps {
            mesh.step(step);
        }
        mesh.settle();
        for (number, call) in mesh.calls.iter().enumerate() {
            prop_assert_eq!(call.results, 1, "call {} must get one result: {:?}", number, call);
            prop_assert!(!call.at_most_once || call.runs <= 1, "call {} ran twice: {:?}", number, call);
            prop_assert!(!call.told_not_run || call.runs == 0, "call {} was reported as not run, but ran: {:?}", number, call);
        }
        prop_assert_eq!(mesh.router.in_flight(), 0);
        for slots in mesh.slots.values() {
            prop_assert_eq!(slots.load().running, 0);
        }
    }
}
