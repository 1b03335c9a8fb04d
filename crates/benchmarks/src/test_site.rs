//! The servers of a benchmark: discovery and engines on threads of this process, and the router as a separate process, so
//! that it shares nothing with the load.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use hoptiller_http::{Method, Request};
use hoptiller_mock_servers::ServerThread;
use hoptiller_mock_servers::discovery::DiscoveryConfig;
use hoptiller_mock_servers::engine::EngineConfig;
use serde_json::{Value, json};

use crate::error::BenchmarkError;
use crate::process::ServerProcess;
use crate::requests::exchange_once;

/// Time in which the router must discover its engines.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(20);

const DISCOVERY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The command-line arguments that select the measured program.
#[derive(Clone, clap::Args)]
pub(crate) struct SiteArgs {
    /// The program, built in release mode
    #[arg(long, default_value = "target/release/hoptiller")]
    program: PathBuf,
    /// The settings from which those of the router are derived
    #[arg(long, default_value = "examples/derby.jsonnet")]
    settings: PathBuf,
}

impl SiteArgs {
    /// Returns the file of the settings from which those of the router are derived.
    pub(crate) fn settings_file(&self) -> &Path {
        &self.settings
    }
}

/// A router with its engines and discovery, which stop when dropped.
pub(crate) struct TestSite {
    router: ServerProcess,
    engine_addresses: Vec<SocketAddr>,
    _engines: Vec<ServerThread>,
    _discovery: ServerThread,
}

impl TestSite {
    /// Starts all servers, and waits until the router has discovered its engines. The closures can change the settings of
    /// the router and the configuration of each engine before the start.
    pub(crate) fn start(
        args: &SiteArgs,
        engines: usize,
        change_settings: impl FnOnce(&mut Value),
        change_engine: impl Fn(&mut EngineConfig),
    ) -> Result<TestSite, BenchmarkError> {
        let discovery = DiscoveryConfig::default().start()?;
        let running = (0..engines)
            .map(|index| {
                let mut config = EngineConfig::new(&format!("e{index}"), "std-8a", "hall-a");
                config.discovery = Some(discovery.addr);
                change_engine(&mut config);
                config.start()
            })
            .collect::<io::Result<Vec<ServerThread>>>()?;
        let site = TestSite {
            router: start_router(args, discovery.addr, change_settings)?,
            engine_addresses: running.iter().map(|engine| engine.addr).collect(),
            _engines: running,
            _discovery: discovery,
        };
        let start = Instant::now();
        while site.listed_engines() != json!(engines) {
            if start.elapsed() > DISCOVERY_TIMEOUT {
                return Err(BenchmarkError::EnginesNotDiscovered {
                    found: site.listed_engines().to_string(),
                    expected: engines,
                    timeout: DISCOVERY_TIMEOUT,
                });
            }
            std::thread::sleep(DISCOVERY_POLL_INTERVAL);
        }
        Ok(site)
    }

    fn listed_engines(&self) -> Value {
        self.router_info()["engines"].clone()
    }

    pub(crate) fn router(&self) -> &ServerProcess {
        &self.router
    }

    pub(crate) fn engine_addresses(&self) -> &[SocketAddr] {
        &self.engine_addresses
    }

    /// Returns the router's response to `/v1/info`; null if it does not respond.
    pub(crate) fn router_info(&self) -> Value {
        let request = Request::new(Method::Get, "/v1/info");
        exchange_once(self.router.address(), &request)
            .ok()
            .and_then(|response| serde_json::from_slice(&response.body).ok())
            .unwrap_or_default()
    }
}

fn start_router(
    args: &SiteArgs,
    discovery: SocketAddr,
    change_settings: impl FnOnce(&mut Value),
) -> Result<ServerProcess, BenchmarkError> {
    let mut settings = hoptiller_statement_router::settings::evaluate_file(&args.settings)
        .map_err(|problem| BenchmarkError::Settings(problem.to_string()))?;
    settings["router"]["listen"] = json!("127.0.0.1:0");
    settings["router"]["state"] = Value::Null;
    settings["discovery"]["address"] = json!(discovery.to_string());
    change_settings(&mut settings);
    // JSON is valid Jsonnet.
    let name = format!("hoptiller-benchmarks-{}.jsonnet", std::process::id());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, settings.to_string())?;
    let router = ServerProcess::start(Command::new(&args.program).arg("route").arg(&file));
    std::fs::remove_file(&file)?;
    router
}

/// Changes settings so that statements and their deadlines outlast the benchmark.
pub(crate) fn extend_deadlines(settings: &mut Value) {
    for class in settings["classes"].as_array_mut().into_iter().flatten() {
        class["patience"] = json!("1h");
        class["aim"] = json!("30m");
    }
}
