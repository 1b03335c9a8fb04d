//! The settings object of a gateway, as deserialized. Times are in milliseconds. Unknown fields are ignored.

use serde::Deserialize;

/// Settings of a gateway.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Settings {
    /// Number of gateways that share the engines, including this one.
    #[serde(rename = "balancers")]
    pub gateways: u32,
    /// Number of this gateway among them, from 0.
    pub index: u32,
    /// Minimum time between two batches.
    pub tick: f64,
    /// The classes of requests.
    #[serde(rename = "lanes")]
    pub classes: Vec<ClassSettings>,
    /// Names of the machine kinds.
    pub kinds: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// Weight of a request beyond its tenant's quota, relative to one within it.
    #[serde(rename = "overShareWorth")]
    pub over_quota_weight: f64,
    /// Way in which changes of the endpoint list are reported. `subscribe`: only after a subscription; otherwise
    /// without one.
    pub discovery: Option<String>,
    /// Limits and capabilities of the clients and the host.
    pub limits: Limits,
    /// Parameters of the service rules.
    pub rules: Rules,
    /// Execution of queries by the engines.
    #[serde(rename = "extra")]
    pub execution: ExecutionSettings,
    /// Behaviour of the clients.
    pub clients: ClientSettings,
    /// Load values that engines report.
    #[serde(rename = "telemetry")]
    pub load_reporting: LoadReporting,
    /// Costs, as fractions of the service's goal.
    #[serde(rename = "prices")]
    pub costs: Costs,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            gateways: 1,
            index: 0,
            tick: 1.0,
            classes: Vec::new(),
            kinds: Vec::new(),
            zones: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            discovery: None,
            limits: Limits::default(),
            rules: Rules::default(),
            execution: ExecutionSettings::default(),
            clients: ClientSettings::default(),
            load_reporting: LoadReporting::default(),
            costs: Costs::default(),
        }
    }
}

/// Settings of one class of requests.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ClassSettings {
    /// Its name.
    pub name: String,
    /// Latency objective.
    #[serde(rename = "aim")]
    pub latency_objective: f64,
    /// The objective grows by this factor times the query's actual work per thread.
    #[serde(rename = "aimStretch", default)]
    pub objective_stretch: f64,
    /// Time limit, after which a client gives up. It includes the client's retries.
    pub deadline: f64,
    /// Conditions under which its requests may be retried.
    #[serde(rename = "semantics")]
    pub idempotency: Idempotency,
    /// The engines that recognise a repeated idempotency key.
    #[serde(rename = "group")]
    pub deduplication_scope: Option<DeduplicationScope>,
    /// Time for which engines keep the record of an idempotency key.
    #[serde(rename = "window", default)]
    pub deduplication_window: f64,
    /// Whether requests with the same ordering key run one at a time, in order.
    #[serde(rename = "inTurn", default)]
    pub ordered_by_key: bool,
    /// Fraction of the priority weight that a response after the objective still counts with.
    #[serde(rename = "lateWorth", default)]
    pub late_weight_ratio: f64,
    /// Priority weight of one request.
    #[serde(rename = "importance")]
    pub priority_weight: f64,
    /// Machine kinds to which its requests may be sent; `None`: any.
    #[serde(rename = "kindsAllowed")]
    pub kinds: Option<Vec<String>>,
    /// Zones to which its requests may be sent; `None`: any.
    #[serde(rename = "zonesOpen")]
    pub zones: Option<Vec<String>>,
}

/// Conditions under which a request may be retried.
#[derive(Deserialize, Clone, Copy)]
pub enum Idempotency {
    /// Idempotent.
    #[serde(rename = "pure")]
    Idempotent,
    /// Has an idempotency key.
    #[serde(rename = "token")]
    WithKey,
    /// Not idempotent.
    #[serde(rename = "side_effect")]
    NotIdempotent,
}

/// The engines that recognise a repeated idempotency key.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "camelCase")]
pub enum DeduplicationScope {
    /// All engines.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

/// A tenant.
#[derive(Deserialize)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its quota, as a fraction of the service.
    #[serde(rename = "fraction", default)]
    pub quota: f64,
}

/// Limits and capabilities of the clients and the host.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    /// Maximum number of attempts per request; `None`: one.
    pub max_attempts: Option<u32>,
    /// Whether requests may be hedged, with two attempts in flight at once.
    #[serde(rename = "secondCopies")]
    pub hedged_requests: bool,
    /// Whether rejections tell clients when to retry.
    pub retry_after: bool,
    /// Longest Retry-After time that clients respect.
    pub max_retry_after: f64,
    /// Whether health checks are permitted.
    #[serde(rename = "mayProbe")]
    pub health_checks: bool,
    /// Time after which engines close an idle connection.
    #[serde(rename = "connIdle")]
    pub idle_timeout: f64,
    /// Time limit for opening a connection.
    pub connect_timeout: f64,
    /// Maximum number of open requests; 0: no limit.
    #[serde(rename = "maxOpen")]
    pub max_open_requests: usize,
    /// Whether attempts can be cancelled.
    pub cancel: bool,
}

/// Parameters of the service rules.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Rules {
    /// Lower bound of an engine's capacity at its start, as a fraction of its full capacity.
    pub start_capacity: f64,
    /// Slow start: time after which an engine has its full capacity.
    #[serde(rename = "rampTime")]
    pub slow_start_window: f64,
    /// An engine fails if it is sent more than this multiple of its present capacity during the overload window.
    pub overload_factor: f64,
    /// Length of the overload window.
    #[serde(rename = "fall")]
    pub overload_window: f64,
    /// Pause of an ordering key after an attempt that may still be running.
    #[serde(rename = "orderPause")]
    pub key_pause: f64,
    /// Retries permitted in the window regardless of traffic.
    #[serde(rename = "spareAttempts")]
    pub min_retries: Option<f64>,
    /// Retries permitted per arrived request.
    #[serde(rename = "extraRatio")]
    pub retry_ratio: Option<f64>,
    /// Window over which retries and arrived requests are counted.
    #[serde(rename = "lookBack")]
    pub retry_window: f64,
    /// Maximum interval at which a gateway without a subscription must poll discovery.
    #[serde(rename = "askWithin")]
    pub max_poll_interval: f64,
}

/// Execution of queries by the engines.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct ExecutionSettings {
    /// Number of threads that a query runs on, by class.
    #[serde(rename = "parallelism")]
    pub threads_by_class: Vec<f64>,
    /// Whether a query locks its table group, by class.
    #[serde(rename = "loads")]
    pub locks_group_by_class: Vec<bool>,
    /// Number of cores, by machine kind.
    #[serde(rename = "cpuOfKind")]
    pub cores_by_kind: Vec<f64>,
    /// Memory in MB, by machine kind.
    #[serde(rename = "kindMemoryMb")]
    pub memory_mb_by_kind: Vec<f64>,
    /// Fraction of an engine's memory that one query may be granted.
    #[serde(rename = "maxGrantShare")]
    pub max_grant_ratio: f64,
    /// Behaviour of engines when memory is short. `overcommit`: they overcommit it; otherwise queries wait for memory.
    #[serde(rename = "memoryShort")]
    pub memory_shortage: Option<String>,
    /// Whether engines respect memory grants.
    #[serde(rename = "takesGrants")]
    pub respect_memory_grants: bool,
    /// Interval of the progress events of an attempt; 0: no progress events.
    #[serde(rename = "progressPace")]
    pub progress_interval: f64,
    /// Whether engines respect priorities.
    #[serde(rename = "ranksHeeded")]
    pub respect_priorities: bool,
    /// Whether responses contain the work of the query.
    #[serde(rename = "bills")]
    pub reports_work: bool,
}

/// Behaviour of the clients.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct ClientSettings {
    /// Whether clients mark their retries.
    #[serde(rename = "marksRetry")]
    pub mark_retries: bool,
}

/// Load values that engines report.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct LoadReporting {
    /// Names of the reported values.
    pub names: Vec<String>,
}

/// Costs, as fractions of the service's goal.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Costs {
    /// Cost of sending a health check with every request.
    #[serde(rename = "probe")]
    pub health_check: f64,
}
