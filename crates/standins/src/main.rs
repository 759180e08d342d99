//! Stand-ins as processes: a log service, a backend server.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use cyclamen_standins::{
    Announcer, BackendOptions, BackendServer, Fault, FaultEffect, LogOptions, LogService,
    RunRecord, Scope,
};
use cyclamen_types::{ServerName, ServiceName, VersionName};

/// Stands in for the log service or a backend server, on loopback.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Log(LogArgs),
    Backend(BackendArgs),
}

/// the log service: appends and long-poll reads, in memory
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
struct LogArgs {
    /// where to listen
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 7000))")]
    listen: SocketAddr,
    /// records kept
    #[argh(option, default = "LogOptions::default().retention_records")]
    retention: usize,
    /// appends taken per second
    #[argh(option, default = "LogOptions::default().appends_per_second")]
    appends: u32,
}

/// a backend server that announces itself to the daemon beside it
#[derive(FromArgs)]
#[argh(subcommand, name = "backend")]
struct BackendArgs {
    /// name of the server
    #[argh(option)]
    name: ServerName,
    /// service it serves
    #[argh(option)]
    service: ServiceName,
    /// version it runs
    #[argh(option)]
    version: VersionName,
    /// where to listen
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// administration address of the daemon beside it
    #[argh(option)]
    daemon: SocketAddr,
    /// calls it runs at a time
    #[argh(option, default = "15")]
    slots: u32,
    /// work of a call, in milliseconds
    #[argh(option, default = "2")]
    work_ms: u64,
    /// share of calls that it fails, in percent
    #[argh(option, default = "0")]
    fail_percent: u32,
    /// only calls whose path starts with this fail
    #[argh(option)]
    fail_path: Option<String>,
    /// seconds until it begins to fail
    #[argh(option, default = "0")]
    fail_after: u64,
}

/// Connections a backend server announces.
const CONNECTIONS: u32 = 130;

/// One percent, in parts per million.
const PERCENT_PPM: u32 = 10_000;

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Log(args) => run_log(&args).await,
        Command::Backend(args) => run_backend(args).await,
    }
}

async fn run_log(args: &LogArgs) -> anyhow::Result<()> {
    let options =
        LogOptions { retention_records: args.retention, appends_per_second: args.appends };
    let service = LogService::start(args.listen, options).await?;
    println!("log service on {}", service.address());
    tokio::signal::ctrl_c().await?;
    Ok(())
}

async fn run_backend(args: BackendArgs) -> anyhow::Result<()> {
    let faults = faults(&args);
    let options = BackendOptions {
        name: args.name,
        service: args.service,
        version: args.version,
        slots: args.slots,
        connections: CONNECTIONS,
        service_time: Duration::from_millis(args.work_ms),
        cold_start: Duration::ZERO,
        onward: None,
        faults,
        seed: 1,
    };
    let server = BackendServer::start(args.listen, options, RunRecord::default()).await?;
    let mut announcer = Announcer::start(&server, args.daemon);
    println!("backend server {} on {}", server.options().name, server.address());
    tokio::signal::ctrl_c().await?;
    announcer.withdraw().await;
    Ok(())
}

fn faults(args: &BackendArgs) -> Vec<Fault> {
    if args.fail_percent == 0 {
        return Vec::new();
    }
    let scope = Scope {
        path_prefix: args.fail_path.as_deref().map(Into::into),
        share_ppm: args.fail_percent * PERCENT_PPM,
        after: Duration::from_secs(args.fail_after),
        above_in_flight: 0,
    };
    vec![Fault { scope, effect: FaultEffect::Fail }]
}
