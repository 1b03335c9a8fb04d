//! The configuration of an engine.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};

use hoptiller_audit::Recorder;

use crate::engine_faults::EngineFaults;
use crate::ledger::Ledger;
use crate::work_model::WorkModelParameters;

/// The configuration of a mock engine.
#[derive(Clone)]
pub struct EngineConfig {
    /// Its node id, which stays the same across restarts.
    pub node: String,
    /// The environment that it announces.
    pub environment: String,
    /// The kind of its machine.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// The address to listen at. Port 0 selects a free port.
    pub listen: SocketAddr,
    /// The address of the discovery service to which it announces itself, if any.
    pub discovery: Option<SocketAddr>,
    /// The size, speed and limits of the simulated engine.
    pub work_model: WorkModelParameters,
    /// Whether it starts cold, that is, warms up first and crashes if it is overloaded meanwhile.
    pub starts_cold: bool,
    /// Whether responses to polls report the progress and the work done of a statement, and what blocks it.
    pub reports_progress: bool,
    /// Whether statements can be killed and paused.
    pub supports_kill: bool,
    /// Whether it rejects statements with stale configuration versions, and requests with stale leases.
    pub enforces_fencing: bool,
    /// The ledger that receives the effects of statements.
    pub ledger: Ledger,
    /// Records the requests that the engine receives, and their effects.
    pub recorder: Recorder,
    /// Number of requests for its info and its state.
    pub info_requests: Arc<AtomicU64>,
    faults: Arc<Mutex<EngineFaults>>,
}

impl EngineConfig {
    /// Creates the configuration of a warm engine that listens at a free loopback port, and keeps its records and
    /// ledger in memory.
    pub fn new(node: &str, kind: &str, zone: &str) -> EngineConfig {
        EngineConfig {
            node: node.into(),
            environment: "lettings".into(),
            kind: kind.into(),
            zone: zone.into(),
            listen: ([127, 0, 0, 1], 0).into(),
            discovery: None,
            work_model: WorkModelParameters::default(),
            starts_cold: false,
            reports_progress: false,
            supports_kill: false,
            enforces_fencing: false,
            ledger: Ledger::default(),
            recorder: Recorder::default(),
            info_requests: Arc::default(),
            faults: Arc::default(),
        }
    }

    /// Sets the faults of the engine. This takes effect immediately if it is already running.
    pub fn inject_faults(&self, faults: EngineFaults) {
        if let Ok(mut current) = self.faults.lock() {
            *current = faults;
        }
    }

    /// Returns the faults that affect the next submitted statement, which is of this class.
    pub(super) fn faults_for_next_statement(&self, class: &str) -> EngineFaults {
        let Ok(mut faults) = self.faults.lock() else {
            return EngineFaults::default();
        };
        if faults.affect_next(class) {
            faults.clone()
        } else {
            EngineFaults::default()
        }
    }

    /// Returns the current speed of each core, as a multiple of the reference core's.
    pub(super) fn core_speed(&self) -> f64 {
        let slowdown = self
            .faults
            .lock()
            .map_or(1.0, |faults| faults.slowdown_factor());
        self.work_model.speed / slowdown
    }
}
