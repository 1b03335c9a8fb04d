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
    /// The address to listen on. Port 0 selects a free port.
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
    /// Records the start and a crash of the engine, submissions, requests with leases, effects, the ends of
    /// statements, and routers that learn that the engine drains.
    pub recorder: Recorder,
    /// Number of requests for its info and its state.
    pub info_requests: Arc<AtomicU64>,
    faults: Arc<Mutex<EngineFaults>>,
}

impl EngineConfig {
    /// Creates the configuration of a warm engine that listens on a free loopback port, and keeps its records and
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

    /// Sets the faults of the engine, before or after it is started. They affect statements that are submitted from
    /// then on; a slowdown applies from the next request or event of the work model on.
    pub fn inject_faults(&self, faults: EngineFaults) {
        if let Ok(mut current) = self.faults.lock() {
            *current = faults;
        }
    }

    /// Returns the faults that affect a statement of this class which is being submitted, and counts it against
    /// [`EngineFaults::remaining`].
    pub(super) fn take_faults_for_statement(&self, class: &str) -> EngineFaults {
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
