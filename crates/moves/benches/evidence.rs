//! Merge of evidence, its evaluation, and a tick, with ten moves and 90 routes.

#![allow(missing_docs)]

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use cyclamen_declarations::{ClashRule, Move};
use cyclamen_ledger::{Config, Held, HeldMove};
use cyclamen_moves::{CallSample, Moves, MovesEffect, MovesSettings};
use cyclamen_types::{
    ConfigVersion, Incarnation, Mono, MoveName, Now, Offset, RouteName, ServerName, ServiceName,
    VersionName, Wall,
};

const MOVES: usize = 10;
const ROUTES: usize = 90;
const REPORTERS: u64 = 10;
const SECONDS: u64 = 60;

fn at(seconds: u64) -> Now {
    Now { mono: Mono(seconds * 1_000_000), wall: Wall(1_000_000 + seconds * 1_000) }
}

fn service(index: usize) -> ServiceName {
    format!("service-{index}").try_into().expect("a name")
}

fn config() -> Config {
    let mut moves = BTreeMap::new();
    for index in 0..MOVES {
        let name: MoveName = format!("move-{index}").try_into().expect("a name");
        let declared = Move {
            name: name.clone(),
            service: service(index),
            from: "v1".try_into().expect("a name"),
            to: "v2".try_into().expect("a name"),
            start: Wall(1_000_000),
            deadline: Wall(1_000_000) + Duration::from_secs(600),
            watch: Duration::from_secs(600),
            tolerance_ppm: 1_000,
            clash: ClashRule::Evidence,
        };
        let team = "operators".try_into().expect("a name");
        let held = Held { offset: Offset(index as u64), team, body: Arc::new(declared) };
        moves.insert(
            name,
            HeldMove { held, order: None, verdict: None, earlier_offsets: Vec::new() },
        );
    }
    Config { version: ConfigVersion(1), moves, ..Config::default() }
}

fn daemon(index: u64) -> Moves {
    let settings = MovesSettings {
        instance: format!("i{index}").try_into().expect("a name"),
        incarnation: Incarnation(1),
        failure_domain: format!("domain-{}", index % 3).try_into().expect("a name"),
        evidence_period: Duration::from_secs(1),
    };
    let mut moves = Moves::new(settings, at(0));
    moves.apply_config(at(0), &config(), &mut Vec::new());
    moves
}

fn slots(_: &ServiceName, _: &VersionName) -> u32 {
    60
}

struct Names {
    routes: Vec<RouteName>,
    services: Vec<ServiceName>,
    versions: [VersionName; 2],
    server: ServerName,
}

impl Names {
    fn new() -> Self {
        let route = |index| format!("route-{index}").try_into().expect("a name");
        Self {
            routes: (0..ROUTES).map(route).collect(),
            services: (0..MOVES).map(service).collect(),
            versions: ["v1".try_into().expect("a name"), "v2".try_into().expect("a name")],
            server: "s1".try_into().expect("a name"),
        }
    }

    fn sample(&self, serial: usize) -> CallSample<'_> {
        CallSample {
            route: &self.routes[serial % ROUTES],
            service: &self.services[serial / ROUTES % MOVES],
            version: &self.versions[usize::from(serial.is_multiple_of(7))],
            server: &self.server,
            failed: serial.is_multiple_of(997),
            latency: Duration::from_millis(4),
            new_connection: false,
            warm: None,
        }
    }
}

/// The evidence payloads of one reporter over [`SECONDS`].
fn payloads(index: u64, names: &Names) -> Vec<Arc<[u8]>> {
    let mut moves = daemon(index);
    let mut out = Vec::new();
    let mut serial = index as usize * 31;
    for second in 0..SECONDS {
        moves.tick(at(second), &slots, &mut out);
        for _ in 0..2 * ROUTES * MOVES {
            serial += 1;
            moves.record_call(at(second), &names.sample(serial), &mut out);
        }
    }
    let mut payloads = Vec::new();
    for effect in out {
        if let MovesEffect::SendEvidence(bytes) = effect {
            payloads.push(bytes);
        }
    }
    payloads
}

fn evidence(criterion: &mut Criterion) {
    let names = Names::new();
    let mut all = Vec::new();
    for index in 0..REPORTERS {
        all.extend(payloads(index, &names));
    }
    let last = Arc::clone(all.last().expect("evidence was sent"));
    let mut merged = daemon(99);
    let mut out = Vec::new();
    merged.tick(at(SECONDS), &slots, &mut out);
    for bytes in &all {
        merged.merge_payload(at(SECONDS), bytes, &mut out);
    }
    criterion.bench_function("merge_payload", |bench| {
        bench.iter(|| merged.merge_payload(at(SECONDS), black_box(&last), &mut out));
    });
    let mut now = SECONDS;
    criterion.bench_function("tick", |bench| {
        bench.iter(|| {
            now += 1;
            out.clear();
            merged.tick(at(now), &slots, &mut out);
        });
    });
    let mut serial = 0;
    criterion.bench_function("record_call", |bench| {
        bench.iter(|| {
            serial += 1;
            out.clear();
            merged.record_call(at(SECONDS), &names.sample(serial), &mut out);
        });
    });
    criterion.bench_function("merge_minute_and_judge", |bench| {
        bench.iter_batched_ref(
            || daemon(98),
            |fresh| {
                for bytes in &all {
                    fresh.merge_payload(at(SECONDS), bytes, &mut out);
                }
                fresh.tick(at(SECONDS), &slots, &mut out);
                out.clear();
            },
            BatchSize::LargeInput,
        );
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .measurement_time(Duration::from_secs(2))
        .warm_up_time(Duration::from_millis(300));
    targets = evidence
}
criterion_main!(benches);
