//! The events of a scenario of routers.

use std::fmt;
use std::time::Duration;

use hoptiller_mock_servers::engine_faults::EngineFaults;
use serde::Deserialize;

use super::duration::deserialize_duration;

/// Something that happens. Routers and engines are named by place, counted from 0.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouterEvent {
    /// Multiplies the rate at which clients submit statements, compared to the start.
    #[serde(rename = "rush")]
    SetLoadFactor(f64),
    /// Replaces the faults of an engine; `{}` takes them back.
    #[serde(rename = "fault")]
    SetEngineFaults {
        /// The engine.
        engine: usize,
        /// Its faults from now on.
        faults: EngineFaults,
    },
    /// Has an engine drain.
    #[serde(rename = "drain")]
    DrainEngine(usize),
    /// Crashes an engine.
    #[serde(rename = "crash")]
    CrashEngine(usize),
    /// Starts an engine, which then warms up.
    #[serde(rename = "start")]
    StartEngine(usize),
    /// Kills a router.
    #[serde(rename = "kill")]
    KillRouter(usize),
    /// Asks a router to shut down.
    #[serde(rename = "end")]
    TerminateRouter(usize),
    /// Starts a router at the address that it had, once its former process has ended.
    #[serde(rename = "route")]
    StartRouter(usize),
    /// Freezes the endpoint list of discovery, or lets it change again.
    #[serde(rename = "stale")]
    SetDiscoveryStale(bool),
    /// Has discovery answer nobody, or everybody again.
    #[serde(rename = "down")]
    SetDiscoveryDown(bool),
}

impl RouterEvent {
    /// Whether a scenario with so many routers and engines has what the event names.
    pub(super) fn is_possible(&self, routers: usize, engines: usize) -> bool {
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

/// An event with its time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledRouterEvent {
    /// When it happens, from the start of the client load on.
    #[serde(deserialize_with = "deserialize_duration")]
    pub at: Duration,
    /// What happens.
    #[serde(rename = "do")]
    pub event: RouterEvent,
}
