//! The measurements behind docs/: each prints a table and a last line of JSON.

use argh::FromArgs;

mod calls;
mod converge;
mod moves;
mod process;
mod report;
mod slopes;
mod soak;

/// Measures cyclamenmoor on loopback; every load stops by itself.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Calls(calls::Args),
    Converge(converge::Args),
    Moves(moves::Args),
    Slopes(slopes::Args),
    Soak(soak::Args),
}

fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Calls(args) => calls::run(&args),
        Command::Converge(args) => converge::run(&args),
        Command::Moves(args) => moves::run(&args),
        Command::Slopes(args) => slopes::run(&args),
        Command::Soak(args) => soak::run(&args),
    }
}
