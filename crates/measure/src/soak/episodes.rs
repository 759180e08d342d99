//! What happens to the served system during a soak, one episode after the other.

use std::time::{Duration, Instant};

use cyclamen_lab::{Lab, Promise, Promises};
use cyclamen_moves::MovePhase;
use cyclamen_standins::{Fault, FaultEffect, Load, LogFaults, Scope, Tally, Targets, Told};
use cyclamen_types::{InstanceName, MoveName};
use derive_more::Display;
use rand::Rng;
use rand::rngs::StdRng;

/// Bound on the time from a publication to its being in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(5);

/// Bound on the time after which a leaving backend server gets nothing new.
const LEFT: Duration = Duration::from_secs(4);

/// How long a leaving server, or a version taken back, is watched.
const WATCH: Duration = Duration::from_secs(2);

/// How long the log service stays away.
const OUTAGE: Duration = Duration::from_secs(6);

/// Time between two checks of the daemons.
const CHECK: Duration = Duration::from_millis(250);

/// Pause between two episodes.
const PAUSE: Duration = Duration::from_secs(2);

/// Patience for the system to be whole again after an episode.
const HEAL: Duration = Duration::from_secs(20);

/// Time from the publication of a move to its deadline.
const MOVE_TIME: Duration = Duration::from_secs(40);

/// Patience for a verdict beyond the deadline.
const VERDICT: Duration = Duration::from_secs(20);

/// Delay of a slow log service, in milliseconds.
const SLOW_MS: u64 = 400;

/// Answers of appends that get lost.
const LOST_ANSWERS: u32 = 2;

/// Share of calls that a bad version fails, in parts per million.
const BAD_SHARE_PPM: u32 = 200_000;

/// What happens.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Episode {
    /// A change is published.
    #[display("a change")]
    Change,
    /// The log service is down for a while, and a change is published meanwhile.
    #[display("the log service is down")]
    LogDown,
    /// The log service is slow, and a change is published.
    #[display("the log service is slow")]
    LogSlow,
    /// Answers of appends get lost after they took effect.
    #[display("answers of the log service get lost")]
    LostAnswers,
    /// An instance is killed and replaced.
    #[display("an instance is killed and replaced")]
    Kill,
    /// An instance is stopped gracefully and replaced.
    #[display("an instance is stopped and replaced")]
    Stop,
    /// A backend server is withdrawn.
    #[display("a backend server leaves")]
    Leave,
    /// A good version gets the traffic.
    #[display("a move to a good version")]
    GoodMove,
    /// A bad version is taken back.
    #[display("a move to a bad version")]
    BadMove,
}

const EPISODES: &[Episode] = &[
    Episode::Change,
    Episode::LogDown,
    Episode::LogSlow,
    Episode::LostAnswers,
    Episode::Kill,
    Episode::Stop,
    Episode::Leave,
    Episode::GoodMove,
    Episode::BadMove,
];

impl Episode {
    pub(crate) fn draw(rng: &mut StdRng) -> Self {
        EPISODES[rng.random_range(0..EPISODES.len())]
    }
}

/// A soak under way.
pub(crate) struct Soak {
    pub(crate) lab: Lab,
    pub(crate) load: Load,
    pub(crate) targets: Targets,
    pub(crate) rng: StdRng,
    pub(crate) promises: Promises,
    pub(crate) episodes: u64,
}

impl Soak {
    /// Runs one episode and waits until the system is whole again.
    ///
    /// # Errors
    /// An instance could not be started.
    pub(crate) async fn run(&mut self, episode: Episode) -> anyhow::Result<()> {
        self.episodes += 1;
        match episode {
            Episode::Change => self.change(LogFaults::default()).await,
            Episode::LogDown => self.log_down().await,
            Episode::LogSlow => {
                self.change(LogFaults { delay_ms: SLOW_MS, ..LogFaults::default() }).await;
            }
            Episode::LostAnswers => {
                self.change(LogFaults { lose_answers: LOST_ANSWERS, ..LogFaults::default() }).await;
            }
            Episode::Kill => self.kill().await?,
            Episode::Stop => self.stop().await?,
            Episode::Leave => self.leave().await?,
            Episode::GoodMove => self.move_traffic(false).await?,
            Episode::BadMove => self.move_traffic(true).await?,
        }
        self.lab.log.set_faults(LogFaults::default());
        self.check_for(PAUSE).await;
        if self.lab.assembled(HEAL).await.is_none() {
            let seen = format!("the daemons do not know each other {HEAL:?} after: {episode}");
            self.promises.broken(Promise::InForceAndStays, seen);
        }
        Ok(())
    }

    async fn check_for(&mut self, time: Duration) {
        let started = Instant::now();
        while started.elapsed() < time {
            tokio::time::sleep(CHECK).await;
            self.promises.check_daemons(&self.lab);
        }
    }

    async fn change(&mut self, faults: LogFaults) {
        self.lab.log.set_faults(faults);
        let queue = 32 + self.episodes;
        let yaml = format!(
            "declarations:\n  - name: soak-limits\n    policy:\n      limits:\n        \
             queue: {queue}\n"
        );
        let published = Instant::now();
        let version = match self.lab.publish(&yaml, IN_FORCE).await {
            Ok(version) => version,
            Err(err) => return self.promises.broken(Promise::InForceAndStays, err.to_string()),
        };
        let left = IN_FORCE.saturating_sub(published.elapsed());
        if self.lab.converged(version, left).await.is_none() {
            let seen = format!("version {version} is not everywhere after {IN_FORCE:?}");
            self.promises.broken(Promise::InForceAndStays, seen);
        }
        self.promises.check_daemons(&self.lab);
    }

    async fn log_down(&mut self) {
        self.lab.log.set_faults(LogFaults { down: true, ..LogFaults::default() });
        self.check_for(OUTAGE).await;
        self.change(LogFaults::default()).await;
    }

    async fn kill(&mut self) -> anyhow::Result<()> {
        let index = self.pick();
        let node = self.lab.nodes.remove(index);
        let plan = node.plan.clone();
        node.kill().await;
        self.targets.set(self.lab.call_addresses());
        self.check_for(PAUSE).await;
        self.replace(plan).await
    }

    async fn stop(&mut self) -> anyhow::Result<()> {
        let before = self.load.so_far();
        let index = self.pick();
        let node = self.lab.nodes.remove(index);
        let plan = node.plan.clone();
        self.targets.set(self.lab.call_addresses());
        node.stop().await;
        self.check_for(PAUSE).await;
        let cut = broken_off(&self.load.so_far()) - broken_off(&before);
        if cut > 0 {
            let seen = format!("{cut} calls broke off when {} stopped", plan.name);
            self.promises.broken(Promise::StopCutsNothing, seen);
        }
        self.replace(plan).await
    }

    async fn leave(&mut self) -> anyhow::Result<()> {
        let index = self.pick();
        self.lab.nodes[index].announcer.withdraw().await;
        self.check_for(LEFT).await;
        let before = self.lab.nodes[index].server.begun();
        self.check_for(WATCH).await;
        let after = self.lab.nodes[index].server.begun();
        if after > before {
            let seen = format!("{} calls {LEFT:?} after it left", after - before);
            self.promises.broken(Promise::LeavingGetsNothing, seen);
        }
        let node = self.lab.nodes.remove(index);
        let plan = node.plan.clone();
        node.stop().await;
        self.replace(plan).await
    }

    async fn replace(&mut self, plan: cyclamen_lab::NodePlan) -> anyhow::Result<()> {
        self.promises.restarted(&InstanceName::try_from(plan.name.as_str())?);
        self.lab.start_node(plan).await?;
        self.targets.set(self.lab.call_addresses());
        Ok(())
    }

    /// Moves the traffic of one service to a new version beside the old one. Afterwards the new
    /// version's instances go, and the service is declared anew at its old version.
    async fn move_traffic(&mut self, bad: bool) -> anyhow::Result<()> {
        let services = self.lab.options.deployment.services;
        let service = services[self.rng.random_range(0..services.len())];
        let to = format!("e{}", self.episodes);
        let name = MoveName::try_from(format!("{}-to-{to}", service.name))?;
        let first = self.lab.nodes.len();
        for server in 0..service.servers {
            self.lab.add(service.name, &to, server, faults(bad)).await?;
        }
        if self.lab.assembled(HEAL).await.is_none() {
            let seen = "the new instances are not known everywhere".into();
            self.promises.broken(Promise::InForceAndStays, seen);
        }
        if let Err(err) = self.lab.publish_move(name.as_str(), service.name, &to, MOVE_TIME).await {
            self.promises.broken(Promise::InForceAndStays, err.to_string());
        }
        let phase = self.wait_for_verdict(&name, bad).await;
        let taken_back = phase == Some(MovePhase::TakenBack);
        if bad && taken_back {
            self.check_held_back(first).await;
        }
        if taken_back != bad || !ended(phase, bad) {
            let seen = format!("move {name} stands at {phase:?}");
            let promise = if bad { Promise::BadVersionHeldBack } else { Promise::InForceAndStays };
            self.promises.broken(promise, seen);
        }
        self.undo(service.name, first).await
    }

    async fn wait_for_verdict(&mut self, name: &MoveName, bad: bool) -> Option<MovePhase> {
        let started = Instant::now();
        let mut phase = None;
        while started.elapsed() < MOVE_TIME + VERDICT {
            self.check_for(CHECK).await;
            phase = self.lab.move_status(0, name).map(|status| status.phase);
            if ended(phase, bad) {
                break;
            }
        }
        phase
    }

    async fn check_held_back(&mut self, first: usize) {
        self.check_for(WATCH).await;
        let before = begun(&self.lab, first);
        self.check_for(WATCH).await;
        let after = begun(&self.lab, first);
        if after > before {
            let seen = format!("{} calls went to a version taken back", after - before);
            self.promises.broken(Promise::BadVersionHeldBack, seen);
        }
    }

    async fn undo(&mut self, service: &str, first: usize) -> anyhow::Result<()> {
        // Undoing a verdict takes the base, as an operator gives it who has read the verdict.
        let base = self.lab.nodes[0].daemon.shared.read(|instance| {
            instance.config().services.get(service).map(|held| held.offset).unwrap_or_default()
        });
        let yaml = format!(
            "declarations:\n  - name: {service}\n    base: {base}\n    service:\n      \
             version: v1\n"
        );
        if let Err(err) = self.lab.publish(&yaml, IN_FORCE).await {
            self.promises.broken(Promise::InForceAndStays, err.to_string());
        }
        self.check_for(PAUSE).await;
        for node in self.lab.nodes.drain(first..) {
            node.stop().await;
        }
        Ok(())
    }

    /// Any instance but the first, through which changes are published.
    fn pick(&mut self) -> usize {
        self.rng.random_range(1..self.lab.nodes.len())
    }
}

/// Whether a move has the verdict that it should get, or the one that is final.
fn ended(phase: Option<MovePhase>, bad: bool) -> bool {
    match phase {
        Some(MovePhase::TakenBack) => true,
        Some(MovePhase::Watched | MovePhase::Done) => !bad,
        _ => false,
    }
}

fn faults(bad: bool) -> Vec<Fault> {
    if !bad {
        return Vec::new();
    }
    let scope = Scope { share_ppm: BAD_SHARE_PPM, ..Scope::default() };
    vec![Fault { scope, effect: FaultEffect::Fail }]
}

fn begun(lab: &Lab, first: usize) -> u64 {
    lab.nodes[first..].iter().map(|node| node.server.begun()).sum()
}

fn broken_off(tally: &Tally) -> u64 {
    tally.count(Told::Cut) + tally.count(Told::NoAnswer)
}
