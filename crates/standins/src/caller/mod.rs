//! A caller's stand-in: makes calls and tallies what it was told.

mod client;
mod load;
mod tally;

pub use client::{Answer, CallPlan, Client, Told};
pub use load::{Load, LoadOptions, Targets};
pub use tally::{OnceCall, Tally};
