//! The promises that hold at all times, checked over a running lab.

use cyclamen_standins::{RunRecord, Tally, Told};
use cyclamen_types::{ConfigVersion, FastMap, InstanceName};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::lab::Lab;

/// What must always hold.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Promise {
    /// No proxy goes back to an older configuration version.
    #[display("no proxy goes back to an older version")]
    VersionNeverFalls,
    /// No route points at a service that its proxy does not hold.
    #[display("no route points at something not held")]
    NoDanglingRoute,
    /// Nothing is applied in part: a table is of one version, and equal versions have one hash.
    #[display("a configuration is applied whole")]
    AppliedWhole,
    /// A version that was taken back gets no more calls.
    #[display("a version taken back gets no more calls")]
    BadVersionHeldBack,
    /// Callers get the whole answer to their own request.
    #[display("every answer is whole and the caller's own")]
    OwnWholeAnswer,
    /// A refusal that says not run is true.
    #[display("a refusal as not run is true")]
    NotRunIsTrue,
    /// A request that may not be repeated runs at most once, and an answered one did run.
    #[display("a request that may not be repeated runs once")]
    AtMostOnce,
    /// A leaving backend server gets no new work after a few seconds.
    #[display("a leaving backend server gets no new work")]
    LeavingGetsNothing,
    /// A planned stop cuts no request in flight.
    #[display("a planned stop cuts no request in flight")]
    StopCutsNothing,
    /// An accepted configuration is in force everywhere within seconds, and stays.
    #[display("an accepted change is in force everywhere within seconds")]
    InForceAndStays,
}

impl Promise {
    /// All promises.
    pub const ALL: &'static [Self] = &[
        Self::VersionNeverFalls,
        Self::NoDanglingRoute,
        Self::AppliedWhole,
        Self::BadVersionHeldBack,
        Self::OwnWholeAnswer,
        Self::NotRunIsTrue,
        Self::AtMostOnce,
        Self::LeavingGetsNothing,
        Self::StopCutsNothing,
        Self::InForceAndStays,
    ];
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Broken {
    /// Which one.
    pub promise: Promise,
    /// What was seen.
    pub seen: String,
}

/// Checks the promises again and again, remembering what it saw before.
#[derive(Debug, Default)]
pub struct Promises {
    versions: FastMap<InstanceName, ConfigVersion>,
    hashes: FastMap<ConfigVersion, u64>,
    /// What was broken so far.
    pub broken: Vec<Broken>,
}

impl Promises {
    /// Checks what the daemons hold now.
    pub fn check_daemons(&mut self, lab: &Lab) {
        for node in &lab.nodes {
            let Ok(name) = InstanceName::try_from(node.plan.name.as_str()) else {
                continue;
            };
            node.daemon.shared.read(|instance| {
                let version = instance.ledger().version();
                self.check_version(&name, version);
                self.check_hash(&name, version, instance.ledger().hash().0);
                self.check_routes(&name, instance);
            });
        }
    }

    /// Checks what callers were told against what the backend servers ran. Answers may break off
    /// only where a daemon or backend server was killed on purpose.
    pub fn check_calls(&mut self, tally: &Tally, record: &RunRecord, killed: bool) {
        let wrong = tally.count(Told::Wrong);
        if wrong > 0 {
            self.broken(Promise::OwnWholeAnswer, format!("{wrong} calls got another's answer"));
        }
        let cut = tally.count(Told::Cut);
        if cut > 0 && !killed {
            self.broken(Promise::OwnWholeAnswer, format!("{cut} answers broke off"));
        }
        let untrue = tally.false_not_run(record);
        if untrue > 0 {
            self.broken(
                Promise::NotRunIsTrue,
                format!("{untrue} calls refused as not run had run"),
            );
        }
        let doubled = tally.doubled(record);
        if doubled > 0 {
            self.broken(Promise::AtMostOnce, format!("{doubled} calls ran more than once"));
        }
        let lost = tally.lost(record);
        if lost > 0 {
            self.broken(Promise::AtMostOnce, format!("{lost} answered calls had not run"));
        }
    }

    /// Whether a promise held so far.
    pub fn holds(&self, promise: Promise) -> bool {
        self.broken.iter().all(|broken| broken.promise != promise)
    }

    /// Forgets an instance that was restarted: it starts with nothing, which is no step back.
    pub fn restarted(&mut self, name: &InstanceName) {
        self.versions.remove(name);
    }

    fn check_version(&mut self, name: &InstanceName, version: ConfigVersion) {
        let before = self.versions.insert(name.clone(), version).unwrap_or_default();
        if version < before {
            let seen = format!("{name} held {before} and then {version}");
            self.broken(Promise::VersionNeverFalls, seen);
        }
    }

    fn check_hash(&mut self, name: &InstanceName, version: ConfigVersion, hash: u64) {
        let known = *self.hashes.entry(version).or_insert(hash);
        if known != hash {
            let seen = format!("{name} has another state at version {version}");
            self.broken(Promise::AppliedWhole, seen);
        }
    }

    fn check_routes(&mut self, name: &InstanceName, instance: &cyclamenmoor::Instance) {
        let config = instance.config();
        for route in instance.table().route_names() {
            let Some(held) = config.routes.get(&route) else {
                self.broken(Promise::AppliedWhole, format!("{name} routes by {route}, not held"));
                continue;
            };
            if !config.services.contains_key(&held.body.service) {
                let service = &held.body.service;
                let seen = format!("{name}: {route} points at {service}, which it does not hold");
                self.broken(Promise::NoDanglingRoute, seen);
            }
        }
    }

    /// Notes a broken promise.
    pub fn broken(&mut self, promise: Promise, seen: String) {
        self.broken.push(Broken { promise, seen });
    }
}
