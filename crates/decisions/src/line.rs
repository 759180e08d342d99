//! The lines and their fields.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// One line of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// When it was written, in Unix milliseconds by the clock of the instance.
    pub at_ms: u64,
    /// The instance that wrote it.
    pub instance: Arc<str>,
    /// What it tells.
    #[serde(flatten)]
    pub decision: Decision,
}

/// What a line tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Decision {
    /// A decision about a call.
    Call {
        /// The id of the call.
        call: Arc<str>,
        /// The decision.
        #[serde(flatten)]
        decision: CallDecision,
    },
    /// A change of what the daemon believes.
    Belief(Belief),
}

/// A decision about a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "decision", rename_all = "kebab-case")]
pub enum CallDecision {
    /// A route and a backend server were chosen.
    Placed {
        /// Which attempt of the call, from 1.
        attempt: u32,
        /// The route.
        route: Arc<str>,
        /// The version of the configuration that it is of.
        config: u64,
        /// The service.
        service: Arc<str>,
        /// The version of the service.
        version: Arc<str>,
        /// The backend server.
        server: Arc<str>,
        /// Calls that the server was taken to have.
        load: u32,
        /// How long the call was expected to take, in milliseconds.
        expected_ms: f64,
        /// Age of what its daemon last told, in milliseconds; absent when it told nothing.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        told_ms_ago: Option<u64>,
        /// The next best server.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        runner_up: Option<Arc<str>>,
        /// Time left for the call, in milliseconds.
        left_ms: u64,
    },
    /// An attempt ended.
    Attempted {
        /// Which attempt of the call, from 1.
        attempt: u32,
        /// The backend server.
        server: Arc<str>,
        /// How it ended.
        end: AttemptEnd,
        /// How long it took, in milliseconds.
        took_ms: f64,
    },
    /// The daemon beside a backend server answered whether the call gets a slot.
    Slot {
        /// The backend server.
        server: Arc<str>,
        /// The answer.
        answer: SlotAnswer,
        /// Calls that ran.
        running: u32,
        /// Calls that waited.
        waiting: u32,
        /// Calls that may run at a time.
        limit: u32,
        /// Time left for the call, in milliseconds.
        left_ms: u64,
    },
    /// The daemon beside a backend server saw the end of the call there.
    Ran {
        /// The backend server.
        server: Arc<str>,
        /// How it ended.
        end: AttemptEnd,
        /// How long it took after it got its slot, in milliseconds.
        took_ms: f64,
    },
    /// The caller was told the end of the call.
    Ended {
        /// How it ended.
        end: CallEnd,
        /// The status told.
        status: u16,
        /// Why, for an end without a backend server's answer.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        reason: Option<Arc<str>>,
        /// When the caller may come back, in milliseconds.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        come_back_ms: Option<u64>,
        /// How long the call took, in milliseconds.
        took_ms: f64,
    },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptEnd {
    /// The backend server answered with this status.
    #[display("was answered with status {_0}")]
    Answered(u16),
    /// The daemon beside the server had no slot: not run.
    #[display("found no slot and was not run")]
    NoSlot,
    /// The server itself said that it did not run the call.
    #[display("was shed by the server itself and not run")]
    Shed,
    /// No connection, or the server leaves: not run.
    #[display("reached no server and was not run")]
    NotConnected,
    /// The connection broke; it may have run.
    #[display("broke off and may have run")]
    Broken,
    /// No answer in time; it may have run.
    #[display("got no answer in time and may have run")]
    TimedOut,
    /// The caller went away.
    #[display("was given up by its caller")]
    Cancelled,
}

/// Whether a call gets a slot.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SlotAnswer {
    /// At once.
    #[display("got a slot at once")]
    Run,
    /// After a wait.
    #[display("got a slot after a wait")]
    Waited,
    /// It waited in vain: not run.
    #[display("waited for a slot in vain and was not run")]
    Expired,
    /// It was refused at once: not run.
    #[display("was refused a slot at once and not run")]
    Refused,
}

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallEnd {
    /// A backend server's answer was passed on.
    #[display("a backend server's answer was passed on")]
    Answered,
    /// It was refused and was not run.
    #[display("it was refused as not run")]
    Refused,
    /// Whether it ran is not known.
    #[display("whether it ran is not known")]
    Unknown,
    /// No route takes it.
    #[display("no route takes it")]
    NoRoute,
}

/// A change of what a daemon believes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "belief", rename_all = "kebab-case")]
pub enum Belief {
    /// The process runs, and listens.
    Started {
        /// Which life of the instance.
        incarnation: u64,
    },
    /// The process was told to stop.
    Stopping,
    /// The process ends.
    Stopped,
    /// The settings were read again.
    Reloaded {
        /// What came of it.
        outcome: Arc<str>,
    },
    /// The daemon is ready for callers, or no longer.
    Ready {
        /// Whether it is.
        ready: bool,
    },
    /// The daemon reads the log for its failure domain, or no longer.
    Relay {
        /// Whether it does.
        reads: bool,
    },
    /// A configuration is in force.
    Config {
        /// Its version.
        version: u64,
    },
    /// A dependency answers again, or no longer.
    Dependency {
        /// Which one.
        name: Arc<str>,
        /// Whether it answers.
        answers: bool,
        /// What was seen.
        seen: Arc<str>,
    },
    /// Another daemon is thought of otherwise.
    Member {
        /// Its name.
        name: Arc<str>,
        /// What is thought of it.
        state: Arc<str>,
        /// Whether its failure domain is silent.
        cut_off: bool,
    },
    /// A backend server is thought of otherwise.
    Server {
        /// Its name.
        name: Arc<str>,
        /// Its service.
        service: Arc<str>,
        /// The version that it announced.
        version: Arc<str>,
        /// Its state.
        state: Arc<str>,
    },
    /// A move came to another stage.
    Move {
        /// Its name.
        name: Arc<str>,
        /// Its stage.
        stage: Arc<str>,
        /// Share of the new version, in parts per million.
        share_ppm: u32,
        /// Why.
        reason: Arc<str>,
    },
    /// Lines that were left out since the last such line, because there were too many.
    Omitted {
        /// Lines about calls that failed or were refused.
        failures: u64,
        /// Lines about calls that went well.
        samples: u64,
        /// Lines about what the daemon believes.
        beliefs: u64,
        /// Lines that standard output was too slow for.
        unwritten: u64,
    },
}

impl Line {
    /// The line as text, without the line feed.
    pub fn to_text(&self) -> String {
        // A line has no map with keys other than texts, the one thing that JSON refuses.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads a line; `None` when the text is none.
    pub fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}
