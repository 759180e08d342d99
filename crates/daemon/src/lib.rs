//! The daemon: moves bytes between sockets and an instance.
//!
//! [`start`] binds the sockets of checked [`Settings`] and runs one [`cyclamenmoor::Instance`]
//! behind them until [`Running::stop`]. All decisions are the instance's; the modules here read,
//! write and wait.

pub mod admin;
mod bounded_writer;
mod call_metrics;
pub mod calls;
mod effects;
mod gossip;
mod http_endpoints;
mod lifecycle;
mod lines;
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
pub use lifecycle::run_until;
pub use lines::{LineSettings, Lines};
pub use run::{Running, StartError, start};
pub use settings::{LimitSettings, OperatorToken, Settings, TokenHash};
pub use shared::{Shared, SlotTurn};
