//! Stand-ins for the log service, a backend server and a caller.
//!
//! Each runs inside the present tokio runtime on a port of its own and stops when its handle is
//! dropped. [`LogService`] keeps records and fails on request, [`BackendServer`] announces itself
//! and remembers what it ran, [`Load`] makes calls at a set rate and tallies what callers were
//! told.

mod backend;
mod caller;
mod log;
mod serve;

pub use backend::{
    Announcer, BackendOptions, BackendServer, CallKey, Fault, FaultEffect, RunRecord, Scope,
};
pub use caller::{Answer, CallPlan, Client, Load, LoadOptions, OnceCall, Tally, Targets, Told};
pub use log::{LogCounters, LogFaults, LogOptions, LogService, LogStore, ReadError, StoredRecord};
