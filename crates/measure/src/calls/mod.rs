//! What a call costs and what callers are told.
//!
//! Daemons run on a thread each, backend servers and callers beside them, all on loopback. The
//! direct path to the same backend servers is measured in the same run, call by call in turn.

mod cpu;
mod figures;
mod load;
mod mesh;
mod scenarios;

use std::str::FromStr;

use argh::FromArgs;
use cyclamen_routing::{QueueOrder, RouterMode};

use crate::report;

/// what a call costs and what callers are told
#[derive(FromArgs)]
#[argh(subcommand, name = "calls")]
pub struct Args {
    /// seed of all randomness
    #[argh(option, default = "1")]
    seed: u64,
    /// steady, overload, drain, slow-one, kill or chain
    #[argh(option, default = "Scenario::Steady")]
    scenario: Scenario,
    /// seconds of load
    #[argh(option, default = "10")]
    seconds: u64,
    /// calls per second and daemon
    #[argh(option, default = "250.0")]
    rate: f64,
    /// random choice, no limits, three retries of whatever failed
    #[argh(switch)]
    baseline: bool,
    /// of waiting calls the newest goes first
    #[argh(switch)]
    newest_first: bool,
}

/// What happens during the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scenario {
    /// Nothing.
    Steady,
    /// More calls than the backend servers can carry.
    Overload,
    /// A server is withdrawn and its daemon stopped.
    Drain,
    /// One server is slow.
    SlowOne,
    /// A daemon is killed.
    Kill,
    /// Calls go 7 deep.
    Chain,
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "steady" => Ok(Self::Steady),
            "overload" => Ok(Self::Overload),
            "drain" => Ok(Self::Drain),
            "slow-one" => Ok(Self::SlowOne),
            "kill" => Ok(Self::Kill),
            "chain" => Ok(Self::Chain),
            _ => Err("write steady, overload, drain, slow-one, kill or chain".into()),
        }
    }
}

impl Args {
    fn order(&self) -> QueueOrder {
        if self.newest_first { QueueOrder::NewestFirst } else { QueueOrder::OldestFirst }
    }

    fn mode(&self) -> RouterMode {
        if self.baseline { RouterMode::Baseline } else { RouterMode::Full }
    }
}

/// Runs the measurement.
///
/// # Errors
/// The measurement could not be set up.
pub fn run(args: &Args) -> anyhow::Result<()> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    match args.scenario {
        Scenario::Overload => {
            let figures = runtime.block_on(scenarios::overload(args))?;
            figures::print_overload(&figures);
            report::last_line(&figures)
        }
        _ => {
            let figures = runtime.block_on(scenarios::paths(args))?;
            figures::print_paths(&figures);
            report::last_line(&figures)
        }
    }
}
