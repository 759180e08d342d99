//! The life of a daemon process: start, log lines for changes of state, graceful stop.

use std::future::Future;
use std::time::Duration;

use cyclamen_types::{ConfigVersion, FastMap, MoveName};
use cyclamenmoor::{Dump, Instance};
use log::info;
use tokio::time::MissedTickBehavior;

use crate::metrics::Metrics;
use crate::run::{self, StartError};
use crate::settings::Settings;
use crate::shared::Shared;

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
        let dump = shared.read(Instance::dump);
        seen.log_changes(&dump);
        if sample {
            metrics.send(&dump);
        }
    }
}

/// What the last log lines said.
#[derive(Default)]
struct Seen {
    ready: bool,
    relay: bool,
    version: ConfigVersion,
    moves: FastMap<MoveName, String>,
}

impl Seen {
    fn log_changes(&mut self, dump: &Dump) {
        if self.ready != dump.ready {
            self.ready = dump.ready;
            info!("{}", if dump.ready { "ready for callers" } else { "not ready for callers" });
        }
        if self.relay != dump.relay {
            self.relay = dump.relay;
            let role = if dump.relay { "reads" } else { "no longer reads" };
            info!("this daemon {role} the log for its failure domain");
        }
        if self.version != dump.table_version {
            self.version = dump.table_version;
            info!("configuration version {} is in force", dump.table_version);
        }
        for status in &dump.moves {
            let stage = status.stage.to_string();
            if self.moves.get(&status.id.name) == Some(&stage) {
                continue;
            }
            info!("move {}: {stage}: {}", status.id.name, status.reason);
            self.moves.insert(status.id.name.clone(), stage);
        }
        self.moves.retain(|name, _| dump.moves.iter().any(|status| status.id.name == *name));
    }
}
