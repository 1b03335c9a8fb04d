//! The history of one statement, for diagnosis.

use std::fmt;

use hoptiller_policy::{AttemptStatus, EngineId};
use serde::{Serialize, Serializer};

/// How far a statement has come. It is displayed and serialized as a description for people.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementPhase {
    /// No attempt was sent yet.
    Queued,
    /// Its attempts have ended without a result, and another one will follow.
    AwaitingRetry,
    /// An attempt is in flight.
    Running,
    /// A first page was received, and its client has not fetched it.
    ResultReady,
    /// Its client fetches the rows.
    Streaming,
    /// It has its final response, with the label of that.
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
    /// Index of its class.
    pub class: usize,
    /// How far it has come.
    pub state: StatementPhase,
    /// Why it was rejected or failed; empty otherwise.
    pub reason: String,
    /// Time up to its final response, or to now.
    pub elapsed_ms: u64,
    /// How long its client waits.
    pub timeout_ms: u64,
    /// Time before its first attempt.
    pub queued_ms: u64,
    /// Number of responses delivered.
    pub responses: u64,
    /// Its attempts.
    pub attempts: Vec<AttemptHistory>,
}

/// The history of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptHistory {
    /// Its number, from 0.
    pub number: u32,
    /// The engine that it was sent to.
    pub engine: EngineId,
    /// When it was sent.
    pub sent_ms: u64,
    /// When its first page was received.
    pub first_page_ms: Option<u64>,
    /// When it ended.
    pub ended_ms: Option<u64>,
    /// How it ended.
    pub status: Option<AttemptStatus>,
    /// What was observed at its end.
    pub reason: String,
}

/// Describes the status of an attempt, for people.
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
