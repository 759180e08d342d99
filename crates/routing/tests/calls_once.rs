//! At most once, and truthful refusals, whatever fails in whatever order.
//!
//! A router and the slots beside each backend server are driven through every fate that an
//! attempt can meet; fake backend servers keep their own record of what ran.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{DOORS, at, head, router, server};
use cyclamen_routing::{
    Admission, Attempt, AttemptId, CallId, CallNeeds, Next, Outcome, QueueOrder, Ran, RefusalKind,
    Router, ServerInfo, Slots, SlotsSettings, VersionSplit,
};
use proptest::prelude::*;

/// What becomes of an attempt.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answer(u16),
    NoConnection,
    /// Bytes went out, and the connection broke; the call had run or not.
    Reset {
        ran: bool,
    },
    /// No answer in time; the call runs all the same, then or later.
    TimeOut {
        runs_later: bool,
    },
    CallerGone {
        ran: bool,
    },
    Truncate,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Call { once: bool },
    Meet { pick: usize, fate: Fate },
    LateAnswer { pick: usize },
    LateRun { pick: usize },
    Drain { pick: usize },
    CutDomain { cut: bool },
    Share(u32),
    Wait(u64),
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => prop::sample::select(vec![200, 404, 500, 503]).prop_map(Fate::Answer),
        2 => Just(Fate::NoConnection),
        2 => any::<bool>().prop_map(|ran| Fate::Reset { ran }),
        2 => any::<bool>().prop_map(|runs_later| Fate::TimeOut { runs_later }),
        1 => any::<bool>().prop_map(|ran| Fate::CallerGone { ran }),
        1 => Just(Fate::Truncate),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => any::<bool>().prop_map(|once| Step::Call { once }),
        12 => (any::<usize>(), fate()).prop_map(|(pick, fate)| Step::Meet { pick, fate }),
        2 => any::<usize>().prop_map(|pick| Step::LateAnswer { pick }),
        2 => any::<usize>().prop_map(|pick| Step::LateRun { pick }),
        1 => any::<usize>().prop_map(|pick| Step::Drain { pick }),
        1 => any::<bool>().prop_map(|cut| Step::CutDomain { cut }),
        1 => (0_u32..=1_000_000).prop_map(Step::Share),
        2 => (1_u64..2_000_000).prop_map(Step::Wait),
    ]
}

/// A call as its caller sees it.
#[derive(Debug, Default)]
struct CallerView {
    once: bool,
    runs: u32,
    ends: u32,
    not_run: bool,
}

struct Bench {
    router: Router,
    servers: Vec<ServerInfo>,
    slots: BTreeMap<String, Slots>,
    calls: Vec<CallerView>,
    /// Attempts under way, with their calls.
    flying: Vec<(Attempt, usize)>,
    /// Attempts that the router has given up.
    over: Vec<AttemptId>,
    /// Calls that a backend server still runs after its caller was told.
    late: Vec<usize>,
    now: u64,
}

impl Bench {
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
            router: router(DOORS, &servers),
            servers,
            slots,
            calls: Vec::new(),
            flying: Vec::new(),
            over: Vec::new(),
            late: Vec::new(),
            now: 1,
        }
    }

    fn call(&mut self, once: bool) {
        let index = self.calls.len();
        self.calls.push(CallerView { once, ..CallerView::default() });
        let path = if once { "/once" } else { "/" };
        match self.router.begin(at(self.now), &head("GET", path)) {
            Ok(attempt) => self.arrive(attempt, index),
            Err(_) => self.refuse(index, RefusalKind::Unavailable),
        }
    }

    /// An attempt arrives at the daemon beside its server.
    fn arrive(&mut self, attempt: Attempt, call: usize) {
        let slots = self.slots.get_mut(attempt.server.as_str()).expect("a known server");
        let id = CallId(attempt.id.0);
        let needs = CallNeeds::new(attempt.criticality, attempt.deadline);
        let admission = slots.admit(at(self.now), id, &needs, &mut Vec::new());
        if admission == Admission::Run {
            self.flying.push((attempt, call));
            return;
        }
        let retry_after = Duration::from_millis(20);
        self.finish(&attempt, call, Outcome::NotRun { retry_after });
    }

    fn meet(&mut self, pick: usize, fate: Fate) {
        if self.flying.is_empty() {
            return;
        }
        let (attempt, call) = self.flying.swap_remove(pick % self.flying.len());
        let slots = self.slots.get_mut(attempt.server.as_str()).expect("a known server");
        slots.finish(at(self.now), CallId(attempt.id.0), Ran::Unmeasured);
        let (ran, outcome) = match fate {
            Fate::Answer(status) => (true, Outcome::Answered { status }),
            Fate::Truncate => (true, Outcome::Answered { status: 200 }),
            Fate::NoConnection => (false, Outcome::NotConnected),
            Fate::Reset { ran } => (ran, Outcome::Reset),
            Fate::TimeOut { runs_later } => (!runs_later, Outcome::TimedOut),
            Fate::CallerGone { ran } => (ran, Outcome::Cancelled),
        };
        self.calls[call].runs += u32::from(ran);
        if matches!(fate, Fate::TimeOut { runs_later: true }) {
            self.late.push(call);
        }
        self.finish(&attempt, call, outcome);
        if matches!(outcome, Outcome::Answered { .. }) {
            let whole = !matches!(fate, Fate::Truncate);
            self.router.end_body(at(self.now), attempt.id, whole);
        }
    }

    fn finish(&mut self, attempt: &Attempt, call: usize, outcome: Outcome) {
        self.over.push(attempt.id);
        match self.router.finish(at(self.now), attempt.id, outcome) {
            Next::Deliver => self.calls[call].ends += 1,
            Next::Refuse(refusal) => self.refuse(call, refusal.kind),
            Next::Retry(next, pause) => {
                self.now += pause.as_micros() as u64;
                self.arrive(next, call);
            }
        }
    }

    fn refuse(&mut self, call: usize, kind: RefusalKind) {
        self.calls[call].ends += 1;
        self.calls[call].not_run = kind != RefusalKind::OutcomeUnknown;
    }

    /// An answer comes for an attempt that has ended.
    fn late_answer(&mut self, pick: usize) {
        let Some(id) = self.over.get(pick % self.over.len().max(1)).copied() else {
            return;
        };
        let next = self.router.finish(at(self.now), id, Outcome::Answered { status: 200 });
        assert!(matches!(next, Next::Refuse(_)), "a late answer is passed on");
    }

    fn set_servers(&mut self) {
        let ready: Vec<ServerInfo> = self.servers.clone();
        self.router.set_servers(at(self.now), &ready);
    }

    fn step(&mut self, step: Step) {
        self.now += 100;
        match step {
            Step::Call { once } => self.call(once),
            Step::Meet { pick, fate } => self.meet(pick, fate),
            Step::LateAnswer { pick } => self.late_answer(pick),
            Step::LateRun { pick } => {
                if !self.late.is_empty() {
                    let call = self.late.swap_remove(pick % self.late.len());
                    self.calls[call].runs += 1;
                }
            }
            Step::Drain { pick } => {
                let place = pick % self.servers.len();
                let server = &mut self.servers[place];
                server.ready = !server.ready;
                let slots = self.slots.get_mut(server.name.as_str()).expect("a known server");
                if server.ready {
                    slots.resume();
                } else {
                    slots.drain();
                }
                self.set_servers();
            }
            Step::CutDomain { cut } => {
                for server in &mut self.servers {
                    server.doubtful = cut && server.domain.as_str() == "kladno";
                }
                self.set_servers();
            }
            Step::Share(share_ppm) => self.router.set_splits(&[VersionSplit {
                service: "dvere".try_into().expect("a name"),
                from: "v1".try_into().expect("a name"),
                to: "v2".try_into().expect("a name"),
                share_ppm,
            }]),
            Step::Wait(micros) => self.now += micros,
        }
    }

    /// Ends all that is under way.
    fn settle(&mut self) {
        while !self.flying.is_empty() {
            self.meet(0, Fate::Answer(200));
        }
        for call in std::mem::take(&mut self.late) {
            self.calls[call].runs += 1;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    #[test]
    fn call_any_order(steps in prop::collection::vec(step(), 1..250)) {
        let mut bench = Bench::new();
        for step in steps {
            bench.step(step);
        }
        bench.settle();
        for (number, call) in bench.calls.iter().enumerate() {
            prop_assert_eq!(call.ends, 1, "call {} ends once: {:?}", number, call);
            prop_assert!(!call.once || call.runs <= 1, "call {} ran twice: {:?}", number, call);
            prop_assert!(!call.not_run || call.runs == 0, "call {} was run: {:?}", number, call);
        }
        prop_assert_eq!(bench.router.in_flight(), 0);
        for slots in bench.slots.values() {
            prop_assert_eq!(slots.load().running, 0);
        }
    }
}
