//! How a daemon gets the records it lacks: relays, pulls, snapshots, herds.
//!
//! [`Distribution`] decides when to read the log and whom to ask; it owns no records. The ledger
//! folds what it obtains, and membership tells it who reads the log and who holds more.

mod backoff;
mod distribution;
mod fresh;
mod gaps;
mod log_reader;
mod messages;
mod restore;
mod snapshots;

pub use distribution::{
    ConfigSource, Distribution, DistributionCounters, DistributionSettings, Fetch, LogBatch,
    LogReadError,
};
pub use messages::{PeerRequest, PeerResponse, StoredRecord};
