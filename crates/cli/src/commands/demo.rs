//! `hoptiller demo`: runs mock engines, discovery and a router in one process, on loopback.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use async_io::Timer;
use hoptiller_http::Spawner;
use hoptiller_mock_servers::ServerThread;
use hoptiller_mock_servers::discovery::DiscoveryConfig;
use hoptiller_mock_servers::engine::EngineConfig;
use hoptiller_statement_router::{Service, Settings};

use super::service::shut_down;
use crate::error::CommandError;
use crate::random_id::random_id;
use crate::runtime::{self, wait_for_termination};
use crate::{metrics_endpoint, secret};

/// The settings from which those of the demo are derived.
const EXAMPLE_SETTINGS: &str = include_str!("../../../../examples/derby.jsonnet");

const EXAMPLE_FILE_NAME: &str = "derby.jsonnet";

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// Time for which the demo waits until the router has discovered all engines.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(10);

const DISCOVERY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Arguments of `hoptiller demo`.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// The router's address; port 0 selects a free one
    #[arg(long, default_value = "127.0.0.1:0", value_name = "ADDR")]
    http: SocketAddr,
    /// Number of mock engines
    #[arg(long, default_value_t = 8, value_name = "N", value_parser = clap::value_parser!(u16).range(1..=64))]
    engines: u16,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, CommandError> {
    runtime::raise_descriptor_limit();
    let discovery = DiscoveryConfig::default()
        .start()
        .map_err(CommandError::io("cannot start the mock discovery service"))?;
    let engines = start_engines(args.engines, discovery.addr)?;
    let settings = settings(args.http, discovery.addr)?;
    runtime::block_on(async |spawner| {
        serve(args, settings, engines.len(), spawner).await?;
        Ok(ExitCode::SUCCESS)
    })
}

fn start_engines(count: u16, discovery: SocketAddr) -> Result<Vec<ServerThread>, CommandError> {
    let mut running = Vec::new();
    for n in 0..count {
        // Four of seven engines have the kind that may run reports.
        let kind = if n % 7 < 4 { "std-8a" } else { "std-8b" };
        let zone = ZONES[usize::from(n) % ZONES.len()];
        let mut engine = EngineConfig::new(&format!("engine-{n}"), kind, zone);
        engine.discovery = Some(discovery);
        engine.reports_progress = true;
        let engine = engine
            .start()
            .map_err(CommandError::io("cannot start a mock engine"))?;
        running.push(engine);
    }
    Ok(running)
}

/// Returns the settings of the example, changed to loopback and without a state folder.
fn settings(listen: SocketAddr, discovery: SocketAddr) -> Result<Settings, CommandError> {
    let mut value =
        hoptiller_statement_router::settings::evaluate(EXAMPLE_FILE_NAME, EXAMPLE_SETTINGS)?;
    value["router"]["listen"] = listen.to_string().into();
    value["router"]["state"] = serde_json::Value::Null;
    value["router"]["admin"] = "127.0.0.1:0".into();
    value["discovery"]["address"] = discovery.to_string().into();
    Ok(Settings::from_value(EXAMPLE_FILE_NAME, &value)?)
}

async fn serve(
    args: &Args,
    settings: Settings,
    engines: usize,
    spawner: Spawner,
) -> Result<(), CommandError> {
    let metrics = metrics_endpoint::start(&spawner);
    let service = Service::new(settings, &secret::generate(), random_id(), spawner)?;
    let address = service
        .start(metrics)
        .map_err(CommandError::io(format!("cannot listen on {}", args.http)))?;
    let start = Instant::now();
    while service.listed_engines() < engines && start.elapsed() < DISCOVERY_TIMEOUT {
        Timer::after(DISCOVERY_POLL_INTERVAL).await;
    }
    println!("ready http://{address}");
    if let Some(admin) = service.admin_addr() {
        eprintln!("To show runaways: hoptiller runaways --admin {admin}");
    }
    eprintln!(
        "{engines} mock engines, classes lookup, report, rent-load (by client tag class=…). Try:\n  \
         curl -s -X POST http://{address}/v1/statement -H 'X-Trino-User: me' -d 'SELECT 1'\nPress Ctrl-C to stop."
    );
    wait_for_termination().await?;
    shut_down(&service).await;
    Ok(())
}
