//! The events, findings and decisions of the detector: plain data.

use hoptiller_policy::{EngineId, Hold, Idempotency, Micros};
use serde::{Deserialize, Serialize};

/// The id of a fingerprint within a class: a hash of both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FingerprintId(pub u64);

impl FingerprintId {
    /// The id of a fingerprint within a class. The class is identified by its name, as its number may change.
    pub fn new(class: &str, fingerprint: u64) -> FingerprintId {
        let mut hash = blake3::Hasher::new();
        hash.update(&fingerprint.to_le_bytes())
            .update(class.as_bytes());
        FingerprintId(first_of(&hash))
    }

    /// The id that stands for all unknown fingerprints of a class.
    pub fn unknown(class: &str) -> FingerprintId {
        let mut hash = blake3::Hasher::new();
        hash.update(b"hardly known kinds of ")
            .update(class.as_bytes());
        FingerprintId(first_of(&hash))
    }
}

impl std::fmt::Display for FingerprintId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl std::str::FromStr for FingerprintId {
    type Err = std::num::ParseIntError;
    fn from_str(text: &str) -> Result<FingerprintId, Self::Err> {
        u64::from_str_radix(text, 16).map(FingerprintId)
    }
}

fn first_of(hash: &blake3::Hasher) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// The id of an attempt of a statement of this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The number of the statement at this router.
    pub statement: u64,
    /// The attempt number, from 0.
    pub number: u32,
}

/// What may be done about runaways of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EnforcementOptions {
    /// Report them.
    pub name: bool,
    /// Limit how many of the fingerprint run at once, and on which engines.
    pub hold: bool,
    /// Run the fingerprint at low priority inside engines.
    pub lower: bool,
    /// Pause them for a while.
    pub pause: bool,
    /// End them.
    pub end: bool,
}

/// The settings of a class.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// The latency objective, queueing included.
    pub latency_objective: Micros,
    /// How long its clients wait.
    pub client_timeout: Micros,
    /// Threads that a statement runs on.
    pub threads: f64,
    /// Whether its statements may run more than once.
    pub idempotency: Idempotency,
    /// Whether its statements lock their table group while they run, as loads do.
    pub holds_tables: bool,
    /// What may be done about its runaways.
    pub enforcement: EnforcementOptions,
}

/// The settings of a detector.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes; events refer to them by index.
    pub classes: Vec<Class>,
    /// Fingerprints with statistics that are kept at most.
    pub max_fingerprints: usize,
    /// How long a statement is paused.
    pub pause_for: Micros,
    /// Time between the finding on a runaway and its end.
    pub end_after: Micros,
}

/// What a client announces of the size of a statement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Announced {
    /// What its cost grows with, such as values in lists or inserted rows; 0 if nothing is announced.
    pub size: u64,
    /// The estimate of its work in µs, over all threads.
    pub estimate: Option<Micros>,
}

/// Why an attempt is blocked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BlockedState {
    /// It waits for memory.
    Memory,
    /// It waits for another statement, which engines name if they can.
    Behind(Option<Holder>),
}

/// The statement that blocks another, as an engine reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Its name: `ROUTER/NUMBER_INCARNATION`.
    pub name: String,
    /// Its class, if reported.
    pub class: Option<usize>,
    /// How long it has run without blocked time, if reported.
    pub age: Option<Micros>,
}

/// What an engine reports of a running attempt; `None` for what it does not report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProgressReport {
    /// Work done so far in µs, over all threads.
    pub work: Option<Micros>,
    /// The approximate share done, from 0 to 1.
    pub done: Option<f64>,
    /// Rows read so far.
    pub rows: Option<u64>,
    /// Peak memory in MB.
    pub memory_mb: Option<f64>,
    /// Whether it lacks memory and spills.
    pub spills: bool,
    /// Why it is blocked, if it is.
    pub blocked_state: Option<BlockedState>,
}

impl ProgressReport {
    /// Whether nothing was reported.
    pub fn is_empty(&self) -> bool {
        *self == ProgressReport::default()
    }
}

/// The start of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptStart {
    /// The id of the attempt.
    pub attempt: AttemptId,
    /// Where.
    pub engine: EngineId,
    /// Its class.
    pub class: usize,
    /// The name of the statement at engines: `ROUTER/NUMBER_INCARNATION`.
    pub name: String,
    /// Its fingerprint.
    pub fingerprint: FingerprintId,
    /// The fingerprint under which it can be held: its own, or that of all unknown ones.
    pub held_as: FingerprintId,
    /// The text of its fingerprint, for display.
    pub label: std::rc::Rc<str>,
    /// What its client announces of its size.
    pub announced: Announced,
    /// The table group that it reads or writes.
    pub group: Option<u64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// With its result.
    Succeeded,
    /// It is over at the engine, without a result.
    Failed,
    /// It never ran.
    NeverRan,
    /// The router stopped waiting; the engine may still run it.
    Abandoned,
}

/// The status of a listed engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStatus {
    /// The engine.
    pub engine: EngineId,
    /// Whether it accepts work.
    pub is_up: bool,
    /// By class: whether it may run there.
    pub classes: Vec<bool>,
}

/// How certain a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Over its bound, but not for long enough.
    Suspect,
    /// At fault.
    Runaway,
    /// An observation that is no statement's fault.
    Notice,
    /// The finding no longer holds.
    Cleared,
}

/// The cause of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It does far more work than is usual for its fingerprint.
    Heavy,
    /// It does far more work per row than is usual for its fingerprint.
    BadPlan,
    /// Others wait for it, and it takes longer than is usual.
    Blocks,
    /// It and others wait for each other.
    Deadlock,
    /// It uses far more memory than is usual while others wait for memory.
    Memory,
    /// All statements of the fingerprint run long: it has changed.
    #[serde(rename = "kind_changed")]
    FingerprintChanged,
    /// Everything on the engine runs long.
    SlowEngine,
    /// The engine is done, and the client receives the rows slowly.
    SlowReader,
}

impl Cause {
    /// The description on pages and in metrics.
    pub fn description(self) -> &'static str {
        match self {
            Cause::Heavy => "heavy by itself",
            Cause::BadPlan => "bad plan",
            Cause::Blocks => "blocks others",
            Cause::Deadlock => "waits in a circle",
            Cause::Memory => "takes memory that others wait for",
            Cause::FingerprintChanged => "its kind has changed",
            Cause::SlowEngine => "slow engine",
            Cause::SlowReader => "its client reads slowly",
        }
    }
}

/// Which figure a finding rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// Work so far, in µs.
    Work,
    /// Total work projected from the share done, in µs.
    WorkToCome,
    /// Run time without blocked time, divided by the slowness of the engine, in µs.
    Run,
    /// Total run time projected from the share done, in µs.
    RunToCome,
    /// Memory, in MB.
    Memory,
    /// Time for which it was blocked, or its client has received rows, in µs.
    Time,
    /// Ratio to the usual run time.
    Times,
}

/// What an expectation rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "on", content = "runs")]
pub enum Basis {
    /// This many runs of the fingerprint.
    #[serde(rename = "kind")]
    Fingerprint(u64),
    /// This many runs of the class; the fingerprint is unknown.
    Class(u64),
    /// The settings; there are no runs yet.
    Settings,
}

/// A figure and what was expected of it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Evidence {
    /// Which figure it is.
    pub measure: Measure,
    /// Its value.
    pub figure: f64,
    /// What is usual.
    pub usual: f64,
    /// The bound that it exceeds.
    #[serde(rename = "bar")]
    pub bound: f64,
    /// What `usual` and `bound` rest on.
    pub basis: Basis,
}

impl std::fmt::Display for Evidence {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let seconds = |v: f64| format!("{:.1} s", v / 1e6);
        let basis = match self.basis {
            Basis::Fingerprint(n) => format!("{n} runs of its kind"),
            Basis::Class(n) => format!("{n} runs of its class"),
            Basis::Settings => "the settings alone".into(),
        };
        let (what, show): (&str, &dyn Fn(f64) -> String) = match self.measure {
            Measure::Work => ("work so far", &seconds),
            Measure::WorkToCome => ("work by the share done", &seconds),
            Measure::Run => ("run", &seconds),
            Measure::RunToCome => ("run by the share done", &seconds),
            Measure::Memory => ("memory", &|v| format!("{v:.0} MB")),
            Measure::Time => ("time", &seconds),
            Measure::Times => ("run against usual", &|v| format!("{v:.1} times")),
        };
        write!(
            f,
            "{what} {}, usual {}, ",
            show(self.figure),
            show(self.usual)
        )?;
        write!(f, "bound {} by {basis}", show(self.bound))
    }
}

/// What a finding is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A statement of this router or, as engines report it, of another; by name.
    Statement(String),
    /// A fingerprint.
    Fingerprint(FingerprintId),
    /// An engine.
    Engine(EngineId),
}

/// A verdict on a subject, with its evidence.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Its number; it stays while the finding on the subject is open.
    pub id: u64,
    /// What it is about.
    pub subject: Subject,
    /// How certain it is.
    pub verdict: Verdict,
    /// The cause.
    pub cause: Cause,
    /// The class of the statement or fingerprint, if known.
    pub class: Option<usize>,
    /// Its fingerprint, if known.
    pub fingerprint: Option<FingerprintId>,
    /// The text of the fingerprint, for display.
    pub label: String,
    /// The engine where it runs.
    pub engine: Option<EngineId>,
    /// When it started, as far as known.
    pub started: Micros,
    /// Since when the figure is over the bound.
    pub since: Micros,
    /// When this verdict was reached.
    pub at: Micros,
    /// The figure that shows it.
    pub evidence: Evidence,
    /// Names of the statements that it blocks; the first [`MAX_BLOCKED_NAMES`] of them.
    pub blocks: Vec<String>,
    /// How many statements it blocks.
    pub blocked: usize,
    /// Why it was cleared, or a remark.
    pub note: &'static str,
}

/// Names of blocked statements that a finding keeps at most.
pub const MAX_BLOCKED_NAMES: usize = 64;

/// A decision that the router carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Report a new, changed or cleared finding.
    Found(Box<Finding>),
    /// Apply a hold to routing decisions.
    Hold(Hold),
    /// Pause an attempt.
    Pause(AttemptId),
    /// Resume a paused attempt.
    Resume(AttemptId),
    /// End an attempt; its outcome still comes from the engine.
    End(AttemptId),
}
