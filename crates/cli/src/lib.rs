//! The operators' command line: subcommands that talk to the administration API of a daemon.
//!
//! [`run`] takes the arguments of the process and answers its [`Status`]. Each subcommand is a
//! module of [`commands`] with its arguments and a `run` of its own.

mod client;
pub mod commands;
mod error;
mod globals;
mod input;
mod output;
mod status;

use tokio::runtime::Builder;

pub use self::globals::hoist;
pub use self::status::Status;

/// Runs the command line and prints what it has to say.
pub fn run(args: &[String]) -> Status {
    let args = hoist(args);
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let cli = match <commands::Cli as argh::FromArgs>::from_args(&["cyclamen"], &args) {
        Ok(cli) => cli,
        Err(exit) => return early_exit(&exit),
    };
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cyclamen: no runtime: {error}; look at the limits of this process");
            return Status::Failed;
        }
    };
    match runtime.block_on(cli.run()) {
        Ok(status) => status,
        Err(failure) => {
            eprintln!("cyclamen: {failure}");
            failure.status()
        }
    }
}

fn early_exit(exit: &argh::EarlyExit) -> Status {
    if exit.status.is_ok() {
        println!("{}", exit.output.trim_end());
        return Status::Done;
    }
    eprintln!("{}", exit.output.trim_end());
    Status::Usage
}
