//! The daemon: connects sockets, timers and the platform to an instance.
//!
//! [`start`] binds the sockets given in checked [`Settings`] and runs one
//! [`cyclamenmoor::Instance`] behind them until [`RunningDaemon::stop`]. The instance makes all
//! decisions and performs no I/O; the modules here pass it events and carry out its effects.
//! [`run_daemon`] adds what a daemon process needs: log lines, metrics, reloads and a graceful
//! stop.

pub mod admin;
mod bounded_writer;
mod call_metrics;
pub mod calls;
mod decision_log;
mod effects;
mod gossip;
mod http_endpoints;
mod lifecycle;
mod local_backend;
pub mod log_client;
pub mod logging;
pub mod metrics;
mod peers;
pub mod reload;
mod run;
pub mod settings;
mod shared;
pub mod store;

pub use bounded_writer::BoundedWriter;
pub use decision_log::{DecisionLog, DecisionLogSettings};
pub use lifecycle::run_daemon;
pub use run::{RunningDaemon, StartError, start};
pub use settings::{LimitSettings, OperatorToken, Settings, TokenHash};
pub use shared::{SharedInstance, SlotOutcome};
