//! The demonstration: a good move ends done, a bad one is taken back, under a steady load.
//!
//! [`run`] starts a [`crate::Lab`], drives it for less than a minute, prints its progress and
//! returns a [`Summary`]; [`Summary::print`] shows the table.

mod progress;
mod script;
mod summary;

pub use script::{DemoOptions, run};
pub use summary::{MoveLine, Summary};
