//! The types that the router and the daemon exchange: the head of a call, its attempts, how
//! an attempt ends, and what the router decides next.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_declarations::{AccountKey, Criticality};
use cyclamen_types::{
    AccountName, ConfigVersion, Mono, RouteName, ServerName, ServiceName, VersionName,
};
use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// The parts of a call's request head that route matching reads.
#[derive(Clone, Copy)]
pub struct CallHead<'a> {
    /// HTTP method; decides on idempotence where the route leaves that to the method.
    pub method: &'a str,
    /// Host that the call is addressed to, in lower case and without the port.
    pub host: &'a str,
    /// Path of the URI, without the query.
    pub path: &'a str,
    /// Looks up a header by lower-case name.
    pub header: &'a dyn Fn(&str) -> Option<&'a str>,
    /// When the caller gives up; [`Mono::NEVER`] when it sets no deadline.
    pub deadline: Mono,
    /// Whether and how a local backend server made the call while it ran others.
    pub nesting: Nesting,
    /// What names the client account of the call.
    pub credential: Credential,
}

/// What a call carries to name its client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// Nothing.
    Absent {
        /// Whether a local backend server may have made the call while it ran another one. Such
        /// calls carry no key.
        may_be_nested: bool,
    },
    /// A key.
    Key(AccountKey),
    /// Several keys, or something that is no key.
    Unusable,
}

impl Credential {
    /// The credential of a call of an outside caller that carries none.
    pub const NONE: Self = Self::Absent { may_be_nested: false };
}

/// What is known of the running calls at local backend servers that may have made a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Nesting {
    /// Whether the call is nested is not known; its route tells, see
    /// [`Router::observe_nested_route`](crate::Router::observe_nested_route).
    ByRoute {
        /// Share of repeats among the calls that run at local backend servers, from 0 to 1.
        running_repeats: f64,
    },
    /// A running call is known to have made the call.
    Nested {
        /// How far that running call is a repeat, from 0 to 1.
        repeat: f64,
    },
}

impl Nesting {
    /// The nesting of a call of an outside caller, or at a daemon where no repeat runs.
    pub const NO_REPEATS: Self = Self::ByRoute { running_repeats: 0.0 };
}

/// Identifies an attempt among those of one [`Router`](crate::Router); a retry gets a new one.
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

/// The next hop of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hop {
    /// Address of a local backend server.
    Local(SocketAddr),
    /// Address of the daemon that hosts the backend server.
    Daemon(SocketAddr),
}

/// One attempt of a call at one backend server, for the daemon to carry out.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Passed back to the router when the attempt ends.
    pub id: AttemptId,
    /// Where to send the call.
    pub hop: Hop,
    /// The backend server that was picked.
    pub server: ServerName,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Version of the service that the server runs.
    pub version: VersionName,
    /// The route that matched the call.
    pub route: RouteName,
    /// Criticality class of the client account, else of the route, which orders the queue at the backend server.
    pub criticality: Criticality,
    /// Whether it is safe to run the call more than once.
    pub idempotent: bool,
    /// When the call is given up: the earlier of the caller's deadline and the route's timeout.
    pub deadline: Mono,
    /// When the route's target latency is reached; [`Mono::NEVER`] for a route without a target.
    pub target_at: Mono,
    /// When the route's timeout is reached, whatever deadline the caller sets.
    pub route_timeout_at: Mono,
    /// How many attempts of this call came before this one.
    pub previous_attempts: u32,
    /// How far the attempt is a repeat, from 0 to 1: 1 if an earlier attempt may have reached a
    /// server, else how far the running call that made this one is a repeat. Calls that a server
    /// makes while it runs a repeat are repeats at the services called.
    pub repeat: f64,
    /// How many more times the call may be sent on to another server if it would have to wait at this
    /// one, see [`Slots::refusal_to_send_on`](crate::Slots::refusal_to_send_on).
    pub moves_left: u32,
    /// The server that crashed during an earlier attempt of this call, if one did.
    pub crashed_server: Option<ServerName>,
    /// The client account that made the call; `None` if it is of none.
    pub account: Option<AccountName>,
    /// Version of the route table when the server was picked. A retry keeps the route of the first
    /// attempt, which may be of an earlier table.
    pub config: ConfigVersion,
    /// What the router knew when it picked the server.
    pub selection: ServerSelection,
}

/// What the router knew of a backend server when it picked it, for decision logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerSelection {
    /// Estimated number of calls running or queued at the server.
    pub load: u32,
    /// Cost by which the server was picked: the expected duration of the call, with penalties for
    /// load, failures, slow start, distance and size, and random noise. Of the time that the server
    /// takes without other calls, only a small part counts where it is well within the route's
    /// target. Zero in [`RouterMode::Baseline`](crate::RouterMode::Baseline).
    pub expected: Duration,
    /// Age of the newest load report of the server; `None` without a report.
    pub report_age: Option<Duration>,
    /// The server with the second lowest cost, if there was another candidate.
    pub runner_up: Option<ServerName>,
    /// Whether no call is believed to wait at another candidate that is no farther away.
    pub room_elsewhere: bool,
}

/// Lowest HTTP status that counts as a failure of the backend server itself.
pub(crate) const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The head of the answer arrived; its body follows.
    Answered {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The daemon that hosts the backend server refused the call; it was not run.
    RefusedByDaemon {
        /// How long the server counts as overloaded, unless its daemon reports a free slot before.
        /// Also the retry hint for the caller if there is no retry.
        retry_after: Duration,
    },
    /// The backend server itself refused the call because of its load; it was not run.
    Shed {
        /// How long the server counts as overloaded, unless its daemon reports a free slot before.
        /// Also the retry hint for the caller if there is no retry.
        retry_after: Duration,
    },
    /// The daemon that hosts the backend server refused the call because servers crashed while they
    /// ran it; it was not run this time.
    Blocked,
    /// The connection could not be opened, so no byte of the call was sent.
    NotConnected,
    /// The connection broke after bytes were sent and before an answer arrived.
    Reset,
    /// The backend server crashed after bytes were sent and before an answer arrived.
    ServerCrashed,
    /// No answer arrived in time.
    TimedOut,
    /// The caller disconnected before the answer.
    Cancelled,
    /// The connection broke within the body of the answer. The router itself records this in
    /// [`Router::end_body`](crate::Router::end_body).
    Truncated,
}

impl Outcome {
    /// Whether it is certain that the backend server did not run the call.
    pub fn not_run(self) -> bool {
        matches!(
            self,
            Self::RefusedByDaemon { .. } | Self::Shed { .. } | Self::Blocked | Self::NotConnected
        )
    }

    /// Whether the backend server failed the call; `None` where the outcome says nothing about
    /// the health of the server.
    pub fn failed(self) -> Option<bool> {
        match self {
            Self::Answered { status } => Some(status >= MIN_SERVER_ERROR_STATUS),
            Self::RefusedByDaemon { .. } | Self::Blocked | Self::Cancelled => None,
            // Unlike `RefusedByDaemon`, this counts against the server: its daemon had a free slot
            // for the call, and the server refused it all the same.
            Self::Shed { .. } => Some(true),
            Self::NotConnected
            | Self::Reset
            | Self::ServerCrashed
            | Self::TimedOut
            | Self::Truncated => Some(true),
        }
    }

    /// Whether bytes of the call may have reached a backend server. Such attempts
    /// are limited to the number of attempts of the route or service, without the extra ones of
    /// [`RetryLimits`](crate::RetryLimits).
    pub fn reached_server(self) -> bool {
        !matches!(self, Self::RefusedByDaemon { .. } | Self::Blocked | Self::NotConnected)
    }
}

/// What to do after an attempt ended.
#[expect(clippy::large_enum_variant, reason = "moving an attempt is cheaper than boxing each one")]
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Pass the answer on to the caller.
    Deliver,
    /// Make another attempt after the given delay.
    Retry(Attempt, Duration),
    /// Answer the caller with this refusal.
    Refuse(Refusal),
}

/// Why a call ends without an answer of a backend server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum RefusalKind {
    /// No route matches the call; it was not run.
    NoRoute,
    /// No backend server is available at the moment; the call was not run.
    Unavailable,
    /// The backend servers are at capacity and no retry was possible; the call was not run.
    Overloaded,
    /// The call could not be started before its deadline; it was not run.
    Expired,
    /// Backend servers crashed while they ran the call before; it was not run this time.
    Blocked,
    /// The call carries no key of a client account; it was not run.
    NoAccount,
    /// The client account of the call has used up its allowance; the call was not run.
    OverAllowance,
    /// The call may have run, and no answer tells whether it did.
    OutcomeUnknown,
}

/// What a caller is told when no backend server answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of refusal, which callers can act on.
    pub kind: RefusalKind,
    /// The cause and what the caller can do about it, in one sentence.
    pub reason: Arc<str>,
    /// How long to wait before the call is sent again; `None` without a suggestion.
    pub retry_after: Option<Duration>,
}
