//! Names, offsets, times and collections that every crate shares.
//!
//! This crate holds no behaviour beyond checking its own values: a name is valid once it exists,
//! an offset orders records of the log, and [`Now`] is the only way time enters the other crates.

mod collections;
mod names;
mod offset;
mod time;

pub use collections::{FastMap, FastSet, SeededMap};
pub use names::{
    AccountName, ChangeId, FailureDomain, InstanceName, MoveName, NameError, PolicyName,
    RegionName, RouteName, ServerName, ServiceName, TeamName, VersionName,
};
pub use offset::{ConfigVersion, Incarnation, Offset};
pub use time::{Mono, Now, Wall};
