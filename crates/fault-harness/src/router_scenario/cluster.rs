//! The cluster of a router scenario: discovery and engines in the current process, routers as child processes, and
//! their files.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use hoptiller_audit::{Record, Recorder, unix_micros};
use hoptiller_http::{Method, Request};
use hoptiller_mock_servers::ServerThread;
use hoptiller_mock_servers::discovery::{DiscoveryConfig, DiscoveryFaults};
use hoptiller_mock_servers::engine::EngineConfig;
use hoptiller_mock_servers::engine_faults::EngineFaults;
use hoptiller_mock_servers::ledger::Ledger;

use super::event::RouterEvent;
use super::http_call::call;
use super::router_process::RouterProcess;
use super::scenario::{RouterEngineSpec, RouterScenario};
use crate::client_load::RouterAddress;
use crate::error::ScenarioError;
use crate::mock_engine::MockEngine;

/// Maximum time to wait for engines to become idle after the routers have ended.
const ENGINES_TIMEOUT: Duration = Duration::from_secs(40);
const ENGINES_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The running processes and servers of a scenario. Dropping the value ends all of them.
pub(super) struct RouterCluster {
    client_recorder: Recorder,
    program: PathBuf,
    discovery: DiscoveryConfig,
    discovery_faults: DiscoveryFaults,
    _discovery_server: ServerThread,
    engines: Vec<MockEngine>,
    routers: Vec<RouterProcess>,
}

impl RouterCluster {
    /// Writes the rules, starts all servers and routers, and waits until all routers list all engines.
    pub(super) fn start(
        scenario: &RouterScenario,
        program: &Path,
        dir: &Path,
    ) -> Result<RouterCluster, ScenarioError> {
        let rules = serde_json::to_string_pretty(&scenario.settings.audit_rules());
        std::fs::write(dir.join("rules.json"), rules.unwrap_or_default())
            .map_err(ScenarioError::io("rules.json"))?;
        let discovery = DiscoveryConfig {
            recorder: recorder(dir, "discovery")?,
            environment: scenario.settings.discovery.environment.clone(),
            ..DiscoveryConfig::default()
        };
        let running_discovery = discovery
            .start()
            .map_err(ScenarioError::io("mock discovery"))?;
        let engines = start_engines(scenario, dir, running_discovery.addr)?;
        let routers = (0..scenario.routers)
            .map(|index| RouterProcess::new(scenario, dir, index, running_discovery.addr))
            .collect::<Result<Vec<RouterProcess>, ScenarioError>>()?;
        let mut cluster = RouterCluster {
            client_recorder: recorder(dir, "clients")?,
            program: program.to_owned(),
            discovery,
            discovery_faults: DiscoveryFaults::default(),
            _discovery_server: running_discovery,
            engines,
            routers,
        };
        for router in &mut cluster.routers {
            router.start(&cluster.program)?;
        }
        for router in &cluster.routers {
            router.wait_until_engines_listed(cluster.engines.len())?;
        }
        Ok(cluster)
    }

    /// Returns the recorder of the observations of clients.
    pub(super) fn client_recorder(&self) -> &Recorder {
        &self.client_recorder
    }

    /// Returns all routers, including those that are not running.
    pub(super) fn router_addresses(&self) -> Vec<RouterAddress> {
        let routers = self.routers.iter();
        routers.map(|router| router.address().clone()).collect()
    }

    /// Applies an event. Events of the client load have no effect here.
    pub(super) fn apply(&mut self, event: &RouterEvent) -> Result<(), ScenarioError> {
        match event {
            RouterEvent::SetLoadFactor(_) => {}
            RouterEvent::SetEngineFaults { engine, faults } => {
                self.set_engine_faults(*engine, faults);
            }
            RouterEvent::DrainEngine(engine) => drain(self.engines[*engine].config().listen),
            RouterEvent::CrashEngine(engine) => self.engines[*engine].crash(),
            RouterEvent::StartEngine(engine) => start_engine(&mut self.engines[*engine])?,
            RouterEvent::KillRouter(router) => self.kill_router(*router),
            RouterEvent::TerminateRouter(router) => self.routers[*router].terminate(),
            RouterEvent::StartRouter(router) => self.routers[*router].start(&self.program)?,
            RouterEvent::SetDiscoveryStale(stale) => {
                self.discovery_faults.stale = *stale;
                self.discovery.inject_faults(self.discovery_faults);
            }
            RouterEvent::SetDiscoveryDown(down) => {
                self.discovery_faults.down = *down;
                self.discovery.inject_faults(self.discovery_faults);
            }
        }
        Ok(())
    }

    fn set_engine_faults(&self, engine: usize, faults: &EngineFaults) {
        self.engines[engine].config().inject_faults(faults.clone());
    }

    fn kill_router(&mut self, router: usize) {
        let router = &mut self.routers[router];
        if router.has_process() {
            // The kill is recorded first. Responses that the router sends just before its end count in either order.
            self.client_recorder.write(Record::RouterKilled {
                at: unix_micros(),
                router: router.address().name.clone(),
            });
            router.kill();
        }
    }

    /// Shuts the routers down gracefully, waits at most 40 s until the engines are idle, and then ends everything. An
    /// engine that does not respond counts as idle.
    ///
    /// # Errors
    ///
    /// Returns an error if waiting for a router fails.
    pub(super) fn shut_down(mut self) -> Result<(), ScenarioError> {
        self.routers.iter().for_each(RouterProcess::terminate);
        self.routers.iter_mut().try_for_each(RouterProcess::wait)?;
        // Only attempts that are still running on engines can have further effects.
        let deadline = Instant::now() + ENGINES_TIMEOUT;
        while Instant::now() < deadline && self.has_busy_engine() {
            std::thread::sleep(ENGINES_POLL_INTERVAL);
        }
        Ok(())
    }

    fn has_busy_engine(&self) -> bool {
        let running = self.engines.iter().filter_map(MockEngine::running_addr);
        running.into_iter().any(is_busy)
    }
}

fn recorder(dir: &Path, name: &str) -> Result<Recorder, ScenarioError> {
    Recorder::to_file(&dir.join(format!("{name}.jsonl"))).map_err(ScenarioError::io(name))
}

fn start_engines(
    scenario: &RouterScenario,
    dir: &Path,
    discovery: SocketAddr,
) -> Result<Vec<MockEngine>, ScenarioError> {
    let ledger = Ledger::open(&dir.join("ledger.txt")).map_err(ScenarioError::io("ledger.txt"))?;
    let mut engines = Vec::new();
    for (index, spec) in scenario.engines.iter().enumerate() {
        let mut config = engine_config(scenario, &format!("engine-{index}"), spec);
        config.discovery = Some(discovery);
        config.recorder = recorder(dir, &config.node)?;
        config.ledger = ledger.clone();
        let mut engine = MockEngine::new(config);
        start_engine(&mut engine)?;
        engines.push(engine);
    }
    Ok(engines)
}

/// Returns the configuration of an engine that behaves as the router settings describe.
fn engine_config(scenario: &RouterScenario, name: &str, spec: &RouterEngineSpec) -> EngineConfig {
    const DEFAULT_CORES: f64 = 8.0;
    let settings = &scenario.settings;
    let mut config = EngineConfig::new(name, &spec.kind, &spec.zone);
    config
        .environment
        .clone_from(&settings.discovery.environment);
    config.starts_cold = spec.cold;
    config.work_model.speed = spec.speed;
    config.work_model.cores = scenario.cores(&spec.kind).unwrap_or(DEFAULT_CORES);
    config.work_model.cancel_stops_work = settings.engines.supports_cancel;
    config.work_model.warm_up_micros = settings.rules.slow_start_window.as_micros() as u64;
    config.work_model.cold_speed_fraction = settings.rules.start_capacity;
    config.work_model.overload_factor = settings.rules.overload_factor;
    config.work_model.overload_window_micros = settings.rules.overload_window.as_micros() as u64;
    config
}

fn start_engine(engine: &mut MockEngine) -> Result<(), ScenarioError> {
    let name = engine.config().node.clone();
    engine.start().map_err(ScenarioError::io(name))
}

/// Asks an engine to drain. The request is not retried if the engine does not respond.
fn drain(engine: SocketAddr) {
    let mut request = Request::new(Method::Put, "/v1/info/state");
    request.body = b"\"SHUTTING_DOWN\"".to_vec();
    let _ = call(engine, &request);
}

fn is_busy(engine: SocketAddr) -> bool {
    call(engine, &Request::new(Method::Get, "/v1/status"))
        .and_then(|body| serde_json::from_slice::<serde_json::Value>(&body).ok())
        .and_then(|status| status["processCpuLoad"].as_f64())
        .is_some_and(|load| load > 0.0)
}
