//! The components of a test fleet.

use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

const DEFAULT_LEASE_TERM: Duration = Duration::from_secs(4);
/// Default clock drift limit of replicas and routers.
const DEFAULT_DRIFT_MILLIONTHS: u64 = 1000;

/// Specification of a mock engine in a scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Machine kind of the engine.
    pub kind: String,
    /// Zone of the engine.
    pub zone: String,
    /// Factor of the default speed; 1 if `None`.
    #[serde(default)]
    pub speed: Option<f64>,
    /// Whether the engine rejects attempts under versions or leases older than those it has seen.
    #[serde(rename = "fences", default)]
    pub enforces_fencing: bool,
}

/// Components and common configuration of a fleet.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Initial number of replicas of the coordination store.
    pub replicas: usize,
    /// Number of routers.
    pub routers: usize,
    /// Engines of the fleet.
    pub engines: Vec<EngineSpec>,
    /// Settings of all routers. The name and addresses of each router are added.
    pub router_settings: Value,
    /// Term of config leases and task leases.
    pub lease_term: Duration,
    /// Limit, assumed by all processes, on the difference between the rates of two clocks, in millionths.
    pub drift_millionths: u64,
    /// Clock skew of each router: the error of its rate, in millionths; positive if the clock runs fast, 0 if absent.
    pub router_skews: Vec<i64>,
    /// Clock skew of each replica: the error of its rate, in millionths; positive if the clock runs fast, 0 if absent.
    pub replica_skews: Vec<i64>,
    /// Limit on the storage size of a replica, in bytes; the default of replicas if `None`.
    pub max_storage_bytes: Option<u64>,
    /// Whether routers take part in coordination. Otherwise each uses only its own settings.
    pub coordinated: bool,
}

impl Topology {
    /// Creates a topology without engines and settings, with a lease term of 4 s.
    pub fn new(replicas: usize, routers: usize) -> Topology {
        Topology {
            replicas,
            routers,
            engines: Vec::new(),
            router_settings: Value::Object(serde_json::Map::new()),
            lease_term: DEFAULT_LEASE_TERM,
            drift_millionths: DEFAULT_DRIFT_MILLIONTHS,
            router_skews: Vec::new(),
            replica_skews: Vec::new(),
            max_storage_bytes: None,
            coordinated: true,
        }
    }

    /// Returns the lease term in the form of configuration files.
    pub(super) fn lease_term_text(&self) -> String {
        format!("{}ms", self.lease_term.as_millis())
    }
}

/// Returns the clock skew argument of the process with this index.
pub(super) fn skew_argument(skews: &[i64], index: usize) -> String {
    skews.get(index).copied().unwrap_or(0).to_string()
}
