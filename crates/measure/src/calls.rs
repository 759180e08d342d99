//! What a call costs and what callers are told.

use argh::FromArgs;

/// what a call costs and what callers are told
#[derive(FromArgs)]
#[argh(subcommand, name = "calls")]
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
