//! How fast a change is in force everywhere, and what that costs.

use argh::FromArgs;

/// how fast a change is in force everywhere, and what that costs
#[derive(FromArgs)]
#[argh(subcommand, name = "converge")]
pub struct Args {
    /// seed of all randomness
    #[argh(option, default = "1")]
    seed: u64,
}

/// Runs the measurement.
///
/// # Errors
/// The measurement could not be set up.
pub fn run(args: &Args) -> anyhow::Result<()> {
    anyhow::bail!("this measurement is not built yet (seed {})", args.seed)
}
