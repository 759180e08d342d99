//! Orders of operators, verdicts from the log, rollbacks by other daemons, deadlines and capacity.

mod common;

use std::sync::Arc;

use common::{CallNames, at, config, daemon, even_slots, move_name};
use cyclamen_declarations::{ClashRule, OrderAction};
use cyclamen_ledger::{Config, HeldMove, MoveVerdict, VerdictKind};
use cyclamen_moves::{AnnouncedSlotsLookup, MovePhase, Moves, MovesEffect};
use cyclamen_types::{Offset, ServiceName, VersionName, Wall};

/// A daemon that has adopted `config`.
fn adopted(config: &Config) -> Moves {
    let mut moves = daemon(1, 1, at(0));
    moves.apply_config(at(0), config, &mut Vec::new());
    moves
}

/// Runs a daemon with twenty good calls a second, divided between the versions by its split.
fn run(moves: &mut Moves, from: u64, to: u64, slots: AnnouncedSlotsLookup<'_>) {
    let names = CallNames::new("lookup", 1);
    let mut out = Vec::new();
    for second in from..to {
        moves.tick(at(second), slots, &mut out);
        let share = moves.splits()[0].share_ppm;
        for call in 0..20_u64 {
            let new = (call * 50_021 + second * 7_919) % 1_000 * 1_000 < u64::from(share);
            moves.record_call(at(second), &names.sample(new, false), &mut out);
        }
    }
}

fn phase(moves: &Moves) -> MovePhase {
    moves.phase(&move_name()).expect("adopted")
}

fn verdict(kind: VerdictKind) -> MoveVerdict {
    let by = "i5".try_into().expect("a name");
    MoveVerdict { kind, reason: "somebody said so".into(), by, at: Wall(common::START_MS) }
}

/// The configuration with an edited move.
fn edited(edit: impl Fn(&mut HeldMove)) -> Config {
    let mut config = config(None, None);
    for held in config.moves.values_mut() {
        edit(held);
    }
    config
}

#[test]
fn order_pause_and_resume() {
    let mut moves = adopted(&config(None, None));
    run(&mut moves, 0, 150, &even_slots);
    moves.apply_config(at(150), &config(Some(OrderAction::Pause), None), &mut Vec::new());
    run(&mut moves, 150, 152, &even_slots);
    let share = moves.splits()[0].share_ppm;
    assert_eq!(phase(&moves), MovePhase::Paused);
    run(&mut moves, 152, 700, &even_slots);
    assert_eq!(moves.splits()[0].share_ppm, share);
    moves.apply_config(at(700), &config(Some(OrderAction::Resume), None), &mut Vec::new());
    run(&mut moves, 700, 800, &even_slots);
    assert_eq!(phase(&moves), MovePhase::Watched);
    let status = moves.status(&move_name()).expect("adopted");
    assert!(status.late && status.reason.starts_with("late: "), "{status:?}");
}

#[test]
fn order_pause_before_start() {
    let mut moves = adopted(&config(Some(OrderAction::Pause), None));
    run(&mut moves, 0, 100, &even_slots);
    assert_eq!(phase(&moves), MovePhase::Scheduled);
    assert_eq!(moves.splits()[0].share_ppm, 0);
}

#[test]
fn order_hasten() {
    let mut moves = adopted(&config(Some(OrderAction::Hasten), None));
    run(&mut moves, 0, 120, &even_slots);
    assert_eq!(phase(&moves), MovePhase::Watched);
}

#[test]
fn order_take_back() {
    let mut moves = adopted(&config(None, None));
    run(&mut moves, 0, 100, &even_slots);
    let mut out = Vec::new();
    moves.apply_config(at(100), &config(Some(OrderAction::TakeBack), None), &mut out);
    assert!(out.contains(&MovesEffect::SplitsChanged));
    assert_eq!(moves.splits()[0].share_ppm, 0);
    run(&mut moves, 100, 900, &even_slots);
    assert_eq!(phase(&moves), MovePhase::TakenBack);
}

#[test]
fn verdict_done_does_not_undo_rollback() {
    let mut moves = adopted(&config(None, Some(verdict(VerdictKind::TakenBack))));
    moves.apply_config(at(1), &config(None, Some(verdict(VerdictKind::Done))), &mut Vec::new());
    run(&mut moves, 1, 60, &even_slots);
    assert_eq!(phase(&moves), MovePhase::TakenBack);
    assert_eq!(moves.status(&move_name()).expect("adopted").reason.as_ref(), "somebody said so");
}

#[test]
fn verdict_done_at_new_daemon() {
    let mut moves = adopted(&config(None, Some(verdict(VerdictKind::Done))));
    run(&mut moves, 0, 5, &even_slots);
    assert_eq!(moves.splits()[0].share_ppm, 1_000_000);
    assert_eq!(phase(&moves), MovePhase::Watched);
}

/// After the verdict the log takes no order to resume, so the pause must not last beyond it.
#[test]
fn verdict_done_ends_a_pause() {
    let pause = Some(OrderAction::Pause);
    let mut moves = adopted(&config(None, None));
    run(&mut moves, 0, 150, &even_slots);
    moves.apply_config(at(150), &config(pause, None), &mut Vec::new());
    run(&mut moves, 150, 160, &even_slots);
    assert_eq!(phase(&moves), MovePhase::Paused);
    let done = config(pause, Some(verdict(VerdictKind::Done)));
    moves.apply_config(at(160), &done, &mut Vec::new());
    assert_eq!(phase(&moves), MovePhase::Watched);
    assert_eq!(moves.splits()[0].share_ppm, 1_000_000);
    run(&mut moves, 160, 899, &even_slots);
    assert_eq!(phase(&moves), MovePhase::Watched);
    run(&mut moves, 899, 910, &even_slots);
    assert_eq!(phase(&moves), MovePhase::Done);
}

/// After a check, the new version lacks slots for a while, so that the move is not watched at once.
#[test]
fn verdict_done_outranks_a_pause_after_a_check() {
    let names = CallNames::new("lookup", 1);
    let few_new = |_: &ServiceName, version: &VersionName| match version.as_str() {
        "v2" => 10,
        _ => 30,
    };
    let mut moves = adopted(&config(None, None));
    run(&mut moves, 0, 150, &even_slots);
    let done = config(Some(OrderAction::Pause), Some(verdict(VerdictKind::Done)));
    moves.apply_config(at(150), &done, &mut Vec::new());
    run(&mut moves, 150, 200, &even_slots);
    let mut second = 200;
    while phase(&moves) == MovePhase::Watched && second < 400 {
        moves.record_call(at(second), &names.sample(true, true), &mut Vec::new());
        run(&mut moves, second, second + 1, &even_slots);
        second += 1;
    }
    assert_eq!(phase(&moves), MovePhase::Checking, "at second {second}");
    while phase(&moves) == MovePhase::Checking && second < 800 {
        run(&mut moves, second, second + 1, &few_new);
        second += 1;
    }
    run(&mut moves, second, second + 5, &few_new);
    assert_eq!(phase(&moves), MovePhase::Moving, "at second {second}");
    run(&mut moves, second + 5, second + 10, &even_slots);
    assert_eq!(phase(&moves), MovePhase::Watched, "at second {second}");
}

#[test]
fn verdict_taken_back_after_done() {
    let mut moves = adopted(&config(None, None));
    run(&mut moves, 0, 1_000, &even_slots);
    assert_eq!(phase(&moves), MovePhase::Done);
    let with_rollback = config(None, Some(verdict(VerdictKind::TakenBack)));
    moves.apply_config(at(1_000), &with_rollback, &mut Vec::new());
    assert_eq!(phase(&moves), MovePhase::TakenBack);
}

#[test]
fn republished_move_starts_again() {
    let mut moves = adopted(&config(Some(OrderAction::TakeBack), None));
    assert_eq!(phase(&moves), MovePhase::TakenBack);
    let republished = edited(|held| held.held.offset.0 += 1);
    moves.apply_config(at(10), &republished, &mut Vec::new());
    run(&mut moves, 10, 60, &even_slots);
    assert_eq!(phase(&moves), MovePhase::Moving);
}

#[test]
fn rollback_before_declaration() {
    let mut deciding = adopted(&config(None, None));
    run(&mut deciding, 0, 60, &even_slots);
    let names = CallNames::new("lookup", 1);
    let mut out = Vec::new();
    for _ in 0..5 {
        deciding.record_call(at(60), &names.sample(true, true), &mut out);
    }
    assert_eq!(phase(&deciding), MovePhase::TakenBack);
    let mut new_daemon = daemon(2, 1, at(0));
    for effect in &out {
        if let MovesEffect::BroadcastRollback(bytes) = effect {
            new_daemon.merge_payload(at(61), bytes, &mut Vec::new());
        }
    }
    new_daemon.apply_config(at(62), &config(None, None), &mut Vec::new());
    assert_eq!(phase(&new_daemon), MovePhase::TakenBack);
}

#[test]
fn rollback_rebroadcast_to_unaware_reporter() {
    let mut aware = adopted(&config(Some(OrderAction::TakeBack), None));
    let mut unaware = daemon(2, 2, at(0));
    unaware.apply_config(at(0), &config(None, None), &mut Vec::new());
    let names = CallNames::new("lookup", 1);
    let mut reported = Vec::new();
    unaware.tick(at(0), &even_slots, &mut reported);
    unaware.record_call(at(1), &names.sample(true, false), &mut reported);
    unaware.tick(at(2), &even_slots, &mut reported);
    let mut rebroadcasts = Vec::new();
    for effect in reported {
        if let MovesEffect::SendEvidence(bytes) = effect {
            aware.merge_payload(at(3), &bytes, &mut rebroadcasts);
        }
    }
    let rebroadcast = rebroadcasts.into_iter().find_map(|effect| match effect {
        MovesEffect::BroadcastRollback(bytes) => Some(bytes),
        _ => None,
    });
    let rebroadcast: Arc<[u8]> = rebroadcast.expect("a rebroadcast rollback");
    unaware.merge_payload(at(4), &rebroadcast, &mut Vec::new());
    assert_eq!(phase(&unaware), MovePhase::TakenBack);
}

#[test]
fn late_without_calls() {
    let mut moves = adopted(&config(None, None));
    let mut out = Vec::new();
    for second in 0..700 {
        moves.tick(at(second), &even_slots, &mut out);
    }
    let status = moves.status(&move_name()).expect("adopted");
    assert_eq!(status.share_ppm, 10_000);
    assert!(status.late);
    insta::assert_snapshot!(status.reason);
}

#[test]
fn not_late_if_deadline_overrides_evidence() {
    let mut moves = adopted(&edited(|held| {
        Arc::make_mut(&mut held.held.body).clash = ClashRule::Deadline;
    }));
    let mut out = Vec::new();
    for second in 0..600 {
        moves.tick(at(second), &even_slots, &mut out);
    }
    assert_eq!(phase(&moves), MovePhase::Watched);
    assert!(!moves.status(&move_name()).expect("adopted").late);
}

#[test]
fn capacity_bounds_share() {
    let few =
        |_: &ServiceName, version: &VersionName| if version.as_str() == "v2" { 10 } else { 40 };
    let mut moves = adopted(&config(None, None));
    run(&mut moves, 0, 590, &few);
    assert_eq!(moves.splits()[0].share_ppm, 250_000);
    assert_eq!(phase(&moves), MovePhase::Moving);
    insta::assert_snapshot!(moves.status(&move_name()).expect("adopted").reason);
}

/// The configuration with the publication of the move read again at another offset.
fn read_again(earlier_offsets: &[Offset]) -> Config {
    edited(|held| {
        held.earlier_offsets = earlier_offsets.to_vec();
        held.held.offset = Offset(900);
    })
}

#[test]
fn publication_at_another_offset_keeps_its_rollback() {
    let mut moves = adopted(&config(Some(OrderAction::TakeBack), None));
    assert_eq!(phase(&moves), MovePhase::TakenBack);
    let mut out = Vec::new();
    moves.apply_config(at(5), &read_again(&[Offset(7)]), &mut out);
    assert_eq!(phase(&moves), MovePhase::TakenBack);
    // The verdict is appended for the offset that the publication has now.
    moves.tick(at(700), &even_slots, &mut out);
    let appended = out.iter().find_map(|effect| match effect {
        MovesEffect::AppendVerdict(id, verdict) => Some((id.declared, verdict.kind)),
        _ => None,
    });
    assert_eq!(appended, Some((Offset(900), VerdictKind::TakenBack)));
}

#[test]
fn publication_anew_starts_afresh() {
    let mut moves = adopted(&config(Some(OrderAction::TakeBack), None));
    moves.apply_config(at(5), &read_again(&[]), &mut Vec::new());
    assert_ne!(phase(&moves), MovePhase::TakenBack);
}
