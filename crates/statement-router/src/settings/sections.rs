//! The sections of the settings, as typed values.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hoptiller_runaway::EnforcementOptions;
use serde::Serialize;

/// This router and its place among the routers of the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct RouterSettings {
    /// The router's name, which is part of the key that authenticates the tokens in statement URIs.
    pub name: String,
    /// The router's index among the routers that share the engines, from 0.
    pub index: u32,
    /// The number of routers that share the engines, this one included.
    #[serde(rename = "of")]
    pub fleet_size: u32,
    /// Listen address of the statement API.
    pub listen: SocketAddr,
    /// Listen address of the administration API; with `None`, it is not served.
    pub admin: Option<SocketAddr>,
    /// Directory of the token secret and of saved statistics; with `None`, each start creates a new secret, and
    /// nothing is saved.
    #[serde(rename = "state")]
    pub state_dir: Option<PathBuf>,
    /// Seed of the policy's random draws.
    pub seed: u64,
}

/// A machine kind of engines. Serialized as a pair.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, f64)")]
pub struct MachineKind {
    /// The name of the kind.
    pub name: String,
    /// Cores of an engine of this kind.
    pub cores: f64,
}

impl From<MachineKind> for (String, f64) {
    fn from(kind: MachineKind) -> (String, f64) {
        (kind.name, kind.cores)
    }
}

/// A tenant. Serialized as a pair.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, f64)")]
pub struct Tenant {
    /// The name of the tenant.
    pub name: String,
    /// The tenant's quota, relative to those of the other tenants.
    pub share: f64,
}

impl From<Tenant> for (String, f64) {
    fn from(tenant: Tenant) -> (String, f64) {
        (tenant.name, tenant.share)
    }
}

/// Whether the statements of a class may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Idempotency {
    /// A second run has no further effect.
    #[serde(rename = "safe")]
    Idempotent,
    /// A second run has a second effect: a statement must never run twice.
    #[serde(rename = "never")]
    NotIdempotent,
}

/// A class of statements.
#[derive(Clone, Debug, Serialize)]
pub struct ClassSettings {
    /// The name of the class.
    pub name: String,
    /// Latency objective: a response within this time has the full priority weight.
    #[serde(rename = "aim")]
    pub latency_objective: Duration,
    /// Stretch factor: the latency objective grows by this factor times the statement's work per thread.
    #[serde(rename = "stretch")]
    pub objective_stretch: f64,
    /// Time that a client waits for the response.
    #[serde(rename = "patience")]
    pub client_timeout: Duration,
    /// Whether statements may run twice.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Whether statements with the same ordering key run one at a time, in order.
    #[serde(rename = "in_order")]
    pub ordered_by_key: bool,
    /// Priority weight of one response.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Part of the priority weight of a response after the latency objective, 0 to 1.
    #[serde(rename = "late_worth")]
    pub late_weight_ratio: f64,
    /// Threads that a statement runs on.
    pub threads: f64,
    /// Whether a statement locks its tables while it runs.
    #[serde(rename = "holds")]
    pub holds_tables: bool,
    /// Indices of the machine kinds that statements may run on; with `None`, on all.
    pub kinds: Option<Vec<usize>>,
    /// Indices of the zones that statements may run in; with `None`, in all.
    pub zones: Option<Vec<usize>>,
}

/// The retry budget of one router.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RetryBudgetSettings {
    /// Retries that are allowed without any traffic.
    #[serde(rename = "spare")]
    pub min_retries: f64,
    /// Retries per admitted statement.
    pub ratio: f64,
    /// The window over which both are counted.
    #[serde(rename = "within")]
    pub window: Duration,
}

/// Capabilities of engines, and limits and timeouts of requests to them.
#[derive(Clone, Debug, Serialize)]
pub struct EngineSettings {
    /// Maximum number of attempts at a statement.
    pub max_attempts: u32,
    /// The retry budget; with `None`, only `max_attempts` limits retries.
    #[serde(rename = "budget")]
    pub retry_budget: Option<RetryBudgetSettings>,
    /// Whether engines respond to health checks.
    #[serde(rename = "probes")]
    pub health_checks: bool,
    /// Whether load reports contain memory or CPU use.
    #[serde(rename = "reports")]
    pub load_reports: bool,
    /// Whether load reports contain the number of statements in flight.
    #[serde(rename = "tells_in_flight")]
    pub reports_in_flight: bool,
    /// Whether responses contain the work of the statement.
    #[serde(rename = "bills")]
    pub reports_work: bool,
    /// Whether cancelling a statement stops its work.
    #[serde(rename = "cancel")]
    pub supports_cancel: bool,
    /// Whether engines respect the priority of a statement.
    #[serde(rename = "priorities")]
    pub supports_priorities: bool,
    /// Whether engines kill a statement on request (`PUT /v1/query/ID/killed`).
    #[serde(rename = "ends")]
    pub supports_kill: bool,
    /// Whether engines pause a statement on request (`PUT /v1/query/ID/paused`).
    #[serde(rename = "pauses")]
    pub supports_pause: bool,
    /// Interval of progress reports. Zero disables them.
    #[serde(rename = "notes_every")]
    pub progress_interval: Duration,
    /// Timeout of a connection to an engine.
    #[serde(rename = "connect_within")]
    pub connect_timeout: Duration,
    /// Timeout of a poll.
    #[serde(rename = "poll_within")]
    pub poll_timeout: Duration,
}

/// Parameters of the policy's rules.
#[derive(Clone, Debug, Serialize)]
pub struct RuleSettings {
    /// Part of its capacity at which the slow start of an engine begins, over 0 and up to 1.
    pub start_capacity: f64,
    /// Length of the slow start.
    #[serde(rename = "ramp")]
    pub slow_start_window: Duration,
    /// Multiple of its present capacity at which an engine fails, if the load lasts for `overload_window`.
    #[serde(rename = "overload")]
    pub overload_factor: f64,
    /// Time for which an engine withstands a load of `overload_factor`.
    #[serde(rename = "fall")]
    pub overload_window: Duration,
    /// Pause of an ordering key after an attempt that may still run.
    #[serde(rename = "order_pause")]
    pub key_pause: Duration,
    /// Time after the start of a drain during which new statements may still reach the engine.
    pub drain_grace: Duration,
}

/// The source of the list of engines.
#[derive(Clone, Debug, Serialize)]
pub struct DiscoverySettings {
    /// Address of the discovery service.
    pub address: SocketAddr,
    /// The environment whose engines are used; entries of others are skipped.
    pub environment: String,
    /// Interval at which the list is read.
    #[serde(rename = "every")]
    pub list_interval: Duration,
    /// Interval at which the state of an engine is read.
    #[serde(rename = "state_every")]
    pub state_interval: Duration,
    /// Timeout of each request.
    #[serde(rename = "within")]
    pub timeout: Duration,
}

/// Detection and enforcement settings for runaway statements.
#[derive(Clone, Debug, Serialize)]
pub struct RunawaySettings {
    /// The enforcement options of each class, by index of the class.
    #[serde(rename = "acts")]
    pub enforcement: Vec<EnforcementOptions>,
    /// Time between reporting a statement and killing it.
    #[serde(rename = "end_after")]
    pub kill_after: Duration,
    /// Duration of a pause of a statement.
    pub pause_for: Duration,
    /// Maximum number of fingerprints with statistics. The settings and the administration API call a fingerprint a
    /// kind.
    #[serde(rename = "kinds")]
    pub max_fingerprints: usize,
    /// Interval at which statistics are saved if `router.state` is set.
    #[serde(rename = "save_every")]
    pub save_interval: Duration,
}

/// A router's part in the coordination of a fleet.
#[derive(Clone, Debug, Serialize)]
pub struct CoordinationSettings {
    /// Addresses of the replicas of the coordination server.
    #[serde(rename = "keepers")]
    pub replicas: Vec<SocketAddr>,
    /// File with the secret that the fleet shares.
    #[serde(rename = "secret")]
    pub secret_file: PathBuf,
    /// Term of a config lease. The replicas must have the same value.
    #[serde(rename = "permit")]
    pub lease_term: Duration,
    /// Limit of the difference of two clocks' rates, in millionths. The replicas must have the same value.
    pub drift: u64,
    /// Interval of lease renewals. Between renewals, the router watches for changes.
    #[serde(rename = "ask_every")]
    pub renewal_interval: Duration,
}

impl CoordinationSettings {
    /// Returns the timing of leases.
    pub fn lease_timing(&self) -> hoptiller_coordination::LeaseTiming {
        hoptiller_coordination::LeaseTiming {
            term: self.lease_term.as_micros() as u64,
            drift: self.drift,
        }
    }
}

/// Resource limits and timeouts.
#[derive(Clone, Debug, Serialize)]
pub struct LimitSettings {
    /// Maximum number of statements without a final response; more are rejected.
    #[serde(rename = "statements")]
    pub max_open_statements: usize,
    /// Maximum number of final responses that are retained for repeated polls.
    #[serde(rename = "answered")]
    pub max_retained_responses: usize,
    /// Time for which final responses are retained.
    #[serde(rename = "keep")]
    pub retention: Duration,
    /// Maximum number of client connections.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Maximum bytes of all requests that are being received and, counted separately, of all statements without a final
    /// response.
    #[serde(rename = "incoming_bytes")]
    pub max_incoming_bytes: u64,
    /// Maximum bytes of a statement.
    #[serde(rename = "statement_bytes")]
    pub max_statement_bytes: u64,
    /// Maximum bytes of a page of rows.
    #[serde(rename = "page_bytes")]
    pub max_page_bytes: u64,
    /// Bytes of buffered pages above which no further pages are fetched.
    #[serde(rename = "held_bytes")]
    pub max_buffered_bytes: u64,
    /// Maximum time that a poll waits for a change.
    #[serde(rename = "long_poll")]
    pub long_poll_timeout: Duration,
    /// Time without polls after which a statement is abandoned.
    pub abandon_after: Duration,
    /// Maximum Retry-After.
    #[serde(rename = "hold_off")]
    pub max_retry_after: Duration,
    /// Timeout of a graceful shutdown.
    #[serde(rename = "drain_within")]
    pub shutdown_timeout: Duration,
    /// Minimum interval between two batches of decisions.
    pub tick: Duration,
}
