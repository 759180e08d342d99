//! One instance of the system, without sockets, clock or randomness of its own.
//!
//! [`Instance`] joins ledger, distribution, membership, moves and routing. Whoever owns sockets
//! and clocks hands it an [`Event`] with the time and carries out the [`Effect`]s it pushed into
//! the reused [`Effects`] buffer. Calls go through [`Instance::begin`], [`Instance::finish`],
//! [`Instance::admit`] and [`Instance::release`], which answer at once.

mod appends;
mod calls;
mod dump;
mod event;
mod instance;
mod servers;
mod settings;
mod sync;

pub use calls::{BodyEnd, Served};
pub use dump::{Dump, MemberDump, ServerDump, SlotsDump};
pub use event::{
    AnnounceError, Announcement, AnnouncementOrder, AppendError, Effect, Effects, Event, Ticket,
};
pub use instance::Instance;
pub use settings::InstanceSettings;
