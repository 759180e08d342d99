//! Merging payloads of other daemons. The decision must not depend on their order or repetition,
//! the payloads of a restarted daemon must still cause a rollback, and every payload must fit a
//! datagram.

mod common;

use std::sync::Arc;

use common::{CallNames, at, config, daemon, even_slots, move_name};
use cyclamen_moves::{MovePhase, MoveStatus, Moves, MovesEffect};
use proptest::prelude::*;

/// Time between two calls of a reporter, in milliseconds.
const STEP_MS: u64 = 250;

/// Largest payload that fits a datagram together with its headers, in bytes.
const MAX_DATAGRAM_PAYLOAD_BYTES: usize = 1_050;

/// A call: route, backend server, whether to the new version, whether failed.
type DrawnCall = (u8, u8, bool, bool);

fn drawn_calls() -> impl Strategy<Value = Vec<DrawnCall>> {
    let rate = prop_oneof![Just(0.0), Just(0.02), Just(0.5)];
    rate.prop_flat_map(|rate| {
        let call = (0..3_u8, 1..3_u8, any::<bool>(), prop::bool::weighted(rate));
        let drawn_call =
            call.prop_map(|(route, server, new, failed)| (route, server, new, new && failed));
        prop::collection::vec(drawn_call, 1..120)
    })
}

/// The evidence payloads of a reporter that recorded these calls.
fn payloads(index: u64, calls: &[DrawnCall]) -> Vec<Arc<[u8]>> {
    let mut moves = daemon(index, 1, at(0));
    let mut out = Vec::new();
    moves.apply_config(at(0), &config(None, None), &mut out);
    moves.tick(at(0), &even_slots, &mut out);
    for (serial, (route, server, new, failed)) in calls.iter().enumerate() {
        let now = at(1 + serial as u64 * STEP_MS / 1_000);
        let names = CallNames::new(&format!("route-{route}"), u64::from(*server));
        moves.record_call(now, &names.sample(*new, *failed), &mut out);
        moves.tick(now, &even_slots, &mut out);
    }
    moves.tick(at(200), &even_slots, &mut out);
    let mut payloads = Vec::new();
    for effect in out {
        if let MovesEffect::SendEvidence(bytes) = effect {
            payloads.push(bytes);
        }
    }
    payloads
}

/// The status of the move at a daemon without calls of its own that merges these payloads.
fn decide(payloads: &[Arc<[u8]>]) -> MoveStatus {
    let mut moves = daemon(9, 1, at(0));
    let mut out = Vec::new();
    moves.apply_config(at(0), &config(None, None), &mut out);
    for bytes in payloads {
        moves.merge_payload(at(200), bytes, &mut out);
    }
    moves.tick(at(200), &even_slots, &mut out);
    for second in 201..240 {
        moves.tick(at(second), &even_slots, &mut out);
    }
    moves.status(&move_name()).expect("adopted")
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn merge_in_any_order(
        reporters in prop::collection::vec(drawn_calls(), 1..4),
        seed in any::<u64>(),
    ) {
        let mut all = Vec::new();
        for (index, calls) in reporters.iter().enumerate() {
            all.extend(payloads(index as u64, calls));
        }
        let in_order = decide(&all);
        let mut shuffled = all.clone();
        shuffled.extend(all.iter().step_by(2).cloned());
        let length = shuffled.len();
        for place in 0..length {
            let other = (seed.wrapping_mul(place as u64 + 1) >> 7) as usize % length;
            shuffled.swap(place, other);
        }
        prop_assert_eq!(in_order, decide(&shuffled));
    }

    #[test]
    fn merge_reversed_and_repeated(calls in drawn_calls()) {
        let all = payloads(1, &calls);
        let mut doubled = all.clone();
        doubled.reverse();
        doubled.extend(all.iter().cloned());
        prop_assert_eq!(decide(&all), decide(&doubled));
    }

    #[test]
    fn merge_ignores_malformed_payload(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut moves = daemon(1, 1, at(0));
        let mut out = Vec::new();
        moves.apply_config(at(0), &config(None, None), &mut out);
        moves.merge_payload(at(1), &bytes, &mut out);
        prop_assert_eq!(moves.phase(&move_name()), Some(MovePhase::Scheduled));
    }
}

#[test]
fn payload_fits_datagram() {
    let mut moves = daemon(1, 1, at(0));
    let mut out = Vec::new();
    moves.apply_config(at(0), &config(None, None), &mut out);
    moves.tick(at(0), &even_slots, &mut out);
    for call in 0..3_000_u64 {
        let names = CallNames::new(&format!("route-{}", call % 90), call % 6);
        moves.record_call(at(1), &names.sample(true, false), &mut out);
    }
    moves.tick(at(2), &even_slots, &mut out);
    let mut sizes = Vec::new();
    for effect in &out {
        if let MovesEffect::SendEvidence(bytes) = effect {
            sizes.push(bytes.len());
        }
    }
    assert!(sizes.len() > 1, "{sizes:?}");
    assert!(sizes.iter().all(|size| *size <= MAX_DATAGRAM_PAYLOAD_BYTES), "{sizes:?}");
}

#[test]
fn restarted_daemon_causes_rollback() {
    let calls = vec![(0, 1, true, true); 2];
    let first = payloads(1, &calls);
    let mut moves = daemon(9, 1, at(0));
    let mut out = Vec::new();
    moves.apply_config(at(0), &config(None, None), &mut out);
    for bytes in &first {
        moves.merge_payload(at(200), bytes, &mut out);
    }
    let mut restarted = daemon(1, 2, at(0));
    restarted.apply_config(at(0), &config(None, None), &mut out);
    out.clear();
    restarted.tick(at(0), &even_slots, &mut out);
    let names = CallNames::new("route-0", 1);
    for _ in 0..100 {
        restarted.record_call(at(1), &names.sample(false, false), &mut out);
    }
    for _ in 0..3 {
        restarted.record_call(at(1), &names.sample(true, true), &mut out);
    }
    let stage_before = moves.phase(&move_name());
    assert_ne!(stage_before, Some(MovePhase::TakenBack));
    assert_eq!(restarted.phase(&move_name()), Some(MovePhase::TakenBack));
    assert_payloads_roll_back(&mut moves, &out);
}

fn assert_payloads_roll_back(moves: &mut Moves, effects: &[MovesEffect]) {
    let mut out = Vec::new();
    for effect in effects {
        if let MovesEffect::BroadcastRollback(bytes) | MovesEffect::SendEvidence(bytes) = effect {
            moves.merge_payload(at(201), bytes, &mut out);
        }
    }
    assert_eq!(moves.phase(&move_name()), Some(MovePhase::TakenBack));
}
