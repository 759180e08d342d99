//! Backoff of appends while the log does not answer.

use std::time::Duration;

use cyclamen_ledger::{MoveId, MoveVerdict, VerdictKind};
use cyclamen_types::{Now, Offset, Wall};

use super::{AppendGoal, Appends};
use crate::event::{AppendError, Effect, Effects};

const OUTAGE: Duration = Duration::from_secs(600);

fn append_verdict(appends: &mut Appends, out: &mut Effects) {
    let id = MoveId { name: "dvere-v2".parse().expect("a name"), declared: Offset(1) };
    let by = "praha-a-1".parse().expect("a name");
    let reason = "it failed".into();
    appends.append_verdict(
        id,
        MoveVerdict { kind: VerdictKind::TakenBack, reason, by, at: Wall(0) },
        out,
    );
}

fn append_change(appends: &mut Appends, out: &mut Effects) {
    appends.append("change".into(), AppendGoal::Change("one".parse().expect("a name")), out);
}

/// Times of all append attempts during an outage of the log.
fn attempt_times(seed: u64, start: fn(&mut Appends, &mut Effects)) -> Vec<Duration> {
    let mut appends = Appends::new(seed);
    let mut out = Effects::new();
    start(&mut appends, &mut out);
    let mut now = Now::default();
    let mut times = Vec::new();
    while now.mono.since(Now::default().mono) < OUTAGE {
        for effect in std::mem::take(&mut out) {
            let Effect::Append { ticket, .. } = effect else {
                continue;
            };
            times.push(now.mono.since(Now::default().mono));
            appends.on_result(now, ticket, &Err(AppendError::Unanswered));
        }
        now = now + appends.next_retry().since(now.mono);
        appends.retry(now, &mut out);
    }
    times
}

fn longest_pause(times: &[Duration]) -> Duration {
    times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
}

#[test]
fn verdict_retries_back_off_to_30_seconds() {
    let times = attempt_times(7, append_verdict);
    assert!(times.len() < 60, "{} attempts in 10 minutes", times.len());
    assert!(longest_pause(&times) <= Duration::from_secs(30));
    assert!(times[1] <= Duration::from_millis(500), "the first retry is quick");
}

#[test]
fn change_retries_at_least_every_2_seconds() {
    let times = attempt_times(7, append_change);
    assert!(longest_pause(&times) <= Duration::from_secs(2));
}

/// If every daemon of a fleet has a verdict to append during an outage, random backoff must spread
/// their attempts over time instead of sending them all at once.
#[test]
fn verdict_retries_of_a_fleet_spread_over_time() {
    let mut per_second = vec![0; OUTAGE.as_secs() as usize + 60];
    for seed in 0..910 {
        for time in attempt_times(seed, append_verdict) {
            per_second[time.as_secs() as usize] += 1;
        }
    }
    let late = &per_second[300..OUTAGE.as_secs() as usize];
    let most = late.iter().max().copied().unwrap_or_default();
    assert!(most <= 120, "{most} appends in one second");
}
