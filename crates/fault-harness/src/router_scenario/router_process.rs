//! A router of a scenario, with its settings, log and current process.

use std::fs::File;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use hoptiller_http::{Method, Request};
use serde_json::{Value, json};

use super::http_call::call;
use super::scenario::RouterScenario;
use crate::client_load::RouterAddress;
use crate::error::ScenarioError;
use crate::process::{Process, ProcessConfig, ProcessError};
use crate::stable_address::stable_address;

/// Maximum time until a router lists all engines.
const LISTING_TIMEOUT: Duration = Duration::from_secs(20);
const LISTING_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A router of a scenario. Dropping the value kills its process.
pub(super) struct RouterProcess {
    address: RouterAddress,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Process>,
}

impl RouterProcess {
    /// Creates the router `index` and writes its settings to the folder `dir`, without starting a process.
    pub(super) fn new(
        scenario: &RouterScenario,
        dir: &Path,
        index: u32,
        discovery: SocketAddr,
    ) -> Result<RouterProcess, ScenarioError> {
        let name = format!("router-{index}");
        // Routers keep their addresses after restarts, so that the URIs that clients hold stay valid.
        let addr = stable_address();
        let mut settings = scenario.router_settings.clone();
        settings["router"] = json!({
            "name": name, "index": index, "of": scenario.routers, "listen": addr.to_string(),
            "state": dir.join(format!("{name}.state")), "seed": index + 1,
        });
        settings["discovery"]["address"] = json!(discovery.to_string());
        let file = dir.join(format!("{name}.jsonnet"));
        std::fs::write(&file, format!("{settings:#}")).map_err(ScenarioError::io(&name))?;
        Ok(RouterProcess {
            log: dir.join(format!("{name}.log")),
            settings: file,
            address: RouterAddress { name, addr },
            process: None,
        })
    }

    /// Returns the name and address, which stay the same after restarts.
    pub(super) fn address(&self) -> &RouterAddress {
        &self.address
    }

    /// Starts a process of `program`, after the previous one has ended.
    pub(super) fn start(&mut self, program: &Path) -> Result<(), ScenarioError> {
        self.wait()?;
        let name = &self.address.name;
        self.mark_log().map_err(ScenarioError::io(name))?;
        let settings = self.settings.display().to_string();
        let started = Process::start(&ProcessConfig {
            name,
            program,
            args: &["--log", "info", "route", &settings],
            env: &[],
            log: &self.log,
        });
        let process = started.map_err(|error| match error {
            ProcessError::Spawn { name, source } => ScenarioError::Io {
                subject: name,
                source,
            },
            ProcessError::NotReady { name, .. } => ScenarioError::RouterNotStarted {
                router: name,
                log: self.log.clone(),
            },
        })?;
        self.process = Some(process);
        Ok(())
    }

    /// Writes a line to the log that separates the output of the next process from that of the previous one.
    fn mark_log(&self) -> io::Result<()> {
        let mut log = File::options().create(true).append(true).open(&self.log)?;
        writeln!(log, "---- a new process")
    }

    /// Waits until the router lists `engines` engines.
    pub(super) fn wait_until_engines_listed(&self, engines: usize) -> Result<(), ScenarioError> {
        let deadline = Instant::now() + LISTING_TIMEOUT;
        while Instant::now() < deadline {
            let info = call(self.address.addr, &Request::new(Method::Get, "/v1/info"));
            let info = info.and_then(|body| serde_json::from_slice::<Value>(&body).ok());
            if info.is_some_and(|info| info["engines"] == json!(engines)) {
                return Ok(());
            }
            std::thread::sleep(LISTING_POLL_INTERVAL);
        }
        Err(ScenarioError::EnginesNotListed {
            router: self.address.name.clone(),
            log: self.log.clone(),
        })
    }

    /// Returns whether there is a started process that was neither killed nor waited for.
    pub(super) fn has_process(&self) -> bool {
        self.process.is_some()
    }

    /// Kills the process, if there is one.
    pub(super) fn kill(&mut self) {
        if let Some(process) = self.process.take() {
            process.kill();
        }
    }

    /// Asks the process to shut down, if there is one.
    pub(super) fn terminate(&self) {
        self.process.iter().for_each(Process::terminate);
    }

    /// Waits until the process has ended, if there is one.
    pub(super) fn wait(&mut self) -> Result<(), ScenarioError> {
        match self.process.take() {
            Some(process) => process
                .wait()
                .map(drop)
                .map_err(ScenarioError::io(&self.address.name)),
            None => Ok(()),
        }
    }
}
