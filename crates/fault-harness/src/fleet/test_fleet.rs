//! A fleet of processes, its setup and its start.

use std::path::Path;
use std::time::Duration;

use hoptiller_audit::Recorder;
use hoptiller_coordination::Document;
use hoptiller_coordination_client::Secret;
use hoptiller_coordination_client::wire::ProposalResponse;
use hoptiller_mock_servers::ServerThread;
use hoptiller_mock_servers::discovery::DiscoveryConfig;
use hoptiller_mock_servers::engine::EngineConfig;

use super::error::FleetError;
use super::files::FleetFiles;
use super::links::Links;
use super::replicas::Replicas;
use super::routers::Routers;
use super::topology::Topology;
use crate::mock_engine::MockEngine;

/// Name of every test fleet in the configuration of its replicas.
pub const FLEET_NAME: &str = "stage";
/// Number of the first version that a fleet accepts.
pub const FIRST_VERSION: u64 = 1;
/// Secret of a test fleet. Its value is arbitrary, but all processes must share it.
const SECRET: &str = "5ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e7";

/// A fleet of processes on loopback. Dropping the value ends all processes and servers.
pub struct TestFleet {
    pub(super) topology: Topology,
    pub(super) files: FleetFiles,
    pub(super) links: Links,
    pub(super) replicas: Replicas,
    pub(super) routers: Routers,
    engines: Vec<MockEngine>,
    pub(super) discovery: ServerThread,
    pub(super) secret: Secret,
    pub(super) recorder: Recorder,
}

impl TestFleet {
    /// Sets up a fleet in the folder `dir`, which is created, without starting processes of `program`.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder, its files, discovery or a link can't be created.
    pub fn new(topology: Topology, program: &Path, dir: &Path) -> Result<TestFleet, FleetError> {
        let files = FleetFiles::create(program, dir)?;
        std::fs::write(files.secret(), SECRET).map_err(FleetError::file(&files.secret()))?;
        let secret = Secret::load(&files.secret()).map_err(FleetError::file(&files.secret()))?;
        let records = files.path("stage.jsonl");
        let recorder = Recorder::to_file(&records).map_err(FleetError::file(&records))?;
        let discovery = DiscoveryConfig {
            recorder: recorder.clone(),
            enforces_fencing: topology
                .engines
                .iter()
                .any(|engine| engine.enforces_fencing),
            ..DiscoveryConfig::default()
        }
        .start()
        .map_err(FleetError::server("discovery"))?;
        let links = Links::new(&topology, discovery.addr).map_err(FleetError::server("link"))?;
        let engines = topology.engines.iter().enumerate().map(|(index, spec)| {
            let mut config = EngineConfig::new(&format!("engine-{index}"), &spec.kind, &spec.zone);
            config.discovery = Some(discovery.addr);
            config.recorder = recorder.clone();
            config.work_model.speed *= spec.speed.unwrap_or(1.0);
            config.enforces_fencing = spec.enforces_fencing;
            MockEngine::new(config)
        });
        Ok(TestFleet {
            engines: engines.collect(),
            replicas: Replicas::new(topology.replicas),
            routers: Routers::new(topology.routers),
            secret,
            topology,
            files,
            links,
            discovery,
            recorder,
        })
    }

    /// Sets an environment variable for processes that start later.
    pub fn set_env(&mut self, name: &str, value: &str) {
        self.files.set_env(name, value);
    }

    /// Starts the engines and replicas.
    ///
    /// # Errors
    ///
    /// Returns an error if one of them does not start.
    pub fn start(&mut self) -> Result<(), FleetError> {
        for engine in &mut self.engines {
            engine
                .start()
                .map_err(FleetError::server(&engine.config().node))?;
        }
        (0..self.topology.replicas).try_for_each(|replica| self.start_replica(replica))
    }

    /// Starts the engines and replicas, and waits until the replicas accept `document` as the first version, proposed
    /// under the name `first`.
    ///
    /// # Errors
    ///
    /// Returns an error if an engine or replica does not start, or the document is not accepted within `timeout`.
    pub fn start_with_first_version(
        &mut self,
        document: &Document,
        timeout: Duration,
    ) -> Result<(), FleetError> {
        self.start()?;
        let accepted = self.wait_until(timeout, |fleet| {
            matches!(
                fleet.propose("first", document),
                Ok(ProposalResponse::Accepted(FIRST_VERSION))
            )
        });
        if accepted {
            Ok(())
        } else {
            Err(FleetError::FirstVersionNotAccepted)
        }
    }

    /// Starts all routers. If they take part in coordination, waits until they enforce the first version.
    ///
    /// # Errors
    ///
    /// Returns an error if a router does not start, or not all of them enforce the first version within `timeout`.
    pub fn start_routers(&mut self, timeout: Duration) -> Result<(), FleetError> {
        let count = self.topology.routers;
        (0..count).try_for_each(|router| self.start_router(router))?;
        if !self.topology.coordinated || self.wait_until_enforced(count, FIRST_VERSION, timeout) {
            Ok(())
        } else {
            Err(FleetError::FirstVersionNotEnforced)
        }
    }

    /// Returns the topology of the fleet.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Returns the recorder of the traffic on the sockets of engines, discovery and clients.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Returns the configuration of an engine, through which faults are injected.
    ///
    /// # Panics
    ///
    /// Panics if there is no such engine.
    pub fn engine(&self, engine: usize) -> &EngineConfig {
        self.engines[engine].config()
    }

    /// Returns the log of a process so far; empty if there is no log.
    pub fn log(&self, process: &str) -> String {
        std::fs::read_to_string(self.files.log(process)).unwrap_or_default()
    }

    /// Returns the processes that ended on their own, with their exit status, such as `keeper-1: exit status: 3`.
    pub fn exited_processes(&mut self) -> Vec<String> {
        let processes = self.replicas.processes().chain(self.routers.processes());
        processes
            .filter_map(|process| {
                let status = process.exit_status()?;
                Some(format!("{}: {status}", process.name()))
            })
            .collect()
    }
}
