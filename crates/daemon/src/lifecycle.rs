//! The life of a daemon process: start, log lines for changes of state, graceful stop.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_decisions::Belief;
use cyclamen_ledger::MoveId;
use cyclamen_membership::{MemberState, MemberView, ServerState, ServerView};
use cyclamen_moves::{MoveStage, MoveStatus};
use cyclamen_types::{ConfigVersion, FastMap, InstanceName, ServerName};
use cyclamenmoor::Instance;
use log::info;
use tokio::time::MissedTickBehavior;

use crate::lines::Lines;
use crate::logging;
use crate::metrics::Metrics;
use crate::reload::{self, Reloaded, SettingsFile};
use crate::run::{self, StartError};
use crate::settings::Settings;
use crate::shared::Shared;

#[cfg(test)]
mod tests;

/// How often metrics are sampled, and the state looked at though nothing told of a change.
const SAMPLE_PERIOD: Duration = Duration::from_secs(1);

/// Runs a daemon until `stop` ends, then stops it gracefully. Its settings file, where it has one,
/// is read again when asked.
///
/// # Errors
/// A port in use, or an address that this machine does not have.
pub async fn run_until(
    settings: Settings,
    file: Option<SettingsFile>,
    stop: impl Future<Output = ()>,
) -> Result<(), StartError> {
    let metrics = Metrics::new(&settings);
    let lines = lines(&settings)?;
    let running = run::start(settings, lines.clone()).await?;
    let addresses = &running.addresses;
    info!(
        "started: calls {}, peers {}, administration {}",
        addresses.calls, addresses.peer, addresses.admin
    );
    let shared = running.shared.clone();
    let tell = |belief| {
        if let Some(lines) = &lines {
            lines.belief(shared.now(), belief);
        }
    };
    tell(Belief::Started { incarnation: shared.read(|i| i.membership().me().incarnation.0) });
    let told = |reloaded: &Reloaded| {
        tell(Belief::Reloaded { outcome: reloaded.sentence().into() });
    };
    let reloads = async {
        match file {
            Some(file) => reload::watch(file, told).await,
            None => std::future::pending().await,
        }
        // Without a file to look at the daemon goes on as it is.
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = stop => {}
        () = reloads => {}
        () = watch(shared.clone(), metrics, lines.clone()) => {}
    }
    info!("stopping: new calls are refused, calls in flight end");
    tell(Belief::Stopping);
    running.stop().await;
    info!("stopped");
    tell(Belief::Stopped);
    Ok(())
}

fn lines(settings: &Settings) -> Result<Option<Lines>, StartError> {
    let Some(decisions) = settings.decisions else {
        return Ok(None);
    };
    let writer = logging::stdout_writer().map_err(StartError::Lines)?;
    Ok(Some(Lines::new(&settings.instance, decisions, writer)))
}

/// Looks at the state whenever it changed, and once a period, until the task is dropped.
async fn watch(shared: Shared, mut metrics: Metrics, lines: Option<Lines>) {
    let mut ticks = tokio::time::interval(SAMPLE_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut changed = shared.changed();
    let mut seen = Seen::default();
    loop {
        let sample = tokio::select! {
            _ = ticks.tick() => true,
            _ = changed.changed() => false,
        };
        for belief in seen.changes(&shared.read(Glance::of)) {
            match &lines {
                Some(lines) => lines.belief(shared.now(), belief),
                None => info!("{belief}"),
            }
        }
        if let Some(lines) = &lines {
            lines.tell_omitted(shared.now());
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
    members: Vec<MemberView>,
    servers: Vec<ServerView>,
}

impl Glance {
    fn of(instance: &Instance) -> Self {
        let membership = instance.membership();
        let me = membership.me();
        Self {
            ready: instance.ready(),
            relay: instance.reads_log() && membership.relays(&me.domain).contains(&me.instance),
            version: instance.table().version(),
            moves: instance.moves().statuses(),
            members: membership.members(),
            servers: membership.servers(),
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
    members: FastMap<InstanceName, (MemberState, bool)>,
    servers: FastMap<ServerName, ServerState>,
}

impl Seen {
    /// What changed since the last look.
    fn changes(&mut self, glance: &Glance) -> Vec<Belief> {
        let mut beliefs = Vec::new();
        if self.ready != glance.ready {
            self.ready = glance.ready;
            beliefs.push(Belief::Ready { ready: glance.ready });
        }
        if self.relay != glance.relay {
            self.relay = glance.relay;
            beliefs.push(Belief::Relay { reads: glance.relay });
        }
        if self.version != glance.version {
            self.version = glance.version;
            beliefs.push(Belief::Config { version: glance.version.0 });
        }
        self.move_changes(&glance.moves, &mut beliefs);
        self.member_changes(&glance.members, &mut beliefs);
        self.server_changes(&glance.servers, &mut beliefs);
        beliefs
    }

    fn move_changes(&mut self, moves: &[MoveStatus], beliefs: &mut Vec<Belief>) {
        for status in moves {
            let id = &status.id;
            if self.moves.get(id) == Some(&status.stage) {
                continue;
            }
            beliefs.push(Belief::Move {
                name: id.name.as_str().into(),
                stage: status.stage.to_string().into(),
                share_ppm: status.share_ppm,
                reason: Arc::clone(&status.reason),
            });
            self.moves.insert(id.clone(), status.stage);
        }
        self.moves.retain(|id, _| moves.iter().any(|status| status.id == *id));
    }

    fn member_changes(&mut self, members: &[MemberView], beliefs: &mut Vec<Belief>) {
        for view in members {
            let name = &view.record.instance;
            let state = (view.state, view.cut_off);
            if self.members.insert(name.clone(), state) == Some(state) {
                continue;
            }
            beliefs.push(Belief::Member {
                name: name.as_str().into(),
                state: view.state.to_string().into(),
                cut_off: view.cut_off,
            });
        }
        self.members.retain(|name, _| members.iter().any(|view| view.record.instance == *name));
    }

    fn server_changes(&mut self, servers: &[ServerView], beliefs: &mut Vec<Belief>) {
        for view in servers {
            let record = &view.record;
            if self.servers.insert(record.name.clone(), record.state) == Some(record.state) {
                continue;
            }
            beliefs.push(Belief::Server {
                name: record.name.as_str().into(),
                service: record.service.as_str().into(),
                version: record.version.as_str().into(),
                state: record.state.to_string().into(),
            });
        }
        self.servers.retain(|name, _| servers.iter().any(|view| view.record.name == *name));
    }
}
