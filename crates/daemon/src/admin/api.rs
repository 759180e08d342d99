//! Request parameters, request bodies and answers of the administration API.
//!
//! Doc comments and names here are part of the OpenAPI document.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cyclamen_declarations::Labels;
use cyclamenmoor::StateDump;
use derive_more::{Deref, Display, From};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How a publication is to be handled.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct PublishQuery {
    /// Only check the change against the configuration that this daemon holds.
    #[serde(default)]
    pub dry_run: bool,
    /// Names the change; a retry with the same id counts once. Made up when absent.
    pub change_id: Option<String>,
    /// Longest wait for the outcome, in milliseconds; at most 30000, 5000 when absent.
    pub wait_ms: Option<u64>,
}

/// How long a question may wait for its answer.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct WaitQuery {
    /// Longest wait, in milliseconds; at most 30000, 0 when absent.
    pub wait_ms: Option<u64>,
}

/// Names one change.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct ChangePath {
    /// The id that its publication answered.
    pub id: String,
}

/// Names one declaration.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct DeclarationPath {
    /// Its kind.
    pub kind: KindName,
    /// Its name; that of a version is `SERVICE/VERSION`.
    pub name: String,
}

/// The kinds of declarations.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum KindName {
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

/// Names one move or backend server.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct NamePath {
    /// Its name.
    pub name: String,
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeKind {
    /// A dry run found no fault; nothing was published.
    Checked,
    /// In force since its offset.
    Accepted,
    /// Refused whole; nothing changed.
    Refused,
    /// Published, but the log has not shown it yet: ask again, or publish again under its id.
    Pending,
}

/// What became of a change, in full.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ChangeAnswer {
    /// Names the change.
    pub id: String,
    /// What became of it.
    pub outcome: OutcomeKind,
    /// Its position in the log, once known.
    pub offset: Option<u64>,
    /// Whether it was refused because another change came in between.
    pub stale_base: bool,
    /// Why it was refused, every fault with its place and remedy.
    pub faults: Vec<String>,
    /// What an operator may want to look at.
    pub warnings: Vec<String>,
}

/// One declaration in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DeclarationSummary {
    /// Its kind.
    pub kind: KindName,
    /// Its name.
    pub name: String,
    /// The team that owns it.
    pub team: String,
    /// The record that wrote it last: the base of an edit.
    pub offset: u64,
}

/// The declarations in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct DeclarationList {
    /// How much of the log this daemon folded.
    pub version: u64,
    /// The declarations, by kind and name.
    pub declarations: Vec<DeclarationSummary>,
}

/// One declaration in full.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct DeclarationAnswer {
    /// Whose it is and where it stands.
    #[serde(flatten)]
    pub summary: DeclarationSummary,
    /// Itself, as an entry of a change file with its present base.
    pub body: serde_json::Value,
}

/// The figures behind a verdict, for one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct EvidenceAnswer {
    /// The route.
    pub route: String,
    /// Calls to the old version.
    pub old_calls: u64,
    /// Calls to the old version that failed.
    pub old_failed: u64,
    /// Calls to the old version that were slow.
    pub old_slow: u64,
    /// Calls to the new version.
    pub new_calls: u64,
    /// Calls to the new version that failed.
    pub new_failed: u64,
    /// Calls to the new version that were slow.
    pub new_slow: u64,
}

/// The states of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum MoveState {
    /// The start is in the future.
    Scheduled,
    /// Traffic moves.
    Moving,
    /// Part of the traffic is back on the old version while a suspicion is checked.
    Checking,
    /// An operator paused it.
    Paused,
    /// All traffic is on the new version and the watch goes on.
    Watched,
    /// All traffic is on the new version and the watch is over.
    Done,
    /// Traffic is back on the old version.
    TakenBack,
}

/// A move as this daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct MoveAnswer {
    /// Its name.
    pub name: String,
    /// The record that declared it.
    pub declared: u64,
    /// Its service.
    pub service: String,
    /// The version that had the traffic.
    pub from: String,
    /// The version that gets it.
    pub to: String,
    /// Where it stands.
    pub state: MoveState,
    /// Share of calls to the new version, in parts per million.
    pub share_ppm: u32,
    /// Whether the deadline cannot be met, or was not, safely.
    pub late: bool,
    /// Why it stands where it stands, in one sentence.
    pub reason: String,
    /// The figures, by route.
    pub evidence: Vec<EvidenceAnswer>,
}

/// The moves in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct MoveList {
    /// The moves, by name.
    pub moves: Vec<MoveAnswer>,
}

/// What an operator can order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum OrderKind {
    /// Stay at the present stage.
    Pause,
    /// Go on after a pause.
    Resume,
    /// Take stages as fast as the evidence allows, ahead of the schedule.
    Hasten,
    /// Take the move back.
    TakeBack,
}

/// An order to a move.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, JsonSchema)]
pub struct OrderBody {
    /// The order.
    pub order: OrderKind,
}

/// A backend server as it announces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AnnouncementBody {
    /// The service it serves.
    pub service: String,
    /// The version it runs.
    pub version: String,
    /// For selectors.
    #[serde(default)]
    #[schemars(with = "BTreeMap<String, String>")]
    pub labels: Labels,
    /// Calls it runs at a time; at least 1.
    pub slots: u32,
    /// Connections it takes; at least 1.
    pub connections: u32,
    /// Where it listens (HTTP).
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Whether it drains: it finishes what it has and gets nothing new.
    #[serde(default)]
    pub draining: bool,
}

/// What a daemon answers to an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct LeaseAnswer {
    /// The announcement lapses after this many milliseconds: renew it at a third of that.
    pub lease_ms: u64,
}

/// What is thought of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum MemberHealth {
    /// It answers.
    Alive,
    /// It did not answer; it may still refute.
    Suspect,
    /// It was suspect for too long.
    Dead,
    /// It said that it stops.
    Left,
}

/// A daemon as this daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct MemberAnswer {
    /// Its instance.
    pub instance: String,
    /// Which life of it.
    pub incarnation: u64,
    /// Its failure domain.
    pub failure_domain: String,
    /// What is thought of it.
    pub state: MemberHealth,
    /// Whether its whole failure domain is silent.
    pub cut_off: bool,
    /// The configuration version that it is known to hold.
    pub version: Option<u64>,
    /// Where its administration API listens.
    #[schemars(with = "String")]
    pub admin: SocketAddr,
}

/// The daemons that this daemon knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct MemberList {
    /// The daemons, by instance.
    pub members: Vec<MemberAnswer>,
}

/// A call that is refused because backend servers crashed while they ran it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct BlockedCallAnswer {
    /// Digest of the call, 16 hexadecimal digits, by which it is unblocked.
    pub digest: String,
    /// Method, host and target of the call; empty until this daemon has refused it.
    pub call: String,
    /// The backend servers that crashed while they ran it.
    pub crashed_servers: Vec<String>,
    /// When the last of them crashed, in Unix milliseconds.
    pub since_ms: u64,
    /// When the call is served again without an order, in Unix milliseconds.
    pub until_ms: u64,
    /// Calls that this daemon refused for it.
    pub refused: u64,
}

/// The calls that are refused because backend servers crashed while they ran them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct BlockedCallList {
    /// The calls, by digest.
    pub calls: Vec<BlockedCallAnswer>,
}

/// Names one blocked call.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct DigestPath {
    /// Its digest.
    pub digest: String,
}

/// A call that has been unblocked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct UnblockAnswer {
    /// Its digest.
    pub digest: String,
}

/// Whether a daemon is ready for new callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ReadyAnswer {
    /// The configuration version it holds.
    pub version: u64,
}

/// The whole state of a daemon, without secrets; for people and their scripts, since its fields
/// follow the release.
#[derive(Clone, Debug, Deref, From, Serialize, Deserialize, JsonSchema)]
#[serde(transparent)]
pub struct StateAnswer(#[schemars(with = "serde_json::Value")] pub Box<StateDump>);
