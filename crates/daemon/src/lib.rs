//! The daemon: moves bytes between sockets and an instance.
//!
//! [`start`] binds the sockets of checked [`Settings`] and runs one [`cyclamenmoor::Instance`]
//! behind them until [`Running::stop`]. All decisions are the instance's; the modules here read,
//! write and wait.

pub mod admin;
pub mod calls;
mod doors;
mod fetch;
mod gossip;
mod life;
pub mod log_client;
pub mod logging;
pub mod metrics;
mod peers;
mod run;
pub mod settings;
mod shared;
pub mod store;

pub use life::run_until;
pub use run::{Running, StartError, start};
pub use settings::{LimitSettings, OperatorToken, Settings, TokenHash};
pub use shared::{Shared, SlotTurn};
