//! What goes into and comes out of [`RunawayDetector`](crate::RunawayDetector). Plain data.

use hoptiller_policy::{EngineId, Hold, Idempotency, Micros};
use serde::{Deserialize, Serialize};

/// A statement's kind: its class and the fingerprint of its text, in one number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FingerprintId(pub u64);

impl FingerprintId {
    /// The kind of a fingerprint within a class. The class goes by name, which outlives a change of its number.
    pub fn new(class: &str, fingerprint: u64) -> FingerprintId {
        let mut hash = blake3::Hasher::new();
        hash.update(&fingerprint.to_le_bytes())
            .update(class.as_bytes());
        FingerprintId(first_of(&hash))
    }

    /// What stands for all kinds of a class that are hardly known.
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

/// An attempt of a statement of this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The statement, by this router's number.
    pub statement: u64,
    /// Which of its attempts, from 0.
    pub hop: u32,
}

/// What may be done about runaways of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EnforcementOptions {
    /// Say so.
    pub name: bool,
    /// Bound how many of its kind run at once, and where.
    pub hold: bool,
    /// Let its kind run behind all others inside engines.
    pub lower: bool,
    /// Let it stand still for a while.
    pub pause: bool,
    /// End it.
    pub end: bool,
}

/// A class, as far as this module asks.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What it should take at most, waiting included.
    pub aim: Micros,
    /// How long its clients wait.
    pub patience: Micros,
    /// Threads that a statement runs on.
    pub threads: f64,
    /// What repeating does.
    pub effect: Idempotency,
    /// A load: holds its group of tables while it runs.
    pub holds: bool,
    /// What may be done about its runaways.
    pub enforcement: EnforcementOptions,
}

/// All that a detector is configured with when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes; events name them by position.
    pub classes: Vec<Class>,
    /// Kinds that are remembered at most.
    pub kinds: usize,
    /// How long a paused statement stands still.
    pub pause_for: Micros,
    /// Time between naming a statement and ending it.
    pub end_after: Micros,
}

/// What a statement announces of its size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Announced {
    /// Values in its lists, rows that it inserts, months, properties: what its cost grows with. 0: nothing.
    pub size: u64,
    /// Its own estimate of its work, over all threads.
    pub estimate: Option<Micros>,
}

/// Why a statement stands still.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BlockedState {
    /// For memory.
    Memory,
    /// Behind another, which engines name where they can.
    Behind(Option<Holder>),
}

/// Who holds what others wait for, as an engine tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// `ROUTER/NUMBER_LIFE`.
    pub name: String,
    /// Its class, where told.
    pub class: Option<usize>,
    /// How long it has run, standing still left out, where told.
    pub age: Option<Micros>,
}

/// What an engine tells of a running attempt. What is absent was not told.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProgressReport {
    /// Work done so far, over all threads.
    pub work: Option<Micros>,
    /// Share done, rough.
    pub done: Option<f64>,
    /// Rows read so far.
    pub rows: Option<u64>,
    /// The most memory that it has held, in MB.
    pub memory_mb: Option<f64>,
    /// It lacks memory and spills.
    pub spills: bool,
    /// It stands still.
    pub blocked_state: Option<BlockedState>,
}

impl ProgressReport {
    /// Whether anything was told.
    pub fn is_empty(&self) -> bool {
        *self == ProgressReport::default()
    }
}

/// A start.
#[derive(Clone, Debug)]
pub struct AttemptStart {
    /// Which attempt.
    pub attempt: AttemptId,
    /// Where.
    pub engine: EngineId,
    /// Its class.
    pub class: usize,
    /// What engines call the statement: `ROUTER/NUMBER_LIFE`.
    pub name: String,
    /// Its kind.
    pub kind: FingerprintId,
    /// The kind under which it can be held: its own, or that of all kinds hardly known.
    pub held_as: FingerprintId,
    /// Its kind's text, for people.
    pub label: std::rc::Rc<str>,
    /// What it announces.
    pub announced: Announced,
    /// The group of tables that it reads or writes.
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
    /// The router stopped waiting; at the engine it may go on.
    Abandoned,
}

/// An engine that is listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStatus {
    /// Which.
    pub engine: EngineId,
    /// It takes work.
    pub up: bool,
    /// Classes that may run there.
    pub classes: Vec<bool>,
}

/// How sure it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Over its bound, not for long enough.
    Suspect,
    /// At fault.
    Runaway,
    /// Something to know that is no statement's fault.
    Notice,
    /// No longer.
    Cleared,
}

/// What is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It does far more work than its kind.
    Heavy,
    /// It does far more work for what it reads than its kind.
    BadPlan,
    /// Others wait behind it, and it takes longer than its kind.
    Blocks,
    /// It and others wait for each other.
    Deadlock,
    /// It takes far more memory than its kind while others wait for some.
    Memory,
    /// All statements of the kind run long: the kind has changed.
    KindChanged,
    /// Everything on the engine runs long.
    SlowEngine,
    /// The engine is done, and the client takes the rows slowly.
    SlowReader,
}

impl Cause {
    /// In words.
    pub fn description(self) -> &'static str {
        match self {
            Cause::Heavy => "heavy by itself",
            Cause::BadPlan => "bad plan",
            Cause::Blocks => "blocks others",
            Cause::Deadlock => "waits in a circle",
            Cause::Memory => "takes memory that others wait for",
            Cause::KindChanged => "its kind has changed",
            Cause::SlowEngine => "slow engine",
            Cause::SlowReader => "its client reads slowly",
        }
    }
}

/// Which figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// Work so far, in µs.
    Work,
    /// Work that the share done leads to, in µs.
    WorkToCome,
    /// Run time without standing still, by how slow the engine is, in µs.
    Run,
    /// Run time that the share done leads to, in µs.
    RunToCome,
    /// Memory, in MB.
    Memory,
    /// Time for which it has stood, or its client has read, in µs.
    Time,
    /// Times as long as usual.
    Times,
}

/// What an expectation rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "on", content = "runs")]
pub enum Basis {
    /// So many runs of the kind.
    Kind(u64),
    /// So many runs of the class; the kind is hardly known.
    Class(u64),
    /// The settings; nothing is known yet.
    Settings,
}

/// Which figure, against which expectation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Evidence {
    /// The figure's meaning.
    pub measure: Measure,
    /// Its value.
    pub figure: f64,
    /// What is usual.
    pub usual: f64,
    /// From where on it is too much.
    pub bar: f64,
    /// What `usual` and `bar` rest on.
    pub basis: Basis,
}

impl std::fmt::Display for Evidence {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let seconds = |v: f64| format!("{:.1} s", v / 1e6);
        let basis = match self.basis {
            Basis::Kind(n) => format!("{n} runs of its kind"),
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
        write!(f, "bound {} by {basis}", show(self.bar))
    }
}

/// Who or what a finding is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A statement, as its router names it; of this router or, as engines tell it, of another.
    Statement(String),
    /// A kind.
    Kind(FingerprintId),
    /// An engine.
    Engine(EngineId),
}

/// A verdict with its evidence.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Its number; verdicts on the same subject for the same reason keep it.
    pub id: u64,
    /// About whom.
    pub subject: Subject,
    /// How sure.
    pub verdict: Verdict,
    /// What is wrong.
    pub cause: Cause,
    /// The class of the statement or kind, where known.
    pub class: Option<usize>,
    /// Its kind, where known.
    pub kind: Option<FingerprintId>,
    /// The kind's text, for people.
    pub label: String,
    /// Where it runs.
    pub engine: Option<EngineId>,
    /// When it started, as far as known.
    pub started: Micros,
    /// Since when the figure is over the bound.
    pub since: Micros,
    /// When this verdict was reached.
    pub at: Micros,
    /// Which figure, against what.
    pub evidence: Evidence,
    /// Whom it blocks, by name; the first [`BLOCKED`] of them.
    pub blocks: Vec<String>,
    /// How many it blocks.
    pub blocked: usize,
    /// Why it was cleared, or what else to know.
    pub note: &'static str,
}

/// Names of blocked statements that a finding keeps.
pub const BLOCKED: usize = 64;

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A new verdict.
    Found(Box<Finding>),
    /// A bound on what may be sent, to be told to the routing decisions.
    Hold(Hold),
    /// An attempt is to stand still.
    Pause(AttemptId),
    /// A paused one is to go on.
    Resume(AttemptId),
    /// An attempt is to be ended; what it ends with still comes from the engine.
    End(AttemptId),
}
