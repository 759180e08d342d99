//! The log service's stand-in: HTTP with JSON, in memory, failing on request.

mod server;
mod store;

pub use server::{LogFaults, LogService};
pub use store::{LogCounters, LogOptions, LogStore, ReadError, StoredRecord};
