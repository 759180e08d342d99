//! Tests of the administration API and the statsd metrics, against a daemon on free ports.

mod errors;
mod harness;
mod metrics;
mod openapi;
mod publish;
