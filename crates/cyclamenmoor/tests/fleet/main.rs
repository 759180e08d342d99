//! Simulation of a fleet: real instances exchange messages over a simulated network and log
//! service, under a virtual clock.

mod changes;
mod fake_log;
mod fleet;
mod random_faults;
mod restarts;
