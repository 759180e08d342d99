//! Everything at once for minutes, with the promises checked all the time.

use argh::FromArgs;

/// everything at once for minutes, with the promises checked all the time
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
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
