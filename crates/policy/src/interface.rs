//! What goes into and comes out of the [`Controller`](crate::Controller): settings, events, actions.
//! Plain data; every decision is in `control.rs`.

/// Time in whole microseconds, on whatever clock the host feeds in; it only advances.
pub type Micros = u64;

/// A request, named by the host; never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An engine. It keeps its id when its process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub u32);

/// An ordering key, interned by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u64);

/// How far an engine group reaches that drops repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All engines.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

/// What repeating a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat.
    Idempotent,
    /// Repeats are dropped inside `group`, for `window` after the first attempt that may have run.
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
    /// An answer within this time has the full worth.
    pub latency_objective: Micros,
    /// The aim grows by this times the true work over its threads.
    pub objective_stretch: f64,
    /// A client's patience over all its tries.
    pub deadline: Micros,
    /// What repeating does.
    pub idempotency: Idempotency,
    /// Requests with the same key run one at a time, in order.
    pub ordered_by_key: bool,
    /// Part of the worth that an answer after the aim still has.
    pub late_weight_ratio: f64,
    /// Worth of one request.
    pub priority_weight: f64,
    /// Zones it may go to; `None`: any.
    pub zones: Option<Vec<usize>>,
    /// Machine kinds it may go to; `None`: any.
    pub kinds: Option<Vec<usize>>,
    /// Threads that a query runs on.
    pub threads: f64,
    /// A load: holds its group of tables on its engine while it runs.
    pub locks_group: bool,
}

/// How discovery tells of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Unprompted.
    Push,
    /// Only after [`Action::Subscribe`].
    Subscribe,
}

/// What the host permits.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts per request at most.
    pub max_attempts: u32,
    /// Requests that may be open at once, as clients have no means to send more; 0: any number.
    pub max_open_requests: usize,
    /// Two attempts of a request may be out at once.
    pub hedged_requests: bool,
    /// Clients are told when to come back.
    pub retry_after: bool,
    /// The longest such time that they heed.
    pub max_retry_after: Micros,
    /// Priorities are heeded.
    pub priorities: bool,
    /// Engines may be probed.
    pub health_checks: bool,
    /// Attempts may be withdrawn; engines then stop their work.
    pub cancel: bool,
}

/// How many further attempts one router may make.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Permitted however light the traffic is.
    pub min_retries: f64,
    /// Permitted per request taken.
    pub ratio: f64,
    /// The span over which both are counted.
    pub window: Micros,
}

/// Figures of the rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// A cold engine starts at this part of its capacity or above.
    pub start_capacity: f64,
    /// And is warm after this time.
    pub slow_start_window: Micros,
    /// It falls over when sent more than this multiple of its present capacity...
    pub overload_factor: f64,
    /// ...for this long.
    pub overload_window: Micros,
    /// Rest of a key after an attempt that may still run.
    pub key_pause: Micros,
    /// Budget of further attempts; `None`: no limit.
    pub retry_budget: Option<RetryBudget>,
    /// With [`Discovery::Subscribe`]: how often a router without a subscription must ask.
    pub max_poll_interval: Micros,
}

/// All that a controller is told when it starts.
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
    /// Share of the service of each tenant; events name tenants by position. Not used yet.
    pub tenant_quotas: Vec<f64>,
    /// Worth of a request beyond its tenant's share, against one within it. Not used yet.
    pub over_quota_weight: f64,
    /// Engines tell queries in flight, memory or busy cores, in answers or to probes.
    pub load_reports: bool,
    /// Time between notes of an attempt's progress; 0: none come.
    pub progress_interval: Micros,
    /// Most memory that one query may be granted on the smallest kind, in MB; 0: grants are not heeded.
    pub max_grant_mb: f64,
    /// Memory is overcommitted: a grant takes no more than the query needs, and nothing queues for it.
    pub memory_overcommit: bool,
    /// Load reports tell how many queries an engine holds.
    pub reports_in_flight: bool,
    /// Answers tell the work a query needed.
    pub reports_work: bool,
    /// What a probe with each request costs, in points of the goal; 0: nothing.
    pub health_check_cost: f64,
    /// Clients mark their repetitions.
    pub clients_mark_retries: bool,
    /// How the engine list comes.
    pub discovery: Discovery,
    /// What is permitted.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: Rules,
}

/// State of a listed engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// Takes work.
    #[default]
    Up,
    /// Finishes what it has.
    Draining,
    /// Gone.
    Removed,
}

/// One line of the engine list.
#[derive(Clone, Debug, Default)]
pub struct EndpointEntry {
    /// The engine.
    pub engine: EngineId,
    /// Its zone, where known.
    pub zone: Option<usize>,
    /// Its machine kind, where known.
    pub kind: Option<usize>,
    /// Its cell.
    pub cell: u64,
    /// Time of its latest start; 0: long ago.
    pub ready_at: Micros,
    /// Its state.
    pub readiness: Readiness,
}

/// How a list event relates to the list held so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only changed entries.
    Changes,
    /// The complete list.
    All,
    /// The complete list as last held before a restart; may be old.
    Cached,
    /// A call to discovery failed; no entries.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// Served.
    Succeeded,
    /// The engine answered with an error; it may have run.
    ErrorResponse,
    /// Turned away unseen; it never ran.
    Rejected,
    /// No answer in time; it may have run or may still run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    ConnectionReset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// What an engine said of its load; late and noisy.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Queries it holds, from all gateways.
    pub in_flight: Option<f64>,
    /// Share of its memory that is granted.
    pub memory: Option<f64>,
    /// Share of its cores that is busy.
    pub cpu: Option<f64>,
}

/// A request that has come in.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// Its class.
    pub class: usize,
    /// Its tenant, where there are any.
    pub tenant: Option<usize>,
    /// Its ordering key.
    pub key: Option<KeyId>,
    /// When the client gives up.
    pub valid_until: Micros,
    /// Estimated work of all threads.
    pub estimated_work: Option<Micros>,
    /// Estimated memory that it needs, in MB; 0: none given.
    pub estimated_memory_mb: f64,
    /// The group of tables that it reads or writes, where told.
    pub group: Option<u64>,
    /// The client marks it as a repetition.
    pub is_retry: bool,
    /// Its kind, under which it can be held.
    pub kind: Option<u64>,
}

/// What a hold is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HoldTarget {
    /// Requests of a kind.
    Kind(u64),
    /// Requests of a group of tables.
    Group(u64),
}

/// A bound on what is sent. It takes the place of the one before about the same; one that bounds nothing lifts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// About what.
    pub target: HoldTarget,
    /// Attempts that may be out at once.
    pub max_in_flight: u32,
    /// Engines that get none of it.
    pub excluded_engines: Vec<EngineId>,
    /// It runs behind all others inside engines.
    pub low_priority: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts, from 0.
    pub attempt: u32,
    /// Where it had been sent.
    pub engine: EngineId,
    /// How it ended.
    pub status: AttemptStatus,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// The request is over, by this or before.
    pub terminal: bool,
    /// Work the query needed, where told.
    pub work: Option<Micros>,
    /// The engine's load, where told.
    pub report: Option<LoadReport>,
}

/// What a note tells of an attempt that is out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// Share done, rough.
    Completed(f64),
    /// It lacks so much memory, in MB, and spills to disk.
    Spilling(f64),
    /// It stands still, for memory or behind a load.
    Blocked,
}

/// Something the controller is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the engine list.
    EndpointList(ListScope, Vec<EndpointEntry>),
    /// A request has come in.
    Arrival(Arrival),
    /// An attempt has ended.
    Outcome(Outcome),
    /// Word on an attempt that is still out.
    Progress {
        /// The request.
        request: RequestId,
        /// Which of its attempts, from 0.
        attempt: u32,
        /// Where it runs.
        engine: EngineId,
        /// What is told.
        progress: Progress,
    },
    /// A probe has ended; the report only where it succeeded.
    HealthChecked(EngineId, Option<LoadReport>),
    /// The client has gone; no answer is owed.
    ClientDisconnected(RequestId),
    /// Its router ends before it could have an answer: it is given up, and told whether trying again is harmless.
    Abandoned(RequestId),
    /// Some requests are held, or no longer.
    Hold(Hold),
    /// Other rules hold from now on. Classes, kinds and zones keep their numbers; further ones come behind.
    SettingsChanged(Box<Settings>),
    /// A timer is due.
    Wakeup,
}

/// Something the host is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to an engine.
    Send {
        /// The request.
        request: RequestId,
        /// The engine.
        engine: EngineId,
        /// Its first byte must be written before that, or not at all: a connection may take long, and a repeat past
        /// its window is no longer recognised. `None`: whenever there still is time for it.
        send_by: Option<Micros>,
    },
    /// Set priority and memory of a request, before its send.
    SetOptions {
        /// The request.
        request: RequestId,
        /// 0 to 3.
        priority: u8,
        /// Memory to grant, in MB; 0 leaves it to the engine.
        memory_grant_mb: f64,
    },
    /// Withdraw an attempt; its [`Event::Outcome`] still comes.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which of its attempts, from 0.
        attempt: u32,
    },
    /// Final answer: refused, trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client should come back.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, nothing promised.
    Fail(RequestId),
    /// Probe an engine for [`Event::Probed`].
    HealthCheck(EngineId),
    /// Ask for [`Event::Wakeup`] after this time.
    Timer(Micros),
    /// Ask discovery to tell changes from now on.
    Subscribe,
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
