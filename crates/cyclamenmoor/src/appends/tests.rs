//! How often appends are tried while the log is down.

use std::time::Duration;

use cyclamen_ledger::{MoveId, MoveVerdict, VerdictKind};
use cyclamen_types::{Now, Offset, Wall};

use super::{Appends, Settles};
use crate::event::{AppendError, Effect, Effects};

const OUTAGE: Duration = Duration::from_secs(600);

fn verdict(appends: &mut Appends, out: &mut Effects) {
    let id = MoveId { name: "dvere-v2".parse().expect("a name"), declared: Offset(1) };
    let by = "praha-a-1".parse().expect("a name");
    let reason = "it failed".into();
    appends.verdict(id, MoveVerdict { kind: VerdictKind::TakenBack, reason, by, at: Wall(0) }, out);
}

fn change(appends: &mut Appends, out: &mut Effects) {
    appends.push("change".into(), Settles::Change("one".parse().expect("a name")), out);
}

/// The times of all tries during an outage of the log.
fn tries(seed: u64, push: fn(&mut Appends, &mut Effects)) -> Vec<Duration> {
    let mut appends = Appends::new(seed);
    let mut out = Effects::new();
    push(&mut appends, &mut out);
    let mut now = Now::default();
    let mut times = Vec::new();
    while now.mono.since(Now::default().mono) < OUTAGE {
        for effect in std::mem::take(&mut out) {
            let Effect::Append { ticket, .. } = effect else {
                continue;
            };
            times.push(now.mono.since(Now::default().mono));
            appends.answered(now, ticket, &Err(AppendError::Unanswered));
        }
        now = now + appends.next_retry().since(now.mono);
        appends.retry(now, &mut out);
    }
    times
}

fn longest_gap(times: &[Duration]) -> Duration {
    times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
}

#[test]
fn retry_verdict_backs_off() {
    let times = tries(7, verdict);
    assert!(times.len() < 60, "{} tries in 10 minutes", times.len());
    assert!(longest_gap(&times) <= Duration::from_secs(30));
    assert!(times[1] <= Duration::from_millis(500), "the first retry is quick");
}

#[test]
fn retry_change_stays_quick() {
    let times = tries(7, change);
    assert!(longest_gap(&times) <= Duration::from_secs(2));
}

/// A fleet whose verdicts all wait comes back spread over time, not at once.
#[test]
fn retry_fleet_spreads() {
    let mut per_second = vec![0; OUTAGE.as_secs() as usize + 60];
    for seed in 0..910 {
        for time in tries(seed, verdict) {
            per_second[time.as_secs() as usize] += 1;
        }
    }
    let late = &per_second[300..OUTAGE.as_secs() as usize];
    let most = late.iter().max().copied().unwrap_or_default();
    assert!(most <= 120, "{most} appends in one second");
}
