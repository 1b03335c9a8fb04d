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
    /// Its node id, which stays the same over restarts.
    pub node: String,
    /// The environment that it announces.
    pub environment: String,
    /// Its machine kind.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// The discovery service to which it announces itself, if any.
    pub discovery: Option<SocketAddr>,
    /// The size, speed and limits of the simulated engine.
    pub work_model: WorkModelParameters,
    /// Whether it starts cold: it warms up first, and crashes under overload.
    pub starts_cold: bool,
    /// Whether responses to polls report progress, work done and what blocks a statement.
    pub reports_progress: bool,
    /// Whether statements can be killed and paused.
    pub supports_kill: bool,
    /// Whether it rejects what is sent under configuration versions or leases that it has seen to be over.
    pub enforces_fencing: bool,
    /// Where effects are entered.
    pub ledger: Ledger,
    /// Records what passes on its sockets.
    pub recorder: Recorder,
    /// Counts the requests for its info and its state.
    pub info_requests: Arc<AtomicU64>,
    faults: Arc<Mutex<EngineFaults>>,
}

impl EngineConfig {
    /// A warm engine on a free port of loopback that keeps records and ledger in memory.
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

    /// Sets the faults of the engine, whether it runs or not.
    pub fn inject_faults(&self, faults: EngineFaults) {
        if let Ok(mut current) = self.faults.lock() {
            *current = faults;
        }
    }

    /// The faults that affect a statement of a class which is submitted now.
    pub(super) fn faults_for_next(&self, class: &str) -> EngineFaults {
        let Ok(mut faults) = self.faults.lock() else {
            return EngineFaults::default();
        };
        if faults.affect_next(class) {
            faults.clone()
        } else {
            EngineFaults::default()
        }
    }

    /// The present speed of each core.
    pub(super) fn core_speed(&self) -> f64 {
        let slowdown = self.faults.lock().map_or(1.0, |f| f.slowdown_factor());
        self.work_model.speed / slowdown
    }
}
