//! The state machine of one daemon, free of I/O: it opens no sockets, reads no clock and draws
//! all randomness from a given seed.
//!
//! [`Instance`] combines the ledger, configuration distribution, membership, moves, routing, the
//! allowances of client accounts and the list of calls that crash backend servers.
//! Its owner performs the I/O: it passes each [`Event`] to [`Instance::handle`] together with the
//! current time, then carries out the [`Effect`]s that were pushed into the reusable [`Effects`]
//! buffer. Calls use [`Instance::begin_call`] and [`Instance::finish_attempt`] at the daemon that the
//! caller reached, and [`Instance::admit_call`] and [`Instance::release_call`] at the daemon that
//! hosts the backend server; these return without waiting.

mod allowances;
mod appends;
mod blocked_calls;
mod calls;
mod cold_servers;
mod conversions;
mod departures;
mod dump;
mod event;
mod history;
mod instance;
mod local_servers;
mod server_slots;
mod settings;

pub use calls::{BodyEnd, LocalCallResult};
pub use cyclamen_routing::StopTimes;
pub use dump::{MemberDump, ServerDump, SlotsDump, StateDump};
pub use event::{
    AnnounceError, Announcement, AnnouncementOrder, AppendError, AppendTicket, Effect, Effects,
    Event,
};
pub use history::HistorySource;
pub use instance::Instance;
pub use settings::InstanceSettings;
