//! Owns the discovery protocol: engines announce themselves, routers ask for the list.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Where an engine announces itself: `PUT` and `DELETE` of this and its node id.
pub const ANNOUNCEMENT: &str = "/v1/announcement/";
/// Where the list is asked for: this, a type, and optionally a pool.
pub const SERVICE: &str = "/v1/service/";
/// The type that engines announce.
pub const ENGINE_TYPE: &str = "trino";

/// What an engine announces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Announcement {
    /// The installation.
    pub environment: String,
    /// The engine; kept over restarts.
    pub node_id: String,
    /// The pool.
    pub pool: String,
    /// Where it stands, `/zone/node`.
    pub location: String,
    /// What it offers.
    pub services: Vec<AnnouncedService>,
}

/// One thing that an engine offers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedService {
    /// Fresh with each start of the process.
    pub id: String,
    /// What it is.
    #[serde(rename = "type")]
    pub kind: String,
    /// Properties: `http` is its address; `kind` and `cell` are ours.
    #[serde(default)]
    pub properties: BTreeMap<String, String>,
}

/// The list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Services {
    /// The installation.
    pub environment: String,
    /// What is offered.
    pub services: Vec<Service>,
}

/// One line of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Service {
    /// Fresh with each start of the process.
    pub id: String,
    /// The engine.
    pub node_id: String,
    /// What it is.
    #[serde(rename = "type")]
    pub kind: String,
    /// The pool.
    pub pool: String,
    /// Where it stands.
    #[serde(default)]
    pub location: String,
    /// Properties.
    #[serde(default)]
    pub properties: BTreeMap<String, String>,
}

/// What an engine says of its own state at `/v1/info/state`, in JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum NodeState {
    /// Takes work.
    Active,
    /// Does not yet, or not any more, take work.
    #[serde(alias = "INACTIVE", alias = "DRAINING", alias = "DRAINED")]
    ShuttingDown,
}

/// What an engine says of itself at `/v1/info`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// The installation.
    pub environment: String,
    /// Whether it is a coordinator.
    pub coordinator: bool,
    /// Whether it is still starting.
    pub starting: bool,
    /// How long it has run, as a duration: `1.50m`.
    pub uptime: String,
}

/// What an engine says of its load at `/v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct NodeStatus {
    /// The engine.
    pub node_id: String,
    /// Its cores.
    #[serde(default)]
    pub processors: u32,
    /// Share of its cores that is busy.
    #[serde(default)]
    pub process_cpu_load: f64,
    /// Memory in use, in bytes.
    #[serde(default)]
    pub heap_used: u64,
    /// Memory in all, in bytes.
    #[serde(default)]
    pub heap_available: u64,
}
