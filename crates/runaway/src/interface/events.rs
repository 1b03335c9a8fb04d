//! What the router reports to the detector: statements, attempts, engines.

use std::rc::Rc;

use hoptiller_policy::{EngineId, Micros};

use super::ids::{AttemptId, FingerprintId};

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
    pub label: Rc<str>,
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
