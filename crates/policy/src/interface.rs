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
pub enum Group {
    /// All engines.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

/// What repeating a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    Pure,
    /// Repeats are dropped inside `group`, for `window` after the first attempt that may have run.
    Keyed {
        /// The engines that share the memory of this key.
        group: Group,
        /// How long they remember it.
        window: Micros,
    },
    /// Must never run twice.
    Unsafe,
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time has the full worth.
    pub aim: Micros,
    /// The aim grows by this times the true work over its threads.
    pub aim_stretch: f64,
    /// A client's patience over all its tries.
    pub deadline: Micros,
    /// What repeating does.
    pub effect: Effect,
    /// Requests with the same key run one at a time, in order.
    pub in_turn: bool,
    /// Part of the worth that an answer after the aim still has.
    pub late_worth: f64,
    /// Worth of one request.
    pub worth: f64,
    /// Zones it may go to; `None`: any.
    pub zones: Option<Vec<usize>>,
    /// Machine kinds it may go to; `None`: any.
    pub kinds: Option<Vec<usize>>,
    /// Threads that a query runs on.
    pub threads: f64,
    /// A load: holds its group of tables on its engine while it runs.
    pub holds: bool,
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
    pub max_open: usize,
    /// Two attempts of a request may be out at once.
    pub second_copies: bool,
    /// Clients are told when to come back.
    pub retry_after: bool,
    /// The longest such time that they heed.
    pub max_retry_after: Micros,
    /// Priorities are heeded.
    pub priorities: bool,
    /// Engines may be probed.
    pub probes: bool,
    /// Attempts may be withdrawn; engines then stop their work.
    pub cancel: bool,
}

/// How many further attempts one router may make.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Permitted however light the traffic is.
    pub spare: f64,
    /// Permitted per request taken.
    pub ratio: f64,
    /// The span over which both are counted.
    pub look_back: Micros,
}

/// Figures of the rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// A cold engine starts at this part of its capacity or above.
    pub start_capacity: f64,
    /// And is warm after this time.
    pub ramp_time: Micros,
    /// It falls over when sent more than this multiple of its present capacity...
    pub overload_factor: f64,
    /// ...for this long.
    pub fall: Micros,
    /// Rest of a key after an attempt that may still run.
    pub order_pause: Micros,
    /// Budget of further attempts; `None`: no limit.
    pub retry_budget: Option<RetryBudget>,
    /// With [`Discovery::Subscribe`]: how often a router without a subscription must ask.
    pub ask_within: Micros,
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
    pub tenants: Vec<f64>,
    /// Worth of a request beyond its tenant's share, against one within it. Not used yet.
    pub over_share_worth: f64,
    /// Engines tell queries in flight, memory or busy cores, in answers or to probes.
    pub reports: bool,
    /// Time between notes of an attempt's progress; 0: none come.
    pub progress_every: Micros,
    /// Most memory that one query may be granted on the smallest kind, in MB; 0: grants are not heeded.
    pub most_grant: f64,
    /// Memory is overcommitted: a grant takes no more than the query needs, and nothing queues for it.
    pub overcommits: bool,
    /// Load reports tell how many queries an engine holds.
    pub tells_in_flight: bool,
    /// Answers tell the work a query needed.
    pub bills: bool,
    /// What a probe with each request costs, in points of the goal; 0: nothing.
    pub probe_price: f64,
    /// Clients mark their repetitions.
    pub marks_retry: bool,
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
pub struct Entry {
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
pub enum Scope {
    /// Only changed entries.
    Changes,
    /// The complete list.
    All,
    /// The complete list as last held before a restart; may be old.
    Remembered,
    /// A call to discovery failed; no entries.
    Refused,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served.
    Good,
    /// The engine answered with an error; it may have run.
    Bad,
    /// Turned away unseen; it never ran.
    Full,
    /// No answer in time; it may have run or may still run.
    Late,
    /// No connection; it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
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
    pub guess: Option<Micros>,
    /// Estimated memory that it needs, in MB; 0: none given.
    pub want_mb: f64,
    /// The group of tables that it reads or writes, where told.
    pub group: Option<u64>,
    /// The client marks it as a repetition.
    pub retry: bool,
    /// Its kind, under which it can be held.
    pub kind: Option<u64>,
}

/// What a hold is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Held {
    /// Requests of a kind.
    Kind(u64),
    /// Requests of a group of tables.
    Group(u64),
}

/// A bound on what is sent. It takes the place of the one before about the same; one that bounds nothing lifts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// About what.
    pub of: Held,
    /// Attempts that may be out at once.
    pub most: u32,
    /// Engines that get none of it.
    pub closed: Vec<EngineId>,
    /// It runs behind all others inside engines.
    pub last: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts, from 0.
    pub hop: u32,
    /// Where it had been sent.
    pub engine: EngineId,
    /// How it ended.
    pub ending: Ending,
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
    Done(f64),
    /// It lacks so much memory, in MB, and spills to disk.
    Spills(f64),
    /// It stands still, for memory or behind a load.
    Waits,
}

/// Something the controller is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the engine list.
    List(Scope, Vec<Entry>),
    /// A request has come in.
    Arrival(Arrival),
    /// An attempt has ended.
    Outcome(Outcome),
    /// Word on an attempt that is still out.
    Note {
        /// The request.
        request: RequestId,
        /// Which of its attempts, from 0.
        hop: u32,
        /// Where it runs.
        engine: EngineId,
        /// What is told.
        progress: Progress,
    },
    /// A probe has ended; the report only where it succeeded.
    Probed(EngineId, Option<LoadReport>),
    /// The client has gone; no answer is owed.
    Dropped(RequestId),
    /// Its router ends before it could have an answer: it is given up, and told whether trying again is harmless.
    GiveUp(RequestId),
    /// Some requests are held, or no longer.
    Hold(Hold),
    /// Other rules hold from now on. Classes, kinds and zones keep their numbers; further ones come behind.
    Rules(Box<Settings>),
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
    Terms {
        /// The request.
        request: RequestId,
        /// 0 to 3.
        priority: u8,
        /// Memory to grant, in MB; 0 leaves it to the engine.
        grant: f64,
    },
    /// Withdraw an attempt; its [`Event::Outcome`] still comes.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which of its attempts, from 0.
        hop: u32,
    },
    /// Final answer: refused, trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// When the client should come back.
        hold_off: Option<Micros>,
    },
    /// Final answer: failed, nothing promised.
    Fail(RequestId),
    /// Probe an engine for [`Event::Probed`].
    Probe(EngineId),
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
