//! Events that the router reports to the detector: starts, progress reports and ends of attempts, and the status of
//! engines.

use std::rc::Rc;

use hoptiller_policy::{EngineId, Micros};

use super::ids::{AttemptId, FingerprintId};

/// The hints that a client announces with a statement: its size and an estimate of its work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Announced {
    /// The quantity that the cost of the statement grows with, such as the number of list values or inserted rows; 0 if
    /// none is announced.
    pub size: u64,
    /// The estimated work in µs, summed over all threads.
    pub estimate: Option<Micros>,
}

/// The reason why an attempt is blocked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BlockedState {
    /// The attempt waits for memory.
    Memory,
    /// The attempt waits for another statement, which some engines name, or is paused.
    Statement(Option<BlockingStatement>),
}

/// A statement that blocks another one, as reported by an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockingStatement {
    /// The statement's name: `ROUTER/NUMBER_INCARNATION`.
    pub name: String,
    /// The statement's class, if reported.
    pub class: Option<usize>,
    /// The statement's run time without blocked time, if reported.
    pub age: Option<Micros>,
}

/// An engine's report on a running attempt; `None` stands for values that the engine does not report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProgressReport {
    /// Work done so far in µs, summed over all threads.
    pub work: Option<Micros>,
    /// The approximate completed fraction, from 0 to 1.
    pub done: Option<f64>,
    /// Rows read so far.
    pub rows: Option<u64>,
    /// Peak memory in MB.
    pub memory_mb: Option<f64>,
    /// Whether the attempt lacks memory and spills to disk.
    pub spills: bool,
    /// The reason why the attempt is blocked, if it is.
    pub blocked_state: Option<BlockedState>,
}

impl ProgressReport {
    /// Returns whether the report contains no values.
    pub fn is_empty(&self) -> bool {
        *self == ProgressReport::default()
    }
}

/// The start of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptStart {
    /// The id of the attempt.
    pub attempt: AttemptId,
    /// The engine that runs the attempt.
    pub engine: EngineId,
    /// The index of the statement's class.
    pub class: usize,
    /// The statement's name on engines: `ROUTER/NUMBER_INCARNATION`. All attempts of the statement share it.
    pub name: String,
    /// The statement's fingerprint.
    pub fingerprint: FingerprintId,
    /// The fingerprint whose hold applies to the statement: its own, or the one that stands for all unknown
    /// fingerprints of its class.
    pub held_as: FingerprintId,
    /// The display text of the fingerprint.
    pub label: Rc<str>,
    /// The hints announced by the client.
    pub announced: Announced,
    /// The table group that the statement reads or writes.
    pub group: Option<u64>,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// The attempt returned its result.
    Succeeded,
    /// The attempt ended on the engine without a result.
    Failed,
    /// The attempt never ran.
    NeverRan,
    /// The router stopped waiting for the attempt; the engine may still run it.
    Abandoned,
}

/// The status of a listed engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStatus {
    /// The engine's id.
    pub engine: EngineId,
    /// Whether the engine accepts work.
    pub is_up: bool,
    /// By class index: whether the class may run on the engine.
    pub classes: Vec<bool>,
}
