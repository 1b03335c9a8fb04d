//! Settings of the [`Controller`](crate::Controller): classes, limits, rules of service.

use super::ids::Micros;
use crate::units::Threads;

/// Which engines recognise a repeated idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All engines.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Idempotent: safe to repeat anywhere and at any time.
    Idempotent,
    /// Has an idempotency key: repeats are dropped inside `scope`, for `window` after the first attempt that
    /// may have run.
    WithKey {
        /// The engines that share the memory of this key.
        scope: DeduplicationScope,
        /// How long they remember it.
        window: Micros,
    },
    /// Must never run twice.
    NotIdempotent,
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency objective: an answer within this time has the full priority weight.
    pub latency_objective: Micros,
    /// The objective grows by this times the true work over its threads.
    pub objective_stretch: f64,
    /// Time after which a client gives up, over all its tries.
    pub deadline: Micros,
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
    /// Requests with the same ordering key run one at a time, in order.
    pub ordered_by_key: bool,
    /// Part of the priority weight that an answer after the objective still has.
    pub late_weight_ratio: f64,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Zones it may go to; `None`: any.
    pub zones: Option<Vec<usize>>,
    /// Machine kinds it may go to; `None`: any.
    pub kinds: Option<Vec<usize>>,
    /// Threads that a query runs on.
    pub threads: f64,
    /// A load statement: locks its table group on its engine while it runs.
    pub locks_group: bool,
}

impl Class {
    /// Threads that a query runs on.
    pub(crate) fn threads(&self) -> Threads {
        Threads(self.threads)
    }
}

/// How discovery reports changes of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Unprompted.
    Push,
    /// Only after [`Action::Subscribe`](crate::Action::Subscribe).
    Subscribe,
}

/// What the host permits.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts per request at most.
    pub max_attempts: u32,
    /// Requests that may be open at once, as clients have no connections for more; 0: any number.
    pub max_open_requests: usize,
    /// Hedged requests: two attempts of a request may be in flight at once.
    pub hedged_requests: bool,
    /// Clients are told when to retry (Retry-After).
    pub retry_after: bool,
    /// The longest such time that clients respect.
    pub max_retry_after: Micros,
    /// Engines respect priorities.
    pub priorities: bool,
    /// Engines may be asked for a load report by a health check.
    pub health_checks: bool,
    /// Attempts may be cancelled; engines then stop their work.
    pub cancel: bool,
}

/// Retry budget of one router.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries permitted however light the traffic is.
    pub min_retries: f64,
    /// Retries permitted per admitted request.
    pub ratio: f64,
    /// The window over which both are counted.
    pub window: Micros,
}

/// Figures of the rules of service.
#[derive(Clone, Debug)]
pub struct Rules {
    /// An engine starts at this part of its capacity or above.
    pub start_capacity: f64,
    /// Slow start: it is warm after this time.
    pub slow_start_window: Micros,
    /// An engine fails when sent more than this multiple of its present capacity...
    pub overload_factor: f64,
    /// ...for this long.
    pub overload_window: Micros,
    /// Pause of an ordering key after an attempt that may still run.
    pub key_pause: Micros,
    /// Retry budget; `None`: no limit.
    pub retry_budget: Option<RetryBudget>,
    /// With [`Discovery::Subscribe`]: how often a router without a subscription must poll.
    pub max_poll_interval: Micros,
}

/// Settings of a controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Gateways that share the engines, this one included.
    pub gateways: u32,
    /// This one's number among them, from 0.
    pub index: u32,
    /// Shortest time between two batches.
    pub tick: Micros,
    /// The classes; events name them by position.
    pub classes: Vec<Class>,
    /// Cores of each machine kind; events name kinds by position.
    pub cores: Vec<f64>,
    /// Quota of each tenant, as a part of the service; events name tenants by position. No decision reads it yet.
    pub tenant_quotas: Vec<f64>,
    /// Weight of a request beyond its tenant's quota, against one within it. No decision reads it yet.
    pub over_quota_weight: f64,
    /// Engines report queries in flight, memory or busy cores, in answers or to health checks.
    pub load_reports: bool,
    /// Time between progress events of an attempt; 0: none come.
    pub progress_interval: Micros,
    /// Most memory that one query may be granted on the smallest kind, in MB; 0: grants are ignored.
    pub max_grant_mb: f64,
    /// Memory is overcommitted: a grant takes no more than the query needs, and nothing queues for it.
    pub memory_overcommit: bool,
    /// Load reports tell how many queries an engine runs.
    pub reports_in_flight: bool,
    /// Answers tell the work that a query needed.
    pub reports_work: bool,
    /// Cost of sending a health check with every request, as a part of the service's goal (the priority weight served within
    /// the objective, of 1); 0: free.
    pub health_check_cost: f64,
    /// Clients mark their retries. No decision reads it: a marked retry is believed in any case.
    pub clients_mark_retries: bool,
    /// How changes of the endpoint list come.
    pub discovery: Discovery,
    /// What is permitted.
    pub limits: Limits,
    /// Figures of the rules of service.
    pub rules: Rules,
}

impl Settings {
    /// Checks the classes, gateways, cores, slow-start rules and the cost of health checks. Limits and the retry budget are
    /// not checked.
    pub(crate) fn validate(&self) -> Result<(), SettingsError> {
        let usable = |value: f64| value.is_finite() && value >= 0.0;
        let incomplete =
            |c: &Class| c.latency_objective == 0 || c.deadline == 0 || c.threads == 0.0;
        let figures = |c: &Class| {
            [
                c.objective_stretch,
                c.late_weight_ratio,
                c.priority_weight,
                c.threads,
            ]
        };
        let rules = [
            self.rules.start_capacity,
            self.rules.overload_factor,
            self.health_check_cost,
        ];
        if self.classes.is_empty() || self.gateways == 0 {
            return Err(SettingsError("no classes or no gateways"));
        }
        if self.classes.iter().any(incomplete) {
            return Err(SettingsError(
                "a class without latency objective, deadline or threads",
            ));
        }
        let mut all = self
            .classes
            .iter()
            .flat_map(figures)
            .chain(self.cores.iter().copied())
            .chain(rules);
        if !all.all(usable) {
            return Err(SettingsError("a negative or infinite figure"));
        }
        Ok(())
    }
}

/// Settings that the controller can't work with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "unusable settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
