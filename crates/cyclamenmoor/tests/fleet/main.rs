//! Several real instances together, on fakes of network and log, under a virtual clock.

mod changes;
mod faults;
mod fleet;
mod herds;
mod log;
