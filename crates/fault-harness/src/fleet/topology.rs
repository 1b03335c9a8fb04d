//! What a test fleet consists of.

use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

const DEFAULT_LEASE_TERM: Duration = Duration::from_secs(4);
/// The drift that replicas and routers assume where none is configured.
const DEFAULT_DRIFT_MILLIONTHS: u64 = 1000;

/// A mock engine of a fleet, as a scenario file gives it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Its machine kind.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// A factor of the usual speed; `None`: 1.
    #[serde(default)]
    pub speed: Option<f64>,
    /// Whether it rejects what is sent under versions or leases older than it has seen.
    #[serde(rename = "fences", default)]
    pub enforces_fencing: bool,
}

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct Topology {
    /// How many replicas of the coordination store there are at first.
    pub replicas: usize,
    /// How many routers there are.
    pub routers: usize,
    /// The engines.
    pub engines: Vec<EngineSpec>,
    /// The settings of a router. Its name and addresses are added.
    pub router_settings: Value,
    /// How long config leases and task leases last.
    pub lease_term: Duration,
    /// Limit of the difference of two clocks' rates that all processes assume, in millionths.
    pub drift_millionths: u64,
    /// By router: by how much its clock runs fast, in millionths; 0 where none is given.
    pub router_skews: Vec<i64>,
    /// By replica: the same.
    pub replica_skews: Vec<i64>,
    /// Limit of the size of a replica's storage, in bytes; `None`: the default of replicas.
    pub max_storage_bytes: Option<u64>,
    /// Whether routers take part in coordination. Otherwise each goes by its own settings.
    pub coordinated: bool,
}

impl Topology {
    /// A fleet with so many replicas and routers, and with neither engines nor settings yet. Leases last 4 s.
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

    /// The lease term as configuration files give it.
    pub(super) fn lease_term_text(&self) -> String {
        format!("{}ms", self.lease_term.as_millis())
    }
}

/// The argument for the clock of a process, by its place.
pub(super) fn skew_argument(skews: &[i64], place: usize) -> String {
    skews.get(place).copied().unwrap_or(0).to_string()
}
