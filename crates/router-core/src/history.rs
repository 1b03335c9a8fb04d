//! The history of one statement, for diagnosis.

use std::fmt;

use hoptiller_policy::{AttemptStatus, EngineId};
use serde::{Serialize, Serializer};

/// The phase of a statement. Its displayed and serialized form is a human-readable description.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementPhase {
    /// No attempt has been sent yet.
    Queued,
    /// All attempts have ended without a result, and another one will follow.
    AwaitingRetry,
    /// An attempt is in flight.
    Running,
    /// A first page was received, but the client has not fetched it.
    ResultReady,
    /// The client is fetching rows.
    Streaming,
    /// The final response is settled. Holds its label.
    Settled(&'static str),
}

impl fmt::Display for StatementPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StatementPhase::Queued => "waits for a place",
            StatementPhase::AwaitingRetry => "waits to be sent again",
            StatementPhase::Running => "runs",
            StatementPhase::ResultReady => "has a result that nobody has fetched",
            StatementPhase::Streaming => "gives out rows",
            StatementPhase::Settled(label) => label,
        })
    }
}

impl Serialize for StatementPhase {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// The history of a statement. Times are in milliseconds since the statement was received.
#[derive(Clone, Debug)]
pub struct StatementHistory {
    /// Index of the statement's class.
    pub class: usize,
    /// Current phase of the statement.
    pub phase: StatementPhase,
    /// Reason why the statement was not completed; empty if there is none.
    pub reason: String,
    /// Time until the final response, or until now.
    pub elapsed_ms: u64,
    /// Timeout of the statement: that of the client, limited by the deadline of the class.
    pub timeout_ms: u64,
    /// Time before the first attempt.
    pub queued_ms: u64,
    /// Number of responses delivered.
    pub responses: u64,
    /// Attempts of the statement.
    pub attempts: Vec<AttemptHistory>,
}

/// The history of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptHistory {
    /// Number of the attempt, from 0.
    pub number: u32,
    /// Engine that the attempt was sent to.
    pub engine: EngineId,
    /// Time at which the attempt was sent.
    pub sent_ms: u64,
    /// Time at which the first page was received.
    pub first_page_ms: Option<u64>,
    /// Time at which the attempt ended.
    pub ended_ms: Option<u64>,
    /// Status with which the attempt ended.
    pub status: Option<AttemptStatus>,
    /// Description of how the attempt ended.
    pub reason: String,
}

/// Returns a human-readable description of an attempt's status.
pub fn status_description(status: AttemptStatus) -> &'static str {
    match status {
        AttemptStatus::Succeeded => "served",
        AttemptStatus::ErrorResponse => "engine error; it may have run",
        AttemptStatus::Rejected => "turned away unseen; it did not run",
        AttemptStatus::TimedOut => "no answer in time; it may have run",
        AttemptStatus::ConnectFailed => "no connection; it did not run",
        AttemptStatus::ConnectionReset => "connection broken; it may have run",
        AttemptStatus::Cancelled => "withdrawn; it may have run",
        AttemptStatus::NotSent => "never sent",
    }
}
