//! The discovery protocol: engines announce themselves, and routers poll the list of services.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The path at which an engine announces itself, with `PUT` and `DELETE`: this, followed by its node id.
pub const ANNOUNCEMENT_PATH: &str = "/v1/announcement/";
/// The path of the list of services: this, followed by a service type and optionally a pool.
pub const SERVICE_PATH: &str = "/v1/service/";
/// The service type that engines announce.
pub const ENGINE_SERVICE_TYPE: &str = "trino";

/// The announcement of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Announcement {
    /// The environment (installation) that it belongs to.
    pub environment: String,
    /// The id of the engine, which survives restarts.
    pub node_id: String,
    /// The pool that it belongs to.
    pub pool: String,
    /// The location, `/zone/node`.
    pub location: String,
    /// The services that it offers.
    pub services: Vec<AnnouncedService>,
}

/// A service that an engine announces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedService {
    /// The id of the service, another with each start of the process.
    pub id: String,
    /// The service type.
    #[serde(rename = "type")]
    pub kind: String,
    /// Properties: `http` is the address; `kind` and `cell` are extensions of the specification.
    #[serde(default)]
    pub properties: BTreeMap<String, String>,
}

/// The list of services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Services {
    /// The environment (installation) that it belongs to.
    pub environment: String,
    /// The services that are announced.
    pub services: Vec<Service>,
}

/// A service in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Service {
    /// The id of the service, another with each start of the process.
    pub id: String,
    /// The id of the engine.
    pub node_id: String,
    /// The service type.
    #[serde(rename = "type")]
    pub kind: String,
    /// The pool that it belongs to.
    pub pool: String,
    /// The location, `/zone/node`.
    #[serde(default)]
    pub location: String,
    /// Properties.
    #[serde(default)]
    pub properties: BTreeMap<String, String>,
}

/// The state that an engine reports at `/v1/info/state`, in JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum NodeState {
    /// It accepts work.
    Active,
    /// It does not accept work yet, or no longer.
    #[serde(alias = "INACTIVE", alias = "DRAINING", alias = "DRAINED")]
    ShuttingDown,
}

/// What an engine reports at `/v1/info`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// The environment (installation) that it belongs to.
    pub environment: String,
    /// Whether the node is a coordinator.
    pub coordinator: bool,
    /// Whether the node is still starting.
    pub starting: bool,
    /// The time since the start, as a duration: `1.50m`.
    pub uptime: String,
}

/// The load that an engine reports at `/v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct NodeStatus {
    /// The id of the engine.
    pub node_id: String,
    /// The number of cores.
    #[serde(default)]
    pub processors: u32,
    /// The share of the cores that is busy, from 0 to 1.
    #[serde(default)]
    pub process_cpu_load: f64,
    /// The memory in use, in bytes.
    #[serde(default)]
    pub heap_used: u64,
    /// The memory in all, in bytes.
    #[serde(default)]
    pub heap_available: u64,
}
