//! `hoptiller standin`: what a router talks to, as stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use hoptiller_audit::Recorder;
use hoptiller_mock_servers::discovery::DiscoveryConfig;
use hoptiller_mock_servers::engine::EngineConfig;
use hoptiller_mock_servers::ledger::Ledger;

use crate::run::{self, Failure};

#[derive(clap::Subcommand)]
pub enum Args {
    /// An engine: models work and burns none. `PUT /v1/info/state` with "SHUTTING_DOWN" drains it,
    /// `PUT /v1/standin/faults` makes it fail.
    Engine(EngineArgs),
    /// A discovery service
    Discovery(DiscoveryArgs),
}

#[derive(clap::Args)]
pub struct EngineArgs {
    /// Its name; kept over restarts
    #[arg(long)]
    node: String,
    /// Where it listens
    #[arg(long, default_value = "127.0.0.1:0", value_name = "ADDR")]
    listen: SocketAddr,
    /// Where it announces itself
    #[arg(long, value_name = "ADDR")]
    discovery: Option<SocketAddr>,
    /// Its machine kind
    #[arg(long, default_value = "std-8a")]
    kind: String,
    /// Its zone
    #[arg(long, default_value = "hall-a")]
    zone: String,
    /// It starts cold
    #[arg(long)]
    cold: bool,
    /// File of its effects
    #[arg(long, value_name = "FILE")]
    ledger: Option<PathBuf>,
    /// File of what passes on its sockets
    #[arg(long, value_name = "FILE")]
    records: Option<PathBuf>,
}

#[derive(clap::Args)]
pub struct DiscoveryArgs {
    /// Where it listens
    #[arg(long, default_value = "127.0.0.1:0", value_name = "ADDR")]
    listen: SocketAddr,
    /// How long an announcement counts, in seconds
    #[arg(long, default_value_t = 2, value_name = "S")]
    keep: u64,
    /// File of what it tells whom
    #[arg(long, value_name = "FILE")]
    records: Option<PathBuf>,
}

fn recorder(path: &Option<PathBuf>) -> Result<Recorder, Failure> {
    match path {
        None => Ok(Recorder::default()),
        Some(path) => {
            Recorder::to_file(path).map_err(|e| Failure::Outside(path.display().to_string(), e))
        }
    }
}

pub fn run(args: &Args) -> Result<ExitCode, Failure> {
    let started = match args {
        Args::Engine(a) => {
            let mut engine = EngineConfig::new(&a.node, &a.kind, &a.zone);
            (engine.listen, engine.discovery, engine.starts_cold) = (a.listen, a.discovery, a.cold);
            engine.recorder = recorder(&a.records)?;
            if let Some(path) = &a.ledger {
                engine.ledger = Ledger::open(path)
                    .map_err(|e| Failure::Outside(path.display().to_string(), e))?;
            }
            engine.start()
        }
        Args::Discovery(a) => {
            let keep = Duration::from_secs(a.keep);
            let recorder = recorder(&a.records)?;
            DiscoveryConfig {
                listen: a.listen,
                announcement_ttl: keep,
                recorder,
                ..DiscoveryConfig::default()
            }
            .start()
        }
    };
    let running = started.map_err(|e| Failure::Outside("the stand-in can't start".into(), e))?;
    println!("ready http://{}", running.addr);
    run::block_on(async |_| run::told_to_end().await)?;
    Ok(ExitCode::SUCCESS)
}
