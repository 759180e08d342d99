//! Runs a daemon process: start, reports of state changes, and graceful stop.
//!
//! State changes are reported in the decision log on standard output if the settings ask for it,
//! and in the process log otherwise.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_decisions::Belief;
use cyclamen_ledger::MoveId;
use cyclamen_membership::{MemberState, MemberView, ServerState, ServerView};
use cyclamen_moves::{MovePhase, MoveStatus};
use cyclamen_types::{ConfigVersion, FastMap, InstanceName, ServerName};
use cyclamenmoor::Instance;
use log::info;
use tokio::time::MissedTickBehavior;

use crate::decision_log::DecisionLog;
use crate::logging;
use crate::metrics::StatsdMetrics;
use crate::reload::{self, ReloadResult, SettingsFile};
use crate::run::{self, StartError};
use crate::settings::Settings;
use crate::shared::SharedInstance;

#[cfg(test)]
mod tests;

/// How often metrics are sampled. The state is also compared with the last reported one then,
/// because some changes emit no `Effect::Changed`.
const SAMPLE_PERIOD: Duration = Duration::from_secs(1);

/// Runs a daemon until `stop` completes, then stops it gracefully. Its settings `file`, if given,
/// is checked again on SIGHUP and when it changes.
///
/// # Errors
/// A socket cannot be bound, for example because its port is in use, or the administration API or
/// the thread that writes the decision log cannot be started.
pub async fn run_daemon(
    settings: Settings,
    file: Option<SettingsFile>,
    stop: impl Future<Output = ()>,
) -> Result<(), StartError> {
    let metrics = StatsdMetrics::new(&settings);
    let decision_log = open_decision_log(&settings)?;
    let running = run::start(settings, decision_log.clone()).await?;
    let addresses = &running.addresses;
    info!(
        "started: calls {}, peers {}, administration {}",
        addresses.calls, addresses.peer, addresses.admin
    );
    let shared = running.shared.clone();
    let report = |belief| {
        if let Some(decision_log) = &decision_log {
            decision_log.write_belief(shared.now(), belief);
        }
    };
    report(Belief::Started {
        incarnation: shared.read(|i| i.membership().local_member().incarnation.0),
    });
    let report_reload = |result: &ReloadResult| {
        report(Belief::Reloaded { outcome: result.description().into() });
    };
    let reloads = async {
        match file {
            Some(file) => reload::watch(file, report_reload).await,
            None => std::future::pending().await,
        }
        // Without a file, or once the file can no longer be watched, the daemon keeps running.
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = stop => {}
        () = reloads => {}
        () = report_changes(shared.clone(), metrics, decision_log.clone()) => {}
    }
    let longest = running.longest_stop().as_millis();
    info!("stopping: waiting for calls in flight, {longest} ms at most");
    report(Belief::Stopping);
    running.stop().await;
    info!("stopped");
    report(Belief::Stopped);
    Ok(())
}

fn open_decision_log(settings: &Settings) -> Result<Option<DecisionLog>, StartError> {
    let Some(log_settings) = settings.decision_log else {
        return Ok(None);
    };
    let writer = logging::stdout_writer().map_err(StartError::DecisionLogThread)?;
    Ok(Some(DecisionLog::new(&settings.instance, log_settings, writer)))
}

/// Reports state changes when the instance signals one and once per [`SAMPLE_PERIOD`], and sends
/// metrics once per period, until the task is dropped.
async fn report_changes(
    shared: SharedInstance,
    mut metrics: StatsdMetrics,
    decision_log: Option<DecisionLog>,
) {
    let mut ticks = tokio::time::interval(SAMPLE_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut changed = shared.changed();
    let mut reported = ReportedState::default();
    loop {
        let sample_due = tokio::select! {
            _ = ticks.tick() => true,
            _ = changed.changed() => false,
        };
        for belief in reported.changes(&shared.read(StateSample::from_instance)) {
            match &decision_log {
                Some(decision_log) => decision_log.write_belief(shared.now(), belief),
                None => info!("{belief}"),
            }
        }
        if let Some(decision_log) = &decision_log {
            decision_log.report_omitted(shared.now());
        }
        if sample_due && metrics.is_enabled() {
            metrics.send_sample(&shared.read(Instance::dump));
        }
    }
}

/// The parts of the state of an instance whose changes are reported.
struct StateSample {
    ready: bool,
    /// Whether this daemon reads the log for its failure domain; false if it reads the store.
    relay: bool,
    version: ConfigVersion,
    moves: Vec<MoveStatus>,
    members: Vec<MemberView>,
    servers: Vec<ServerView>,
}

impl StateSample {
    fn from_instance(instance: &Instance) -> Self {
        let membership = instance.membership();
        let me = membership.local_member();
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

/// The state as last reported.
#[derive(Default)]
struct ReportedState {
    ready: bool,
    relay: bool,
    version: ConfigVersion,
    moves: FastMap<MoveId, MovePhase>,
    members: FastMap<InstanceName, (MemberState, bool)>,
    servers: FastMap<ServerName, ServerState>,
}

impl ReportedState {
    /// Compares `sample` with the state last reported, and returns the changes.
    fn changes(&mut self, sample: &StateSample) -> Vec<Belief> {
        let mut beliefs = Vec::new();
        if self.ready != sample.ready {
            self.ready = sample.ready;
            beliefs.push(Belief::Ready { ready: sample.ready });
        }
        if self.relay != sample.relay {
            self.relay = sample.relay;
            beliefs.push(Belief::Relay { reads: sample.relay });
        }
        if self.version != sample.version {
            self.version = sample.version;
            beliefs.push(Belief::Config { version: sample.version.0 });
        }
        self.move_changes(&sample.moves, &mut beliefs);
        self.member_changes(&sample.members, &mut beliefs);
        self.server_changes(&sample.servers, &mut beliefs);
        beliefs
    }

    fn move_changes(&mut self, moves: &[MoveStatus], beliefs: &mut Vec<Belief>) {
        for status in moves {
            let id = &status.id;
            if self.moves.get(id) == Some(&status.phase) {
                continue;
            }
            beliefs.push(Belief::Move {
                name: id.name.as_str().into(),
                stage: status.phase.to_string().into(),
                share_ppm: status.share_ppm,
                reason: Arc::clone(&status.reason),
            });
            self.moves.insert(id.clone(), status.phase);
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
