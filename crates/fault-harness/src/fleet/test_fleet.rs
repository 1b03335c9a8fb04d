//! A fleet of processes: how it is set up and started.

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

/// The name of every test fleet, in the configuration of its replicas.
pub const FLEET_NAME: &str = "stage";
/// The number of the first version that a fleet accepts.
pub const FIRST_VERSION: u64 = 1;
/// Any secret will do, as long as all processes have the same.
const SECRET: &str = "5ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e75ec2e7";

/// A fleet of processes on loopback. All of it ends when this is dropped.
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
    /// Sets a fleet up in the folder `dir`, which is created. No process of `program` runs yet.
    ///
    /// # Errors
    ///
    /// When the folder, its files, discovery or a link can't be made.
    pub fn new(topology: Topology, program: &Path, dir: &Path) -> Result<TestFleet, FleetError> {
        let files = FleetFiles::create(program, dir)?;
        std::fs::write(files.secret(), SECRET).map_err(FleetError::file(&files.secret()))?;
        let secret = Secret::load(&files.secret()).map_err(FleetError::file(&files.secret()))?;
        let records = files.path("stage.jsonl");
        let recorder = Recorder::to_file(&records).map_err(FleetError::file(&records))?;
        let discovery = DiscoveryConfig {
            recorder: recorder.clone(),
            enforces_fencing: topology.engines.iter().any(|e| e.enforces_fencing),
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

    /// Sets an environment variable of the processes that start from now on.
    pub fn set_env(&mut self, name: &str, value: &str) {
        self.files.set_env(name, value);
    }

    /// Starts engines and replicas.
    ///
    /// # Errors
    ///
    /// When one of them does not start.
    pub fn start(&mut self) -> Result<(), FleetError> {
        for engine in &mut self.engines {
            engine
                .start()
                .map_err(FleetError::server(&engine.config().node))?;
        }
        (0..self.topology.replicas).try_for_each(|replica| self.start_replica(replica))
    }

    /// Starts engines and replicas, and waits until the replicas have accepted `document` as the first version, under the
    /// name `first`.
    ///
    /// # Errors
    ///
    /// When one of them does not start, or the document is not accepted within `timeout`.
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

    /// Starts all routers, and waits until they enforce the first version where they take part in coordination.
    ///
    /// # Errors
    ///
    /// When one of them does not start, or not all enforce the first version within `timeout`.
    pub fn start_routers(&mut self, timeout: Duration) -> Result<(), FleetError> {
        let count = self.topology.routers;
        (0..count).try_for_each(|router| self.start_router(router))?;
        if !self.topology.coordinated || self.wait_until_enforced(count, FIRST_VERSION, timeout) {
            Ok(())
        } else {
            Err(FleetError::FirstVersionNotEnforced)
        }
    }

    /// What the fleet was set up with.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// What passes on the sockets of engines, discovery and clients is recorded here.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// The configuration of an engine, by which its faults are set.
    ///
    /// # Panics
    ///
    /// When there is no such engine.
    pub fn engine(&self, engine: usize) -> &EngineConfig {
        self.engines[engine].config()
    }

    /// What a process of this name has logged so far; empty where there is none.
    pub fn log(&self, process: &str) -> String {
        std::fs::read_to_string(self.files.log(process)).unwrap_or_default()
    }

    /// Processes that have ended by themselves, with how: `keeper-1: exit status: 3`.
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
