//! Checked declarations: what the rest of the system works on.

use std::sync::Arc;
use std::time::Duration;

use cyclamen_types::{
    ChangeId, MoveName, Offset, PolicyName, RouteName, ServiceName, TeamName, VersionName, Wall,
};
use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::labels::{Labels, Selector};

/// One publication: its entries are accepted or refused together.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Makes a retried append count once.
    pub id: ChangeId,
    /// The team whose token published it.
    pub team: TeamName,
    /// What it puts and deletes, in the order written.
    pub entries: Vec<ChangeEntry>,
}

/// One declaration put or deleted.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeEntry {
    /// Offset of the record that this edit started from; the change is refused if another one
    /// wrote the declaration since. `None` where the last writer wins.
    pub base: Option<Offset>,
    /// What to do.
    pub action: EntryAction,
}

/// What an entry does.
#[expect(clippy::large_enum_variant, reason = "changes are few, and most entries put something")]
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Adds or replaces the declaration.
    Put(Declaration),
    /// Removes the declaration.
    Delete(DeclarationKey),
    /// Orders a move by hand.
    Order(MoveOrder),
}

/// A declaration of any kind.
#[derive(Clone, Debug, PartialEq, From)]
pub enum Declaration {
    /// A service.
    Service(Service),
    /// A version of a service's backend servers.
    Version(Version),
    /// A route.
    Route(Route),
    /// A policy.
    Policy(Policy),
    /// A move of traffic.
    Move(Move),
}

/// The kinds of declarations.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum DeclarationKind {
    /// A service.
    Service,
    /// A version.
    Version,
    /// A route.
    Route,
    /// A policy.
    Policy,
    /// A move.
    Move,
}

/// Names one declaration. A version's name is `SERVICE/VERSION`.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{kind} {name}")]
pub struct DeclarationKey {
    /// Its kind.
    pub kind: DeclarationKind,
    /// Its name within the kind.
    pub name: Arc<str>,
}

/// Names a version within its service.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{service}/{version}")]
pub struct VersionId {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub version: VersionName,
}

/// A service: what callers address and backend servers announce themselves for.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// For selectors.
    pub labels: Labels,
    /// The version that takes the traffic where no move and no route says otherwise.
    pub version: VersionName,
}

/// A version of a service's backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Version {
    /// Which one.
    pub id: VersionId,
    /// For selectors.
    pub labels: Labels,
}

/// A route: which calls go to which service, on which proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// The proxies that hold it.
    pub proxies: Selector,
    /// The calls it takes.
    pub matches: RouteMatch,
    /// Higher goes first among routes that match alike; see [`RouteMatch`] for the whole order.
    pub priority: i32,
    /// Where its calls go.
    pub service: ServiceName,
    /// Shares by service, in place of `service`; empty for that one alone.
    pub services: Vec<WeightedService>,
    /// Fixed shares by version; empty for the service's own version.
    pub split: Vec<WeightedVersion>,
    /// Longest time for a call, retries included.
    pub timeout: Duration,
    /// Time within which an answer is wanted: calls that can still make it go first.
    pub target: Option<Duration>,
    /// Backend servers that one call may be sent to; `None` leaves it to the policies.
    pub attempts: Option<u32>,
    /// Which of its calls may run twice.
    pub idempotence: Idempotence,
    /// What goes first when slots are short.
    pub criticality: Criticality,
    /// Keeps a caller's calls on one version.
    pub sticky: Option<StickyKey>,
    /// Whether its calls need no key of a client account where the configuration has accounts.
    pub open: bool,
}

/// The calls that a route takes. Where several routes match, the order is: exact host before
/// wildcard before none, longer path prefix, more headers, higher priority, then name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteMatch {
    /// Any of these hosts; empty for all.
    pub hosts: Vec<HostPattern>,
    /// The path starts with this, which starts with `/`; empty for all paths. Without a `/` at its
    /// end it matches whole segments only: `/a` matches `/a` and `/a/b`, but not `/ab`. With one it
    /// does not match the path without it: `/a/` matches `/a/` and `/a/b`, but not `/a`.
    pub path_prefix: Arc<str>,
    /// All of these headers.
    pub headers: Vec<HeaderMatch>,
}

/// A host that a route takes, in lower case, without port.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum HostPattern {
    /// This host.
    #[display("{_0}")]
    Exact(Arc<str>),
    /// All hosts that end in this, which starts with `.`; written `*.example`.
    #[display("*{_0}")]
    Suffix(Arc<str>),
}

/// A header that a route demands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderMatch {
    /// Its name, in lower case.
    pub name: Arc<str>,
    /// Its exact value; `None` for any.
    pub value: Option<Arc<str>>,
}

impl Route {
    /// Every service that its calls may go to.
    pub fn targets(&self) -> impl Iterator<Item = &ServiceName> {
        let alone = self.services.is_empty().then_some(&self.service);
        self.services.iter().map(|weighted| &weighted.service).chain(alone)
    }
}

/// A service and its share of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight; shares are weights over their sum, which is not zero.
    pub weight: u32,
}

/// A version and its share of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedVersion {
    /// The version.
    pub version: VersionName,
    /// Its weight; shares are weights over their sum, which is not zero.
    pub weight: u32,
}

/// Which calls may run twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotence {
    /// By method: GET, HEAD, OPTIONS, PUT, DELETE and TRACE may.
    #[default]
    ByMethod,
    /// All may.
    Always,
    /// None may.
    Never,
}

/// What goes first when slots are short. Later ones go first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Criticality {
    /// Long downloads.
    Bulk,
    /// Ordinary calls.
    #[default]
    Normal,
    /// Quick lookups and calls that must not be lost.
    Critical,
}

/// The header whose value keeps a caller's calls on one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StickyKey {
    /// The header, in lower case.
    pub header: Arc<str>,
}

/// A policy: limits and retries attached to services and proxies by selectors. Where several
/// match, the highest priority holds for each field, then the first name.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Its name.
    pub name: PolicyName,
    /// The services it binds.
    pub services: Selector,
    /// The proxies it binds.
    pub proxies: Selector,
    /// Higher wins.
    pub priority: i32,
    /// Limits, where it sets any.
    pub limits: Limits,
    /// Retries, where it sets any.
    pub retries: Retries,
}

/// Limits of a service at one backend server; `None` leaves them to a lower policy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Calls that may wait for a slot.
    pub queue: Option<u32>,
    /// Longest wait for a slot.
    pub queue_wait: Option<Duration>,
    /// Largest body of a call, in bytes.
    pub body_bytes: Option<u64>,
}

/// Retries of a service; `None` leaves them to a lower policy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Retries {
    /// Attempts in all, the first included.
    pub attempts: Option<u32>,
    /// Retries as a share of calls, in percent.
    pub budget_percent: Option<u32>,
}

/// A move of a service's traffic from one version to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// Its name.
    pub name: MoveName,
    /// The service.
    pub service: ServiceName,
    /// The version that has the traffic.
    pub from: VersionName,
    /// The version that gets it.
    pub to: VersionName,
    /// When the first calls may go to `to`.
    pub start: Wall,
    /// When all traffic has to be on `to`.
    pub deadline: Wall,
    /// How long evidence is gathered after the last stage.
    pub watch: Duration,
    /// The highest failure rate that `to` may add over `from`, in parts per million.
    pub tolerance_ppm: u32,
    /// What wins when the deadline comes before enough evidence.
    pub clash: ClashRule,
}

/// What wins when the deadline comes before enough evidence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClashRule {
    /// The move runs late and says why.
    #[default]
    Evidence,
    /// The move goes on without being rolled back, at the largest stage steps.
    Deadline,
}

/// An operator's order to a running move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveOrder {
    /// The move.
    pub name: MoveName,
    /// The order; the last one in the log holds.
    pub action: OrderAction,
}

/// What an operator can order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum OrderAction {
    /// Stay at the present stage.
    Pause,
    /// Go on after a pause.
    Resume,
    /// Take stages as fast as the evidence allows, ahead of the schedule.
    Hasten,
    /// Take the move back.
    TakeBack,
}
