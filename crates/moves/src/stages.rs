//! The stages of a move: traffic shares, scheduled entry times, calls required per stage, and the
//! division of a move into time slots.

use std::time::Duration;

use cyclamen_declarations::Move;
use cyclamen_types::Wall;

/// The parameters of one stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageSpec {
    /// Share of calls to the new version, in parts per million.
    pub share_ppm: u32,
    /// Earliest entry, in percent of the time from start to deadline.
    pub entry_percent: u64,
    /// Calls to the new version at this stage that are required before the next stage.
    pub calls: u64,
}

/// The share that stands for all calls, in parts per million.
pub const FULL_SHARE_PPM: u32 = 1_000_000;

const STAGE_COUNT: usize = 5;

/// Stages of a move that is not short.
pub const STAGES: [StageSpec; STAGE_COUNT] = [
    StageSpec { share_ppm: 10_000, entry_percent: 0, calls: 8 },
    StageSpec { share_ppm: 50_000, entry_percent: 8, calls: 16 },
    StageSpec { share_ppm: 200_000, entry_percent: 20, calls: 40 },
    StageSpec { share_ppm: 500_000, entry_percent: 35, calls: 100 },
    StageSpec { share_ppm: FULL_SHARE_PPM, entry_percent: 55, calls: 0 },
];

/// Stages of a short move. The share stays low for most of the time and then rises to all calls at
/// once, because a short move needs all its time to detect faults that appear late. If the stages
/// are entered on schedule, a fault that appears only just before the last stage has by then
/// affected at most a tenth of the calls.
const SHORT_MOVE_STAGES: [StageSpec; STAGE_COUNT] = [
    StageSpec { share_ppm: 20_000, entry_percent: 0, calls: 4 },
    StageSpec { share_ppm: 50_000, entry_percent: 8, calls: 12 },
    StageSpec { share_ppm: 60_000, entry_percent: 20, calls: 30 },
    StageSpec { share_ppm: 200_000, entry_percent: 74, calls: 30 },
    StageSpec { share_ppm: FULL_SHARE_PPM, entry_percent: 80, calls: 0 },
];

/// Time from start to deadline below which a move is short.
const SHORT_MOVE_LIMIT: Duration = Duration::from_secs(60);

/// The index of the last stage.
pub const LAST_STAGE: u8 = STAGES.len() as u8 - 1;

/// The first stage number that denotes a check, a period in which a suspect new version gives back
/// part of its calls to the old one.
///
/// A stage number is the number under which calls are counted. Below [`LAST_STAGE`] it is the index
/// of the stage. From [`LAST_STAGE`] to the number before this one, it denotes a period in which
/// all calls go to the new version; such a period after a check has a number of its own.
pub const FIRST_CHECK_STAGE_NUMBER: u8 = 128;

/// The stage whose share applies during a check.
pub const CHECK_FALLBACK_STAGE: u8 = 2;

/// Minimum time at a stage of a move that is not short.
pub const MIN_DWELL: Duration = Duration::from_secs(5);

/// The minimum time at a stage of a short move is its time from start to deadline divided by this.
const SHORT_MOVE_DWELL_DIVISOR: u32 = 25;

/// Minimum time for which the new version of a short move takes all calls before the move is done,
/// in multiples of the minimum time at a stage.
const SHORT_MOVE_FULL_SHARE_DWELLS: u32 = 2;

/// Number of time slots between the start of the move and the planned end of the watch, unless the
/// minimum length of a time slot makes them fewer. The watch begins at the last stage, once the new
/// version takes all calls, and the new version is still evaluated until it ends. Its planned end
/// is the deadline plus [`Move::watch`]; a check or a late last stage puts off the actual end.
const PLANNED_TIME_SLOTS: u64 = 48;

/// Minimum length of a time slot, in milliseconds.
const MIN_TIME_SLOT_MS: u64 = 10_000;

/// Number of past time slots for which reports of calls may still arrive. A reporter is recent if
/// its latest known calls finished in one of these slots or the present one. A daemon schedules the
/// append of the verdict "done" only when the latest known calls of every recent reporter were made
/// at the last stage and not in a check.
const RECENT_TIME_SLOTS: u16 = 1;

/// [`RECENT_TIME_SLOTS`] of a short move, whose time slots are shorter than the time a report
/// takes.
const SHORT_MOVE_RECENT_TIME_SLOTS: u16 = 4;

/// Minimum length of a time slot of a short move, in milliseconds.
const SHORT_MOVE_MIN_TIME_SLOT_MS: u64 = 500;

/// The parameters of a stage. An index above [`LAST_STAGE`] is taken as the last stage.
pub fn stage_spec(declared: &Move, stage: u8) -> &'static StageSpec {
    let stages = if is_short(declared) { &SHORT_MOVE_STAGES } else { &STAGES };
    &stages[usize::from(stage.min(LAST_STAGE))]
}

/// Whether a move is short and takes the stages of short moves.
pub fn is_short(declared: &Move) -> bool {
    span(declared) < SHORT_MOVE_LIMIT
}

/// Minimum time at a stage.
pub fn min_dwell(declared: &Move) -> Duration {
    if is_short(declared) { span(declared) / SHORT_MOVE_DWELL_DIVISOR } else { MIN_DWELL }
}

/// Minimum time for which the new version takes all calls before the move is done. Backend servers
/// of the old version may be stopped after that, so faults under full load have to appear before.
/// It is zero for a move that is not short: the verdict "done" then only requires that the move is
/// in the watch and its recent reporters are at the last stage.
pub fn min_full_share_time(declared: &Move) -> Duration {
    if is_short(declared) {
        min_dwell(declared) * SHORT_MOVE_FULL_SHARE_DWELLS
    } else {
        Duration::ZERO
    }
}

/// The time from which the schedule allows a stage.
pub fn entry_time(declared: &Move, stage: u8) -> Wall {
    let percent = stage_spec(declared, stage).entry_percent;
    declared.start + Duration::from_millis(span(declared).as_millis() as u64 * percent / 100)
}

/// Minimum time from the entry of `stage` to the entry of the last stage.
pub fn min_remaining_time(declared: &Move, stage: u8) -> Duration {
    min_dwell(declared) * u32::from(LAST_STAGE.saturating_sub(stage))
}

/// Time from start to deadline.
fn span(declared: &Move) -> Duration {
    declared.deadline.since(declared.start)
}

fn min_time_slot_ms(declared: &Move) -> u64 {
    if is_short(declared) { SHORT_MOVE_MIN_TIME_SLOT_MS } else { MIN_TIME_SLOT_MS }
}

/// The number of the time slot that contains `now`. Time slot 0 is before the start. Time slots of
/// equal length cover the time to the planned end of the watch; after that, each time slot is as
/// long as that whole time.
pub fn time_slot(declared: &Move, now: Wall) -> u16 {
    if now < declared.start {
        return 0;
    }
    let end = declared.deadline + declared.watch;
    // Not zero, because it divides the time after the planned end. The lower bound is the same for
    // short moves.
    let plan = (end.since(declared.start).as_millis() as u64).max(MIN_TIME_SLOT_MS);
    let length = (plan / PLANNED_TIME_SLOTS).max(min_time_slot_ms(declared));
    let passed = now.since(declared.start).as_millis() as u64;
    let slot = if passed < plan {
        1 + passed / length
    } else {
        // If `length` does not divide `plan`, the time slot at the planned end is already under way
        // and continues for another `plan`; otherwise a new one begins there.
        1 + plan / length + (passed - plan) / plan
    };
    u16::try_from(slot).unwrap_or(u16::MAX)
}

/// The earliest time slot whose reporters count as recent.
pub fn first_recent_time_slot(declared: &Move, now: Wall) -> u16 {
    let slots = if is_short(declared) { SHORT_MOVE_RECENT_TIME_SLOTS } else { RECENT_TIME_SLOTS };
    time_slot(declared, now).saturating_sub(slots)
}

/// The share that the announced call slots of the new version can serve, in parts per million: its
/// call slots relative to those of the old version. If neither version announced any, the capacity
/// is unknown and the share is not limited.
pub fn capacity_share_ppm(old_slots: u32, new_slots: u32) -> u32 {
    if old_slots <= new_slots {
        return FULL_SHARE_PPM;
    }
    let share = u64::from(new_slots) * u64::from(FULL_SHARE_PPM) / u64::from(old_slots);
    u32::try_from(share).unwrap_or(FULL_SHARE_PPM)
}
