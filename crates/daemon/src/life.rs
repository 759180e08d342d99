//! The life of a daemon process: start, log lines for changes of state, graceful stop.

use std::future::Future;
use std::time::Duration;

use cyclamen_ledger::MoveId;
use cyclamen_moves::{MoveStage, MoveStatus};
use cyclamen_types::{ConfigVersion, FastMap};
use cyclamenmoor::Instance;
use log::info;
use tokio::time::MissedTickBehavior;

use crate::metrics::Metrics;
use crate::run::{self, StartError};
use crate::settings::Settings;
use crate::shared::Shared;

#[cfg(test)]
mod tests;

/// How often metrics are sampled, and the state looked at though nothing told of a change.
const SAMPLE_PERIOD: Duration = Duration::from_secs(1);

/// Runs a daemon until `stop` ends, then stops it gracefully.
///
/// # Errors
/// A port in use, or an address that this machine does not have.
pub async fn run_until(
    settings: Settings,
    stop: impl Future<Output = ()>,
) -> Result<(), StartError> {
    let metrics = Metrics::new(&settings);
    let running = run::start(settings).await?;
    let addresses = &running.addresses;
    info!(
        "started: calls {}, peers {}, administration {}",
        addresses.calls, addresses.peer, addresses.admin
    );
    tokio::select! {
        () = stop => {}
        () = watch(running.shared.clone(), metrics) => {}
    }
    info!("stopping: new calls are refused, calls in flight end");
    running.stop().await;
    info!("stopped");
    Ok(())
}

/// Looks at the state whenever it changed, and once a period, until the task is dropped.
async fn watch(shared: Shared, mut metrics: Metrics) {
    let mut ticks = tokio::time::interval(SAMPLE_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut changed = shared.changed();
    let mut seen = Seen::default();
    loop {
        let sample = tokio::select! {
            _ = ticks.tick() => true,
            _ = changed.changed() => false,
        };
        for line in seen.changes(&shared.read(Glance::of)) {
            info!("{line}");
        }
        if sample && metrics.on() {
            metrics.send(&shared.read(Instance::dump));
        }
    }
}

/// What log lines tell of.
struct Glance {
    ready: bool,
    relay: bool,
    version: ConfigVersion,
    moves: Vec<MoveStatus>,
}

impl Glance {
    fn of(instance: &Instance) -> Self {
        let membership = instance.membership();
        let me = membership.me();
        Self {
            ready: instance.ready(),
            relay: membership.relays(&me.domain).contains(&me.instance),
            version: instance.table().version(),
            moves: instance.moves().statuses(),
        }
    }
}

/// What the last log lines said.
#[derive(Default)]
struct Seen {
    ready: bool,
    relay: bool,
    version: ConfigVersion,
    moves: FastMap<MoveId, MoveStage>,
}

impl Seen {
    /// One line for each thing that changed since the last look.
    fn changes(&mut self, glance: &Glance) -> Vec<String> {
        let mut lines = Vec::new();
        if self.ready != glance.ready {
            self.ready = glance.ready;
            let not = if glance.ready { "" } else { "not " };
            lines.push(format!("{not}ready for callers"));
        }
        if self.relay != glance.relay {
            self.relay = glance.relay;
            let role = if glance.relay { "reads" } else { "no longer reads" };
            lines.push(format!("this daemon {role} the log for its failure domain"));
        }
        if self.version != glance.version {
            self.version = glance.version;
            lines.push(format!("configuration version {} is in force", glance.version));
        }
        lines.extend(self.move_changes(&glance.moves));
        lines
    }

    fn move_changes(&mut self, moves: &[MoveStatus]) -> Vec<String> {
        let mut lines = Vec::new();
        for status in moves {
            let id = &status.id;
            if self.moves.get(id) == Some(&status.stage) {
                continue;
            }
            lines.push(format!("move {}: {}: {}", id.name, status.stage, status.reason));
            self.moves.insert(id.clone(), status.stage);
        }
        self.moves.retain(|id, _| moves.iter().any(|status| status.id == *id));
        lines
    }
}
