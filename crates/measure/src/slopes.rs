//! How costs grow with the size of the fleet.

use argh::FromArgs;

/// how costs grow with the size of the fleet
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
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
