//! The stages of a move: shares, when the schedule allows them, what evidence they take.

use std::time::Duration;

use cyclamen_declarations::Move;
use cyclamen_types::Wall;

/// One stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rung {
    /// Share of calls to the new version, in parts per million.
    pub share_ppm: u32,
    /// When the schedule allows it, in percent of the time from start to deadline.
    pub entry_percent: u64,
    /// Calls to the new version at this stage before the next one.
    pub calls: u64,
}

/// All calls, in parts per million.
pub const WHOLE_PPM: u32 = 1_000_000;

/// Stages of a move.
const STAGES: usize = 5;

/// The stages in order.
pub const LADDER: [Rung; STAGES] = [
    Rung { share_ppm: 10_000, entry_percent: 0, calls: 8 },
    Rung { share_ppm: 50_000, entry_percent: 8, calls: 16 },
    Rung { share_ppm: 200_000, entry_percent: 20, calls: 40 },
    Rung { share_ppm: 500_000, entry_percent: 35, calls: 100 },
    Rung { share_ppm: WHOLE_PPM, entry_percent: 55, calls: 0 },
];

/// The stages of a move that has so little time that all of it is needed to see faults that show
/// late: the share stays low for most of the time, then all calls follow at once. A fault that
/// shows only then has cost a tenth of the calls at most.
const SHORT_LADDER: [Rung; STAGES] = [
    Rung { share_ppm: 20_000, entry_percent: 0, calls: 4 },
    Rung { share_ppm: 50_000, entry_percent: 8, calls: 12 },
    Rung { share_ppm: 60_000, entry_percent: 20, calls: 30 },
    Rung { share_ppm: 200_000, entry_percent: 74, calls: 30 },
    Rung { share_ppm: WHOLE_PPM, entry_percent: 80, calls: 0 },
];

/// Time from start to deadline below which a move takes the short ladder.
const SHORT_SPAN: Duration = Duration::from_secs(60);

/// The index of the last stage.
pub const LAST_STAGE: u8 = LADDER.len() as u8 - 1;

/// The stage number before which calls are counted while the new version runs alone.
pub const LONE_STRATA_END: u8 = 128;

/// The stage to fall back to while a suspicion is checked.
pub const CHECK_STAGE: u8 = 2;

/// Shortest time at a stage of a move that has time.
pub const SHORTEST_DWELL: Duration = Duration::from_secs(5);

/// Parts of the time of a short move that it stays at a stage at least.
const SHORT_DWELL_PARTS: u32 = 25;

/// Shortest times at a stage for which the new version of a short move takes all calls.
const ALONE_DWELLS: u32 = 2;

/// Time slots between the start and the planned end of the watch.
const SLOTS: u64 = 48;

/// Shortest time slot, in milliseconds.
const SHORTEST_SLOT_MS: u64 = 10_000;

/// Latest time slots that are judged with what other daemons report of them.
const RECENT_SLOTS: u16 = 1;

/// The same of a short move, whose slots are shorter than a report takes.
const SHORT_RECENT_SLOTS: u16 = 4;

/// Shortest time slot of a short move, in milliseconds.
const SHORT_SLOT_MS: u64 = 500;

/// The rung of a stage.
pub fn rung(declared: &Move, stage: u8) -> &'static Rung {
    let ladder = if is_short(declared) { &SHORT_LADDER } else { &LADDER };
    &ladder[usize::from(stage.min(LAST_STAGE))]
}

/// Whether a move has little time.
pub fn is_short(declared: &Move) -> bool {
    span(declared) < SHORT_SPAN
}

/// Shortest time at a stage.
pub fn dwell(declared: &Move) -> Duration {
    if is_short(declared) { span(declared) / SHORT_DWELL_PARTS } else { SHORTEST_DWELL }
}

/// How long the new version has to take all calls before the move is done. The old version's
/// backend servers may stop then, so a fault that shows under load has to have shown.
pub fn alone(declared: &Move) -> Duration {
    if is_short(declared) { dwell(declared) * ALONE_DWELLS } else { Duration::ZERO }
}

/// When the schedule allows a stage.
pub fn entry(declared: &Move, stage: u8) -> Wall {
    let percent = rung(declared, stage).entry_percent;
    declared.start + Duration::from_millis(span(declared).as_millis() as u64 * percent / 100)
}

/// The least time that the stages after `stage` take.
pub fn shortest_rest(declared: &Move, stage: u8) -> Duration {
    dwell(declared) * u32::from(LAST_STAGE.saturating_sub(stage))
}

fn span(declared: &Move) -> Duration {
    declared.deadline.since(declared.start)
}

fn shortest_slot_ms(declared: &Move) -> u64 {
    if is_short(declared) { SHORT_SLOT_MS } else { SHORTEST_SLOT_MS }
}

/// The time slot of a moment: 0 before the start, then slots of equal length, and slots as long
/// as the whole plan after its end.
pub fn slot(declared: &Move, now: Wall) -> u16 {
    if now < declared.start {
        return 0;
    }
    let end = declared.deadline + declared.watch;
    let plan = (end.since(declared.start).as_millis() as u64).max(SHORTEST_SLOT_MS);
    let length = (plan / SLOTS).max(shortest_slot_ms(declared));
    let passed = now.since(declared.start).as_millis() as u64;
    let slot = if passed < plan {
        1 + passed / length
    } else {
        1 + plan / length + (passed - plan) / plan
    };
    u16::try_from(slot).unwrap_or(u16::MAX)
}

/// The first time slot of which other daemons' reports may still be on their way.
pub fn recent_slot(declared: &Move, now: Wall) -> u16 {
    let slots = if is_short(declared) { SHORT_RECENT_SLOTS } else { RECENT_SLOTS };
    slot(declared, now).saturating_sub(slots)
}

/// The share that the announced slots of the new version carry, in parts per million. Without
/// any announced slot of either version nothing is known, and nothing bounded.
pub fn carried_ppm(old_slots: u32, new_slots: u32) -> u32 {
    if old_slots <= new_slots {
        return WHOLE_PPM;
    }
    let share = u64::from(new_slots) * u64::from(WHOLE_PPM) / u64::from(old_slots);
    u32::try_from(share).unwrap_or(WHOLE_PPM)
}
