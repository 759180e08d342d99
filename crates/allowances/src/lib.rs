//! Rate limits of client accounts (quotas) that hold over all daemons together.
//!
//! Each daemon admits calls from a token bucket of its own, [`Allowances::admit`]. Its refill rate
//! and depth are a share of the account's, held as a lease. One daemon, the owner of the account by
//! rendezvous hashing, lends the shares in proportion to demand, and lends single tokens out of what
//! it has not lent as shares. Shares are fractions of the allowance, so a changed allowance binds
//! wherever the configuration is known, without an exchange.
//!
//! A share outlives its owner: it stays in force until the lease ends, and its holder claims it from
//! the next owner, which lends no more than what is left. So the sum holds while daemons restart,
//! and daemons that are cut off go on with what they hold.
//!
//! [`Allowances`] is a state machine without I/O or clocks: the owner passes in the current time,
//! sends what [`Allowances::take_messages`] returns, and passes what it receives to
//! [`Allowances::receive`].

mod account;
mod allowances;
mod bucket;
mod demand;
mod fleet;
mod ledger;
mod limits;
mod wire;

pub use account::ShareView;
pub use allowances::{AllowanceCounters, Allowances, Denied, Message};
pub use wire::is_payload;
