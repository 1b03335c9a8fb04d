//! The sections of the settings, as typed values.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hoptiller_runaway::EnforcementOptions;
use serde::Serialize;

/// This router and its place among the routers of the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct RouterSettings {
    /// Its name; part of the key of its tokens.
    pub name: String,
    /// Its index among the routers that share the engines, from 0.
    pub index: u32,
    /// The number of routers that share the engines, this one included.
    #[serde(rename = "of")]
    pub fleet_size: u32,
    /// Listen address of the statement API.
    pub listen: SocketAddr,
    /// Listen address of the administration API; `None`: it is not served.
    pub admin: Option<SocketAddr>,
    /// Directory of the token secret and of saved statistics; `None`: a new secret at each start, and nothing is saved.
    pub state: Option<PathBuf>,
    /// Seed of the policy's random draws.
    pub seed: u64,
}

/// A machine kind of engines. Serialized as a pair.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, f64)")]
pub struct MachineKind {
    /// Its name.
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
    /// Its name.
    pub name: String,
    /// Its quota, relative to those of the other tenants.
    pub share: f64,
}

impl From<Tenant> for (String, f64) {
    fn from(tenant: Tenant) -> (String, f64) {
        (tenant.name, tenant.share)
    }
}

/// The effect of running a statement of a class again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatSettings {
    /// None: the statement is idempotent.
    Safe,
    /// A second effect: the statement must never run twice.
    Never,
}

/// A class of statements.
#[derive(Clone, Debug, Serialize)]
pub struct ClassSettings {
    /// Its name.
    pub name: String,
    /// Latency objective: a response within this time has the full priority weight.
    pub aim: Duration,
    /// The objective grows by this times the statement's work over its threads.
    pub stretch: f64,
    /// How long a client waits for the response.
    pub patience: Duration,
    /// The effect of running a statement again.
    pub repeat: RepeatSettings,
    /// Whether statements with the same ordering key run one after the other.
    pub in_order: bool,
    /// Priority weight of one response.
    pub worth: f64,
    /// Part of the priority weight of a response after the latency objective, 0 to 1.
    pub late_worth: f64,
    /// Threads that a statement runs on.
    pub threads: f64,
    /// Whether a statement locks its tables while it runs.
    pub holds: bool,
    /// Indices of the machine kinds that statements may run on; `None`: all.
    pub kinds: Option<Vec<usize>>,
    /// Indices of the zones that statements may run in; `None`: all.
    pub zones: Option<Vec<usize>>,
}

/// The retry budget of one router.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct BudgetSettings {
    /// Retries that are allowed without any traffic.
    pub spare: f64,
    /// Retries per admitted statement.
    pub ratio: f64,
    /// The window over which both are counted.
    pub within: Duration,
}

/// What engines support and report.
#[derive(Clone, Debug, Serialize)]
pub struct EngineSettings {
    /// Maximum number of attempts at a statement.
    pub max_attempts: u32,
    /// The retry budget; `None`: retries are limited by `max_attempts` alone.
    pub budget: Option<BudgetSettings>,
    /// Engines answer health checks.
    pub probes: bool,
    /// Load reports contain memory or CPU use.
    pub reports: bool,
    /// Load reports contain the number of statements in flight.
    pub tells_in_flight: bool,
    /// Responses contain the work of the statement.
    pub bills: bool,
    /// Cancelling a statement stops its work.
    pub cancel: bool,
    /// Engines respect the priority of a statement.
    pub priorities: bool,
    /// Engines kill a statement on request (`PUT /v1/query/ID/killed`).
    pub ends: bool,
    /// Engines pause a statement on request (`PUT /v1/query/ID/paused`).
    pub pauses: bool,
    /// Interval of progress reports; zero: there are none.
    pub notes_every: Duration,
    /// Timeout of a connection to an engine.
    pub connect_within: Duration,
    /// Timeout of a poll.
    pub poll_within: Duration,
}

/// Parameters of the policy's rules.
#[derive(Clone, Debug, Serialize)]
pub struct RuleSettings {
    /// Part of its capacity at which the slow start of an engine begins, over 0 and up to 1.
    pub start_capacity: f64,
    /// Length of the slow start.
    pub ramp: Duration,
    /// An engine fails under this many times its present capacity...
    pub overload: f64,
    /// ...when the load lasts for this long.
    pub fall: Duration,
    /// Pause of an ordering key after an attempt that may still run.
    pub order_pause: Duration,
    /// How long after the start of a drain new statements may still reach the engine.
    pub drain_grace: Duration,
}

/// Where the list of engines comes from.
#[derive(Clone, Debug, Serialize)]
pub struct DiscoverySettings {
    /// Address of the discovery service.
    pub address: SocketAddr,
    /// The environment whose engines are used; entries of others are skipped.
    pub environment: String,
    /// Interval at which the list is read.
    pub every: Duration,
    /// Interval at which the state of an engine is read.
    pub state_every: Duration,
    /// Timeout of each request.
    pub within: Duration,
}

/// What is done about runaway statements.
#[derive(Clone, Debug, Serialize)]
pub struct RunawaySettings {
    /// What is enforced, by index of the class.
    pub acts: Vec<EnforcementOptions>,
    /// Time between reporting a statement and killing it.
    pub end_after: Duration,
    /// How long a statement is paused.
    pub pause_for: Duration,
    /// Maximum number of fingerprints with statistics.
    pub kinds: usize,
    /// Interval at which statistics are saved, where `router.state` is set.
    pub save_every: Duration,
}

/// How a router takes part in the coordination of a fleet.
#[derive(Clone, Debug, Serialize)]
pub struct AgreementSettings {
    /// Addresses of the replicas of the coordination server.
    pub keepers: Vec<SocketAddr>,
    /// File with the secret that the fleet shares.
    pub secret: PathBuf,
    /// Term of a config lease; the replicas must have the same.
    pub permit: Duration,
    /// Limit of the difference of two clocks' rates, in millionths; the replicas must have the same.
    pub drift: u64,
    /// Interval of lease renewals. Changes are watched for between them.
    pub ask_every: Duration,
}

impl AgreementSettings {
    /// The timing of leases.
    pub fn lease_timing(&self) -> hoptiller_coordination::LeaseTiming {
        hoptiller_coordination::LeaseTiming {
            term: self.permit.as_micros() as u64,
            drift: self.drift,
        }
    }
}

/// Resource limits and timeouts.
#[derive(Clone, Debug, Serialize)]
pub struct LimitSettings {
    /// Maximum number of statements without a final response; more are rejected.
    pub statements: usize,
    /// Maximum number of final responses that are retained for repeated polls.
    pub answered: usize,
    /// How long final responses are retained.
    pub keep: Duration,
    /// Maximum number of client connections.
    pub connections: usize,
    /// Maximum bytes of all requests that are being received.
    pub incoming_bytes: u64,
    /// Maximum bytes of a statement.
    pub statement_bytes: u64,
    /// Maximum bytes of a page of rows.
    pub page_bytes: u64,
    /// Bytes of buffered pages above which no further pages are fetched.
    pub held_bytes: u64,
    /// How long a poll waits for a change.
    pub long_poll: Duration,
    /// A statement whose client has not polled for this long is abandoned.
    pub abandon_after: Duration,
    /// Maximum Retry-After.
    pub hold_off: Duration,
    /// Limit of the time that a graceful shutdown takes.
    pub drain_within: Duration,
    /// Minimum interval of two batches of decisions.
    pub tick: Duration,
}
