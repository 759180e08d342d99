//! A call and its attempts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::Criticality;
use cyclamen_types::{ConfigVersion, Mono, RouteName, ServerName, ServiceName, VersionName};
use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// What the choice of a route reads of a call.
#[derive(Clone, Copy)]
pub struct CallHead<'a> {
    /// Its method.
    pub method: &'a str,
    /// Its host, lower case, without port.
    pub host: &'a str,
    /// Its path, without query.
    pub path: &'a str,
    /// Looks up a header by lower-case name.
    pub header: &'a dyn Fn(&str) -> Option<&'a str>,
    /// When the caller gives up; [`Mono::NEVER`] when it did not say.
    pub deadline: Mono,
}

/// One attempt of a call.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct AttemptId(pub u64);

/// Where an attempt goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hop {
    /// The backend server beside this daemon.
    Local(SocketAddr),
    /// The daemon beside the backend server.
    Daemon(SocketAddr),
}

/// An attempt to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Its number at this daemon.
    pub id: AttemptId,
    /// Where it goes.
    pub hop: Hop,
    /// The backend server.
    pub server: ServerName,
    /// Its service.
    pub service: ServiceName,
    /// Its version.
    pub version: VersionName,
    /// The route taken.
    pub route: RouteName,
    /// For the queue beside the backend server.
    pub criticality: Criticality,
    /// Whether the call may run twice.
    pub idempotent: bool,
    /// When the call ends whatever happens.
    pub deadline: Mono,
    /// When an answer is wanted; [`Mono::NEVER`] where the route does not say.
    pub aim: Mono,
    /// When the route's own limit for a call ends, whatever the caller would wait for.
    pub timeout_at: Mono,
    /// Attempts of this call before this one.
    pub earlier: u32,
    /// The version of the configuration that the route is of.
    pub config: ConfigVersion,
    /// Why this server.
    pub choice: Choice,
}

/// What decided for a backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Choice {
    /// Calls that it was taken to have.
    pub load: u32,
    /// How long the call was expected to take.
    pub expected: Duration,
    /// Age of what the daemon beside it last told; `None` when it told nothing.
    pub told_ago: Option<Duration>,
    /// The next best server.
    pub runner_up: Option<ServerName>,
}

/// Lowest status that counts as the backend server's own failure.
pub(crate) const SERVER_FAULT_STATUS: u16 = 500;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The head of an answer came; the body follows.
    Answered {
        /// Its status.
        status: u16,
    },
    /// The daemon beside the server said that the call was not run.
    NotRun {
        /// When it may be tried again.
        retry_after: Duration,
    },
    /// The backend server itself said that it did not run the call.
    Shed {
        /// When it may be tried again.
        retry_after: Duration,
    },
    /// No connection, so not a byte was sent.
    NotConnected,
    /// The connection broke with bytes sent and no answer.
    Reset,
    /// No answer in time.
    TimedOut,
    /// The caller went away.
    Cancelled,
    /// The body of the answer broke off.
    Truncated,
}

impl Outcome {
    /// Whether the call surely was not run.
    pub fn not_run(self) -> bool {
        matches!(self, Self::NotRun { .. } | Self::Shed { .. } | Self::NotConnected)
    }

    /// Whether the backend server failed the call; `None` where the end says nothing about it.
    pub fn failed(self) -> Option<bool> {
        match self {
            Self::Answered { status } => Some(status >= SERVER_FAULT_STATUS),
            Self::NotRun { .. } | Self::Cancelled => None,
            // The daemon beside the server had found a slot for the call.
            Self::Shed { .. } => Some(true),
            Self::NotConnected | Self::Reset | Self::TimedOut | Self::Truncated => Some(true),
        }
    }

    /// Whether the call may have come to a backend server, run or not.
    pub fn reached_server(self) -> bool {
        !matches!(self, Self::NotRun { .. } | Self::NotConnected)
    }
}

/// What follows an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Pass the answer on.
    Deliver,
    /// Make another attempt after a pause.
    Retry(Attempt, Duration),
    /// Tell the caller.
    Refuse(Refusal),
}

/// The ways in which a call ends without a backend server's answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum RefusalKind {
    /// No route takes the call. Not run.
    NoRoute,
    /// No backend server can take it now. Not run.
    Unavailable,
    /// Queue or budget is full. Not run.
    Overloaded,
    /// The deadline passed before it was run. Not run.
    Expired,
    /// It may have run; nobody knows.
    OutcomeUnknown,
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Which way.
    pub kind: RefusalKind,
    /// Why and what to do, in one sentence.
    pub reason: Arc<str>,
    /// When to come back.
    pub retry_after: Option<Duration>,
}
