//! The settings object of an instance, with the names that it has on the wire. Times are milliseconds. Unknown fields are
//! ignored.

use serde::Deserialize;

/// The settings object.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Settings {
    /// Gateways that share the engines, this one included.
    pub balancers: u32,
    /// This one's number among them, from 0.
    pub index: u32,
    /// Shortest time between two batches.
    pub tick: f64,
    /// The classes of requests.
    #[serde(rename = "lanes")]
    pub classes: Vec<Lane>,
    /// Names of the machine kinds.
    pub kinds: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// Weight of a request beyond its tenant's quota, against one within it.
    pub over_share_worth: f64,
    /// `subscribe`, or changes of the endpoint list are pushed.
    pub discovery: Option<String>,
    /// What the host permits.
    pub limits: Limits,
    /// Figures of the rules of service.
    pub rules: Rules,
    /// Queries, memory and progress.
    pub extra: Extra,
    /// What clients do.
    pub clients: Clients,
    /// What engines report.
    pub telemetry: Telemetry,
    /// Costs, in points of the goal.
    pub prices: Prices,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            balancers: 1,
            index: 0,
            tick: 1.0,
            classes: Vec::new(),
            kinds: Vec::new(),
            zones: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 1.0,
            discovery: None,
            limits: Limits::default(),
            rules: Rules::default(),
            extra: Extra::default(),
            clients: Clients::default(),
            telemetry: Telemetry::default(),
            prices: Prices::default(),
        }
    }
}

/// One class of requests.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Lane {
    /// Its name.
    pub name: String,
    /// Latency objective.
    pub aim: f64,
    /// The objective grows by this times the true work over its threads.
    #[serde(default)]
    pub aim_stretch: f64,
    /// Time after which a client gives up, over all its tries.
    pub deadline: f64,
    /// Whether its requests may be repeated.
    pub semantics: Semantics,
    /// Which engines recognise a repeated idempotency key.
    pub group: Option<Group>,
    /// How long they remember it.
    #[serde(default)]
    pub window: f64,
    /// Requests with the same ordering key run one at a time, in order.
    #[serde(default)]
    pub in_turn: bool,
    /// Part of the priority weight that an answer after the objective still has.
    #[serde(default)]
    pub late_worth: f64,
    /// Priority weight.
    pub importance: f64,
    /// Machine kinds it may go to; `None`: any.
    pub kinds_allowed: Option<Vec<String>>,
    /// Zones it may go to; `None`: any.
    pub zones_open: Option<Vec<String>>,
}

/// Whether a request may be repeated.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum Semantics {
    /// Idempotent.
    Pure,
    /// Has an idempotency key.
    Token,
    /// Not idempotent.
    SideEffect,
}

/// Which engines recognise a repeated idempotency key.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "camelCase")]
pub enum Group {
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
    /// Its quota, as a part of the service.
    #[serde(default)]
    pub fraction: f64,
}

/// What the host permits.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    /// Attempts per request at most; `None`: one.
    pub max_attempts: Option<u32>,
    /// Hedged requests: two attempts of a request may be in flight at once.
    pub second_copies: bool,
    /// Clients are told when to retry.
    pub retry_after: bool,
    /// The longest such time that clients respect.
    pub max_retry_after: f64,
    /// Health checks are permitted.
    pub may_probe: bool,
    /// Time after which engines close an idle connection.
    #[serde(rename = "connIdle")]
    pub idle_timeout: f64,
    /// Time that a connection may take to come up.
    pub connect_timeout: f64,
    /// Requests that may be open at once; 0: any number.
    pub max_open: usize,
    /// Attempts may be cancelled.
    pub cancel: bool,
}

/// Figures of the rules of service.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Rules {
    /// An engine starts at this part of its capacity or above.
    pub start_capacity: f64,
    /// Slow start: an engine is warm after this time.
    pub ramp_time: f64,
    /// An engine fails when sent more than this multiple of its present capacity...
    pub overload_factor: f64,
    /// ...for this long.
    pub fall: f64,
    /// Pause of an ordering key after an attempt that may still run.
    pub order_pause: f64,
    /// Retries permitted however light the traffic is.
    pub spare_attempts: Option<f64>,
    /// Retries permitted per admitted request.
    pub extra_ratio: Option<f64>,
    /// The window over which both are counted.
    pub look_back: f64,
    /// How often a router without a subscription must poll discovery.
    pub ask_within: f64,
}

/// Queries, memory and progress.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Extra {
    /// Threads of a query, by class.
    pub parallelism: Vec<f64>,
    /// Whether a query locks its table group, by class.
    pub loads: Vec<bool>,
    /// Cores, by machine kind.
    pub cpu_of_kind: Vec<f64>,
    /// Memory in MB, by machine kind.
    pub kind_memory_mb: Vec<f64>,
    /// Part of an engine's memory that one query may be granted.
    pub max_grant_share: f64,
    /// What engines do when memory is short: `overcommit`, or queries queue for it.
    pub memory_short: Option<String>,
    /// Engines respect memory grants.
    pub takes_grants: bool,
    /// Time between progress events of an attempt; 0: none come.
    pub progress_pace: f64,
    /// Engines respect priorities.
    pub ranks_heeded: bool,
    /// Answers tell the work that a query needed.
    pub bills: bool,
}

/// What clients do.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Clients {
    /// They mark their retries.
    pub marks_retry: bool,
}

/// What engines report.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Telemetry {
    /// Names of the reported values.
    pub names: Vec<String>,
}

/// Costs, in points of the goal.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Prices {
    /// A health check with each request.
    pub probe: f64,
}
