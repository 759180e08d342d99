//! Served systems in one process: deployments, experiments, the promises checked.
//!
//! A [`Lab`] runs the log service's stand-in, one real daemon beside each backend server, and the
//! backend servers, all on loopback ports of their own. [`Deployment`] gives the shape of a served
//! system; [`Traffic`] the calls that its callers make; [`Promises`] what has to hold meanwhile.

pub mod demo;
mod deployment;
mod lab;
mod node;
mod promises;
mod traffic;

pub use deployment::{Deployment, RouteShape, ServiceShape};
pub use lab::{Lab, LabOptions, PublishError};
pub use node::{Node, NodePlan};
pub use promises::{Broken, Promise, Promises};
pub use traffic::Traffic;
