//! The administration API and the metrics of a real daemon on free ports.

mod bench;
mod errors;
mod metrics;
mod openapi;
mod publish;
