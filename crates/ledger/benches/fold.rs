//! Costs of the fold at 90 services, 180 versions and 300 routes, with 2,048 changes behind it.
#![allow(missing_docs, reason = "the macros of criterion write functions without")]

use std::fmt::Write;
use std::sync::Arc;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use cyclamen_declarations::parse_change;
use cyclamen_ledger::{Ledger, LogRecord, OUTCOMES_KEPT, verify};
use cyclamen_types::{ConfigVersion, Offset, Wall};

const SERVICES: usize = 90;
const ROUTES: usize = 300;
const PART_BYTES: usize = 64 * 1024;

fn mesh_yaml() -> String {
    let mut yaml = String::from("declarations:\n");
    for s in 0..SERVICES {
        let _ = writeln!(yaml, "- {{name: s{s}, service: {{version: v1, labels: {{tier: a}}}}}}");
        let _ = writeln!(yaml, "- {{name: s{s}/v1, version: {{}}}}");
        let _ = writeln!(yaml, "- {{name: s{s}/v2, version: {{}}}}");
    }
    for r in 0..ROUTES {
        let s = r % SERVICES;
        let _ = writeln!(
            yaml,
            "- {{name: r{r}, route: {{proxies: 'region in (north,south)', service: s{s}, \
             match: {{hosts: [s{s}.mesh.example], path_prefix: /r{r}}}, timeout: 800ms}}}}"
        );
    }
    yaml
}

fn route_payload(id: usize) -> String {
    let s = id % SERVICES;
    format!(
        "{{\"format\":1,\"kind\":\"change\",\"id\":\"c{id}\",\"team\":\"t\",\"declarations\":[\
         {{\"name\":\"r{s}\",\"route\":{{\"service\":\"s{s}\",\"timeout\":\"{}ms\"}}}}]}}",
        100 + id % 900
    )
}

fn fold(ledger: &mut Ledger, payload: String) {
    let offset = Offset(ledger.version().0);
    ledger.fold(&LogRecord { offset, payload: payload.into() });
}

/// A ledger that holds the mesh, after one change.
fn fresh_mesh() -> Ledger {
    let id = "mesh".parse().expect("an id");
    let team = "t".parse().expect("a team");
    let change = parse_change(&mesh_yaml(), id, team, Wall(0)).expect("a change");
    let mut ledger = Ledger::default();
    fold(&mut ledger, Ledger::change_payload(&change));
    ledger
}

/// A ledger that remembers as many changes as it ever does.
fn mesh() -> Ledger {
    let mut ledger = fresh_mesh();
    for i in 0..OUTCOMES_KEPT {
        fold(&mut ledger, route_payload(i));
    }
    assert_eq!(ledger.counters().accepted, 1 + OUTCOMES_KEPT as u64);
    ledger
}

fn bench(c: &mut Criterion) {
    let ledger = mesh();
    let text = ledger.snapshot();
    let parts = ledger.snapshot_payloads(PART_BYTES);
    println!("snapshot after one change: {} bytes", fresh_mesh().snapshot().len());
    println!("snapshot: {} bytes in {} parts", text.len(), parts.len());
    println!("record of an edited route: {} bytes", route_payload(1).len());

    let mut folding = ledger.clone();
    let mut id = 1_000_000;
    c.bench_function("fold_change", |b| {
        b.iter(|| {
            id += 1;
            fold(&mut folding, route_payload(id));
        });
    });
    c.bench_function("fold_change_config_shared", |b| {
        b.iter(|| {
            id += 1;
            let _shared = Arc::clone(folding.config());
            fold(&mut folding, route_payload(id));
        });
    });
    c.bench_function("fold_unknown", |b| {
        b.iter(|| fold(&mut folding, "{\"format\":1,\"kind\":\"later\"}".into()));
    });
    let id = "mesh-2".parse().expect("an id");
    let team = "t".parse().expect("a team");
    let change = parse_change(&mesh_yaml(), id, team, Wall(0)).expect("a change");
    c.bench_function("verify_570_declarations", |b| b.iter(|| verify(&change, ledger.config())));
    c.bench_function("hash", |b| b.iter(|| ledger.hash()));
    c.bench_function("snapshot", |b| b.iter(|| ledger.snapshot()));
    c.bench_function("install_snapshot", |b| {
        b.iter_batched_ref(
            Ledger::default,
            |fresh| assert!(fresh.install_snapshot(&text)),
            BatchSize::SmallInput,
        );
    });
    c.bench_function("records_from", |b| {
        let from = ConfigVersion(ledger.version().0 - 10);
        b.iter(|| ledger.records_from(from, PART_BYTES));
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
