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
    /// Starts a router at its previous address. Waits without a time limit until its previous process has ended, so the
    /// event must follow a kill or a shutdown.
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
    /// Returns why the event is invalid in a scenario with `routers` routers and `engines` engines; `None` if it is
    /// valid.
    pub(super) fn problem(&self, routers: usize, engines: usize) -> Option<String> {
        match self {
            RouterEvent::SetEngineFaults { engine, .. }
            | RouterEvent::DrainEngine(engine)
            | RouterEvent::CrashEngine(engine)
            | RouterEvent::StartEngine(engine) => (*engine >= engines)
                .then(|| format!("expected an engine index below {engines}, found {engine}")),
            RouterEvent::KillRouter(router)
            | RouterEvent::TerminateRouter(router)
            | RouterEvent::StartRouter(router) => (*router >= routers)
                .then(|| format!("expected a router index below {routers}, found {router}")),
            RouterEvent::SetLoadFactor(factor) => (!factor.is_finite() || *factor <= 0.0)
                .then(|| format!("expected a finite load factor over 0, found {factor}")),
            RouterEvent::SetDiscoveryStale(_) | RouterEvent::SetDiscoveryDown(_) => None,
        }
    }
}

/// Formats the event for progress lines and for problems of a scenario file.
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
    /// Time of the event since the start of the client load. Events at or after the duration of the scenario are
    /// skipped.
    #[serde(deserialize_with = "deserialize_duration")]
    pub at: Duration,
    /// The event.
    #[serde(rename = "do")]
    pub event: RouterEvent,
}
