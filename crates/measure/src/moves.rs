//! How moves of good and bad versions end.

use argh::FromArgs;

/// how moves of good and bad versions end
#[derive(FromArgs)]
#[argh(subcommand, name = "moves")]
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
