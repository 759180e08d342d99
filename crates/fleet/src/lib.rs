//! Many instances in one thread: a virtual clock, a small fake network, a fake log.
//!
//! A [`Fleet`] drives real [`cyclamenmoor::Instance`]s from one seed. [`Network`] delays, drops,
//! duplicates and cuts; the log is down, slow, trimmed, or loses answers. Nothing waits for real
//! time, so the same seed gives the same run.

mod fleet;
mod log;
mod network;
mod schedule;

pub use fleet::{Fleet, FleetError, FleetOptions, NodeIndex};
pub use log::FakeLog;
pub use network::Network;
