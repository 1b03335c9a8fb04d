//! The discovery protocol: engines announce themselves, and routers poll the list of services.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Prefix of the path at which an engine announces (`PUT`) or withdraws (`DELETE`) itself; its node id follows.
pub const ANNOUNCEMENT_PATH: &str = "/v1/announcement/";
/// Prefix of the path of the list of services; a service type and optionally a pool follow.
pub const SERVICE_PATH: &str = "/v1/service/";
/// Service type that engines announce.
pub const ENGINE_SERVICE_TYPE: &str = "trino";

/// An engine's announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Announcement {
    /// Environment (installation) that the engine belongs to.
    pub environment: String,
    /// Id of the engine, which survives restarts.
    pub node_id: String,
    /// Pool that the engine belongs to.
    pub pool: String,
    /// Location of the engine, as `/zone/node`.
    pub location: String,
    /// Services that the engine offers.
    pub services: Vec<AnnouncedService>,
}

/// A service that an engine announces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedService {
    /// Id of the service, which changes with each start of the process.
    pub id: String,
    /// Service type.
    #[serde(rename = "type")]
    pub service_type: String,
    /// Properties of the service: `http` is the address. The extensions `kind` and `cell` hold the kind of the engine
    /// and the cell that it belongs to.
    #[serde(default)]
    pub properties: BTreeMap<String, String>,
}

/// The list of services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Services {
    /// Environment (installation) that the list belongs to.
    pub environment: String,
    /// Announced services.
    pub services: Vec<Service>,
}

/// A service in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Service {
    /// Id of the service, which changes with each start of the process.
    pub id: String,
    /// Id of the engine.
    pub node_id: String,
    /// Service type.
    #[serde(rename = "type")]
    pub service_type: String,
    /// Pool that the engine belongs to.
    pub pool: String,
    /// Location of the engine, as `/zone/node`.
    #[serde(default)]
    pub location: String,
    /// Properties of the service.
    #[serde(default)]
    pub properties: BTreeMap<String, String>,
}

/// The state that an engine reports at `/v1/info/state`, as JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum NodeState {
    /// The engine accepts work.
    Active,
    /// The engine does not accept work yet or no longer does.
    #[serde(alias = "INACTIVE", alias = "DRAINING", alias = "DRAINED")]
    ShuttingDown,
}

/// The information that an engine reports at `/v1/info`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Environment (installation) that the engine belongs to.
    pub environment: String,
    /// Whether the node is a coordinator.
    pub coordinator: bool,
    /// Whether the node is still starting.
    pub starting: bool,
    /// Time since the start, as a duration such as `1.50m`.
    pub uptime: String,
}

/// The load that an engine reports at `/v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct NodeStatus {
    /// Id of the engine.
    pub node_id: String,
    /// Number of cores.
    #[serde(default)]
    pub processors: u32,
    /// Busy share of the cores, from 0 to 1.
    #[serde(default)]
    pub process_cpu_load: f64,
    /// Memory in use, in bytes.
    #[serde(default)]
    pub heap_used: u64,
    /// Total memory, in bytes.
    #[serde(default)]
    pub heap_available: u64,
}
