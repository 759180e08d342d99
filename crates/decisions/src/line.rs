//! The log lines and their fields, as they are written in JSON.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// One structured log line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogLine {
    /// Time of the decision or change, in Unix milliseconds by the clock of the instance.
    pub at_ms: u64,
    /// The instance that wrote it.
    pub instance: Arc<str>,
    /// Content of the line.
    #[serde(flatten)]
    pub decision: Decision,
}

/// Content of a line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Decision {
    /// A decision about a call.
    Call {
        /// Id of the call, which is the same at all daemons that handle it.
        call: Arc<str>,
        /// What was decided or observed.
        #[serde(flatten)]
        decision: CallDecision,
    },
    /// A change of a belief of the daemon.
    Belief(Belief),
}

/// A decision about a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "decision", rename_all = "kebab-case")]
pub enum CallDecision {
    /// The daemon that the caller reached chose a route and a backend server for an attempt.
    Placed {
        /// Number of the attempt within the call, from 1.
        attempt: u32,
        /// Name of the route.
        route: Arc<str>,
        /// Version of the configuration that contains the route.
        config: u64,
        /// Name of the service.
        service: Arc<str>,
        /// Version of the service.
        version: Arc<str>,
        /// Name of the chosen backend server.
        server: Arc<str>,
        /// Estimated number of calls running or queued at the backend server.
        load: u32,
        /// Expected duration of the call, in milliseconds.
        expected_ms: f64,
        /// Age of the last load report from the server's daemon, in milliseconds; absent if there
        /// is none.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        told_ms_ago: Option<u64>,
        /// The second best backend server; absent if there was no other.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        runner_up: Option<Arc<str>>,
        /// Time left for the call, in milliseconds.
        left_ms: u64,
    },
    /// An attempt ended.
    Attempted {
        /// Number of the attempt within the call, from 1.
        attempt: u32,
        /// Name of the backend server.
        server: Arc<str>,
        /// How it ended.
        end: AttemptEnd,
        /// Duration of the attempt, in milliseconds.
        took_ms: f64,
    },
    /// The daemon that hosts the backend server decided whether the call gets a slot.
    Slot {
        /// Name of the backend server.
        server: Arc<str>,
        /// The decision.
        answer: SlotAnswer,
        /// Number of calls that were running.
        running: u32,
        /// Number of calls that were waiting for a slot.
        waiting: u32,
        /// Maximum number of concurrent calls at that time.
        limit: u32,
        /// Time left for the call, in milliseconds.
        left_ms: u64,
    },
    /// The call ended at the backend server, as seen by the daemon that hosts it.
    Ran {
        /// Name of the backend server.
        server: Arc<str>,
        /// How it ended.
        end: AttemptEnd,
        /// Duration since the call got its slot, in milliseconds.
        took_ms: f64,
    },
    /// The call ended for its caller.
    Ended {
        /// How it ended.
        end: CallEnd,
        /// HTTP status that the caller received.
        status: u16,
        /// Why the daemon answered the call itself; absent if a backend server answered it.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        reason: Option<Arc<str>>,
        /// Time after which the caller may retry, in milliseconds.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        come_back_ms: Option<u64>,
        /// Duration of the call, in milliseconds.
        took_ms: f64,
    },
    /// The caller's connection ended before the whole response to the call was written to it.
    Unanswered {
        /// What ended the connection.
        loss: Loss,
        /// Time from the arrival of the call, in milliseconds.
        took_ms: f64,
    },
}

/// Why a caller gets no response, or only a part of one.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Loss {
    /// The caller closed its connection.
    #[display("the caller closed its connection")]
    CallerLeft,
    /// The caller's connection was reset.
    #[display("the caller's connection was reset")]
    Reset,
    /// The caller's side did not acknowledge bytes or probes in time.
    #[display("the caller's connection did not respond in time")]
    ConnectionTimedOut,
    /// The response of the call itself broke off after its head had been written.
    #[display("its response broke off after the head was written")]
    ResponseBrokeOff,
    /// A response to an earlier call on the connection broke off after its head had been written.
    #[display("an earlier response on its connection broke off")]
    EarlierResponseBrokeOff,
    /// The connection ended, and it is not known why.
    #[display("its connection ended")]
    ConnectionEnded,
    /// The daemon ended its connections, because the stop grace was over or it was aborted.
    #[display("the daemon ended its connections")]
    Stopped,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptEnd {
    /// The backend server responded with this HTTP status.
    #[display("was answered with status {_0}")]
    Answered(u16),
    /// The daemon that hosts the server had no free slot, so the call was not run.
    #[display("found no slot and was not run")]
    NoSlot,
    /// The server itself refused the call because of its load, without running it.
    #[display("was shed by the server itself and not run")]
    Shed,
    /// Servers crashed while they ran the call before, so it was not run again.
    #[display("is blocked and was not run")]
    Blocked,
    /// No connection could be opened, or the server is leaving, so the call was not run.
    #[display("reached no server and was not run")]
    NotConnected,
    /// The connection broke; the call may have run.
    #[display("broke off and may have run")]
    Broken,
    /// The backend server crashed while it ran the call.
    #[display("broke off because the server crashed")]
    Crashed,
    /// No response arrived in time; the call may have run.
    #[display("got no answer in time and may have run")]
    TimedOut,
    /// The caller disconnected.
    #[display("was given up by its caller")]
    Cancelled,
}

/// Whether a call got a slot at a backend server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SlotAnswer {
    /// The call got a slot immediately.
    #[display("got a slot at once")]
    Run,
    /// The call got a slot after waiting in the queue.
    #[display("got a slot after a wait")]
    Waited,
    /// The call waited in the queue but got no slot, and was not run.
    #[display("waited for a slot in vain and was not run")]
    Expired,
    /// The call was refused immediately and was not run.
    #[display("was refused a slot at once and not run")]
    Refused,
}

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallEnd {
    /// The response of a backend server was forwarded.
    #[display("a backend server's answer was passed on")]
    Answered,
    /// The call was refused and was not run.
    #[display("it was refused as not run")]
    Refused,
    /// The call failed and may have run.
    #[display("whether it ran is not known")]
    Unknown,
    /// No route matches the call.
    #[display("no route takes it")]
    NoRoute,
    /// The call carries no key of a client account.
    #[display("it carries no key of a client account")]
    NoAccount,
    /// The client account has used up its allowance.
    #[display("its client account has used up its allowance")]
    OverAllowance,
}

/// A change of a belief: what a daemon holds to be true of itself, of the configuration, or of
/// other daemons, backend servers and dependencies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "belief", rename_all = "kebab-case")]
pub enum Belief {
    /// The process has started and is listening.
    Started {
        /// Incarnation number of the instance, which changes when it restarts.
        incarnation: u64,
    },
    /// The process was told to stop.
    Stopping,
    /// The process is about to exit.
    Stopped,
    /// The settings were reloaded.
    Reloaded {
        /// Result of the reload, as text.
        outcome: Arc<str>,
    },
    /// The daemon became ready for callers, or stopped being ready.
    Ready {
        /// Whether it is ready now.
        ready: bool,
    },
    /// The daemon started or stopped reading the log for its failure domain.
    Relay {
        /// Whether it reads the log now.
        reads: bool,
    },
    /// A configuration became active.
    Config {
        /// Version of the configuration.
        version: u64,
    },
    /// A dependency, such as the log service, started or stopped answering.
    Dependency {
        /// Name of the dependency.
        name: Arc<str>,
        /// Whether it answers now.
        answers: bool,
        /// The observation that this is based on, as text.
        seen: Arc<str>,
    },
    /// The state of another daemon changed in this daemon's view.
    Member {
        /// Name of the other daemon's instance.
        name: Arc<str>,
        /// Its new state.
        state: Arc<str>,
        /// Whether nothing is heard from its whole failure domain.
        cut_off: bool,
    },
    /// The state of a backend server changed in this daemon's view.
    Server {
        /// Name of the backend server.
        name: Arc<str>,
        /// Service that it belongs to.
        service: Arc<str>,
        /// Version that it announced.
        version: Arc<str>,
        /// Its new state.
        state: Arc<str>,
    },
    /// The state of a move changed.
    Move {
        /// Name of the move.
        name: Arc<str>,
        /// Its new state.
        stage: Arc<str>,
        /// Share of calls that the new version gets, in parts per million.
        share_ppm: u32,
        /// Why it is in this state, as text.
        reason: Arc<str>,
    },
    /// Lines were omitted since the last line of this kind, because there were too many.
    Omitted {
        /// Omitted lines about calls that failed, were refused, were retried or took long.
        failures: u64,
        /// Omitted lines about sampled calls that succeeded.
        samples: u64,
        /// Omitted lines about beliefs.
        beliefs: u64,
        /// Lines that were dropped because standard output was too slow.
        unwritten: u64,
    },
}

impl LogLine {
    /// Formats the line as one JSON object, without a line feed.
    pub fn to_json(&self) -> String {
        // Serialization cannot fail: JSON can represent everything but maps whose keys are not
        // strings, and a line has none.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses a line from JSON. Returns `None` if the text is not a line of this format, as is the
    /// case for other output of the process.
    pub fn from_json(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}
