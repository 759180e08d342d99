//! A backend server's stand-in: announces itself, runs calls, fails on request, remembers.

mod announce;
mod faults;
mod record;
mod server;

pub use announce::Announcer;
pub use faults::{Fault, FaultEffect, Scope};
pub use record::{CallKey, RunRecord};
pub use server::{BackendOptions, BackendServer};
