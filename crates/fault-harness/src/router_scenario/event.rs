//! The events of a router scenario.

use std::fmt;
use std::time::Duration;

use hoptiller_mock_servers::engine_faults::EngineFaults;
use serde::Deserialize;

use super::duration::deserialize_duration;

/// An event of a router scenario. Routers and engines are identified by index, counted from 0.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouterEvent {
    /// Divides the pauses of clients between statements by this factor, relative to their configuration.
    #[serde(rename = "rush")]
    SetLoadFactor(f64),
    /// Replaces the faults of an engine; `{}` removes them.
    #[serde(rename = "fault")]
    SetEngineFaults {
        /// Index of the engine.
        engine: usize,
        /// New faults of the engine.
        faults: EngineFaults,
    },
    /// Asks an engine to drain.
    #[serde(rename = "drain")]
    DrainEngine(usize),
    /// Crashes an engine.
    #[serde(rename = "crash")]
    CrashEngine(usize),
    /// Starts an engine, which is cold and warms up.
    #[serde(rename = "start")]
    StartEngine(usize),
    /// Kills a router.
    #[serde(rename = "kill")]
    KillRouter(usize),
    /// Asks a router to shut down.
    #[serde(rename = "end")]
    TerminateRouter(usize),
    /// Starts a router at its previous address, after its previous process has ended.
    #[serde(rename = "route")]
    StartRouter(usize),
    /// Freezes or unfreezes the endpoint list of discovery.
    #[serde(rename = "stale")]
    SetDiscoveryStale(bool),
    /// Takes discovery down, so that it closes all connections, or up again.
    #[serde(rename = "down")]
    SetDiscoveryDown(bool),
}

impl RouterEvent {
    /// Returns whether the event is valid in a scenario with `routers` routers and `engines` engines.
    pub(super) fn is_valid(&self, routers: usize, engines: usize) -> bool {
        match self {
            RouterEvent::SetEngineFaults { engine, .. }
            | RouterEvent::DrainEngine(engine)
            | RouterEvent::CrashEngine(engine)
            | RouterEvent::StartEngine(engine) => *engine < engines,
            RouterEvent::KillRouter(router)
            | RouterEvent::TerminateRouter(router)
            | RouterEvent::StartRouter(router) => *router < routers,
            RouterEvent::SetLoadFactor(factor) => factor.is_finite() && *factor > 0.0,
            RouterEvent::SetDiscoveryStale(_) | RouterEvent::SetDiscoveryDown(_) => true,
        }
    }
}

/// Formats the event as the progress of a run and problems of a file name it.
impl fmt::Display for RouterEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RouterEvent::SetLoadFactor(factor) => write!(f, "clients pause {factor} times less"),
            RouterEvent::SetEngineFaults { engine, faults }
                if *faults == EngineFaults::default() =>
            {
                write!(f, "engine {engine} works as it should")
            }
            RouterEvent::SetEngineFaults { engine, .. } => write!(f, "engine {engine} fails"),
            RouterEvent::DrainEngine(engine) => write!(f, "engine {engine} drains"),
            RouterEvent::CrashEngine(engine) => write!(f, "engine {engine} crashes"),
            RouterEvent::StartEngine(engine) => write!(f, "engine {engine} starts, cold"),
            RouterEvent::KillRouter(router) => write!(f, "router {router} is killed"),
            RouterEvent::TerminateRouter(router) => write!(f, "router {router} is told to end"),
            RouterEvent::StartRouter(router) => write!(f, "router {router} starts"),
            RouterEvent::SetDiscoveryStale(true) => write!(f, "discovery's list goes stale"),
            RouterEvent::SetDiscoveryStale(false) => write!(f, "discovery's list is fresh again"),
            RouterEvent::SetDiscoveryDown(true) => write!(f, "discovery is down"),
            RouterEvent::SetDiscoveryDown(false) => write!(f, "discovery is up again"),
        }
    }
}

/// An event and its time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledRouterEvent {
    /// Time of the event since the start of the client load.
    #[serde(deserialize_with = "deserialize_duration")]
    pub at: Duration,
    /// The event.
    #[serde(rename = "do")]
    pub event: RouterEvent,
}
