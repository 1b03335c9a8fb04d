//! The history of one statement, for diagnosis.

use hoptiller_policy::{AttemptStatus, EngineId};

/// The history of a statement. Times are in milliseconds since the statement was received.
#[derive(Clone, Debug)]
pub struct StatementHistory {
    /// Index of its class.
    pub class: usize,
    /// Its current state, for people.
    pub state: &'static str,
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
