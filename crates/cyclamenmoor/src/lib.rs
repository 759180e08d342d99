//! The state machine of one daemon, free of I/O: it opens no sockets, reads no clock and draws
//! all randomness from a given seed.
//!
//! [`Instance`] combines the ledger, configuration distribution, membership, moves and routing.
//! Its owner performs the I/O: it passes each [`Event`] to [`Instance::handle`] together with the
//! current time, then carries out the [`Effect`]s that were pushed into the reusable [`Effects`]
//! buffer. Calls use [`Instance::begin`] and [`Instance::finish`] at the daemon that the caller
//! reached, and [`Instance::admit`] and [`Instance::release`] at the daemon that hosts the backend
//! server; these return without waiting.

mod appends;
mod calls;
mod conversions;
mod dump;
mod event;
mod instance;
mod local_servers;
mod settings;

pub use calls::{BodyEnd, Served};
pub use dump::{Dump, MemberDump, ServerDump, SlotsDump};
pub use event::{
    AnnounceError, Announcement, AnnouncementOrder, AppendError, Effect, Effects, Event, Ticket,
};
pub use instance::Instance;
pub use settings::InstanceSettings;
