//! Finds the calls that crash the backend servers that run them (queries of death), so that daemons
//! refuse them.
//!
//! The daemon beside a backend server registers each call that runs there with
//! [`Blocklist::begin_run`], and reports a crash of the server with [`Blocklist::server_crashed`].
//! All calls that ran are suspects then. An answer of any server clears a call. A call is blocked
//! once the crashes under it weigh enough, see [`Record::is_blocked`].
//!
//! Daemons exchange [`Record`]s, which merge in any order, so all of them reach the same verdicts.
//! [`Blocklist`] is a state machine without I/O or clocks: the owner passes in the current time,
//! sends what [`Blocklist::take_updates`] returns, and passes what it receives to
//! [`Blocklist::merge`].

mod blocklist;
mod digest;
mod record;
mod suspects;
mod wire;

pub use blocklist::{BlockedCall, Blocklist, BlocklistCounters, Denial, Update};
pub use digest::{
    CallContent, CallDigest, CallKey, DigestKey, MalformedDigest, Scope, ScopeDigest,
};
pub use record::{Crash, ENTRY_PERIOD, Record};
pub use suspects::RunId;
pub use wire::is_payload;
