//! What the demonstration does, in order.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cyclamen_daemon::LimitSettings;
use cyclamen_moves::{MovePhase, MoveStatus};
use cyclamen_standins::{Fault, FaultEffect, Load, LoadOptions, LogOptions, Scope};
use cyclamen_types::MoveName;

use crate::demo::progress::Progress;
use crate::demo::summary::{MoveLine, Summary};
use crate::deployment::{Deployment, ServiceShape};
use crate::lab::{Lab, LabOptions};
use crate::promises::Promises;
use crate::traffic::Traffic;

/// Patience for each step that has to end within seconds.
const PATIENCE: Duration = Duration::from_secs(10);

/// Calls per second.
const CALLS_PER_SECOND: f64 = 700.0;

/// Longest time that the load runs.
const LOAD_TIME: Duration = Duration::from_secs(34);

/// Time from the publication of a move to its deadline.
const MOVE_TIME: Duration = Duration::from_secs(26);

/// How long after its start the bad version begins to fail.
const FAULT_AFTER: Duration = Duration::from_secs(6);

/// Share of one route's calls that the bad version fails, in parts per million.
const FAULT_SHARE_PPM: u32 = 250_000;

/// Small changes published to take the convergence.
const CHANGES: u32 = 5;

/// Time between two looks at the moves.
const LOOK: Duration = Duration::from_millis(500);

/// Options of the demonstration.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// The served system.
    pub deployment: Deployment,
    /// Seed of everything.
    pub seed: u64,
}

/// A move of the demonstration.
#[derive(Clone, Debug)]
pub(crate) struct Scene {
    pub(crate) name: MoveName,
    pub(crate) title: &'static str,
    service: ServiceShape,
    faults: Vec<Fault>,
}

/// Runs the demonstration and stops everything it started.
///
/// # Errors
/// It could not be set up: a port could not be bound, or nothing got in force in time.
pub async fn run(options: DemoOptions) -> anyhow::Result<Summary> {
    let started = Instant::now();
    let mut lab = start(options).await?;
    let mut summary = Summary::new(options.deployment.name);
    let traffic = Traffic::new(&options.deployment, options.seed, "demo");
    let load = LoadOptions {
        calls_per_second: CALLS_PER_SECOND,
        duration: LOAD_TIME,
        daemons: lab.call_addresses().into(),
    };
    let load = Load::start(load, move |number| traffic.call(number));
    let mut promises = Promises::default();
    let scenes = scenes(&options.deployment)?;
    publish_moves(&mut lab, &scenes).await?;
    measure_convergence(&mut lab, &mut summary, &mut promises).await?;
    watch(&lab, &scenes, &load, &mut promises).await;
    let tally = load.stop().await;
    promises.check_calls(&tally, &lab.record, false);
    for scene in &scenes {
        summary.moves.push(move_line(&lab, scene));
    }
    summary.add_calls(&tally, &lab.record);
    summary.add_control(&lab, started.elapsed());
    summary.broken = promises.broken;
    summary.took = started.elapsed();
    lab.stop().await;
    Ok(summary)
}

async fn start(options: DemoOptions) -> anyhow::Result<Lab> {
    let deployment = options.deployment;
    println!("starting {}: log service, daemons, backend servers", deployment.name);
    let mut lab = Lab::start(LabOptions {
        deployment,
        limits: LimitSettings::default(),
        log: LogOptions::default(),
        seed: options.seed,
    })
    .await?;
    let version = lab.publish(&deployment.declarations(), PATIENCE).await?;
    let Some(spread) = lab.converged(version, PATIENCE).await else {
        anyhow::bail!("the first declarations are not in force everywhere after {PATIENCE:?}");
    };
    let Some(assembled) = lab.assembled(PATIENCE).await else {
        anyhow::bail!("not every daemon knows every backend server after {PATIENCE:?}");
    };
    let daemons = lab.nodes.len();
    println!("{daemons} daemons ready; routes in force after {spread:?}, servers {assembled:?}");
    Ok(lab)
}

fn scenes(deployment: &Deployment) -> anyhow::Result<Vec<Scene>> {
    let services = deployment.services;
    let (bad, good) = (services[0], services[services.len() - 1]);
    let route = format!("/{}/{}", bad.name, bad.routes[1].name);
    let scope = Scope {
        path_prefix: Some(Arc::from(route)),
        share_ppm: FAULT_SHARE_PPM,
        after: FAULT_AFTER,
        above_in_flight: 0,
    };
    Ok(vec![
        Scene {
            name: MoveName::try_from(format!("{}-to-v2", good.name))?,
            title: "good",
            service: good,
            faults: Vec::new(),
        },
        Scene {
            name: MoveName::try_from(format!("{}-to-v2", bad.name))?,
            title: "bad",
            service: bad,
            faults: vec![Fault { scope, effect: FaultEffect::Fail }],
        },
    ])
}

async fn publish_moves(lab: &mut Lab, scenes: &[Scene]) -> anyhow::Result<()> {
    for scene in scenes {
        for server in 0..scene.service.servers {
            lab.add(scene.service.name, "v2", server, scene.faults.clone()).await?;
        }
        let (name, service) = (&scene.name, scene.service.name);
        lab.publish_move(name.as_str(), service, "v2", MOVE_TIME).await?;
        println!("published the {} move {name}, to end within {MOVE_TIME:?}", scene.title);
    }
    Ok(())
}

async fn measure_convergence(
    lab: &mut Lab,
    summary: &mut Summary,
    promises: &mut Promises,
) -> anyhow::Result<()> {
    for number in 0..CHANGES {
        let yaml = format!(
            "declarations:\n  - name: demo-limits\n    policy:\n      limits:\n        queue: {}\n",
            32 + number
        );
        let published = Instant::now();
        let version = lab.publish(&yaml, PATIENCE).await?;
        if lab.converged(version, PATIENCE).await.is_none() {
            anyhow::bail!("a change is not in force everywhere after {PATIENCE:?}");
        }
        summary.convergence.push(published.elapsed());
        promises.check_daemons(lab);
    }
    Ok(())
}

/// Watches until both moves have ended or the load has.
async fn watch(lab: &Lab, scenes: &[Scene], load: &Load, promises: &mut Promises) {
    let mut progress = Progress::default();
    let started = Instant::now();
    while started.elapsed() < LOAD_TIME {
        tokio::time::sleep(LOOK).await;
        promises.check_daemons(lab);
        let statuses: Vec<Option<MoveStatus>> =
            scenes.iter().map(|scene| lab.move_status(0, &scene.name)).collect();
        progress.show(started.elapsed(), &statuses, &load.so_far());
        if statuses.iter().all(ended) {
            return;
        }
    }
}

/// Whether a move has its verdict; the watch may go on.
fn ended(status: &Option<MoveStatus>) -> bool {
    let phase = status.as_ref().map(|status| status.phase);
    matches!(phase, Some(MovePhase::Watched | MovePhase::Done | MovePhase::TakenBack))
}

fn move_line(lab: &Lab, scene: &Scene) -> MoveLine {
    let status = lab.move_status(0, &scene.name);
    let wanted = if scene.faults.is_empty() { "done" } else { "taken back" };
    let as_wanted = match status.as_ref().map(|status| status.phase) {
        Some(MovePhase::Done | MovePhase::Watched) => scene.faults.is_empty(),
        Some(MovePhase::TakenBack) => !scene.faults.is_empty(),
        _ => false,
    };
    let told = status.as_ref().map_or("unknown".into(), |status| status.phase.to_string());
    let reason = status.map_or_else(|| "no daemon knows the move".into(), |status| status.reason);
    MoveLine { name: scene.name.clone(), wanted, told, as_wanted, reason }
}
