//! The store that keeps the configuration whole: what a daemon reads of it and writes to it.
//!
//! [`View`] joins what was read into one configuration; it does no input or output. [`link`] reads
//! the store, or asks a daemon that does ([`copies`]), and hands each new configuration to the
//! instance; [`verdicts`] writes how moves ended.

mod copies;
mod link;
mod verdicts;
mod view;

pub(crate) use link::{Link, follow, introduce};
pub(crate) use verdicts::settle;
pub use view::{Adopted, View};
