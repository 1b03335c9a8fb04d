//! Settings of the [`Controller`](crate::Controller): classes, limits and service rules.

use super::ids::Micros;
use crate::units::Threads;

/// The engines that recognise a repeated idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All engines.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

/// Conditions under which a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Idempotent: safe to retry on any engine at any time.
    Idempotent,
    /// Has an idempotency key: engines within `scope` drop duplicates for `window` after the first attempt that may
    /// have run.
    WithKey {
        /// The engines that share the record of this key.
        scope: DeduplicationScope,
        /// Time for which the engines keep the record.
        window: Micros,
    },
    /// Not idempotent: must not run twice.
    NotIdempotent,
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency objective: a response within this time counts with the full priority weight.
    pub latency_objective: Micros,
    /// The objective grows by this factor times the query's actual work per thread.
    pub objective_stretch: f64,
    /// Time limit (a duration) after which a client gives up. It includes the client's retries.
    pub deadline: Micros,
    /// Conditions under which its requests may be retried.
    pub idempotency: Idempotency,
    /// Whether requests with the same ordering key run one at a time, in order.
    pub ordered_by_key: bool,
    /// Fraction of the priority weight that a response after the objective still counts with.
    pub late_weight_ratio: f64,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Zones to which its requests may be sent; `None`: any.
    pub zones: Option<Vec<usize>>,
    /// Machine kinds to which its requests may be sent; `None`: any.
    pub kinds: Option<Vec<usize>>,
    /// Number of threads that a query runs on.
    pub threads: f64,
    /// Whether it is a load statement, which locks its table group on its engine while it runs.
    pub locks_group: bool,
}

impl Class {
    /// Returns the number of threads that a query runs on.
    pub(crate) fn threads(&self) -> Threads {
        Threads(self.threads)
    }

    fn validate(&self) -> Result<(), String> {
        for (is_missing, fault) in [
            (self.latency_objective == 0, "no latency objective"),
            (self.deadline == 0, "no deadline"),
            (self.threads == 0.0, "no threads"),
        ] {
            if is_missing {
                return Err(fault.to_owned());
            }
        }
        [
            ("objective stretch", self.objective_stretch),
            ("late weight ratio", self.late_weight_ratio),
            ("priority weight", self.priority_weight),
            ("number of threads", self.threads),
        ]
        .into_iter()
        .try_for_each(|(name, value)| validate_number(name, value))
    }
}

/// Way in which discovery reports changes of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Without a subscription.
    Push,
    /// Only after [`Action::Subscribe`](crate::Action::Subscribe).
    Subscribe,
}

/// Limits and capabilities of the clients, the host and the engines.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Maximum number of open requests, given by the connections that clients have; 0: no limit.
    pub max_open_requests: usize,
    /// Whether requests may be hedged, with two attempts in flight at once.
    pub hedged_requests: bool,
    /// Whether rejections tell clients when to retry (Retry-After).
    pub retry_after: bool,
    /// Longest Retry-After time that clients respect.
    pub max_retry_after: Micros,
    /// Whether engines respect priorities.
    pub priorities: bool,
    /// Whether health checks may request a load report from engines.
    pub health_checks: bool,
    /// Whether attempts can be cancelled; engines then stop the query.
    pub cancel: bool,
}

/// Retry budget of one gateway.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries permitted in the window regardless of traffic.
    pub min_retries: f64,
    /// Retries permitted per arrived request.
    pub ratio: f64,
    /// Window over which retries and arrived requests are counted.
    pub window: Micros,
}

/// Parameters of the service rules, which the crate documentation lists.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Lower bound of an engine's capacity at its start, as a fraction of its full capacity.
    pub start_capacity: f64,
    /// Slow start: time after which an engine has its full capacity.
    pub slow_start_window: Micros,
    /// An engine fails if it is sent more than this multiple of its present capacity during the overload window.
    pub overload_factor: f64,
    /// Length of the overload window.
    pub overload_window: Micros,
    /// Pause of an ordering key after an attempt that may still be running.
    pub key_pause: Micros,
    /// Retry budget; `None`: no limit.
    pub retry_budget: Option<RetryBudget>,
    /// With [`Discovery::Subscribe`]: maximum interval at which a gateway without a subscription must poll.
    pub max_poll_interval: Micros,
}

/// Settings of a controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of gateways that share the engines, including this one.
    pub gateways: u32,
    /// Number of this gateway among them, from 0.
    pub index: u32,
    /// Minimum time between two batches.
    pub tick: Micros,
    /// The classes; events refer to them by position.
    pub classes: Vec<Class>,
    /// Number of cores of each machine kind; endpoint entries refer to machine kinds by position.
    pub cores: Vec<f64>,
    /// Quota of each tenant, as a fraction of the service; events refer to tenants by position. No decision uses it
    /// yet.
    pub tenant_quotas: Vec<f64>,
    /// Weight of a request beyond its tenant's quota, relative to one within it. No decision uses it yet.
    pub over_quota_weight: f64,
    /// Whether engines report queries in flight, memory or busy cores, in responses or to health checks.
    pub load_reports: bool,
    /// Interval of the progress events of an attempt; 0: no progress events.
    pub progress_interval: Micros,
    /// Maximum memory grant of a query on the smallest machine kind, in MB; 0: engines ignore grants.
    pub max_grant_mb: f64,
    /// Whether engines overcommit memory: a query uses no more of its grant than it needs, and no query waits for
    /// memory.
    pub memory_overcommit: bool,
    /// Whether load reports contain the number of queries that an engine is running.
    pub reports_in_flight: bool,
    /// Whether responses contain the work of the query.
    pub reports_work: bool,
    /// Cost of sending a health check with every request, as a fraction of the service's goal (the share of priority
    /// weight that is served within the objective); 0: free.
    pub health_check_cost: f64,
    /// Whether clients mark their retries. No decision uses it: a marked retry is always trusted.
    pub clients_mark_retries: bool,
    /// Way in which changes of the endpoint list are reported.
    pub discovery: Discovery,
    /// Limits and capabilities of the clients, the host and the engines.
    pub limits: Limits,
    /// Parameters of the service rules.
    pub rules: Rules,
}

impl Settings {
    /// Checks the classes, gateways, cores, slow-start rules and the cost of health checks. The limits and the retry
    /// budget are not checked.
    pub(crate) fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() || self.gateways == 0 {
            return Err(SettingsError("no classes or no gateways".to_owned()));
        }
        for (number, class) in self.classes.iter().enumerate() {
            class
                .validate()
                .map_err(|fault| SettingsError(format!("class {number}: {fault}")))?;
        }
        let cores = self.cores.iter().map(|cores| ("number of cores", *cores));
        let others = [
            ("start capacity", self.rules.start_capacity),
            ("overload factor", self.rules.overload_factor),
            ("cost of health checks", self.health_check_cost),
        ];
        cores
            .chain(others)
            .try_for_each(|(name, value)| validate_number(name, value))
            .map_err(SettingsError)
    }
}

/// Checks a number that must be finite and not negative.
fn validate_number(name: &str, value: f64) -> Result<(), String> {
    if value.is_finite() && value >= 0.0 {
        Ok(())
    } else {
        Err(format!(
            "{name} {value}, expected a finite number of at least 0"
        ))
    }
}

/// An error for settings that the controller can't use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "unusable settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
