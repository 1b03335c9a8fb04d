//! `hoptiller standin`: runs mock servers for the services to which a router connects.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use hoptiller_audit::Recorder;
use hoptiller_mock_servers::ServerThread;
use hoptiller_mock_servers::discovery::DiscoveryConfig;
use hoptiller_mock_servers::engine::EngineConfig;
use hoptiller_mock_servers::ledger::Ledger;

use crate::error::CommandError;
use crate::runtime::{self, wait_for_termination};

/// The mock server to run.
#[derive(clap::Subcommand)]
pub(crate) enum Args {
    /// Runs an engine, which simulates work without using the processor. `PUT /v1/info/state` with "SHUTTING_DOWN" drains
    /// it, and `PUT /v1/standin/faults` injects faults
    Engine(EngineArgs),
    /// Runs a discovery service
    Discovery(DiscoveryArgs),
}

/// Arguments of `hoptiller standin engine`.
#[derive(clap::Args)]
pub(crate) struct EngineArgs {
    /// The engine's name, which stays the same after a restart
    #[arg(long)]
    node: String,
    /// The address to listen on
    #[arg(long, default_value = "127.0.0.1:0", value_name = "ADDR")]
    listen: SocketAddr,
    /// The discovery service to register with
    #[arg(long, value_name = "ADDR")]
    discovery: Option<SocketAddr>,
    /// The machine kind
    #[arg(long, default_value = "std-8a")]
    kind: String,
    /// The zone
    #[arg(long, default_value = "hall-a")]
    zone: String,
    /// Start the engine with a cold cache
    #[arg(long)]
    cold: bool,
    /// File for the effects of statements
    #[arg(long, value_name = "FILE")]
    ledger: Option<PathBuf>,
    /// File for records of the engine's messages, for `hoptiller audit`
    #[arg(long, value_name = "FILE")]
    records: Option<PathBuf>,
}

/// Arguments of `hoptiller standin discovery`.
#[derive(clap::Args)]
pub(crate) struct DiscoveryArgs {
    /// The address to listen on
    #[arg(long, default_value = "127.0.0.1:0", value_name = "ADDR")]
    listen: SocketAddr,
    /// Time for which an announcement is valid, in seconds
    #[arg(long = "keep", default_value_t = 2, value_name = "S")]
    announcement_ttl: u64,
    /// File for records of the lists served, for `hoptiller audit`
    #[arg(long, value_name = "FILE")]
    records: Option<PathBuf>,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, CommandError> {
    let server = match args {
        Args::Engine(args) => start_engine(args)?,
        Args::Discovery(args) => start_discovery(args)?,
    };
    println!("ready http://{}", server.addr);
    runtime::block_on(async |_| wait_for_termination().await)?;
    Ok(ExitCode::SUCCESS)
}

fn start_engine(args: &EngineArgs) -> Result<ServerThread, CommandError> {
    let mut engine = EngineConfig::new(&args.node, &args.kind, &args.zone);
    engine.listen = args.listen;
    engine.discovery = args.discovery;
    engine.starts_cold = args.cold;
    engine.recorder = recorder(args.records.as_deref())?;
    if let Some(path) = &args.ledger {
        engine.ledger = Ledger::open(path).map_err(file_error(path))?;
    }
    engine.start().map_err(start_error())
}

fn start_discovery(args: &DiscoveryArgs) -> Result<ServerThread, CommandError> {
    let discovery = DiscoveryConfig {
        listen: args.listen,
        announcement_ttl: Duration::from_secs(args.announcement_ttl),
        recorder: recorder(args.records.as_deref())?,
        ..DiscoveryConfig::default()
    };
    discovery.start().map_err(start_error())
}

fn start_error() -> impl FnOnce(io::Error) -> CommandError {
    CommandError::io("cannot start the mock server")
}

fn recorder(path: Option<&Path>) -> Result<Recorder, CommandError> {
    match path {
        None => Ok(Recorder::default()),
        Some(path) => Recorder::to_file(path).map_err(file_error(path)),
    }
}

fn file_error(path: &Path) -> impl FnOnce(io::Error) -> CommandError {
    CommandError::io(path.display().to_string())
}
