//! The program `cyclamend`: reads its settings, runs a daemon until SIGTERM or SIGINT, and stops it
//! gracefully. With `--check` it only reports the faults in a settings file.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};
use cyclamen_daemon::reload::{Fingerprint, SettingsFile};
use cyclamen_daemon::settings::{ProcessSettings, RawSettings, SettingsFaults};
use cyclamen_daemon::{StartError, logging, run_daemon};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit status if the arguments or the settings have faults, or logging cannot be started.
const SETTINGS_STATUS: u8 = 2;

/// Exit status if a socket cannot be bound.
const BIND_STATUS: u8 = 3;

/// Exit status if anything else prevents the start.
const START_STATUS: u8 = 1;

/// One daemon of the mesh.
#[derive(FromArgs)]
struct Args {
    /// the settings file to run with
    #[argh(option)]
    settings: Option<PathBuf>,
    /// the settings file to check only
    #[argh(option)]
    check: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let args = match Args::from_args(&["cyclamend"], &args) {
        Ok(args) => args,
        Err(exit) => return early_exit(&exit),
    };
    match (args.settings, args.check) {
        (Some(path), None) => run(&path),
        (None, Some(path)) => check(&path),
        _ => {
            eprintln!("give one of --settings FILE and --check FILE");
            ExitCode::from(SETTINGS_STATUS)
        }
    }
}

fn early_exit(exit: &EarlyExit) -> ExitCode {
    if exit.status.is_ok() {
        println!("{}", exit.output.trim_end());
        return ExitCode::SUCCESS;
    }
    eprintln!("{}", exit.output.trim_end());
    ExitCode::from(SETTINGS_STATUS)
}

fn check(path: &Path) -> ExitCode {
    match read(path) {
        Ok(_) => {
            println!("{}: no faults", path.display());
            ExitCode::SUCCESS
        }
        Err(faults) => settings_failure(path, &faults),
    }
}

fn run(path: &Path) -> ExitCode {
    let settings = match read(path) {
        Ok(settings) => settings,
        Err(faults) => return settings_failure(path, &faults),
    };
    if let Err(error) = logging::init(&settings.logging) {
        eprintln!("cyclamend: cannot start logging: {error:#}");
        return ExitCode::from(SETTINGS_STATUS);
    }
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!(
                "cyclamend: cannot create a runtime: {error}; check the limits of this process"
            );
            return ExitCode::from(START_STATUS);
        }
    };
    runtime.block_on(serve(settings, path))
}

async fn serve(settings: ProcessSettings, path: &Path) -> ExitCode {
    let hup = signal(SignalKind::hangup());
    let signals = match StopSignals::listen().and_then(|signals| Ok((signals, hup?))) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!(
                "cyclamend: cannot handle signals: {error}; check the limits of this process"
            );
            return ExitCode::from(START_STATUS);
        }
    };
    let (signals, hup) = signals;
    let started_with = Fingerprint::of(&settings);
    let file = SettingsFile { path: path.into(), started_with, hup };
    match run_daemon(settings.daemon, Some(file), signals.received()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cyclamend: {error}");
            ExitCode::from(start_status(&error))
        }
    }
}

fn read(path: &Path) -> Result<ProcessSettings, SettingsFaults> {
    RawSettings::read(path)?.try_into()
}

fn settings_failure(path: &Path, faults: &SettingsFaults) -> ExitCode {
    eprintln!("{}: {faults}", path.display());
    ExitCode::from(SETTINGS_STATUS)
}

fn start_status(error: &StartError) -> u8 {
    match error {
        StartError::Bind { .. } => BIND_STATUS,
        StartError::Admin(_) | StartError::DecisionLogThread(_) => START_STATUS,
    }
}

/// The signals that stop the daemon. They are handled from the creation of this value on, so that a
/// signal that arrives during the start is not lost and does not kill the process.
struct StopSignals {
    term: Signal,
    int: Signal,
}

impl StopSignals {
    fn listen() -> io::Result<Self> {
        let term = signal(SignalKind::terminate())?;
        let int = signal(SignalKind::interrupt())?;
        Ok(Self { term, int })
    }

    /// Completes at the first SIGTERM or SIGINT.
    async fn received(mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }
}
