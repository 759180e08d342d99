//! The program `cyclamen`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    cyclamen_cli::run(&args).into()
}
