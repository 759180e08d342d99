//! Synchronization with the platform's store, which holds the operators' configuration.
//!
//! [`sync`] reads records from the store, or from another daemon that serves them out of its
//! [`record_cache`], and passes each new configuration to the instance. [`StoreView`] combines the
//! records into one configuration; it performs no I/O. [`verdicts`] writes the final state of a
//! move to the store. [`registration`] writes the daemon itself there, and finds the others.
//! [`history`] keeps there what must outlive a restart of the daemon.

mod availability;
mod fetch;
mod history;
mod record_cache;
mod registration;
mod sync;
mod verdicts;
mod view;

pub(crate) use history::{ask_peers, keep_departures};
pub(crate) use registration::register_and_discover;
pub(crate) use sync::{StoreSync, follow_store};
pub(crate) use verdicts::record_verdict;
pub use view::{AppliedRecords, StoreView};
