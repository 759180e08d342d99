//! The life of a daemon process: start, log lines for changes of state, graceful stop.

use std::future::Future;
use std::time::Duration;

use cyclamen_moves::MoveStatus;
use cyclamen_types::{ConfigVersion, FastMap, MoveName};
use cyclamenmoor::Instance;
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
        seen.log_changes(&shared.read(Glance::of));
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
    moves: FastMap<MoveName, String>,
}

impl Seen {
    fn log_changes(&mut self, glance: &Glance) {
        if self.ready != glance.ready {
            self.ready = glance.ready;
            info!("{}", if glance.ready { "ready for callers" } else { "not ready for callers" });
        }
        if self.relay != glance.relay {
            self.relay = glance.relay;
            let role = if glance.relay { "reads" } else { "no longer reads" };
            info!("this daemon {role} the log for its failure domain");
        }
        if self.version != glance.version {
            self.version = glance.version;
            info!("configuration version {} is in force", glance.version);
        }
        for status in &glance.moves {
            let stage = status.stage.to_string();
            if self.moves.get(&status.id.name) == Some(&stage) {
                continue;
            }
            info!("move {}: {stage}: {}", status.id.name, status.reason);
            self.moves.insert(status.id.name.clone(), stage);
        }
        self.moves.retain(|name, _| glance.moves.iter().any(|status| status.id.name == *name));
    }
}
